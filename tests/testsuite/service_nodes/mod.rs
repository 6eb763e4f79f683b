//! Several nodes in one process on a shared store, with a service that counts effects.
//!
//! A frozen node's writes and calls wait where they leave the process and go out when it wakes, however
//! late: more than a real pause allows.

mod outside;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use jayhall::core::document::{Document, ServiceRule};
use jayhall::core::fleet::{Backend, BackendKind, FleetView, Market};
use jayhall::core::id::Address;
use jayhall::core::ledger::IdempotencyKey;
use jayhall::core::membership::{Member, MemberState, MemberView};
use jayhall::core::service_call::{CallReply, RefusalCause, ServiceCall};
use jayhall::core::verdict::Verdict;
use jayhall::node::{Blackboard, Identity, InstalledDocument};
use jayhall::ops::call_service::{CallService, CallServiceContext};
use jayhall::sources::store::{MemoryStore, RangeRequest, Store};

pub(crate) use outside::{FakeService, Gate, Mode};
use outside::{GatedBackend, GatedStore, Net};

/// Time of day at which each test begins, in milliseconds.
pub(crate) const START: u64 = 1_800_000_000_000;
/// Time that callers wait.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// Names of the nodes.
pub(crate) const NODES: [&str; 3] = ["n0", "n1", "n2"];

pub(crate) struct Nodes {
    pub(crate) store: MemoryStore,
    pub(crate) service: Arc<FakeService>,
    boards: Vec<Arc<Blackboard>>,
    /// What a node writes to the store waits here.
    pub(crate) writes: Vec<Gate>,
    /// What a node sends to back ends waits here.
    pub(crate) sends: Vec<Gate>,
    net: Arc<Net>,
    now: Arc<AtomicU64>,
    issued: AtomicU64,
}

impl Nodes {
    pub(crate) fn start() -> Self {
        let nodes = Self {
            store: MemoryStore::new(),
            service: Arc::default(),
            boards: NODES.iter().map(|name| board(name)).collect(),
            writes: NODES.iter().map(|_| Gate::open()).collect(),
            sends: NODES.iter().map(|_| Gate::open()).collect(),
            net: Arc::default(),
            now: Arc::new(AtomicU64::new(START)),
            issued: AtomicU64::new(0),
        };
        for at in 0..NODES.len() {
            nodes.see(at, &NODES);
            nodes.net.add(address(at), Arc::new(nodes.call_service(at)));
        }
        nodes
    }

    fn call_service(&self, at: usize) -> CallService {
        let now = self.now.clone();
        CallService::spawn(CallServiceContext {
            board: self.boards[at].clone(),
            store: Arc::new(GatedStore {
                inner: self.store.clone(),
                gate: self.writes[at].clone(),
            }),
            owners: self.net.clone(),
            backends: Arc::new(GatedBackend {
                inner: self.service.clone(),
                gate: self.sends[at].clone(),
            }),
            store_region: None,
            clock: Arc::new(move || now.load(Ordering::Relaxed)),
        })
    }

    /// Sets which members a node knows.
    pub(crate) fn see(&self, at: usize, names: &[&str]) {
        let members = names.iter().map(|name| member(name)).collect();
        self.boards[at].members.write(MemberView { members });
    }

    /// Lets a node see all of them, one of them leaving.
    pub(crate) fn see_leaving(&self, at: usize, leaving: usize) {
        let mut members: Vec<Member> = NODES.iter().map(|name| member(name)).collect();
        members[leaving].state = MemberState::Leaving;
        self.boards[at].members.write(MemberView { members });
    }

    /// Lets all other nodes see that one is gone.
    pub(crate) fn lose_sight_of(&self, gone: usize) {
        let rest: Vec<_> = NODES
            .iter()
            .copied()
            .filter(|n| *n != NODES[gone])
            .collect();
        for at in (0..NODES.len()).filter(|at| *at != gone) {
            self.see(at, &rest);
        }
    }

    /// Ends a node's process.
    pub(crate) fn kill(&self, at: usize) {
        self.net.remove(address(at));
    }

    /// Lets answers of a node to others get lost; the questions arrive.
    pub(crate) fn lose_answers_of(&self, at: usize, is_lossy: bool) {
        self.net.lose_answers_of(address(at), is_lossy);
    }

    /// Moves the time of day.
    pub(crate) fn pass_hours(&self, hours: u64) {
        self.now.fetch_add(hours * 3_600_000, Ordering::Relaxed);
    }

    /// Turns the time of day back.
    pub(crate) fn turn_clock_back(&self, hours: u64) {
        self.now.fetch_sub(hours * 3_600_000, Ordering::Relaxed);
    }

    /// Returns a call whose shard a node owns in the view of another one.
    pub(crate) fn call_owned_by(&self, owner: usize, viewer: usize) -> ServiceCall {
        loop {
            let call = self.new_call();
            let seen = self.node(viewer).owner_of(&call.entry_key());
            if seen.as_deref() == Some(NODES[owner]) {
                return call;
            }
        }
    }

