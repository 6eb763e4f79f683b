//! Prompts with a part that crashes each back end that begins to answer them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use jayhall::sources::store::{RangeRequest, Store};
use parking_lot::Mutex;

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config};

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
/// Number of back ends.
const BACKENDS: usize = 6;
/// Time for which a crashed back end is away.
const RESTART_TIME: Duration = Duration::from_millis(150);
/// Interval between calls with the crashing part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between sound calls.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

/// Back ends that crash on a part of the prompt and start again as another process.
struct CrashingFleet {
    fixture: Fixture,
    backends: Vec<FakeBackend>,
    /// Times of the calls with the crashing part that reached a back end.
    reached: Mutex<Vec<Instant>>,
    last_call: AtomicU64,
}

impl CrashingFleet {
    async fn start() -> Arc<Self> {
        let fixture = Fixture::new();
        fixture.put("op/config", config(1)).await;
        let mut backends = Vec::new();
        for _ in 0..BACKENDS {
            backends.push(FakeBackend::spawn(Behaviour::BreakOn(CRASHING_PART)).await);
        }
        Self::with(fixture, backends).await
    }

    /// Creates a fleet that has lost all its nodes: the same back ends, and what the store holds.
    async fn without_nodes(&self) -> Arc<Self> {
        let fixture = Fixture::new();
        let all = self.fixture.store.range(RangeRequest::prefix("")).await;
        for entry in all.unwrap().entries {
            if !entry.key.starts_with("jayhall/nodes/") && !entry.key.starts_with("servers/") {
                fixture.put(&entry.key, entry.value).await;
            }
        }
        Self::with(fixture, self.backends.clone()).await
    }

    async fn with(fixture: Fixture, backends: Vec<FakeBackend>) -> Arc<Self> {
        for (index, backend) in backends.iter().enumerate() {
            let id = format!("b{index}-0");
            fixture.list_backend(&id, "llm", backend, "ready").await;
        }
        let fleet = Arc::new(Self {
            fixture,
            backends,
            reached: Mutex::default(),
            last_call: AtomicU64::new(0),
        });
        for index in 0..BACKENDS {
            tokio::spawn(Arc::clone(&fleet).restart_after_crashes(index));
        }
        fleet
    }

    /// Lists a back end as a new process after each of its crashes.
    async fn restart_after_crashes(self: Arc<Self>, index: usize) {
        let backend = &self.backends[index];
        let mut handled = backend.runs();
        let mut process = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let crashes = {
                let seen = backend.seen.lock();
                let new = seen[handled..].iter();
                let crashes = new.filter(|call| {
                    let parts = call.headers.get("x-jayhall-prompt-prefix").unwrap();
                    parts.to_str().unwrap().contains(CRASHING_PART)
                });
                let crashes = crashes.count();
                handled = seen.len();
                crashes
            };
            if crashes == 0 {
                continue;
            }
            self.reached.lock().extend(vec![Instant::now(); crashes]);
            self.fixture
                .remove(&format!("servers/b{index}-{process}"))
                .await;
            tokio::time::sleep(RESTART_TIME).await;
            process += 1;
            let id = format!("b{index}-{process}");
            self.fixture
                .list_backend(&id, "llm", backend, "ready")
                .await;
        }
    }

    /// Sends a call whose prompt has these shared parts and one of its own, and reads the answer.
    /// Returns the status and whether the answer was complete.
    async fn call(&self, node: &Node, shared: &[&str]) -> (StatusCode, bool) {
        let number = self.last_call.fetch_add(1, Ordering::Relaxed);
        let parts: String = shared.iter().map(|part| format!("{part}:100,")).collect();
        let call = self
            .fixture
            .call(node, "/resume/x", &format!("a{number}"))
            .header("x-jayhall-token-counts", "250,20")
            .header(
                "x-jayhall-prompt-prefix",
                format!("{parts}{:x}:50", 1_000_000 + number),
            );
        let res = call.send().await.unwrap();
        let status = res.status();
        (status, res.bytes().await.is_ok())
    }

    /// Sends calls with the crashing part to the nodes in turn until `is_over` is set.
    async fn send_crashing(self: Arc<Self>, nodes: Arc<Vec<Node>>, is_over: Arc<AtomicBool>) {
        for node in nodes.iter().cycle() {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            self.call(node, &[SHARED_PART, CRASHING_PART]).await;
            tokio::time::sleep(CRASHING_INTERVAL).await;
        }
    }

    async fn wait_for_crashes(&self, count: usize) -> Instant {
        loop {
            if let Some(at) = self.reached.lock().get(count - 1) {
                return *at;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn reached_since(&self, from: Instant) -> usize {
        let reached = self.reached.lock();
        reached.iter().filter(|at| **at >= from).count()
    }

    async fn nodes(&self, names: &[&str]) -> Vec<Node> {
        let mut nodes = Vec::new();
        for name in names {
            let node = self.fixture.node(name).await;
            self.fixture.ready(&node).await;
            nodes.push(node);
        }
        nodes
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
        let (status, is_complete) = fleet.call(node, &[SHARED_PART, "bbbb"]).await;
        let status = if is_complete { status.as_u16() } else { 0 };
        *statuses.entry(status).or_default() += 1;
        tokio::time::sleep(SOUND_INTERVAL).await;
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_back_ends_reaches_few_of_them_once_it_is_known() {
    let fleet = CrashingFleet::start().await;
    let nodes = Arc::new(fleet.nodes(&["n1", "n2"]).await);
    send_sound(&fleet, &nodes, Duration::from_millis(500)).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let crashing = Arc::clone(&fleet).send_crashing(Arc::clone(&nodes), Arc::clone(&is_over));
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
    let fleet = CrashingFleet::start().await;
    let nodes = Arc::new(fleet.nodes(&["n1", "n2"]).await);
    let is_over = Arc::new(AtomicBool::new(false));
    let crashing = Arc::clone(&fleet).send_crashing(Arc::clone(&nodes), Arc::clone(&is_over));
    let crashing = tokio::spawn(crashing);
    send_sound(&fleet, &nodes, KNOWN_WITHIN + Duration::from_secs(2)).await;
    is_over.store(true, Ordering::Relaxed);
    crashing.await.unwrap();
    let fleet = fleet.without_nodes().await;
    let nodes = fleet.nodes(&["n1", "n2"]).await;
    let started = Instant::now();
    for _ in 0..4 {
        for node in &nodes {
            fleet.call(node, &[SHARED_PART, CRASHING_PART]).await;
        }
    }
    let reached = fleet.reached_since(started);
    assert!(
        reached <= MAX_LATER_CALLS,
        "{reached} calls reached back ends"
    );
}
