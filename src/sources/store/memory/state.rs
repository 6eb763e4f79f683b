//! Data of the in-memory store.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::sources::store::MAX_VALUE_BYTES;
use crate::sources::store::error::{Result, StoreError};
use crate::sources::store::types::{
    Compare, Condition, Era, Key, KeyRange, KeyValue, LeaseGrant, LeaseId, Op, OpResult,
    RangeReply, Revision, Transaction, TransactionReply, WatchEvent, WatchRequest,
};

/// Shortest time to live of a lease; the store grants leases in whole seconds.
const MIN_LEASE_TTL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    deadline: Instant,
}

#[derive(Debug)]
struct Watcher {
    range: KeyRange,
    tx: mpsc::UnboundedSender<Result<WatchEvent>>,
}

/// What a restore brings back.
#[derive(Clone, Debug, Default)]
pub(super) struct Data {
    /// Number of changes.
    revision: u64,
    entries: BTreeMap<Key, KeyValue>,
    leases: HashMap<LeaseId, Lease>,
    last_lease: LeaseId,
    history: Vec<(Revision, WatchEvent)>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    data: Data,
    /// Number of restores.
    era: Era,
    watchers: Vec<Watcher>,
}

impl State {
    pub(super) fn range(&mut self, range: &KeyRange) -> RangeReply {
        self.expire();
        RangeReply {
            revision: self.revision(),
            entries: self.find(range),
        }
    }

    pub(super) fn transact(&mut self, req: &Transaction) -> Result<TransactionReply> {
        self.expire();
        let succeeded = req.compares.iter().all(|compare| self.is_met(compare));
        let ops = if succeeded { &req.then } else { &req.otherwise };
        for op in ops {
            self.check(op)?;
        }
        let next = self.revision().next();
        let results = ops.iter().map(|op| self.apply(op, next)).collect();
        if succeeded && req.is_based_on_other_era(self.era) {
            return Err(StoreError::Restored { era: self.era });
        }
        Ok(TransactionReply {
            revision: self.revision(),
            succeeded,
            results,
        })
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> LeaseGrant {
        self.expire();
        self.data.last_lease += 1;
        let ttl = ttl.max(MIN_LEASE_TTL);
        let lease = Lease {
            ttl,
            deadline: Instant::now() + ttl,
        };
        self.data.leases.insert(self.data.last_lease, lease);
        LeaseGrant {
            id: self.data.last_lease,
            ttl,
            era: self.era,
        }
    }

    pub(super) fn keep_alive(&mut self, id: LeaseId) -> Result<LeaseGrant> {
        self.expire();
        let lease = self
            .data
            .leases
            .get_mut(&id)
            .ok_or(StoreError::LeaseNotFound)?;
        lease.deadline = Instant::now() + lease.ttl;
        Ok(LeaseGrant {
            id,
            ttl: lease.ttl,
            era: self.era,
        })
    }

    pub(super) fn revoke(&mut self, id: LeaseId) -> Result<()> {
        self.expire();
        self.data
            .leases
            .remove(&id)
            .ok_or(StoreError::LeaseNotFound)?;
        self.delete_keys_of(id);
        Ok(())
    }

    pub(super) fn watch(
        &mut self,
        req: WatchRequest,
    ) -> mpsc::UnboundedReceiver<Result<WatchEvent>> {
        self.expire();
        let (tx, rx) = mpsc::unbounded_channel();
        let revision = self.revision();
        let past = self
            .data
            .history
            .iter()
            .filter(|(at, _)| req.from.is_some_and(|from| *at >= from))
            .filter(|(_, event)| req.range.contains(key_of(event)))
            .map(|(_, event)| event.clone());
        let is_unknown = |from: Revision| from.era != self.era || from > revision.next();
        if req.from.is_some_and(is_unknown) {
            let _ = tx.send(Err(StoreError::Compacted { revision }));
            return rx;
        }
        for event in std::iter::once(WatchEvent::Started { revision }).chain(past) {
            let _ = tx.send(Ok(event));
        }
        self.watchers.push(Watcher {
            range: req.range,
            tx,
        });
        rx
    }

    pub(super) fn break_watches(&mut self) {
        for watcher in self.watchers.drain(..) {
            let _ = watcher.tx.send(Err(StoreError::AnswerLost {
                cause: "connection closed".into(),
            }));
        }
    }

    pub(super) fn era(&self) -> Era {
        self.era
    }

    fn revision(&self) -> Revision {
        Revision {
            era: self.era,
            number: self.data.revision,
        }
    }

    pub(super) fn leases(&self) -> Vec<(LeaseId, Duration)> {
        let leases = self.data.leases.iter();
        leases.map(|(id, lease)| (*id, lease.ttl)).collect()
    }

    pub(super) fn data(&mut self) -> Data {
        self.expire();
        self.data.clone()
    }

    /// Replaces the data by an older copy. Leases of the copy begin their time to live anew.
    pub(super) fn restore(&mut self, copy: Data) {
        self.data = copy;
        self.era += 1;
        self.move_data_to_era();
        let now = Instant::now();
        for lease in self.data.leases.values_mut() {
            lease.deadline = now + lease.ttl;
        }
        self.break_watches();
    }

    fn move_data_to_era(&mut self) {
        let era = self.era;
        let put = |entry: &mut KeyValue| {
            entry.mod_revision.era = era;
            entry.create_revision.era = era;
        };
        self.data.entries.values_mut().for_each(put);
        for (at, event) in &mut self.data.history {
            at.era = era;
            match event {
                WatchEvent::Started { revision } | WatchEvent::Deleted { revision, .. } => {
                    revision.era = era;
                }
                WatchEvent::Put(entry) => put(entry),
            }
        }
    }

    /// Returns when the lease expires, or `None` once it has expired.
    pub(super) fn deadline_of(&mut self, id: LeaseId) -> Option<Instant> {
        self.expire();
        self.data.leases.get(&id).map(|lease| lease.deadline)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<LeaseId> = self
            .data
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.data.leases.remove(&id);
            self.delete_keys_of(id);
        }
    }

