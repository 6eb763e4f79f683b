//! Resolution of waiting calls from the state in the store.

use std::time::Duration;

use super::{KeyState, Queued, Running, Shard, millis};
use crate::core::id::AttemptNumber;
use crate::core::ledger::entry::{BodyDigest, Entry, EntryState};
use crate::core::ledger::key::{EntryKey, PAGE_SPAN};
use crate::core::ledger::page::Page;
use crate::core::ledger::step::{Arrival, Refusal, Step};
use crate::core::time::UnixMillis;

impl Shard {
    pub(super) fn key_state(
        &self,
        page: &Page,
        key: &EntryKey,
        queued: Option<&Queued>,
    ) -> KeyState {
        let Some(entry) = page.get(key) else {
            return KeyState::Free;
        };
        let EntryState::Intent { writer, attempt } = &entry.state else {
            return KeyState::Taken(entry.clone());
        };
        if *writer != self.writer {
            return KeyState::Taken(entry.clone());
        }
        match queued.is_some_and(|queued| queued.attempt == *attempt) {
            true => KeyState::Confirmed,
            false => KeyState::Free,
        }
    }

    pub(super) fn dispatch_queued(
        &mut self,
        key: EntryKey,
        attempt: AttemptNumber,
    ) -> Option<Step> {
        let queued = self.queued.get(&key).filter(|q| q.attempt == attempt)?;
        let running = Running {
            attempt,
            digest: queued.digest,
            settlement: None,
        };
        self.queued.remove(&key);
        self.running.insert(key.clone(), running);
        Some(Step::Dispatch(key, attempt))
    }

    /// Removes settled attempts whose result a load shows to be in the store, or whose page was deleted.
    pub(super) fn remove_recorded_attempts(&mut self) {
        let Some(cache) = &self.cache else { return };
        let writer = &self.writer;
        self.running.retain(|key, running| {
            let Some(page) = cache.pages.get(&key.key.epoch()) else {
                return running.settlement.is_none() || key.key.epoch() >= cache.head.floor;
            };
            let intent = EntryState::Intent {
                writer: writer.clone(),
                attempt: running.attempt,
            };
            running.settlement.is_none() || page.get(key).is_some_and(|e| e.state == intent)
        });
    }

    pub(super) fn resolve_queued(&mut self, now: UnixMillis) -> Vec<Step> {
        let keys: Vec<EntryKey> = self.queued.keys().cloned().collect();
        keys.into_iter()
            .filter_map(|key| self.resolve(now, key))
            .collect()
    }

    pub(super) fn resolve(&mut self, now: UnixMillis, key: EntryKey) -> Option<Step> {
        let cache = self.cache.as_ref()?;
        let queued = self.queued.get(&key)?;
        if key.key.epoch() < cache.head.floor {
            self.queued.remove(&key);
            return Some(Step::Refuse(key, Refusal::KeyExpired));
        }
        let page = cache.pages.get(&key.key.epoch())?;
        let arrival = match self.key_state(page, &key, Some(queued)) {
            KeyState::Confirmed => {
                let attempt = queued.attempt;
                return self.dispatch_queued(key, attempt);
            }
            KeyState::Taken(entry) => arrival_for_entry(&entry, queued.digest),
            KeyState::Free if page.has_room(&key, &self.writer) => return None,
            KeyState::Free => Arrival::Refused(page_full_refusal(now)),
        };
        self.queued.remove(&key);
        match arrival {
            Arrival::Replay(outcome) => Some(Step::Replay(key, outcome)),
            Arrival::Refused(refusal) => Some(Step::Refuse(key, refusal)),
            Arrival::Queued | Arrival::Joined => None,
        }
    }

    pub(super) fn refuse_queued(&mut self) -> Vec<Step> {
        self.cancel_all()
            .into_iter()
            .map(|key| Step::Refuse(key, Refusal::StoreDown))
            .collect()
    }
}

pub(super) fn arrival_for_entry(entry: &Entry, digest: BodyDigest) -> Arrival {
    if entry.digest != digest {
        return Arrival::Refused(Refusal::BodyDiffers);
    }
    match &entry.state {
        EntryState::Answered(outcome) => Arrival::Replay(outcome.clone()),
        EntryState::MayHaveRun => Arrival::Refused(Refusal::AnswerLost),
        EntryState::Intent { writer, .. } => Arrival::Refused(Refusal::StartedElsewhere {
            writer: writer.clone(),
        }),
    }
}

pub(super) fn page_full_refusal(now: UnixMillis) -> Refusal {
    let span = millis(PAGE_SPAN);
    Refusal::PageFull {
        next_page_in: Duration::from_millis(span - now % span),
    }
}
