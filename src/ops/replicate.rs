//! Replication of accepted requests to a node in another availability zone.
//!
//! One stream per replica node carries the updates of all requests. Changes made while an update is
//! in flight are batched into the next one. A replica that does not acknowledge in time is replaced
//! for every request that it has a copy of.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use jayhall_wire as wire;
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};
use tokio_stream::wrappers::ReceiverStream;

use crate::core::cells::replica_candidates;
use crate::core::explain::Decision;
use crate::core::id::{NodeId, RequestId, TokenOffset};
use crate::core::membership::Member;
use crate::node::NodeContext;
use crate::ops::requests::{CopyUpdate, Entry, Requests};
use crate::peers::convert_copy::ReplicaUpdate;

/// Timeout of an acknowledgement, after which another replica is chosen.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// Replicas that are tried before a request is accepted without one.
const MAX_REPLICAS_TRIED: usize = 3;
/// Capacity of the channel of updates to one replica.
const UPDATE_BUFFER: usize = 1024;
/// Time for which a failed node is not chosen as a replica again.
const FAILED_REPLICA_EXCLUSION: Duration = Duration::from_secs(5);

/// Replicates the requests that this node serves.
#[derive(Debug)]
pub struct Replicator {
    cx: NodeContext,
    requests: Arc<Requests>,
    links: Mutex<HashMap<NodeId, Arc<ReplicaLink>>>,
    failed: Mutex<HashMap<NodeId, Instant>>,
}

/// Changes that still have to be sent to one replica.
#[derive(Debug, Default)]
struct ReplicaLink {
    dirty: Mutex<HashSet<RequestId>>,
    dropped: Mutex<Vec<RequestId>>,
    wake: Notify,
}

/// State of one request as sent to a replica.
#[derive(Clone, Copy, Debug, Default)]
struct SentState {
    has_request: bool,
    offset: TokenOffset,
}

impl Replicator {
    /// Creates a replicator without connections.
    pub fn new(cx: NodeContext, requests: Arc<Requests>) -> Arc<Self> {
        Arc::new(Self {
            cx,
            requests,
            links: Mutex::default(),
            failed: Mutex::default(),
        })
    }

    /// Returns the first candidate for the replica of a request.
    pub fn first_candidate(&self, entry: &Entry) -> Option<NodeId> {
        self.candidates(entry).into_iter().next()
    }

    /// Finds a replica for a request and waits until it has the copy. Returns `None` where no
    /// candidate acknowledged in time; the request then has no replica for now.
    pub async fn find_replica(self: &Arc<Self>, entry: &Arc<Entry>) -> Option<NodeId> {
        for replica in self.candidates(entry).into_iter().take(MAX_REPLICAS_TRIED) {
            entry.set_replica(Some(replica.clone()));
            self.schedule_update(entry);
            if wait_until_copied(entry).await {
                return Some(replica);
            }
            self.replace_failed_replica(&replica);
        }
        entry.set_replica(None);
        None
    }

    /// Schedules an update of a request to its replica.
    pub fn schedule_update(self: &Arc<Self>, entry: &Entry) {
        if let Some(replica) = entry.replica() {
            let link = self.link(&replica);
            link.dirty.lock().insert(entry.id().clone());
            link.wake.notify_one();
        }
    }

    /// Replaces replicas that no longer work and finds replicas for requests without one.
    pub fn refresh(self: &Arc<Self>) {
        let view = self.cx.board.members.read();
        for entry in self.requests.served_open() {
            let replica = entry.replica();
            let is_working = replica
                .as_deref()
                .and_then(|replica| view.get(replica))
                .is_some_and(Member::accepts_work);
            if !is_working {
                self.replace(&entry, "the node that kept it is leaving or gone");
                if let Some(old) = replica {
                    self.drop_copy(&old, &entry);
                }
            }
        }
    }

    fn candidates(&self, entry: &Entry) -> Vec<NodeId> {
        let view = self.cx.board.members.read();
        let now = Instant::now();
        let mut failed = self.failed.lock();
        failed.retain(|_, until| *until > now);
        let own_node = &self.cx.board.identity.node;
        let mut candidates = replica_candidates(entry.id(), own_node, &view);
        candidates.retain(|node| !failed.contains_key(node));
        candidates
    }

    /// Replaces the replica of a request.
    fn replace(self: &Arc<Self>, entry: &Arc<Entry>, cause: &str) {
        let replica = self.candidates(entry).into_iter().next();
        if replica.is_none() && entry.replica().is_none() {
            return;
        }
        entry.set_replica(replica.clone());
        entry.note(Decision::ReplicaChanged {
            replica,
            cause: cause.into(),
        });
        self.schedule_update(entry);
    }

    /// Excludes a node from the candidates for replicas for a while, as it leaves or does not
    /// answer.
    pub fn exclude(&self, node: &NodeId) {
        self.failed
            .lock()
            .insert(node.clone(), Instant::now() + FAILED_REPLICA_EXCLUSION);
    }

    /// Tells a former replica to drop its copy.
    pub fn drop_copy(self: &Arc<Self>, replica: &NodeId, entry: &Entry) {
        let link = self.link(replica);
        link.dropped.lock().push(entry.id().clone());
        link.wake.notify_one();
    }

    fn link(self: &Arc<Self>, replica: &NodeId) -> Arc<ReplicaLink> {
        let mut links = self.links.lock();
        if let Some(link) = links.get(replica) {
            return Arc::clone(link);
        }
        let link = Arc::new(ReplicaLink::default());
        links.insert(replica.clone(), Arc::clone(&link));
        tokio::spawn(Arc::clone(self).run_link(replica.clone(), Arc::clone(&link)));
        link
    }

