//! Quarantine of calls that crash back ends.
//!
//! A call with all suspects of an entry, which are parts of prompts and at most one request, is sent to no back
//! end. Entries are kept in the platform's store, so that all nodes know them, those that start later too. After
//! some time, one node may send one such call as a probe; the time until the next probe then doubles. An answered
//! call releases the entry; so does an hour without such calls.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::crashes::CrashLog;
use super::suspects::{Suspect, Suspects, contains_all};
use crate::core::time::{Moment, UnixMillis};
use crate::sources::store::{Era, Revision};
use crate::util::time::as_millis_u64;

/// Identifies an entry: a hash of its suspects.
pub type EntryId = u64;

/// Time from the discovery of a cause until the first probe.
const FIRST_PROBE_AFTER: Duration = Duration::from_secs(30);
/// Upper bound of the time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(3600);
/// Time after `probe_at` after which an entry is released if no call has asked for the probe.
const UNUSED_RETENTION: Duration = Duration::from_secs(3600);
/// Byte before a request among the hashed suspects, which tells it from a part.
const REQUEST_MARK: u8 = 1;
/// Limit on the entries; further ones are left out.
const MAX_ENTRIES: usize = 1024;

/// What the store holds of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryValue {
    /// Calls with all of these are not sent.
    pub suspects: Suspects,
    /// Wall-clock time from which a node may claim a probe.
    pub probe_at: UnixMillis,
    /// Time between the claim of the last probe, or the discovery, and `probe_at`.
    pub interval: Duration,
}

impl EntryValue {
    /// Creates the value of suspects that were found to crash back ends.
    pub fn new(suspects: Suspects, wall: UnixMillis) -> Self {
        Self {
            suspects,
            probe_at: wall + as_millis_u64(FIRST_PROBE_AFTER),
            interval: FIRST_PROBE_AFTER,
        }
    }

    /// Returns the value after the claim of a probe.
    pub fn after_claim(&self, wall: UnixMillis) -> Self {
        let interval = (self.interval * 2).min(MAX_PROBE_INTERVAL);
        Self {
            suspects: self.suspects.clone(),
            probe_at: wall + as_millis_u64(interval),
            interval,
        }
    }

    /// Returns the identifier of the entry.
    pub fn id(&self) -> EntryId {
        let mut bytes = Vec::with_capacity(self.suspects.len() * 9);
        for suspect in &self.suspects {
            match suspect {
                Suspect::Part(part) => bytes.extend_from_slice(&part.to_le_bytes()),
                Suspect::Request(request) => {
                    bytes.push(REQUEST_MARK);
                    bytes.extend_from_slice(&request.to_le_bytes());
                }
            }
        }
        xxh3_64(&bytes)
    }
}

/// State of this node's claim to the next probe of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// No call waits for a probe.
    None,
    /// A call could have been the probe; this node should claim it.
    Wanted,
    /// This node has claimed the probe; its next call is the probe.
    Granted,
}

#[derive(Debug)]
struct Entry {
    value: EntryValue,
    /// Revision in the store; `None` while it is not known to be there.
    revision: Option<Revision>,
    probe: Probe,
    /// Whether a call with all suspects was answered.
    is_answered: bool,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It may be sent.
    Pass,
    /// It may be sent once, as the probe of an entry.
    Probe,
    /// It must not be sent.
    Block,
}

/// What is to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreTask {
    /// Create an entry.
    Create(EntryValue),
    /// Claim a probe: replace the entry of a revision.
    ClaimProbe(EntryValue, Revision),
    /// Delete the entry of a revision.
    Release(EntryId, Revision),
}

/// Calls that are not sent to back ends, and the crashes from which they are found.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Crashes of back ends.
    pub crashes: CrashLog,
    entries: HashMap<EntryId, Entry>,
    /// Entries by the last of their suspects.
    by_suspect: HashMap<Suspect, SmallVec<[EntryId; 2]>>,
}

impl Quarantine {
    /// Decides whether a call with these suspects may be sent. A probe is granted to one call only.
    pub fn check(&mut self, suspects: &[Suspect], wall: UnixMillis) -> Check {
        let mut check = Check::Pass;
        for id in self.matching(suspects) {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            match entry.probe {
                Probe::Granted if check != Check::Block => {
                    entry.probe = Probe::None;
                    check = Check::Probe;
                }
                Probe::None if wall >= entry.value.probe_at => {
                    entry.probe = Probe::Wanted;
                    check = Check::Block;
                }
                _ => check = Check::Block,
            }
        }
        check
    }

