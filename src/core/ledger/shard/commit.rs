//! Construction of writes, and handling of their results.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Cache, MAX_PAGES_DELETED_PER_WRITE, PendingStoreCall, PendingWrite, Shard, millis};
use crate::core::id::AttemptNumber;
use crate::core::ledger::entry::{BodyDigest, Entry, EntryState, Outcome, Settlement};
use crate::core::ledger::key::{EntryKey, Epoch, MAX_KEY_AHEAD, epoch_at};
use crate::core::ledger::page::{Head, Page, Revision};
use crate::core::ledger::step::{Commit, Step};
use crate::core::time::UnixMillis;

impl Shard {
    pub(super) fn build_commit(
        &mut self,
        epochs: &[Epoch],
        now: UnixMillis,
        retention: Duration,
    ) -> Option<Commit> {
        let cache = self.cache.as_ref()?;
        let mut pages = pages_to_write(cache, epochs);
        let intents = self.add_intents(&mut pages);
        let settled = self.add_settlements(&mut pages);
        if intents.is_empty() && settled.is_empty() {
            return None;
        }
        for page in pages.values_mut() {
            page.remove_void_intents(&self.writer, |key, attempt| self.is_void(key, attempt));
        }
        let (floor, deleted_pages) = self.next_floor(cache, now, retention);
        let head = Head {
            writer: self.writer.clone(),
            sequence: cache.head.sequence + 1,
            floor,
        };
        let expected = cache.revision;
        let pages: Vec<_> = pages
            .into_iter()
            .filter(|(epoch, _)| *epoch >= floor)
            .collect();
        self.pending_store_call = Some(PendingStoreCall::Commit(PendingWrite {
            head: head.clone(),
            pages: pages.clone(),
            deleted_pages: deleted_pages.clone(),
            intents,
            settled,
        }));
        Some(Commit {
            expected,
            head,
            pages,
            deleted_pages,
        })
    }

    pub(super) fn add_intents(
        &self,
        pages: &mut BTreeMap<Epoch, Page>,
    ) -> Vec<(EntryKey, AttemptNumber)> {
        let mut added = Vec::new();
        for (key, queued) in &self.queued {
            let Some(page) = pages.get_mut(&key.key.epoch()) else {
                continue;
            };
            if !page.has_room(key, &self.writer) {
                continue;
            }
            let state = EntryState::Intent {
                writer: self.writer.clone(),
                attempt: queued.attempt,
            };
            let digest = queued.digest;
            page.insert(key.clone(), Entry { digest, state });
            added.push((key.clone(), queued.attempt));
        }
        added
    }

    pub(super) fn add_settlements(
        &self,
        pages: &mut BTreeMap<Epoch, Page>,
    ) -> Vec<(EntryKey, AttemptNumber)> {
        let mut added = Vec::new();
        for (key, running) in &self.running {
            let Some(settlement) = &running.settlement else {
                continue;
            };
            let Some(page) = pages.get_mut(&key.key.epoch()) else {
                continue;
            };
            record_settlement(page, key, running.digest, settlement);
            added.push((key.clone(), running.attempt));
        }
        added
    }

    /// Returns whether an intent of this writer was never dispatched and is not queued.
    pub(super) fn is_void(&self, key: &EntryKey, attempt: AttemptNumber) -> bool {
        let is_queued = self.queued.get(key).is_some_and(|q| q.attempt == attempt);
        let is_running = self.running.get(key).is_some_and(|r| r.attempt == attempt);
        !is_queued && !is_running
    }

    pub(super) fn apply_pending_write(
        &mut self,
        now: UnixMillis,
        revision: Revision,
        pending_write: PendingWrite,
    ) -> Vec<Step> {
        if let Some(cache) = &mut self.cache {
            cache.revision = revision;
            cache.head = pending_write.head;
            cache.pages.extend(pending_write.pages);
            cache
                .pages
                .retain(|epoch, _| !pending_write.deleted_pages.contains(epoch));
        }
        for (key, attempt) in pending_write.settled {
            if self.running.get(&key).is_some_and(|r| r.attempt == attempt) {
                self.running.remove(&key);
            }
        }
        let started = pending_write.intents.into_iter();
        let mut steps: Vec<Step> = started
            .filter_map(|(key, attempt)| self.dispatch_queued(key, attempt))
            .collect();
        steps.extend(self.resolve_queued(now));
        self.evict_idle_pages(now);
        steps
    }

    /// Returns the floor of the next write and the pages below it that the write deletes. The floor lags
    /// the end of the retention by the maximum clock skew, and does not pass any waiting call.
    pub(super) fn next_floor(
        &self,
        cache: &Cache,
        now: UnixMillis,
        retention: Duration,
    ) -> (Epoch, Vec<Epoch>) {
        let old = cache.head.floor;
        let oldest_retained = now.saturating_sub(millis(retention) + millis(MAX_KEY_AHEAD));
        let queued = self.queued.keys().map(|key| key.key.epoch());
        let target = queued.fold(epoch_at(oldest_retained), Epoch::min);
        if cache.revision == 0 {
            return (target, Vec::new());
        }
        let floor = target.clamp(old, old + MAX_PAGES_DELETED_PER_WRITE);
        (floor, (old..floor).collect())
    }
}

/// Returns copies of the cached pages that a write may change.
fn pages_to_write(cache: &Cache, epochs: &[Epoch]) -> BTreeMap<Epoch, Page> {
    epochs
        .iter()
        .filter_map(|epoch| Some((*epoch, cache.pages.get(epoch)?.clone())))
        .collect()
}

fn record_settlement(page: &mut Page, key: &EntryKey, digest: BodyDigest, settlement: &Settlement) {
    let state = match settlement {
        Settlement::Answered(outcome) => EntryState::Answered(Outcome::clone(outcome)),
        Settlement::MayHaveRun => EntryState::MayHaveRun,
        Settlement::NotRun => return page.remove(key),
    };
    page.insert(key.clone(), Entry { digest, state });
}