    fn delete_keys_of(&mut self, id: LeaseId) {
        let next = self.revision().next();
        let keys: Vec<Key> = self
            .data
            .entries
            .values()
            .filter(|entry| entry.lease == Some(id))
            .map(|entry| entry.key.clone())
            .collect();
        for key in keys {
            self.delete(&key, next);
        }
    }

    fn find(&self, range: &KeyRange) -> Vec<KeyValue> {
        self.data
            .entries
            .range::<str, _>((Bound::Included(range.start()), Bound::Unbounded))
            .take_while(|(key, _)| range.contains(key))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    fn is_met(&self, compare: &Compare) -> bool {
        let entry = self.data.entries.get(&compare.key);
        match compare.condition {
            Condition::ModRevision(wanted) => {
                entry.map_or(0, |e| e.mod_revision.number) == wanted.number
            }
            Condition::CreateRevision(wanted) => {
                entry.map_or(0, |e| e.create_revision.number) == wanted.number
            }
            Condition::Version(wanted) => entry.map_or(0, |e| e.version) == wanted,
        }
    }

    fn check(&self, op: &Op) -> Result<()> {
        match op {
            Op::Put { value, .. } if value.len() > MAX_VALUE_BYTES => Err(StoreError::Refused {
                cause: "the value is too large".into(),
            }),
            Op::Put {
                lease: Some(id), ..
            } if !self.data.leases.contains_key(id) => Err(StoreError::LeaseNotFound),
            Op::Put { .. } | Op::Delete(_) | Op::Get(_) => Ok(()),
        }
    }

    fn apply(&mut self, op: &Op, next: Revision) -> OpResult {
        match op {
            Op::Put { key, value, lease } => {
                let old = self.data.entries.get(key);
                let entry = KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    create_revision: old.map_or(next, |e| e.create_revision),
                    mod_revision: next,
                    version: old.map_or(0, |e| e.version) + 1,
                    lease: *lease,
                };
                self.data.entries.insert(key.clone(), entry.clone());
                self.publish(next, WatchEvent::Put(entry));
                OpResult::Put
            }
            Op::Delete(range) => {
                let found = self.find(range);
                for entry in &found {
                    self.delete(&entry.key, next);
                }
                OpResult::Deleted(found.len() as u64)
            }
            Op::Get(range) => OpResult::Got(self.find(range)),
        }
    }

    fn delete(&mut self, key: &str, next: Revision) {
        self.data.entries.remove(key);
        let event = WatchEvent::Deleted {
            key: key.into(),
            revision: next,
        };
        self.publish(next, event);
    }

    fn publish(&mut self, revision: Revision, event: WatchEvent) {
        self.data.revision = revision.number;
        let key = key_of(&event).to_owned();
        self.watchers
            .retain(|w| !w.range.contains(&key) || w.tx.send(Ok(event.clone())).is_ok());
        self.data.history.push((revision, event));
    }
}

fn key_of(event: &WatchEvent) -> &str {
    match event {
        WatchEvent::Started { .. } => "",
        WatchEvent::Put(entry) => &entry.key,
        WatchEvent::Deleted { key, .. } => key,
    }
}
