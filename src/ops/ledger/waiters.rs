//! Requests that wait for the outcome of a call.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::ledger::EntryKey;
use crate::core::service_call::{CallReply, ServiceCall};

/// A request that waits for a reply.
pub(super) struct Waiter {
    deadline: Instant,
    tx: oneshot::Sender<CallReply>,
}

impl Waiter {
    pub(super) fn new(deadline: Instant, tx: oneshot::Sender<CallReply>) -> Self {
        Self { deadline, tx }
    }

    /// Replies to the request. Does nothing if the caller has disconnected.
    pub(super) fn answer(self, reply: CallReply) {
        let _ = self.tx.send(reply);
    }
}

/// A call and all requests that wait for it.
pub(super) struct PendingCall {
    pub(super) call: Arc<ServiceCall>,
    waiters: Vec<Waiter>,
}

impl PendingCall {
    /// Returns the time until which the call may be dispatched: the latest deadline of its requests.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }
}

/// All requests that wait for calls of one shard, by key.
#[derive(Default)]
pub(super) struct Waiters {
    by_key: HashMap<EntryKey, PendingCall>,
}

impl Waiters {
    pub(super) fn add(&mut self, key: EntryKey, call: Arc<ServiceCall>, waiter: Waiter) {
        let waiters = Vec::new();
        let pending = self.by_key.entry(key);
        let pending = pending.or_insert(PendingCall { call, waiters });
        pending.waiters.push(waiter);
    }

    pub(super) fn get(&self, key: &EntryKey) -> Option<&PendingCall> {
        self.by_key.get(key)
    }

    /// Replies to all requests that wait for a call: to the first with `first`, to the others with a
    /// replay.
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

    /// Returns the earliest deadline of all requests.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let all = self.by_key.values().flat_map(|pending| &pending.waiters);
        all.map(|waiter| waiter.deadline).min()
    }

    /// Removes the requests whose deadline is over.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<Expired> {
        let mut expired = Vec::new();
        for (key, pending) in &mut self.by_key {
            let is_over = |waiter: &mut Waiter| waiter.deadline <= now;
            let waiters: Vec<Waiter> = pending.waiters.extract_if(.., is_over).collect();
            if !waiters.is_empty() {
                expired.push(Expired {
                    key: key.clone(),
                    waiters,
                    has_other_waiters: !pending.waiters.is_empty(),
                });
            }
        }
        self.by_key.retain(|_, pending| !pending.waiters.is_empty());
        expired
    }
}

/// Requests for one call whose deadline is over.
pub(super) struct Expired {
    pub(super) key: EntryKey,
    pub(super) waiters: Vec<Waiter>,
    /// Whether other requests still wait for the call.
    pub(super) has_other_waiters: bool,
}
