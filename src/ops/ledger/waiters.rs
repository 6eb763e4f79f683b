//! Who waits for the end of a call.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::ledger::EntryKey;
use crate::core::service_call::{CallReply, ServiceCall};

/// One request that waits.
pub(super) struct Waiter {
    deadline: Instant,
    tx: oneshot::Sender<CallReply>,
}

impl Waiter {
    pub(super) fn new(deadline: Instant, tx: oneshot::Sender<CallReply>) -> Self {
        Self { deadline, tx }
    }

    /// Answers the request; one whose caller is gone is passed over.
    pub(super) fn answer(self, reply: CallReply) {
        let _ = self.tx.send(reply);
    }
}

/// A call and all requests that wait for it.
pub(super) struct Pending {
    pub(super) call: Arc<ServiceCall>,
    waiters: Vec<Waiter>,
}

impl Pending {
    /// Returns until when the call may be dispatched.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }
}

/// All requests that wait for calls of one shard.
#[derive(Default)]
pub(super) struct Waiters {
    by_key: HashMap<EntryKey, Pending>,
}

impl Waiters {
    pub(super) fn add(&mut self, key: EntryKey, call: Arc<ServiceCall>, waiter: Waiter) {
        let waiters = Vec::new();
        let pending = self.by_key.entry(key);
        let pending = pending.or_insert(Pending { call, waiters });
        pending.waiters.push(waiter);
    }

    pub(super) fn get(&self, key: &EntryKey) -> Option<&Pending> {
        self.by_key.get(key)
    }

    /// Answers all requests that wait for a call: the first one with `first`, the others as replays.
    pub(super) fn answer(&mut self, key: &EntryKey, first: CallReply) {
        let Some(pending) = self.by_key.remove(key) else {
            return;
        };
        let mut reply = first;
        for waiter in pending.waiters {
            waiter.answer(reply.clone());
            if let CallReply::Answered { is_replay, .. } = &mut reply {
                *is_replay = true;
            }
        }
    }

    /// Returns when the next request's time is over.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let all = self.by_key.values().flat_map(|pending| &pending.waiters);
        all.map(|waiter| waiter.deadline).min()
    }

    /// Takes out the requests whose time is over. A key is returned with whether others still wait for it.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<Expired> {
        let mut expired = Vec::new();
        for (key, pending) in &mut self.by_key {
            let is_over = |waiter: &mut Waiter| waiter.deadline <= now;
            let waiters: Vec<Waiter> = pending.waiters.extract_if(.., is_over).collect();
            if !waiters.is_empty() {
                expired.push(Expired {
                    key: key.clone(),
                    waiters,
                    others_wait: !pending.waiters.is_empty(),
                });
            }
        }
        self.by_key.retain(|_, pending| !pending.waiters.is_empty());
        expired
    }
}

/// Requests for one call whose time is over.
pub(super) struct Expired {
    pub(super) key: EntryKey,
    pub(super) waiters: Vec<Waiter>,
    pub(super) others_wait: bool,
}
