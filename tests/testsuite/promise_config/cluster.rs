//! Test cluster in one process, with simulated gossip, an in-memory store and fault injection.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use jayhall::core::id::{Address, ConfigRevision};
use jayhall::core::membership::{Member, MemberState, MemberView};
use jayhall::node::{Blackboard, Identity};
use jayhall::ops::publish::{Draft, PublishError, Published, Publisher};
use jayhall::ops::spread::{ConfigInstaller, DocumentPeers, PeerError, Spread, SpreadConfig};
use jayhall::sources::store::{
    LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result as StoreResult, Store,
    StoreError, Transaction, TransactionReply, WatchEvent, WatchRequest, WatchStream,
};
use jayhall_wire::{FetchDocumentReply, FetchDocumentRequest};
use parking_lot::Mutex;
use prost::Message;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a document with `customers` customers. The first has the weight `weight`, the others 1.
pub(crate) fn text(customers: usize, weight: u32) -> String {
    let mut text = String::from(
        "[rank only]\nlevel = 0\nfirst_token_target = 1s\ntoken_interval_target = 1s\ndeadline = 9s\n\n",
    );
    for index in 0..customers {
        let hash = jayhall::core::document::sections::digest(&format!("key {index}"));
        let weight = if index == 0 { weight } else { 1 };
        text += &format!(
            "[customer customer-{index}]\nkeys = sha256:{}\nweight = {weight}\n\
             tokens_per_second = 2000\nburst_tokens = 20000\nmax_in_flight = 64\nranks = only\n\n",
            hex::encode(hash)
        );
    }
    text
}

pub(crate) fn draft(base_revision: ConfigRevision, text: impl Into<Box<str>>) -> Draft {
    Draft {
        text: text.into(),
        base_revision,
        base_text: None,
        author: "hana".into(),
        published_at: 0,
    }
}

/// One node's connection to the store, with counters and fault injection.
#[derive(Clone, Default)]
pub(crate) struct NodeStore {
    pub(crate) store: MemoryStore,
    pub(crate) is_unreachable: Arc<AtomicBool>,
    pub(crate) drops_events: Arc<AtomicBool>,
    pub(crate) calls: Arc<AtomicU64>,
    pub(crate) watches: Arc<AtomicU64>,
}

impl NodeStore {
    fn check_connection(&self) -> StoreResult<()> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.is_unreachable.load(Ordering::Relaxed) {
            true => Err(StoreError::NotReached {
                cause: "unreachable in this test".into(),
            }),
            false => Ok(()),
        }
    }
}

