//! Keeps the origins of streams in the store while a service has several software versions.
//!
//! Nodes keep origins in memory, and may all be lost at the same moment. If the service has had one version only, the
//! nodes that start anew need no origins. Otherwise one node of each availability zone writes those of the streams that
//! the zone's nodes began, so that the number of writes does not grow with the fleet. They are bound to a lease that is
//! never revoked: other nodes need them after the writer has left, for as long as a stream may last. If the store has
//! come back from an older copy, they are written again. They are in no node's view of the store: the same node reads
//! them when a stream is resumed whose origin no node keeps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::sync::Mutex;

use super::keys;
use super::lease::{Lease, LeaseKeeper};
use super::mesh::Mesh;
use super::mesh_wire::StreamOriginWire;
use super::state::GatewayState;
use crate::core::gateway::members::Member;
use crate::core::gateway::software::STREAM_LIFETIME;
use crate::core::gateway::stream_origins::StreamOrigin;
use crate::core::time::Moment;
use crate::sources::store::{
    LeaseId, Op, RangeRequest, Result, Revision, Store, StoreError, Transaction,
};

/// Interval between two writes, and between two messages to the node that writes.
const INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message of a node after which another one writes.
const NODE_TIMEOUT: Moment = Moment::from_millis(2000);
/// Period whose streams share a key.
const SEGMENT: Duration = Duration::from_secs(10);
/// Period of which streams are written as soon as a service has several versions; most streams are over by then.
const INITIAL_PERIOD: Duration = Duration::from_secs(20);
/// Shortest interval between two reads of a node.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Origins of the streams that a node began within a period.
#[derive(Clone, PartialEq, Message)]
struct SegmentWire {
    #[prost(message, repeated, tag = "1")]
    origins: Vec<StreamOriginWire>,
}

/// Reads the origins in the store, and the store's revision.
pub struct OriginArchive {
    state: Arc<GatewayState>,
    store: Arc<dyn Store>,
    read_at: Mutex<Option<Moment>>,
    /// Last answer of the store to [`Self::is_view_complete_since`].
    last_revision: Mutex<Option<KnownRevision>>,
}

/// Revision that the store had at some moment.
#[derive(Clone, Copy, Debug)]
struct KnownRevision {
    revision: Revision,
    /// When the store was asked.
    asked: Moment,
}

impl OriginArchive {
    /// Creates an archive that has not been read.
    pub fn new(state: Arc<GatewayState>, store: Arc<dyn Store>) -> Self {
        Self {
            state,
            store,
            read_at: Mutex::default(),
            last_revision: Mutex::default(),
        }
    }

    /// Returns whether this node's view of the store has all that the store had at `since`, and asks the store for its
    /// revision if that is not known. Calls that wait here at the same time share an answer.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn is_view_complete_since(&self, since: Moment) -> Result<bool> {
        let mut last = self.last_revision.lock().await;
        let known = match last.filter(|known| known.asked >= since) {
            Some(known) => known,
            None => {
                let asked = self.state.now();
                let reply = self.store.range(RangeRequest::one(keys::HOLDER)).await?;
                let revision = reply.revision;
                *last.insert(KnownRevision { revision, asked })
            }
        };
        let is_complete = self.state.view.lock().revision >= known.revision;
        if !is_complete {
            self.state.is_behind.notify_one();
        }
        Ok(is_complete)
    }

    /// Reads all origins into this node's memory, unless that was done lately.
    ///
    /// # Errors
    ///
    /// Fails if the store does not serve the read.
    pub async fn read(&self) -> Result<()> {
        let mut read_at = self.read_at.lock().await;
        let now = self.state.now();
        if read_at.is_some_and(|at| now.saturating_sub(at) < READ_INTERVAL) {
            return Ok(());
        }
        let listed = self
            .store
            .range(RangeRequest::prefix(keys::STREAMS))
            .await?;
        *read_at = Some(now);
        let mut count = 0;
        for item in &listed.entries {
            match SegmentWire::decode(&item.value[..]) {
                Ok(segment) => {
                    count += segment.origins.len();
                    let mut known = self.state.origins.lock();
                    for origin in &segment.origins {
                        known.record_stored(origin.received(now));
                    }
                }
                Err(e) => {
                    tracing::warn!(key = &*item.key, error = %e, "cannot decode origins of streams");
                }
            }
        }
        tracing::info!(
            segments = listed.entries.len(),
            count,
            revision = %listed.revision,
            "origins of streams read from the store"
        );
        Ok(())
    }
}

/// Brings the origins of streams that this node began to the store while a service has several software versions.
pub struct OriginWriter {
    state: Arc<GatewayState>,
    store: Arc<dyn Store>,
    mesh: Arc<Mesh>,
    /// Lease on what this node has written.
    lease: Option<LeaseKeeper>,
    /// Up to when the origins of this node's streams have been passed on to the node that writes them.
    collected_to: Option<Moment>,
    /// Up to when the origins that this node was given have been written under the lease.
    written_to: Option<Moment>,
}

