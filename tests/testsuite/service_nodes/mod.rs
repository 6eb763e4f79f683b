//! Several nodes in one process with a shared store and a fake service that counts effects.
//!
//! A frozen node is simulated by gates where its writes and calls leave the process: they are held
//! back and sent once the gate opens, however late. This allows longer delays than a real pause of
//! a process.

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

/// Wall clock at the start of each test, in milliseconds since 1970.
pub(crate) const START: u64 = 1_800_000_000_000;
/// Timeout of callers.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// Names of the nodes.
pub(crate) const NODES: [&str; 3] = ["n0", "n1", "n2"];

pub(crate) struct Nodes {
    pub(crate) store: MemoryStore,
    pub(crate) service: Arc<FakeService>,
    boards: Vec<Arc<Blackboard>>,
    /// Gates of the nodes' writes to the store.
    pub(crate) writes: Vec<Gate>,
    /// Gates of the nodes' calls to back ends.
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
            nodes.set_view(at, &NODES);
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

    /// Sets the members in a node's view.
    pub(crate) fn set_view(&self, at: usize, names: &[&str]) {
        let members = names.iter().map(|name| member(name)).collect();
        self.boards[at].members.write(MemberView { members });
    }

    /// Sets a node's view to all members, one of them leaving.
    pub(crate) fn set_view_with_leaving(&self, at: usize, leaving: usize) {
        let mut members: Vec<Member> = NODES.iter().map(|name| member(name)).collect();
        members[leaving].state = MemberState::Leaving;
        self.boards[at].members.write(MemberView { members });
    }

    /// Removes a node from the views of all other nodes.
    pub(crate) fn remove_from_views(&self, gone: usize) {
        let rest: Vec<_> = NODES
            .iter()
            .copied()
            .filter(|n| *n != NODES[gone])
            .collect();
        for at in (0..NODES.len()).filter(|at| *at != gone) {
            self.set_view(at, &rest);
        }
    }

    /// Kills a node.
    pub(crate) fn kill(&self, at: usize) {
        self.net.remove(address(at));
    }

    /// Sets whether replies of a node to other nodes are lost; their requests still arrive.
    pub(crate) fn set_replies_lost(&self, at: usize, is_lossy: bool) {
        self.net.set_replies_lost(address(at), is_lossy);
    }

    /// Advances the wall clock.
    pub(crate) fn advance_clock_hours(&self, hours: u64) {
        self.now.fetch_add(hours * 3_600_000, Ordering::Relaxed);
    }

    /// Sets the wall clock back.
    pub(crate) fn set_clock_back_hours(&self, hours: u64) {
        self.now.fetch_sub(hours * 3_600_000, Ordering::Relaxed);
    }

    /// Returns a new call whose shard is owned by `owner` in the view of `viewer`.
    pub(crate) fn call_owned_by(&self, owner: usize, viewer: usize) -> ServiceCall {
        loop {
            let call = self.new_call();
            let seen = self.node(viewer).owner_of(&call.entry_key());
            if seen.as_deref() == Some(NODES[owner]) {
                return call;
            }
        }
    }

    /// Returns a new call in the same shard as `other`.
    pub(crate) fn call_in_shard_of(&self, other: &ServiceCall, viewer: usize) -> ServiceCall {
        loop {
            let call = self.call_owned_by(0, viewer);
            if call.entry_key().shard() == other.entry_key().shard() {
                return call;
            }
        }
    }

    /// Returns whether the ledger page of a call is still in the store.
    pub(crate) async fn is_page_stored(&self, call: &ServiceCall) -> bool {
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

    /// Sends a call from a separate task.
    pub(crate) fn spawn_call(
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

    /// Waits until a call has taken effect at the service.
    pub(crate) async fn wait_for_effect(&self, call: &ServiceCall) {
        while self.effects(call) == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until the store has received `count` writes.
    pub(crate) async fn wait_for_writes(&self, count: u64) {
        while self.store.counts().writes < count {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Asserts that a call was answered and returns whether the answer is a replay.
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
