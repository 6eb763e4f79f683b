//! Admission of arriving calls.

use std::time::Duration;

use super::resolve::{arrival_for_entry, page_full_refusal};
use super::{KeyState, MAX_QUEUED_CALLS, Queued, Shard, millis};
use crate::core::ledger::entry::{BodyDigest, Settlement};
use crate::core::ledger::key::{EntryKey, IdempotencyKey, MAX_KEY_AHEAD};
use crate::core::ledger::step::{Arrival, Refusal};
use crate::core::time::UnixMillis;

impl Shard {
    /// Handles an arriving call.
    pub fn arrive(
        &mut self,
        now: UnixMillis,
        retention: Duration,
        key: &EntryKey,
        digest: BodyDigest,
    ) -> Arrival {
        if let Some(refusal) = self.check_key_time(now, retention, key.key) {
            return Arrival::Refused(refusal);
        }
        if let Some(queued) = self.queued.get(key) {
            return match queued.digest == digest {
                true => Arrival::Joined,
                false => Arrival::Refused(Refusal::BodyDiffers),
            };
        }
        if let Some(arrival) = self.join_running_call(key, digest) {
            return arrival;
        }
        if let Some(arrival) = self.resolve_from_cache(now, key, digest) {
            return arrival;
        }
        if self.queued.len() >= MAX_QUEUED_CALLS {
            return Arrival::Refused(Refusal::QueueFull);
        }
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        self.queued.insert(key.clone(), Queued { attempt, digest });
        Arrival::Queued
    }

    pub(super) fn check_key_time(
        &self,
        now: UnixMillis,
        retention: Duration,
        key: IdempotencyKey,
    ) -> Option<Refusal> {
        let issued = key.issued_at();
        let is_deleted = self
            .cache
            .as_ref()
            .is_some_and(|cache| key.epoch() < cache.head.floor);
        if issued > now + millis(MAX_KEY_AHEAD) {
            Some(Refusal::KeyAhead)
        } else if is_deleted || issued + millis(retention) < now {
            Some(Refusal::KeyExpired)
        } else {
            None
        }
    }

    pub(super) fn join_running_call(
        &mut self,
        key: &EntryKey,
        digest: BodyDigest,
    ) -> Option<Arrival> {
        let running = self.running.get(key)?;
        if running.digest != digest {
            return Some(Arrival::Refused(Refusal::BodyDiffers));
        }
        match &running.settlement {
            None => Some(Arrival::Joined),
            Some(Settlement::Answered(outcome)) => Some(Arrival::Replay(outcome.clone())),
            Some(Settlement::MayHaveRun) => Some(Arrival::Refused(Refusal::AnswerLost)),
            Some(Settlement::NotRun) => {
                self.running.remove(key);
                None
            }
        }
    }

    /// Decides from the cached page if that is possible without a read. An intent of another writer may
    /// have an outcome by now, so its page is evicted and read again.
    pub(super) fn resolve_from_cache(
        &mut self,
        now: UnixMillis,
        key: &EntryKey,
        digest: BodyDigest,
    ) -> Option<Arrival> {
        let epoch = key.key.epoch();
        let page = self.cache.as_ref()?.pages.get(&epoch)?;
        match self.key_state(page, key, None) {
            KeyState::Taken(entry) => match arrival_for_entry(&entry, digest) {
                Arrival::Refused(Refusal::StartedElsewhere { .. }) => {
                    self.cache.as_mut()?.pages.remove(&epoch);
                    None
                }
                arrival => Some(arrival),
            },
            KeyState::Free | KeyState::Confirmed => match page.has_room(key, &self.writer) {
                true => None,
                false => Some(Arrival::Refused(page_full_refusal(now))),
            },
        }
    }
}