    /// Takes back the probe that was granted to a call with these suspects, which was not sent.
    pub fn return_probe(&mut self, suspects: &[Suspect]) {
        for id in self.matching(suspects) {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.probe = Probe::Granted;
            }
        }
    }

    /// Returns whether an entry blocks calls with these suspects.
    pub fn blocks(&self, suspects: &[Suspect]) -> bool {
        !self.matching(suspects).is_empty()
    }

    /// Adds an entry that this node found. Returns whether it is new.
    pub fn add(&mut self, value: EntryValue) -> bool {
        let id = value.id();
        if self.entries.contains_key(&id) || self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        self.insert(id, value, None);
        true
    }

    /// Applies an entry of the store.
    pub fn apply(&mut self, value: EntryValue, revision: Revision) {
        self.crashes.explain(&value.suspects);
        self.insert(value.id(), value, Some(revision));
    }

    /// Records that the store has come back from an older copy, in this era: entries of earlier ones are not
    /// there any more and are to be created again.
    pub fn forget_revisions_before(&mut self, era: Era) {
        for entry in self.entries.values_mut() {
            entry.revision = entry.revision.filter(|revision| revision.era >= era);
        }
    }

    /// Applies the deletion of an entry of the store.
    pub fn remove(&mut self, id: EntryId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        if let Some(ids) = entry
            .value
            .suspects
            .last()
            .and_then(|suspect| self.by_suspect.get_mut(suspect))
        {
            ids.retain(|other| *other != id);
        }
    }

    /// Records that this node saw a call with these suspects answered.
    pub fn record_answer(&mut self, suspects: &[Suspect], now: Moment) {
        self.crashes.record_answer(suspects, now);
        for id in self.matching(suspects) {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_answered = true;
            }
        }
    }

    /// Returns what is to be written to the store. Entries of this node that were released before they were
    /// written are removed.
    pub fn store_tasks(&mut self, wall: UnixMillis) -> Vec<StoreTask> {
        let is_done = |entry: &Entry| entry.is_answered && entry.revision.is_none();
        let done: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_done(entry))
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            self.remove(id);
        }
        let entries = self.entries.iter();
        entries
            .filter_map(|(id, entry)| entry.store_task(*id, wall))
            .collect()
    }

    /// Records that this node claimed a probe at a revision of the entry.
    pub fn grant_probe(&mut self, value: EntryValue, revision: Revision) {
        let id = value.id();
        self.insert(id, value, Some(revision));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.probe = Probe::Granted;
        }
    }

    fn matching(&self, suspects: &[Suspect]) -> SmallVec<[EntryId; 2]> {
        let mut ids = SmallVec::new();
        if self.entries.is_empty() {
            return ids;
        }
        for id in suspects
            .iter()
            .filter_map(|suspect| self.by_suspect.get(suspect))
            .flatten()
        {
            let entry = self.entries.get(id);
            if entry.is_some_and(|entry| contains_all(suspects, &entry.value.suspects)) {
                ids.push(*id);
            }
        }
        ids
    }

    fn insert(&mut self, id: EntryId, value: EntryValue, revision: Option<Revision>) {
        let Some(last) = value.suspects.last().copied() else {
            return;
        };
        match self.entries.get_mut(&id) {
            Some(entry) => {
                if revision > entry.revision {
                    // A store that comes back from an older copy lists an earlier state.
                    if value.probe_at >= entry.value.probe_at {
                        entry.value = value;
                    }
                    entry.revision = revision;
                    entry.probe = Probe::None;
                }
            }
            None => {
                let entry = Entry {
                    value,
                    revision,
                    probe: Probe::None,
                    is_answered: false,
                };
                self.entries.insert(id, entry);
                self.by_suspect.entry(last).or_default().push(id);
            }
        }
    }
}

impl Entry {
    /// Returns whether the entry has outlived the calls that it was made for.
    fn is_unused(&self, wall: UnixMillis) -> bool {
        let retention = as_millis_u64(UNUSED_RETENTION);
        self.probe == Probe::None && wall > self.value.probe_at + retention
    }

    fn store_task(&self, id: EntryId, wall: UnixMillis) -> Option<StoreTask> {
        match self.revision {
            None => Some(StoreTask::Create(self.value.clone())),
            Some(revision) if self.is_answered || self.is_unused(wall) => {
                Some(StoreTask::Release(id, revision))
            }
            Some(revision) if self.probe == Probe::Wanted => Some(StoreTask::ClaimProbe(
                self.value.after_claim(wall),
                revision,
            )),
            Some(_) => None,
        }
    }
}
