//! State machine of a ledger shard, as seen by one writer.

mod arrive;
mod commit;
mod resolve;

use std::collections::BTreeMap;
use std::time::Duration;

use super::entry::{BodyDigest, Entry, Settlement};
use super::key::{EntryKey, Epoch, epoch_at};
use super::page::{Head, Page, Revision};
use super::step::{CommitResult, NextStoreCall, Step, StoreCallKind};
use crate::core::id::{AttemptNumber, NodeId};
use crate::core::time::UnixMillis;

/// Maximum number of calls of a shard that wait for the store.
const MAX_QUEUED_CALLS: usize = 512;
/// Maximum number of pages that one load reads or one write sets. Keeps a write below 1 MB.
const MAX_PAGES_PER_CALL: usize = 12;
/// Maximum number of pages that one write deletes.
const MAX_PAGES_DELETED_PER_WRITE: u64 = 32;
/// Maximum number of past pages that stay cached without a waiting call.
const MAX_IDLE_PAGES: usize = 4;

/// A shard's head and pages, read at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the last write of the head; 0 before the first one.
    pub revision: Revision,
    /// Head.
    pub head: Head,
    /// The requested pages.
    pub pages: Vec<(Epoch, Page)>,
}

/// Contents of the store as of `revision`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Cache {
    revision: Revision,
    head: Head,
    pages: BTreeMap<Epoch, Page>,
}

/// A call that has not been dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Queued {
    attempt: AttemptNumber,
    digest: BodyDigest,
}

/// A call that has been dispatched and whose result is not yet in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Running {
    attempt: AttemptNumber,
    digest: BodyDigest,
    settlement: Option<Settlement>,
}

/// State of a key in the store, from the view of this writer.
enum KeyState {
    /// No other writer has dispatched or will dispatch the call.
    Free,
    /// The intent of this writer's queued attempt is in the store; the attempt was not dispatched.
    Confirmed,
    /// The entry of the key is final, or is an intent of another writer.
    Taken(Entry),
}

/// One writer's view of a shard: a state machine whose inputs are arriving calls, results of attempts
/// and replies of the store, and whose outputs are dispatch decisions and store calls.
///
/// Two rules prevent a call from running twice. A call is dispatched only when its intent is known to
/// be in the store with this writer's name and attempt. A writer treats its own intents as void if it
/// has not dispatched them; another writer's intents are never void.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    writer: NodeId,
    cache: Option<Cache>,
    queued: BTreeMap<EntryKey, Queued>,
    running: BTreeMap<EntryKey, Running>,
    pending_store_call: Option<PendingStoreCall>,
    last_attempt: AttemptNumber,
}

/// The store call in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingStoreCall {
    Load,
    Commit(PendingWrite),
}

/// Contents of the write in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    head: Head,
    pages: Vec<(Epoch, Page)>,
    deleted_pages: Vec<Epoch>,
    intents: Vec<(EntryKey, AttemptNumber)>,
    settled: Vec<(EntryKey, AttemptNumber)>,
}

impl Shard {
    /// Creates the view of a writer with an empty cache. `writer` must be unique among all processes that
    /// ever ran.
    pub fn new(writer: NodeId) -> Self {
        Self {
            writer,
            cache: None,
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            pending_store_call: None,
            last_attempt: 0,
        }
    }

    /// Cancels a call that has not been dispatched. Returns whether there was one; if so, it will never
    /// be dispatched.
    pub fn cancel(&mut self, key: &EntryKey) -> bool {
        self.queued.remove(key).is_some()
    }

    /// Cancels all calls that have not been dispatched; none of them will ever be.
    pub fn cancel_all(&mut self) -> Vec<EntryKey> {
        std::mem::take(&mut self.queued).into_keys().collect()
    }

    /// Records the result of an attempt.
    pub fn finish(&mut self, key: &EntryKey, attempt: AttemptNumber, settlement: Settlement) {
        if let Some(running) = self.running.get_mut(key)
            && running.attempt == attempt
            && running.settlement.is_none()
        {
            running.settlement = Some(settlement);
        }
    }

