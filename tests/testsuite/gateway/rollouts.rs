//! Rollouts through running gateways, and their encoding. A new version whose answers fail must get few calls and end
//! rolled back; a good one must have all calls before its deadline.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jayhall::core::gateway::rollout::evidence::{Counts, RouteCounts};
use jayhall::core::gateway::rollout::lifecycle::{
    Phase, PublishedRollout, RolloutRecord, RolloutState,
};
use jayhall::ops::gateway::dialect::Dialect;
use jayhall::ops::gateway::rollout_wire::{
    decode_counts, decode_record, encode_counts, encode_record,
};
use jayhall::platform::PlatformDialect;
use jayhall::sources::store::{RangeRequest, Store};

use super::fixture::{
    Behaviour, FakeBackend, Fixture, Node, backend_entry, config, node_settings, numbered_call,
    total_runs,
};

/// Callers that send one call after the other.
const CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(15);
const STATUS: &str = "status/rollout/plain";

#[test]
fn orders_and_status_have_the_platforms_format() {
    let text = br#"{"service":"plain","target":"v2","durationS":12.5,"more":1}"#;
    let order = PlatformDialect.decode_rollout_order("plain", text).unwrap();
    assert_eq!((&*order.service, &*order.target), ("plain", "v2"));
    assert_eq!(order.duration, Duration::from_millis(12_500));
    for odd in [
        r#"{"service":"plain","target":"v2"}"#,
        r#"{"service":"plain","target":"","durationS":1}"#,
        r#"{"service":"plain","target":"v2","durationS":-1}"#,
        r#"{"service":"plain","target":"v2","durationS":1e300}"#,
        r#"{"service":"other","target":"v2","durationS":1}"#,
        "[]",
    ] {
        let order = PlatformDialect.decode_rollout_order("plain", odd.as_bytes());
        assert!(order.is_err(), "{odd}");
    }
    let status = PublishedRollout {
        state: RolloutState::RolledBack,
        target: "v2".into(),
    };
    let text = PlatformDialect.encode_rollout_status(&status);
    assert_eq!(text, br#"{"state":"rolled_back","target":"v2"}"#);
    assert_eq!(
        PlatformDialect.decode_rollout_status(&text).unwrap(),
        status
    );
    assert_eq!(PlatformDialect.rollout_status_key("plain"), STATUS);
}

#[test]
fn records_and_counts_are_the_same_after_decoding() {
    let record = RolloutRecord {
        target: "v2".into(),
        phase: Phase::RolledBack,
        ordered_at: 5,
        duration: Duration::from_secs(12),
        changed_at: 7,
        replaced: vec!["v1".into(), "".into()],
    };
    let text = encode_record(&record).unwrap();
    assert_eq!(decode_record(&text).unwrap(), record);
    let mut new = Counts {
        answers: 9,
        failures: 4,
        ..Counts::default()
    };
    new.times[3] = 9;
    let counts = RouteCounts {
        new,
        ..RouteCounts::default()
    };
    let decoded = decode_counts(&encode_counts(&[(1, 2, counts)]));
    assert_eq!(decoded, HashMap::from([(1, HashMap::from([(2, counts)]))]));
}

/// Calls in progress of the callers, until the load ends.
struct Load {
    ends: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    fn spawn(fixture: &Arc<Fixture>, node: &Arc<Node>) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicUsize::new(0));
        let callers = (0..CALLERS).map(|_| {
            let (fixture, node) = (Arc::clone(fixture), Arc::clone(node));
            let (ends, sent) = (Arc::clone(&ends), Arc::clone(&sent));
            tokio::spawn(async move {
                while !ends.load(Ordering::Relaxed) {
                    let call = numbered_call(&fixture, &node, "/once/x");
                    call.send().await.unwrap();
                    sent.fetch_add(1, Ordering::Relaxed);
                    tokio::time::sleep(PAUSE).await;
                }
            })
        });
        Self {
            callers: callers.collect(),
            ends,
            sent,
        }
    }

    /// Ends the load, and returns the number of calls.
    async fn end(self) -> usize {
        self.ends.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
        self.sent.load(Ordering::Relaxed)
    }
}

async fn status(fixture: &Fixture) -> String {
    let reply = fixture
        .store
        .range(RangeRequest::one(STATUS))
        .await
        .unwrap();
    let status = reply.entries.first();
    status.map_or(String::new(), |item| {
        String::from_utf8(item.value.to_vec()).unwrap()
    })
}

