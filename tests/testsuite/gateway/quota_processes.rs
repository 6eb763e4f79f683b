//! Quotas over a few running gateways, which lend and ask through datagrams on loopback.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jayhall::core::gateway::quota::LEASE;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config, numbered_call};

/// Limit of the customer, in calls a second, and burst in calls.
const RATE: f64 = 20.0;
/// Interval between two calls: three times the limit.
const CALL_INTERVAL: Duration = Duration::from_millis(16);
/// Window for which the bound on admitted calls is guaranteed, and the tolerated excess.
const WINDOW: Duration = Duration::from_secs(8);
const OVERRUN: f64 = 0.1;

/// Starts a node whose tasks end with the returned runtime, as with its process.
async fn node_process(fixture: &Arc<Fixture>, name: &'static str) -> (Runtime, Node) {
    let fixture = Arc::clone(fixture);
    let started = tokio::task::spawn_blocking(move || {
        let runtime = Runtime::new().unwrap();
        let node = runtime.block_on(async {
            let node = fixture.node_in(name, "z2").await;
            fixture.ready(&node).await;
            node
        });
        (runtime, node)
    });
    started.await.unwrap()
}

/// Sends calls to the nodes in turn, and returns when those that were admitted were sent.
async fn press(fixture: &Arc<Fixture>, nodes: &[&Node], period: Duration) -> Vec<Instant> {
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    let end = Instant::now() + period;
    while Instant::now() < end {
        for node in nodes {
            ticks.tick().await;
            let call = numbered_call(fixture, node, "/get/x");
            calls.spawn(async move {
                let sent = Instant::now();
                let res = call.send().await;
                res.is_ok_and(|res| res.status() == 200).then_some(sent)
            });
        }
    }
    let mut admitted: Vec<Instant> = calls.join_all().await.into_iter().flatten().collect();
    admitted.sort_unstable();
    admitted
}

async fn fixture_with_quota() -> (Arc<Fixture>, FakeBackend) {
    let fixture = Arc::new(Fixture::new());
    let quota = format!(r#""apiKeys":["k1"],"ratePerS":{RATE},"burst":{RATE}"#);
    let config = config(1).replace(r#""apiKeys":["k1"]"#, &quota);
    fixture.put("op/config", config).await;
    let backend = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    fixture.list_backend("b0", "plain", &backend, "ready").await;
    (fixture, backend)
}

/// Guards against a process that starts with full buckets and so adds to what its predecessor has admitted.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_of_which_one_restarts_keep_a_customer_to_its_limit() {
    let (fixture, _backend) = fixture_with_quota().await;
    let n1 = fixture.node_in("n1", "z1").await;
    let n3 = fixture.node_in("n3", "z3").await;
    let (runtime, n2) = node_process(&fixture, "n2").await;
    fixture.ready(&n1).await;
    fixture.ready(&n3).await;
    tokio::time::sleep(LEASE + Duration::from_secs(2)).await;
    let mut admitted = press(&fixture, &[&n1, &n2, &n3], Duration::from_secs(5)).await;
    assert!(
        admitted.len() as f64 >= 0.85 * RATE * 5.0,
        "{} calls in 5 s",
        admitted.len()
    );
    runtime.shutdown_background();
    let (runtime, n2) = node_process(&fixture, "n2").await;
    admitted.extend(press(&fixture, &[&n1, &n2, &n3], Duration::from_secs(10)).await);
    let allowed = (RATE * WINDOW.as_secs_f64() + RATE) * (1.0 + OVERRUN);
    let in_window = |from: &Instant| {
        let calls = admitted.iter();
        calls
            .filter(|at| *at >= from && **at < *from + WINDOW)
            .count()
    };
    let worst = admitted.iter().map(in_window).max().unwrap_or(0);
    println!(
        "{} calls admitted, {worst} in the worst window, {allowed} allowed",
        admitted.len()
    );
    assert!(
        worst as f64 <= allowed,
        "{worst} in {WINDOW:?}, allowed {allowed}"
    );
    runtime.shutdown_background();
}

/// Guards against refusals while all nodes have just started and are about to lend: a call waits for that.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_waits_for_the_leases_of_gateways_that_all_start_anew() {
    let (fixture, _backend) = fixture_with_quota().await;
    let start_all =
        || async { tokio::join!(node_process(&fixture, "n1"), node_process(&fixture, "n2")) };
    let ((first, _), (second, _)) = start_all().await;
    first.shutdown_background();
    second.shutdown_background();
    let ((first, n1), (second, _)) = start_all().await;
    let mut calls = JoinSet::new();
    for _ in 0..100 {
        let call = numbered_call(&fixture, &n1, "/get/x");
        calls.spawn(async move {
            let sent = Instant::now();
            let status = call.send().await.unwrap().status();
            (sent, status, sent.elapsed())
        });
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let answered = calls.join_all().await;
    let served = answered.iter().filter(|(_, status, _)| *status == 200);
    let (_, _, waited) = served
        .min_by_key(|(sent, ..)| *sent)
        .expect("a call is served");
    assert!(*waited >= Duration::from_millis(100), "{waited:?}");
    first.shutdown_background();
    second.shutdown_background();
}