    /// Returns whether no call waits for the store or runs.
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.running.is_empty()
    }

    /// Returns the number of dispatched calls whose result is not yet in the store.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the kind of store call that [`Shard::next`] would return.
    pub fn next_call_kind(&self) -> StoreCallKind {
        let epochs = self.epochs_to_write();
        if self.pending_store_call.is_some() || epochs.is_empty() {
            return StoreCallKind::Nothing;
        }
        match self.cache.is_none() || !self.uncached_epochs(&epochs).is_empty() {
            true => StoreCallKind::Load,
            false => StoreCallKind::Commit,
        }
    }

    /// Returns the next store call. After `Load` or `Commit`, returns `Wait` until the reply is passed
    /// in.
    pub fn next(&mut self, now: UnixMillis, retention: Duration) -> NextStoreCall {
        let epochs = self.epochs_to_write();
        match self.next_call_kind() {
            StoreCallKind::Nothing if self.pending_store_call.is_some() => NextStoreCall::Wait,
            StoreCallKind::Nothing => NextStoreCall::Idle,
            StoreCallKind::Load => {
                self.pending_store_call = Some(PendingStoreCall::Load);
                NextStoreCall::Load(self.uncached_epochs(&epochs))
            }
            StoreCallKind::Commit => self
                .build_commit(&epochs, now, retention)
                .map_or(NextStoreCall::Idle, NextStoreCall::Commit),
        }
    }

    /// Handles the reply to `Load`. Returns the resulting steps of waiting calls.
    pub fn handle_load(&mut self, now: UnixMillis, snapshot: Snapshot) -> Vec<Step> {
        self.pending_store_call = None;
        match &mut self.cache {
            Some(cache) if cache.revision == snapshot.revision => {
                cache.pages.extend(snapshot.pages);
            }
            _ => {
                self.cache = Some(Cache {
                    revision: snapshot.revision,
                    head: snapshot.head,
                    pages: snapshot.pages.into_iter().collect(),
                });
            }
        }
        self.remove_recorded_attempts();
        self.resolve_queued(now)
    }

    /// Handles the failure of `Load`. Refuses the waiting calls, which were not dispatched.
    pub fn handle_load_failure(&mut self) -> Vec<Step> {
        self.pending_store_call = None;
        self.refuse_queued()
    }

    /// Handles the reply to `Commit`. Returns the resulting steps of waiting calls.
    pub fn handle_commit(&mut self, now: UnixMillis, result: CommitResult) -> Vec<Step> {
        let Some(PendingStoreCall::Commit(pending_write)) = self.pending_store_call.take() else {
            return Vec::new();
        };
        match result {
            CommitResult::Applied(revision) => {
                self.apply_pending_write(now, revision, pending_write)
            }
            CommitResult::Conflict | CommitResult::Unknown => {
                self.cache = None;
                Vec::new()
            }
            CommitResult::NotApplied => self.refuse_queued(),
        }
    }

    /// Returns the pages that the next write changes, latest first, so that calls with old keys do not
    /// delay the others.
    fn epochs_to_write(&self) -> Vec<Epoch> {
        let settled = self.running.iter().filter(|(_, r)| r.settlement.is_some());
        let mut epochs: Vec<Epoch> = settled
            .map(|(key, _)| key.key.epoch())
            .chain(self.queued.keys().map(|key| key.key.epoch()))
            .collect();
        epochs.sort_unstable_by(|a, b| b.cmp(a));
        epochs.dedup();
        epochs.truncate(MAX_PAGES_PER_CALL);
        epochs
    }

    fn uncached_epochs(&self, epochs: &[Epoch]) -> Vec<Epoch> {
        let is_cached = |epoch: &Epoch| {
            self.cache
                .as_ref()
                .is_some_and(|cache| cache.pages.contains_key(epoch))
        };
        epochs.iter().copied().filter(|e| !is_cached(e)).collect()
    }

    /// Evicts pages that are not needed, oldest first.
    fn evict_idle_pages(&mut self, now: UnixMillis) {
        let epochs = self.epochs_to_write();
        let current = epoch_at(now);
        let Some(cache) = &mut self.cache else { return };
        let idle: Vec<Epoch> = cache
            .pages
            .keys()
            .copied()
            .filter(|epoch| !epochs.contains(epoch) && epoch + 1 < current)
            .collect();
        let excess = idle.len().saturating_sub(MAX_IDLE_PAGES);
        for epoch in idle.into_iter().take(excess) {
            cache.pages.remove(&epoch);
        }
    }
}

fn millis(duration: Duration) -> UnixMillis {
    duration.as_millis() as UnixMillis
}