/// Waits for a final status. Returns it with the time that it took.
async fn final_status(fixture: &Fixture, limit: Duration) -> (String, Duration) {
    let started = Instant::now();
    loop {
        let status = status(fixture).await;
        let took = started.elapsed();
        if status.contains("succeeded") || status.contains("rolled_back") {
            return (status, took);
        }
        assert!(took < limit, "{status} after {took:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A service with two back ends of version `v1`, and two of `v2` after the order.
struct Rollout {
    fixture: Arc<Fixture>,
    /// The node that holds the duties.
    holder: Option<Node>,
    old: Vec<FakeBackend>,
    new: Vec<FakeBackend>,
    load: Load,
}

async fn list(fixture: &Fixture, version: &str, behaviour: Behaviour) -> Vec<FakeBackend> {
    let mut backends = Vec::new();
    for index in 0..2 {
        let backend = FakeBackend::spawn(behaviour.clone()).await;
        let entry = backend_entry("plain", backend.address, "ready").replace("v1", version);
        fixture
            .put(&format!("servers/{version}-{index}"), entry)
            .await;
        backends.push(backend);
    }
    backends
}

/// Starts a node that serves rollouts.
async fn node(fixture: &Fixture, name: &str) -> Node {
    let mut settings = node_settings(name, "z1");
    settings.bounds.exposure = 0.1;
    let store = Arc::clone(&fixture.store);
    let node = fixture.node_with_settings(settings, store).await;
    fixture.ready(&node).await;
    node
}

/// Orders a rollout of a fleet of two nodes, one of which gets all calls.
async fn order(new: Behaviour, duration_s: u32) -> Rollout {
    let fixture = Arc::new(Fixture::new());
    fixture.put("op/config", config(1)).await;
    let old = list(&fixture, "v1", Behaviour::Answer(200, "old")).await;
    let holder = node(&fixture, "n1").await;
    // Until it holds the duties.
    tokio::time::sleep(Duration::from_millis(800)).await;
    let serving = Arc::new(node(&fixture, "n2").await);
    // Until the nodes exchange messages.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let load = Load::spawn(&fixture, &serving);
    let order = format!(r#"{{"service":"plain","target":"v2","durationS":{duration_s}}}"#);
    fixture.put("op/rollout/plain", order).await;
    let new = list(&fixture, "v2", new).await;
    Rollout {
        fixture,
        holder: Some(holder),
        old,
        new,
        load,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_whose_answers_fail_gets_few_calls_and_is_rolled_back() {
    let rollout = order(Behaviour::Answer(500, "failed"), 8).await;
    let (status, took) = final_status(&rollout.fixture, Duration::from_secs(8)).await;
    assert_eq!(status, r#"{"state":"rolled_back","target":"v2"}"#);
    assert!(took < Duration::from_secs(5), "{took:?}");
    let exposed = total_runs(&rollout.new);
    assert!((6..50).contains(&exposed), "{exposed}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let calls = rollout.load.end().await;
    assert_eq!(total_runs(&rollout.new), exposed);
    assert!(exposed * 10 <= calls, "{exposed} of {calls}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_has_all_calls_before_the_deadline() {
    let rollout = order(Behaviour::Answer(200, "new"), 8).await;
    let (status, took) = final_status(&rollout.fixture, Duration::from_secs(8)).await;
    assert_eq!(status, r#"{"state":"succeeded","target":"v2"}"#);
    assert!(took > Duration::from_secs(4), "{took:?}");
    let (old, new) = (total_runs(&rollout.old), total_runs(&rollout.new));
    tokio::time::sleep(Duration::from_millis(300)).await;
    rollout.load.end().await;
    assert_eq!(total_runs(&rollout.old), old);
    assert!(total_runs(&rollout.new) > new);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_rolled_back_though_the_holder_of_the_duties_leaves_halfway() {
    let mut rollout = order(Behaviour::Answer(500, "failed"), 8).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let holder = rollout.holder.take().unwrap();
    let left = tokio::spawn(holder.gateway.unwrap().leave());
    let (status, _) = final_status(&rollout.fixture, Duration::from_secs(8)).await;
    assert_eq!(status, r#"{"state":"rolled_back","target":"v2"}"#);
    // The node that served had stopped on its own before.
    let exposed = total_runs(&rollout.new);
    assert!(exposed < 50, "{exposed}");
    rollout.load.end().await;
    left.await.unwrap();
}
