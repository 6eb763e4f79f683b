//! Back ends that crash under some of their calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use jayhall::sources::store::{RangeRequest, Store};
use parking_lot::Mutex;

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, ReceivedCall, config};

/// Number of back ends.
const BACKENDS: usize = 6;
/// Time for which a crashed back end is away.
const RESTART_TIME: Duration = Duration::from_millis(150);

/// A call of a caller.
#[derive(Clone, Copy)]
pub(super) struct TestCall<'a> {
    pub(super) path: &'a str,
    pub(super) body: &'static str,
    /// Parts of the prompt; a call without parts is a plain one.
    pub(super) parts: &'a [&'a str],
}

/// Back ends that crash under some calls and start again as another process.
pub(super) struct CrashingFleet {
    pub(super) fixture: Fixture,
    backends: Vec<FakeBackend>,
    service: &'static str,
    /// Returns whether a call crashes its back end.
    crashes: fn(&ReceivedCall) -> bool,
    /// Times at which such calls reached a back end.
    reached: Mutex<Vec<Instant>>,
    last_call: AtomicU64,
}

impl CrashingFleet {
    pub(super) async fn start(
        service: &'static str,
        behaviour: Behaviour,
        crashes: fn(&ReceivedCall) -> bool,
    ) -> Arc<Self> {
        let fixture = Fixture::new();
        fixture.put("op/config", config(1)).await;
        let mut backends = Vec::new();
        for _ in 0..BACKENDS {
            backends.push(FakeBackend::spawn(behaviour.clone()).await);
        }
        Self::with(fixture, backends, service, crashes).await
    }

    /// Creates a fleet that has lost all its nodes: the same back ends, and what the store holds.
    pub(super) async fn without_nodes(&self) -> Arc<Self> {
        let fixture = Fixture::new();
        let all = self.fixture.store.range(RangeRequest::prefix("")).await;
        for entry in all.unwrap().entries {
            if !entry.key.starts_with("jayhall/nodes/") && !entry.key.starts_with("servers/") {
                fixture.put(&entry.key, entry.value).await;
            }
        }
        Self::with(fixture, self.backends.clone(), self.service, self.crashes).await
    }

    async fn with(
        fixture: Fixture,
        backends: Vec<FakeBackend>,
        service: &'static str,
        crashes: fn(&ReceivedCall) -> bool,
    ) -> Arc<Self> {
        for (index, backend) in backends.iter().enumerate() {
            let id = format!("b{index}-0");
            fixture.list_backend(&id, service, backend, "ready").await;
        }
        let fleet = Arc::new(Self {
            fixture,
            backends,
            service,
            crashes,
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
                let crashes = new.filter(|call| (self.crashes)(call)).count();
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
                .list_backend(&id, self.service, backend, "ready")
                .await;
        }
    }

    /// Sends a call and reads the answer. Returns the status and whether the answer was complete.
    pub(super) async fn call(&self, node: &Node, call: TestCall<'_>) -> (StatusCode, bool) {
        let number = self.last_call.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("a{number}");
        let mut req = self.fixture.call(node, call.path, &attempt).body(call.body);
        if !call.parts.is_empty() {
            let sizes = call.parts.iter().map(|part| format!("{part}:100"));
            req = req.header("x-jayhall-token-counts", "250,20").header(
                "x-jayhall-prompt-prefix",
                sizes.collect::<Vec<_>>().join(","),
            );
        }
        let res = req.send().await.unwrap();
        let status = res.status();
        (status, res.bytes().await.is_ok())
    }

    /// Returns an id that no other part of a prompt has.
    pub(super) fn new_part(&self) -> String {
        let number = self.last_call.fetch_add(1, Ordering::Relaxed);
        format!("{:x}", 1_000_000 + number)
    }

    pub(super) async fn wait_for_crashes(&self, count: usize) -> Instant {
        loop {
            if let Some(at) = self.reached.lock().get(count - 1) {
                return *at;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub(super) fn reached_since(&self, from: Instant) -> usize {
        let reached = self.reached.lock();
        reached.iter().filter(|at| **at >= from).count()
    }

    pub(super) async fn nodes(&self, names: &[&str]) -> Vec<Node> {
        let mut nodes = Vec::new();
        for name in names {
            let node = self.fixture.node(name).await;
            self.fixture.ready(&node).await;
            nodes.push(node);
        }
        nodes
    }
}
