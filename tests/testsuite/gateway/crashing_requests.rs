//! One request that crashes each back end that begins to run it, and comes again at any node.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use jayhall::sources::store::{KeyRange, RangeRequest, Store};

use super::crashing_fleet::{CrashingFleet, TestCall};
use super::fixture::{Behaviour, Node, ReceivedCall};

/// Body of the request that crashes back ends.
const CRASHING_BODY: &str = "crashing";
/// Part of the prompts of that request and of sound ones.
const SHARED_PART: &str = "aaaa";
/// Own part of the prompt of the request that crashes back ends.
const CRASHING_PART: &str = "dead";
/// Number of crashes after which the request is to be known.
const CRASHES_UNTIL_KNOWN: usize = 3;
/// Time after the last of these crashes within which all nodes know the request.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);
/// Times that the request may reach back ends after that.
const MAX_LATER_CALLS: usize = 3;
/// Interval between the attempts of the request.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between sound calls.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

/// The calls of one test.
#[derive(Clone, Copy)]
struct Calls {
    crashing: TestCall<'static>,
    sound: TestCall<'static>,
    /// Whether each sound prompt has a part of its own besides those of `sound`.
    has_own_part: bool,
}

const fn plain(path: &'static str) -> Calls {
    Calls {
        crashing: TestCall {
            path,
            body: CRASHING_BODY,
            parts: &[],
        },
        sound: TestCall {
            path,
            body: "sound",
            parts: &[],
        },
        has_own_part: false,
    }
}

const PROMPTS: Calls = Calls {
    crashing: TestCall {
        path: "/resume/x",
        body: CRASHING_BODY,
        parts: &[SHARED_PART, CRASHING_PART],
    },
    sound: TestCall {
        path: "/resume/x",
        body: "sound",
        parts: &[SHARED_PART],
    },
    has_own_part: true,
};

fn has_crashing_body(call: &ReceivedCall) -> bool {
    call.body == CRASHING_BODY.as_bytes()
}

async fn start_plain() -> Arc<CrashingFleet> {
    let behaviour = Behaviour::DisconnectOn(CRASHING_BODY);
    CrashingFleet::start("plain", behaviour, has_crashing_body).await
}

async fn start_prompts() -> Arc<CrashingFleet> {
    let behaviour = Behaviour::BreakOn(CRASHING_PART);
    CrashingFleet::start("llm", behaviour, has_crashing_body).await
}

/// Sends a request to nodes in turn.
struct RepeatingCaller {
    is_over: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl RepeatingCaller {
    fn spawn(fleet: &Arc<CrashingFleet>, nodes: &Arc<Vec<Node>>, call: TestCall<'static>) -> Self {
        let (fleet, nodes) = (Arc::clone(fleet), Arc::clone(nodes));
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = Arc::clone(&is_over);
        let task = tokio::spawn(async move {
            for node in nodes.iter().cycle() {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                fleet.call(node, call).await;
                tokio::time::sleep(CRASHING_INTERVAL).await;
            }
        });
        Self { is_over, task }
    }

    async fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.task.await.unwrap();
    }
}

/// Sends sound calls to the nodes in turn for a time. Returns the numbers of complete answers by status; 0 stands
/// for those that broke off.
async fn send_sound(
    fleet: &CrashingFleet,
    nodes: &[Node],
    calls: Calls,
    time: Duration,
) -> HashMap<u16, usize> {
    let mut statuses = HashMap::new();
    let started = Instant::now();
    for node in nodes.iter().cycle() {
        if started.elapsed() >= time {
            break;
        }
        let own = fleet.new_part();
        let mut parts = calls.sound.parts.to_vec();
        if calls.has_own_part {
            parts.push(&own);
        }
        let call = TestCall {
            parts: &parts,
            ..calls.sound
        };
        let (status, is_complete) = fleet.call(node, call).await;
        let status = if is_complete { status.as_u16() } else { 0 };
        *statuses.entry(status).or_default() += 1;
        tokio::time::sleep(SOUND_INTERVAL).await;
    }
    statuses
}

/// Plays a request that crashes back ends beside sound ones, and checks what reaches back ends once it is known.
async fn play(fleet: Arc<CrashingFleet>, calls: Calls) {
    let nodes = Arc::new(fleet.nodes(&["n1", "n2"]).await);
    send_sound(&fleet, &nodes, calls, Duration::from_millis(500)).await;
    let crashing = RepeatingCaller::spawn(&fleet, &nodes, calls.crashing);
    let third = tokio::select! {
        third = fleet.wait_for_crashes(CRASHES_UNTIL_KNOWN) => third,
        _ = send_sound(&fleet, &nodes, calls, Duration::from_secs(30)) => panic!("too few crashes"),
    };
    let known_at = third + KNOWN_WITHIN;
    let left = known_at.saturating_duration_since(Instant::now());
    send_sound(&fleet, &nodes, calls, left).await;
    let sound = send_sound(&fleet, &nodes, calls, Duration::from_secs(5)).await;
    crashing.stop().await;
    let later = fleet.reached_since(known_at);
    assert!(later <= MAX_LATER_CALLS, "{later} calls reached back ends");
    let answered = sound.get(&200).copied().unwrap_or_default();
    let all: usize = sound.values().sum();
    assert!(answered * 20 >= all * 19, "sound calls: {sound:?}");
    assert_eq!(sound.get(&400), None, "sound calls: {sound:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_request_that_crashes_back_ends_reaches_few_once_it_is_known() {
    play(start_plain().await, plain("/once/x")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_that_crashes_back_ends_reaches_few_once_it_is_known() {
    play(start_plain().await, plain("/get/x")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_crashes_back_ends_is_known_although_sound_ones_share_its_parts() {
    play(start_prompts().await, PROMPTS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_all_start_anew_know_a_request_that_crashes_back_ends() {
    let calls = plain("/once/x");
    let fleet = start_plain().await;
    let nodes = Arc::new(fleet.nodes(&["n1", "n2"]).await);
    let crashing = RepeatingCaller::spawn(&fleet, &nodes, calls.crashing);
    let time = KNOWN_WITHIN + Duration::from_secs(3);
    send_sound(&fleet, &nodes, calls, time).await;
    crashing.stop().await;
    let fleet = fleet.without_nodes().await;
    let nodes = fleet.nodes(&["n1", "n2"]).await;
    let started = Instant::now();
    for _ in 0..4 {
        for node in &nodes {
            fleet.call(node, calls.crashing).await;
        }
    }
    let reached = fleet.reached_since(started);
    assert!(
        reached <= MAX_LATER_CALLS,
        "{reached} calls reached back ends"
    );
    let range = KeyRange::Prefix("jayhall/quarantine/".into());
    let entries = fleet.fixture.store.range(RangeRequest { range }).await;
    assert_eq!(entries.unwrap().entries.len(), 1);
}