    /// Returns a new call of the same shard as another one.
    pub(crate) fn call_in_shard_of(&self, other: &ServiceCall, viewer: usize) -> ServiceCall {
        loop {
            let call = self.call_owned_by(0, viewer);
            if call.entry_key().shard() == other.entry_key().shard() {
                return call;
            }
        }
    }

    /// Returns whether the store still has the page of a call.
    pub(crate) async fn has_page_of(&self, call: &ServiceCall) -> bool {
        let (shard, epoch) = (call.entry_key().shard(), call.key.epoch());
        let key = format!("ledger/{shard:02}/{epoch:010}");
        let reply = self.store.range(RangeRequest::one(&key)).await;
        !reply.unwrap().entries.is_empty()
    }

    fn new_call(&self) -> ServiceCall {
        let number = self.issued.fetch_add(1, Ordering::Relaxed);
        let mut random = [0; 10];
        random[2..].copy_from_slice(&number.to_be_bytes());
        ServiceCall {
            id: format!("request-{number}").into(),
            customer: "bekele".into(),
            service: "orders".into(),
            key: IdempotencyKey::issue(self.now.load(Ordering::Relaxed), &random),
            content_type: "application/json".into(),
            body: "{\"staves\":40}".into(),
            timeout: TIMEOUT,
        }
    }

    pub(crate) fn node(&self, at: usize) -> Arc<CallService> {
        self.net.get(address(at)).unwrap()
    }

    pub(crate) async fn ask(&self, at: usize, call: &ServiceCall) -> CallReply {
        self.node(at).call_once(call.clone()).await
    }

    /// Asks in a task of its own.
    pub(crate) fn spawn_ask(
        &self,
        at: usize,
        call: &ServiceCall,
    ) -> tokio::task::JoinHandle<CallReply> {
        let (node, call) = (self.node(at), call.clone());
        tokio::spawn(async move { node.call_once(call).await })
    }

    pub(crate) fn effects(&self, call: &ServiceCall) -> u32 {
        self.service.effects(call.key)
    }

    /// Waits until the service has begun a call.
    pub(crate) async fn effect_of(&self, call: &ServiceCall) {
        while self.effects(call) == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until the store has taken a number of writes.
    pub(crate) async fn writes_taken(&self, count: u64) {
        while self.store.counts().writes < count {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Asserts that a call ran, and returns whether the answer is a replay.
#[track_caller]
pub(crate) fn assert_ran(reply: &CallReply) -> bool {
    match reply {
        CallReply::Answered { is_replay, .. } => *is_replay,
        other => panic!("expected an answer, got {other:?}"),
    }
}

#[track_caller]
pub(crate) fn assert_refused(reply: &CallReply, verdict: Verdict, cause: RefusalCause) {
    match reply {
        CallReply::Refused(refusal) => {
            assert_eq!((refusal.verdict, refusal.cause), (verdict, cause));
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn address(at: usize) -> Address {
    Address::from(([127, 0, 0, 1], 7000 + u16::try_from(at).unwrap()))
}

fn member(name: &str) -> Member {
    let at = NODES.iter().position(|node| *node == name).unwrap();
    Member {
        node: name.into(),
        vm: format!("vm-{name}").into(),
        region: "addis".into(),
        zone: "addis-1".into(),
        peer_address: address(at),
        caller_address: address(at),
        operator_address: address(at),
        state: MemberState::Alive,
        incarnation: 0,
    }
}

fn board(name: &str) -> Arc<Blackboard> {
    let member = member(name);
    let board = Blackboard::new(Identity {
        node: member.node,
        vm: member.vm,
        region: member.region,
        zone: member.zone,
        peer_address: member.peer_address,
        caller_address: member.caller_address,
        operator_address: member.operator_address,
    });
    let orders = ServiceRule {
        name: "orders".into(),
        is_idempotent: false,
        rank: "urgent".into(),
        timeout: Duration::from_secs(30),
        slots_per_backend: 8,
    };
    board.config.write(InstalledDocument {
        revision: 1,
        text: "".into(),
        document: Document {
            services: vec![orders],
            ..Document::default()
        },
    });
    board.fleet.write(FleetView {
        revision: 1,
        backends: vec![backend("s1", 8001), backend("s2", 8002)],
    });
    board
}

fn backend(vm: &str, port: u16) -> Backend {
    Backend {
        vm: vm.into(),
        kind: BackendKind::Service,
        region: "addis".into(),
        zone: "addis-1".into(),
        class: "small".into(),
        market: Market::OnDemand,
        address: Address::from(([127, 0, 0, 1], port)),
        serves: ["orders".into()].into_iter().collect(),
        reclaim_at: None,
        is_leaving: false,
    }
}
