//! Back ends that are brittle: one that has to reject more calls a second than it can bear, for want of room, falls over.
//! They let fewer calls wait than usual, and nodes know each other's calls late, so all nodes together must leave room.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jayhall::core::gateway::brittle::Shares;

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config};

/// Time after a back end's first answer from which the bound holds.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);
const SECOND: Duration = Duration::from_secs(1);
const NODES: usize = 6;
const BACKENDS: usize = 4;
/// Callers of each node, who repeat their call as soon as it is answered: more than there is room for.
const CALLERS: usize = 12;
/// Calls that a back end runs at once, as its entry says, and the rejections a second that it can bear.
const ROOM: usize = 8;
const BEARABLE: usize = 3;
/// Time that a back end takes for a call.
const WORK: Duration = Duration::from_millis(100);

async fn call_repeatedly(
    fixture: Arc<Fixture>,
    node: Arc<Node>,
    caller: usize,
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
) {
    let mut index = 0;
    while !is_over.load(Ordering::Relaxed) {
        let attempt = format!("{}-{caller}-{index}", node.settings.name);
        index += 1;
        let res = fixture
            .call(&node, "/get/x", &attempt)
            .send()
            .await
            .unwrap();
        if res.status() == 200 {
            served.fetch_add(1, Ordering::Relaxed);
        } else {
            tokio::time::sleep(WORK).await;
        }
    }
}

/// Returns how often a back end with these rejections after `from` fell over. It is not rejecting for a second then.
fn falls(rejected: &[Instant], from: Instant) -> usize {
    let mut rejected = rejected.iter().filter(|at| **at >= from).peekable();
    let mut recent: Vec<Instant> = Vec::new();
    let mut falls = 0;
    while let Some(at) = rejected.next() {
        recent.retain(|earlier| *at - *earlier < SECOND);
        recent.push(*at);
        if recent.len() > BEARABLE {
            falls += 1;
            recent.clear();
            while rejected.next_if(|next| **next < *at + SECOND).is_some() {}
        }
    }
    falls
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_leave_room_at_brittle_back_ends_under_overload() {
    let fixture = Arc::new(Fixture::new());
    fixture.put("op/config", config(1)).await;
    let mut backends = Vec::new();
    for index in 0..BACKENDS {
        let brittle = Behaviour::Brittle {
            room: ROOM,
            bearable: BEARABLE as u32,
        };
        let backend = FakeBackend::spawn(brittle).await;
        let id = format!("b{index}");
        fixture.list_backend(&id, "plain", &backend, "ready").await;
        backends.push(backend);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for index in 0..NODES {
        let node = Arc::new(fixture.node(&format!("n{index}")).await);
        fixture.ready(&node).await;
        for caller in 0..CALLERS {
            callers.push(tokio::spawn(call_repeatedly(
                Arc::clone(&fixture),
                Arc::clone(&node),
                caller,
                Arc::clone(&is_over),
                Arc::clone(&served),
            )));
        }
    }
    tokio::time::sleep(KNOWN_WITHIN).await;
    let known = Instant::now();
    let served_before = served.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let served = served.load(Ordering::Relaxed) - served_before;
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    let falls: usize = backends
        .iter()
        .map(|backend| falls(&backend.rejected.lock(), known))
        .sum();
    assert!(falls <= 2 + BACKENDS / 10, "{falls} falls");
    // They can do 320 a second; a third of that is the least that callers can expect.
    let least = BACKENDS * ROOM * 10 * 6 / 3;
    assert!(
        served >= least,
        "{served} calls served, at least {least} expected"
    );
}

/// Returns the most calls that all nodes may have at a back end with these places, as far as their shares go.
fn sum_of_shares(nodes: usize, slots: u32, backend: &str) -> u32 {
    let shares = (0..nodes).map(|position| {
        let shares = Shares { position, nodes };
        let is_within = |own: &u32| shares.has_room(backend, slots, *own, slots - 1);
        (0..slots).take_while(is_within).count() as u32
    });
    shares.sum()
}

#[test]
fn the_shares_of_all_nodes_add_up_to_no_more_than_the_places() {
    for (nodes, slots) in [
        (1, 1),
        (6, 64),
        (6, 6),
        (74, 16),
        (295, 12),
        (295, 6),
        (1100, 12),
    ] {
        let sums: Vec<u32> = (0..40)
            .map(|index| sum_of_shares(nodes, slots, &format!("i-{index}")))
            .collect();
        let is_used = |sum: &u32| *sum <= slots && f64::from(*sum) >= f64::from(slots) * 0.75;
        assert!(
            sums.iter().all(is_used),
            "{nodes} nodes, {slots} places: {sums:?}"
        );
    }
}
