//! Prompts with a part that crashes each back end that begins to answer them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::crashing_fleet::{CrashingFleet, TestCall};
use super::fixture::{Behaviour, Node, ReceivedCall};

/// Part that crashes back ends.
const CRASHING_PART: &str = "dead";
/// First part of all prompts.
const SHARED_PART: &str = "aaaa";
/// Number of crashes after which the part is to be known.
const CRASHES_UNTIL_KNOWN: usize = 5;
/// Time after the last of these crashes within which all nodes know the part.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);
/// Calls with the part that may reach back ends after that.
const MAX_LATER_CALLS: usize = 3;
/// Interval between calls with the crashing part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between sound calls.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

fn has_crashing_part(call: &ReceivedCall) -> bool {
    let parts = call.headers.get("x-jayhall-prompt-prefix").unwrap();
    parts.to_str().unwrap().contains(CRASHING_PART)
}

async fn start_fleet() -> Arc<CrashingFleet> {
    CrashingFleet::start("llm", Behaviour::BreakOn(CRASHING_PART), has_crashing_part).await
}

/// A call whose prompt has these parts. The body is empty, as the parts tell the requests of a test apart.
fn prompt<'a>(parts: &'a [&'a str]) -> TestCall<'a> {
    TestCall {
        path: "/resume/x",
        body: "",
        parts,
    }
}

async fn call_crashing(fleet: &CrashingFleet, node: &Node) {
    let own = fleet.new_part();
    fleet
        .call(node, prompt(&[SHARED_PART, CRASHING_PART, &own]))
        .await;
}

/// Sends calls with the crashing part to the nodes in turn until `is_over` is set.
async fn send_crashing(fleet: Arc<CrashingFleet>, nodes: Arc<Vec<Node>>, is_over: Arc<AtomicBool>) {
    for node in nodes.iter().cycle() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        call_crashing(&fleet, node).await;
        tokio::time::sleep(CRASHING_INTERVAL).await;
    }
}

/// Sends sound calls to the nodes in turn for a time. Returns the statuses with their numbers, complete answers
/// only.
async fn send_sound(fleet: &CrashingFleet, nodes: &[Node], time: Duration) -> HashMap<u16, usize> {
    let mut statuses = HashMap::new();
    let started = Instant::now();
    for node in nodes.iter().cycle() {
        if started.elapsed() >= time {
            break;
        }
        let own = fleet.new_part();
        let (status, is_complete) = fleet.call(node, prompt(&[SHARED_PART, "bbbb", &own])).await;
        let status = if is_complete { status.as_u16() } else { 0 };
        *statuses.entry(status).or_default() += 1;
        tokio::time::sleep(SOUND_INTERVAL).await;
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_back_ends_reaches_few_of_them_once_it_is_known() {
    let fleet = start_fleet().await;
    let nodes = Arc::new(fleet.nodes(&["n1", "n2"]).await);
    send_sound(&fleet, &nodes, Duration::from_millis(500)).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let crashing = send_crashing(Arc::clone(&fleet), Arc::clone(&nodes), Arc::clone(&is_over));
    let crashing = tokio::spawn(crashing);
    let fifth = tokio::select! {
        fifth = fleet.wait_for_crashes(CRASHES_UNTIL_KNOWN) => fifth,
        _ = send_sound(&fleet, &nodes, Duration::from_secs(30)) => panic!("too few crashes"),
    };
    send_sound(
        &fleet,
        &nodes,
        (fifth + KNOWN_WITHIN).saturating_duration_since(Instant::now()),
    )
    .await;
    let sound = send_sound(&fleet, &nodes, Duration::from_secs(3)).await;
    is_over.store(true, Ordering::Relaxed);
    crashing.await.unwrap();
    let later = fleet.reached_since(fifth + KNOWN_WITHIN);
    assert!(later <= MAX_LATER_CALLS, "{later} calls reached back ends");
    let answered = sound.get(&200).copied().unwrap_or_default();
    let all: usize = sound.values().sum();
    assert!(answered * 10 >= all * 9, "sound calls: {sound:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_all_start_anew_know_the_part_that_crashes_back_ends() {
    let fleet = start_fleet().await;
    let nodes = Arc::new(fleet.nodes(&["n1", "n2"]).await);
    let is_over = Arc::new(AtomicBool::new(false));
    let crashing = send_crashing(Arc::clone(&fleet), Arc::clone(&nodes), Arc::clone(&is_over));
    let crashing = tokio::spawn(crashing);
    send_sound(&fleet, &nodes, KNOWN_WITHIN + Duration::from_secs(2)).await;
    is_over.store(true, Ordering::Relaxed);
    crashing.await.unwrap();
    let fleet = fleet.without_nodes().await;
    let nodes = fleet.nodes(&["n1", "n2"]).await;
    let started = Instant::now();
    for _ in 0..4 {
        for node in &nodes {
            call_crashing(&fleet, node).await;
        }
    }
    let reached = fleet.reached_since(started);
    assert!(
        reached <= MAX_LATER_CALLS,
        "{reached} calls reached back ends"
    );
}