    /// Sends updates to one replica until it fails.
    async fn run_link(self: Arc<Self>, replica: NodeId, link: Arc<ReplicaLink>) {
        let result = self.send_updates(&replica, &link).await;
        if result.is_err() {
            self.replace_failed_replica(&replica);
        }
    }

    async fn send_updates(
        &self,
        replica: &NodeId,
        link: &ReplicaLink,
    ) -> Result<(), tonic::Status> {
        let address = self
            .cx
            .board
            .members
            .read()
            .get(replica)
            .map(|member| member.peer_address)
            .ok_or_else(|| tonic::Status::unavailable("the replica is no member"))?;
        let (tx, rx) = mpsc::channel::<wire::ReplicaUpdate>(UPDATE_BUFFER);
        let mut client = self.cx.pool.client(address);
        let opened = timeout(ACK_TIMEOUT, client.replicate(ReceiverStream::new(rx))).await;
        let mut acks = opened
            .map_err(|_| tonic::Status::deadline_exceeded("no stream to the replica"))??
            .into_inner();
        let mut sent_states: HashMap<RequestId, SentState> = HashMap::new();
        let mut sequence = 0;
        loop {
            let sent = self
                .send_changed(replica, link, &mut sent_states, &mut sequence, &tx)
                .await?;
            if sent.is_empty() {
                link.wake.notified().await;
                continue;
            }
            self.await_ack(sequence, &mut acks).await?;
            for (entry, offset) in sent {
                entry.record_ack(replica, offset);
            }
        }
    }

    /// Sends an update of each changed request and a message for each copy to drop. Returns the
    /// changed requests with the offsets that their updates reach.
    async fn send_changed(
        &self,
        replica: &NodeId,
        link: &ReplicaLink,
        sent_states: &mut HashMap<RequestId, SentState>,
        sequence: &mut u64,
        tx: &mpsc::Sender<wire::ReplicaUpdate>,
    ) -> Result<Vec<(Arc<Entry>, TokenOffset)>, tonic::Status> {
        let dirty: Vec<_> = link.dirty.lock().drain().collect();
        let dropped = std::mem::take(&mut *link.dropped.lock());
        let mut sent = Vec::new();
        for id in dirty {
            let Some(entry) = self.requests.get(&id) else {
                sent_states.remove(&id);
                continue;
            };
            if entry.replica().as_ref() != Some(replica) {
                sent_states.remove(&id);
                continue;
            }
            let state = sent_states.entry(id.clone()).or_default();
            let (update, offset) = self.next_update(&entry, state, sequence);
            tx.send(update.into())
                .await
                .map_err(|_| tonic::Status::unavailable("the replica closed the stream"))?;
            if !entry.is_open() {
                sent_states.remove(&id);
            }
            sent.push((entry, offset));
        }
        for id in dropped {
            sent_states.remove(&id);
            *sequence += 1;
            tx.send(self.drop_message(id, *sequence).into())
                .await
                .map_err(|_| tonic::Status::unavailable("the replica closed the stream"))?;
        }
        Ok(sent)
    }

    fn next_update(
        &self,
        entry: &Entry,
        sent: &mut SentState,
        sequence: &mut u64,
    ) -> (ReplicaUpdate, TokenOffset) {
        *sequence += 1;
        let copy_update = entry.update_since(self.cx.board.identity.node.clone(), sent.offset);
        let total = sent.offset + TokenOffset::try_from(copy_update.tokens.len()).unwrap_or(0);
        let update = ReplicaUpdate {
            sequence: *sequence,
            request: entry.id().clone(),
            accepted: (!sent.has_request).then(|| entry.request()),
            update: copy_update,
            is_dropped: false,
        };
        *sent = SentState {
            has_request: true,
            offset: total,
        };
        (update, total)
    }

    fn drop_message(&self, request: RequestId, sequence: u64) -> ReplicaUpdate {
        ReplicaUpdate {
            sequence,
            request,
            accepted: None,
            update: CopyUpdate {
                from: self.cx.board.identity.node.clone(),
                term: 0,
                attempt: 0,
                offset: 0,
                tokens: Vec::new(),
                completion: None,
                engine: None,
            },
            is_dropped: true,
        }
    }

    /// Waits until the replica has acknowledged an update. Requests that other nodes now serve in
    /// higher terms are marked as handed over.
    async fn await_ack(
        &self,
        sequence: u64,
        acks: &mut tonic::Streaming<wire::ReplicaAck>,
    ) -> Result<(), tonic::Status> {
        loop {
            let ack = timeout(ACK_TIMEOUT, acks.message())
                .await
                .map_err(|_| tonic::Status::deadline_exceeded("no acknowledgement"))??
                .ok_or_else(|| tonic::Status::unavailable("the replica closed the stream"))?;
            for superseded in ack.superseded {
                let by = superseded.by.into();
                if by != self.cx.board.identity.node
                    && let Some(entry) = self.requests.get(&superseded.request)
                {
                    entry.hand_over(by);
                }
            }
            if ack.sequence >= sequence {
                return Ok(());
            }
        }
    }

    /// Replaces a failed replica for every request that it has a copy of.
    fn replace_failed_replica(self: &Arc<Self>, replica: &NodeId) {
        self.links.lock().remove(replica);
        self.exclude(replica);
        metrics::counter!("jayhall_replica_failures_total").increment(1);
        for entry in self.requests.served() {
            if entry.replica().as_ref() == Some(replica) {
                self.replace(&entry, "the node that kept it did not answer in time");
            }
        }
    }
}

async fn wait_until_copied(entry: &Entry) -> bool {
    let mut changes = entry.watch();
    let copied = async {
        while !entry.replica_has_copy() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    timeout(ACK_TIMEOUT, copied).await.is_ok()
}
