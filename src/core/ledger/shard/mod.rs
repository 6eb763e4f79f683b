//! One writer's view of a shard.

mod arrive;
mod commit;
mod resolve;

use std::collections::BTreeMap;
use std::time::Duration;

use super::entry::{BodyDigest, Entry, Settlement};
use super::key::{EntryKey, Epoch, epoch_at};
use super::page::{Head, Page, Revision};
use super::step::{CommitResult, Next, Step, Want};
use crate::core::id::{AttemptNumber, NodeId};
use crate::core::time::UnixMillis;

/// Most calls of a shard that wait for the store.
const MAX_QUEUED: usize = 512;
/// Most pages that one load reads or one write sets, so that a write stays under 1 MB.
const MAX_PAGES_AT_ONCE: usize = 12;
/// Most pages that one write deletes.
const MAX_DROPPED_AT_ONCE: u64 = 32;
/// Pages that are kept in memory without being needed.
const MAX_IDLE_PAGES: usize = 4;

/// A shard's head and pages, read at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the last write of the head; 0 before the first one.
    pub revision: Revision,
    /// Head.
    pub head: Head,
    /// The pages that were asked for.
    pub pages: Vec<(Epoch, Page)>,
}

/// What is known to have been in the store at `revision`.
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

/// A call that has been dispatched and whose end is not yet in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Running {
    attempt: AttemptNumber,
    digest: BodyDigest,
    settlement: Option<Settlement>,
}

/// What the store says about a key, as seen by one writer.
enum Standing {
    /// No attempt was or will be dispatched but by this writer.
    Free,
    /// This attempt of the writer's own is in the store and was not dispatched.
    Confirmed,
    /// The key is taken.
    Taken(Entry),
}

/// One writer's view of a shard: a state machine that is told of arrivals, of ends of attempts and of
/// the store's answers, and says what to do next.
///
/// Two rules keep a call from running twice. A call is dispatched only when its intent is known to be
/// in the store with this writer's name and attempt. Of a writer's own intents, those that it did not
/// dispatch are void; another writer's intents are never void.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    writer: NodeId,
    cache: Option<Cache>,
    queued: BTreeMap<EntryKey, Queued>,
    running: BTreeMap<EntryKey, Running>,
    in_store_call: Option<InStoreCall>,
    last_attempt: AttemptNumber,
}

/// What the shard waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum InStoreCall {
    Load,
    Commit(Written),
}

/// What a write holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Written {
    head: Head,
    pages: Vec<(Epoch, Page)>,
    dropped: Vec<Epoch>,
    intents: Vec<(EntryKey, AttemptNumber)>,
    settled: Vec<(EntryKey, AttemptNumber)>,
}

impl Shard {
    /// Creates the view of a writer that knows nothing of the shard. `writer` must be unique among all
    /// processes that ever ran.
    pub fn new(writer: NodeId) -> Self {
        Self {
            writer,
            cache: None,
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            in_store_call: None,
            last_attempt: 0,
        }
    }

    /// Takes a call back that has not been dispatched. Returns whether there was one; it is then never
    /// dispatched.
    pub fn withdraw(&mut self, key: &EntryKey) -> bool {
        self.queued.remove(key).is_some()
    }

    /// Takes back all calls that have not been dispatched; none of them ever is.
    pub fn withdraw_all(&mut self) -> Vec<EntryKey> {
        std::mem::take(&mut self.queued).into_keys().collect()
    }

    /// Takes the end of an attempt.
    pub fn finish(&mut self, key: &EntryKey, attempt: AttemptNumber, settlement: Settlement) {
        if let Some(running) = self.running.get_mut(key)
            && running.attempt == attempt
            && running.settlement.is_none()
        {
            running.settlement = Some(settlement);
        }
    }

    /// Returns whether nothing waits for the store and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.running.is_empty()
    }

    /// Returns the number of dispatched calls whose end is not yet in the store.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns which kind of call [`Shard::next`] would ask for.
    pub fn want(&self) -> Want {
        let wanted = self.wanted_epochs();
        if self.in_store_call.is_some() || wanted.is_empty() {
            return Want::Nothing;
        }
        match self.cache.is_none() || !self.missing(&wanted).is_empty() {
            true => Want::Load,
            false => Want::Commit,
        }
    }

    /// Returns what the shard needs from the store. After `Load` or `Commit` the answer is due before
    /// anything else is asked.
    pub fn next(&mut self, now: UnixMillis, retention: Duration) -> Next {
        let wanted = self.wanted_epochs();
        match self.want() {
            Want::Nothing if self.in_store_call.is_some() => Next::Wait,
            Want::Nothing => Next::Idle,
            Want::Load => {
                self.in_store_call = Some(InStoreCall::Load);
                Next::Load(self.missing(&wanted))
            }
            Want::Commit => self
                .build_commit(&wanted, now, retention)
                .map_or(Next::Idle, Next::Commit),
        }
    }

    /// Takes the answer to `Load`. Returns what becomes of waiting calls.
    pub fn loaded(&mut self, now: UnixMillis, snapshot: Snapshot) -> Vec<Step> {
        self.in_store_call = None;
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
        self.forget_recorded();
        self.resolve_queued(now)
    }

    /// Takes the failure of `Load`. Waiting calls are refused: they were not dispatched.
    pub fn load_failed(&mut self) -> Vec<Step> {
        self.in_store_call = None;
        self.refuse_queued()
    }

    /// Takes the answer to `Commit`. Returns what becomes of waiting calls.
    pub fn committed(&mut self, now: UnixMillis, result: CommitResult) -> Vec<Step> {
        let Some(InStoreCall::Commit(written)) = self.in_store_call.take() else {
            return Vec::new();
        };
        match result {
            CommitResult::Applied(revision) => self.applied(now, revision, written),
            CommitResult::Conflict | CommitResult::Unknown => {
                self.cache = None;
                Vec::new()
            }
            CommitResult::NotApplied => self.refuse_queued(),
        }
    }

    /// Returns the pages that the next write changes, the latest first, so that calls with old keys do not
    /// hold up the others.
    fn wanted_epochs(&self) -> Vec<Epoch> {
        let settled = self.running.iter().filter(|(_, r)| r.settlement.is_some());
        let mut epochs: Vec<Epoch> = settled
            .map(|(key, _)| key.key.epoch())
            .chain(self.queued.keys().map(|key| key.key.epoch()))
            .collect();
        epochs.sort_unstable_by(|a, b| b.cmp(a));
        epochs.dedup();
        epochs.truncate(MAX_PAGES_AT_ONCE);
        epochs
    }

    fn missing(&self, wanted: &[Epoch]) -> Vec<Epoch> {
        let is_cached = |epoch: &Epoch| {
            self.cache
                .as_ref()
                .is_some_and(|cache| cache.pages.contains_key(epoch))
        };
        wanted.iter().copied().filter(|e| !is_cached(e)).collect()
    }

    /// Forgets pages that are not needed, the oldest first.
    fn trim_cache(&mut self, now: UnixMillis) {
        let wanted = self.wanted_epochs();
        let current = epoch_at(now);
        let Some(cache) = &mut self.cache else { return };
        let idle: Vec<Epoch> = cache
            .pages
            .keys()
            .copied()
            .filter(|epoch| !wanted.contains(epoch) && epoch + 1 < current)
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