impl Store for NodeStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, StoreResult<RangeReply>> {
        async move {
            self.check_connection()?;
            self.store.range(req).await
        }
        .boxed()
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, StoreResult<TransactionReply>> {
        async move {
            self.check_connection()?;
            self.store.transact(req).await
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseGrant>> {
        self.store.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<LeaseGrant>> {
        self.store.keep_alive(lease)
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.store.revoke(lease)
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, StoreResult<WatchStream>> {
        async move {
            self.check_connection()?;
            self.watches.fetch_add(1, Ordering::Relaxed);
            let (drops, is_unreachable) = (self.drops_events.clone(), self.is_unreachable.clone());
            let events = self.store.watch(req).await?;
            // A partition is silent: the stream stays open but delivers no events.
            let kept = events.filter(move |event| {
                let is_put = matches!(event, Ok(WatchEvent::Put(_)));
                let is_lost =
                    is_unreachable.load(Ordering::Relaxed) || drops.load(Ordering::Relaxed);
                futures::future::ready(!(is_put && is_lost))
            });
            Ok(kept.boxed())
        }
        .boxed()
    }
}

/// Simulated network between the nodes.
#[derive(Default)]
pub(crate) struct Network {
    nodes: Mutex<HashMap<Address, Arc<Spread>>>,
    pub(crate) partitioned: Mutex<HashSet<Address>>,
    pub(crate) replies: AtomicU64,
    pub(crate) reply_bytes: AtomicU64,
    pub(crate) full_replies: AtomicU64,
    /// Whether peers corrupt the deltas that they send.
    pub(crate) corrupts_deltas: AtomicBool,
    pub(crate) stops_gossip: AtomicBool,
}

impl Network {
    fn is_open(&self, one: Address, other: Address) -> bool {
        let partitioned = self.partitioned.lock();
        !partitioned.contains(&one) && !partitioned.contains(&other)
    }

    fn count(&self, req: &FetchDocumentRequest, reply: &FetchDocumentReply) {
        let bytes = req.encoded_len() + reply.encoded_len();
        self.replies.fetch_add(1, Ordering::Relaxed);
        self.reply_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        let whole = u64::from(!reply.is_delta);
        self.full_replies.fetch_add(whole, Ordering::Relaxed);
    }
}

struct NetworkPeers {
    own_address: Address,
    network: Arc<Network>,
}

impl DocumentPeers for NetworkPeers {
    fn fetch(
        &self,
        address: Address,
        req: FetchDocumentRequest,
    ) -> BoxFuture<'_, Result<FetchDocumentReply, PeerError>> {
        let node = self.network.nodes.lock().get(&address).cloned();
        let reply = match node {
            Some(node) if self.network.is_open(self.own_address, address) => {
                Ok(node.handle_fetch(&req))
            }
            _ => Err(PeerError {
                address,
                cause: "no answer".into(),
            }),
        };
        let reply = reply.map(|mut reply| {
            self.network.count(&req, &reply);
            if self.network.corrupts_deltas.load(Ordering::Relaxed) {
                reply.sections.clear();
            }
            reply
        });
        async move {
            tokio::time::sleep(Duration::from_millis(12)).await;
            reply
        }
        .boxed()
    }
}

pub(crate) struct TestNode {
    pub(crate) address: Address,
    pub(crate) spread: Arc<Spread>,
    pub(crate) blackboard: Arc<Blackboard>,
    pub(crate) store: NodeStore,
}

/// Nodes in two regions.
pub(crate) struct Cluster {
    pub(crate) store: MemoryStore,
    pub(crate) network: Arc<Network>,
    pub(crate) nodes: Vec<TestNode>,
    _gossip: JoinSet<()>,
}

impl Cluster {
    pub(crate) fn start(count: usize) -> Self {
        Self::start_with(MemoryStore::new(), count)
    }

    pub(crate) fn start_with(store: MemoryStore, count: usize) -> Self {
        let mut cluster = Self {
            store,
            network: Arc::default(),
            nodes: Vec::new(),
            _gossip: JoinSet::new(),
        };
        for _ in 0..count {
            cluster.spawn(false);
        }
        cluster.update_members();
        cluster
    }

    /// Starts one more node and adds it to the members of all nodes.
    pub(crate) fn add(&mut self, is_store_unreachable: bool) {
        self.spawn(is_store_unreachable);
        self.update_members();
    }

    fn spawn(&mut self, is_store_unreachable: bool) {
        let node = self.spawn_node(is_store_unreachable);
        let nodes = &self.network.nodes;
        nodes.lock().insert(node.address, node.spread.clone());
        let gossip = gossip(node.address, self.network.clone());
        self._gossip.spawn(gossip);
        self.nodes.push(node);
    }

    fn update_members(&self) {
        let identities = self.nodes.iter().map(|node| &node.blackboard.identity);
        let view = MemberView {
            members: identities.map(member).collect(),
        };
        for node in &self.nodes {
            node.blackboard.members.write(view.clone());
        }
    }

    fn spawn_node(&self, is_store_unreachable: bool) -> TestNode {
        let index = self.nodes.len();
        let address = Address::from(([127, 0, 0, 1], 7000 + index as u16));
        let blackboard = Blackboard::new(Identity {
            node: format!("n{index:04}").into(),
            vm: format!("vm{index:04}").into(),
            region: ["addis", "hawassa"][index % 2].into(),
            zone: "zone".into(),
            peer_address: address,
            caller_address: address,
            operator_address: address,
        });
        let known = self
            .nodes
            .iter()
            .map(|node| member(&node.blackboard.identity));
        blackboard.members.write(MemberView {
            members: known.collect(),
        });
        let store = NodeStore {
            store: self.store.clone(),
            is_unreachable: Arc::new(AtomicBool::new(is_store_unreachable)),
            ..NodeStore::default()
        };
        let spread = Spread::spawn(SpreadConfig {
            blackboard: blackboard.clone(),
            store: Arc::new(store.clone()),
            peers: Arc::new(NetworkPeers {
                own_address: address,
                network: self.network.clone(),
            }),
            installers: vec![Arc::new(ConfigInstaller(blackboard.clone()))],
        });
        TestNode {
            address,
            spread,
            blackboard,
            store,
        }
    }

    pub(crate) fn publisher(&self) -> Publisher {
        Publisher::open(Arc::new(self.store.clone()))
    }

    pub(crate) async fn publish(
        &self,
        base: ConfigRevision,
        text: &str,
    ) -> Result<Published, PublishError> {
        self.publisher().publish(draft(base, text)).await
    }

    /// Returns the revision in force on each node.
    pub(crate) fn in_force(&self) -> Vec<ConfigRevision> {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| node.blackboard.config.read().revision)
            .collect()
    }

    pub(crate) fn all_have(&self, revision: ConfigRevision) -> bool {
        self.in_force().iter().all(|other| *other == revision)
    }

    /// Waits until the revision is in force on all nodes, for at most `timeout`.
    pub(crate) async fn settle(&self, revision: ConfigRevision, timeout: Duration) {
        let deadline = tokio::time::Instant::now() + timeout;
        while !self.all_have(revision) {
            let found = self.in_force();
            assert!(
                tokio::time::Instant::now() < deadline,
                "{found:?} of {revision}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Asserts from each node's log that no revision in force was ever replaced by a lower one.
    pub(crate) fn assert_never_lower(&self) {
        for node in &self.nodes {
            let log = node.spread.installed_revisions("config");
            assert!(log.is_sorted_by(|a, b| a < b), "{log:?}");
        }
    }

    pub(crate) fn set_partitioned(&self, index: usize, is_partitioned: bool) {
        let node = &self.nodes[index];
        node.store
            .is_unreachable
            .store(is_partitioned, Ordering::Relaxed);
        match is_partitioned {
            true => self.network.partitioned.lock().insert(node.address),
            false => self.network.partitioned.lock().remove(&node.address),
        };
    }

    pub(crate) fn drop_events(&self, drops: bool) {
        for node in &self.nodes {
            node.store.drops_events.store(drops, Ordering::Relaxed);
        }
    }

    pub(crate) fn calls(&self) -> u64 {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| node.store.calls.load(Ordering::Relaxed))
            .sum()
    }
}

fn member(identity: &Identity) -> Member {
    Member {
        node: identity.node.clone(),
        vm: identity.vm.clone(),
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        peer_address: identity.peer_address,
        caller_address: identity.caller_address,
        operator_address: identity.operator_address,
        state: MemberState::Alive,
        incarnation: 0,
    }
}

async fn gossip(own_address: Address, network: Arc<Network>) {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(own_address.port()));
    loop {
        tokio::time::sleep(GOSSIP_INTERVAL).await;
        let (node, (address, other)) = {
            let nodes = network.nodes.lock();
            let mut others: Vec<_> = nodes
                .iter()
                .filter(|(key, _)| **key != own_address)
                .collect();
            others.sort_by_key(|(key, _)| **key);
            if others.is_empty() {
                continue;
            }
            let (address, other) = others[rng.random_range(0..others.len())];
            (nodes[&own_address].clone(), (*address, other.clone()))
        };
        if network.is_open(own_address, address) && !network.stops_gossip.load(Ordering::Relaxed) {
            node.record_announcement(address, &other.revisions());
            other.record_announcement(own_address, &node.revisions());
        }
    }
}