impl OriginWriter {
    /// Creates a writer that has written nothing.
    pub fn new(state: Arc<GatewayState>, store: Arc<dyn Store>, mesh: Arc<Mesh>) -> Self {
        Self {
            state,
            store,
            mesh,
            lease: None,
            collected_to: None,
            written_to: None,
        }
    }

    /// Brings origins to the store until the task is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            let now = self.state.now();
            if !self.state.software.lock().has_several(now) {
                self.collected_to = None;
                self.lease = None;
                continue;
            }
            let since = self
                .collected_to
                .unwrap_or(now.saturating_sub(INITIAL_PERIOD));
            collect(&self.state, &self.mesh, since).await;
            self.collected_to = Some(now);
            match self.write().await {
                Ok(()) => self.written_to = Some(now),
                Err(e) => {
                    if matches!(e, StoreError::LeaseNotFound) {
                        self.lease = None;
                    }
                    tracing::warn!(error = %e, "failed to write origins of streams; retrying");
                }
            }
        }
    }

    /// Writes the segments with origins that have not been written under the present lease.
    async fn write(&mut self) -> Result<()> {
        let known = self.known_lease();
        let since = known.and(self.written_to).unwrap_or_default();
        let segments = segments_since(&self.state, since);
        if segments.is_empty() {
            return Ok(());
        }
        let lease = match known {
            Some(known) => known.id,
            None => self.open_lease().await?,
        };
        let put = puts(&self.state, segments, lease);
        self.store.transact(put).await.map(drop)
    }

    /// Returns the lease, unless the store may have lost it.
    fn known_lease(&self) -> Option<Lease> {
        let era = self.state.view.lock().revision.era;
        let lease = self.lease.as_ref().and_then(LeaseKeeper::get);
        lease.filter(|lease| lease.era == era)
    }

    /// Obtains a new lease. What was written under an earlier one may be lost.
    async fn open_lease(&mut self) -> Result<LeaseId> {
        self.written_to = None;
        let (state, store) = (Arc::clone(&self.state), Arc::clone(&self.store));
        let lease = LeaseKeeper::open(state, store, STREAM_LIFETIME).await?;
        let id = lease.get().map_or(0, |granted| granted.id);
        self.lease = Some(lease);
        Ok(id)
    }
}

/// Returns the node of this availability zone that writes and reads origins; `None` stands for this node.
pub fn archivist(state: &GatewayState) -> Option<Member> {
    let settings = &state.settings;
    let members = state.members.lock();
    let now = state.now();
    let largest = members.largest_in_zone(&settings.zone, &settings.name, 1, now, NODE_TIMEOUT);
    let mut others = largest.into_iter().filter(|m| m.name != settings.name);
    others.next().cloned()
}

/// Passes the origins of streams that this node began at `since` or later to the node that writes them.
async fn collect(state: &GatewayState, mesh: &Mesh, since: Moment) {
    let archivist = archivist(state);
    let begun = {
        let mut origins = state.origins.lock();
        let begun: Vec<StreamOrigin> = origins.begun_since(since).copied().collect();
        if archivist.is_none() {
            let now = state.now();
            for origin in &begun {
                origins.archive(*origin, now);
            }
        }
        begun
    };
    if let Some(archivist) = archivist {
        mesh.send_archived_origins(&begun, &archivist).await;
    }
}

/// Returns the transaction that writes segments under a lease.
fn puts(state: &GatewayState, segments: BTreeMap<u64, SegmentWire>, lease: LeaseId) -> Transaction {
    let puts = segments.into_iter().map(|(number, segment)| Op::Put {
        key: keys::streams(state.incarnation, number).into(),
        value: segment.encode_to_vec().into(),
        lease: Some(lease),
    });
    Transaction {
        then: puts.collect(),
        ..Transaction::default()
    }
}

/// Returns the segments with origins that were recorded at `since` or later, each as a whole.
fn segments_since(state: &GatewayState, since: Moment) -> BTreeMap<u64, SegmentWire> {
    let number_of = |at: Moment| at.as_secs() / SEGMENT.as_secs();
    let origins = state.origins.lock();
    let first = match origins.archived_since(since).next() {
        Some(origin) => number_of(origin.at),
        None => return BTreeMap::new(),
    };
    let mut segments: BTreeMap<u64, SegmentWire> = BTreeMap::new();
    for origin in origins.archived_since(Moment::from_secs(first * SEGMENT.as_secs())) {
        let segment = segments.entry(number_of(origin.at)).or_default();
        segment
            .origins
            .push(StreamOriginWire::new(origin, origin.at));
    }
    segments
}
