//! A local replica of the store's keys, filled by a watch on the store or from other nodes.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::sources::store::{Key, KeyValue, Revision};

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the last change.
    pub revision: Revision,
    /// Revision at which the key was created.
    pub created: Revision,
    /// The value.
    pub value: Bytes,
}

/// A key that was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deletion {
    /// The key.
    pub key: Key,
    /// Revision of the deletion.
    pub revision: Revision,
}

/// Limit on the deletions that are kept, for nodes that ask for changes and as tombstones.
const MAX_DELETIONS: usize = 2000;

/// The replicated keys and values.
#[derive(Debug, Default)]
pub struct View {
    /// Revision up to which the view contains all changes.
    pub revision: Revision,
    items: HashMap<Key, Versioned>,
    /// The last deletions, in the order in which they were applied.
    deletions: VecDeque<Deletion>,
    /// Revisions of `deletions` by key: an older value that arrives late does not restore the key.
    tombstones: HashMap<Key, Revision>,
    /// Revision up to which `deletions` is incomplete.
    compacted: Revision,
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Values written after that revision.
    pub items: Vec<(Key, Versioned)>,
    /// Keys removed after that revision.
    pub removals: Removals,
}

/// Keys removed after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Removals {
    /// Exactly these keys.
    Deleted(Vec<Deletion>),
    /// All keys except those with new values and those with these hashes. Used where individual
    /// deletions are not known, for example after a listing.
    AllExcept(Vec<KeyHash>),
}

impl Default for Removals {
    fn default() -> Self {
        Self::Deleted(Vec::new())
    }
}

/// Hash that stands for a key on the wire, where it is shorter than the key.
pub type KeyHash = u64;

/// Returns the hash of a key. All nodes must compute the same hash.
pub fn hash_key(key: &str) -> KeyHash {
    xxh3_64(key.as_bytes())
}

impl View {
    /// Stores a value unless a newer value or deletion of the key is known. Returns whether it was stored.
    pub fn put(&mut self, item: &KeyValue) -> bool {
        if self.last_change(&item.key) >= Some(item.mod_revision) {
            return false;
        }
        self.replace(item);
        true
    }

    /// Stores a value also if a newer change of the key is known.
    pub fn replace(&mut self, item: &KeyValue) {
        let value = Versioned {
            revision: item.mod_revision,
            created: item.create_revision,
            value: item.value.clone(),
        };
        self.items.insert(item.key.clone(), value);
    }

    /// Applies a deletion unless a newer value or deletion of the key is known. Returns whether the key was
    /// removed.
    pub fn delete(&mut self, deletion: Deletion) -> bool {
        if self.last_change(&deletion.key) >= Some(deletion.revision) {
            return false;
        }
        let was_present = self.items.remove(&deletion.key).is_some();
        self.tombstones
            .insert(deletion.key.clone(), deletion.revision);
        self.deletions.push_back(deletion);
        if self.deletions.len() > MAX_DELETIONS {
            self.forget_oldest_deletion();
        }
        was_present
    }

    /// Returns the revision of the last known change of a key.
    fn last_change(&self, key: &str) -> Option<Revision> {
        let value = self.items.get(key).map(|item| item.revision);
        value.max(self.tombstones.get(key).copied())
    }

    fn forget_oldest_deletion(&mut self) {
        let Some(oldest) = self.deletions.pop_front() else {
            return;
        };
        if self.tombstones.get(&oldest.key) == Some(&oldest.revision) {
            self.tombstones.remove(&oldest.key);
        }
        self.compacted = self.compacted.max(oldest.revision);
    }

    /// Records that deletions up to a revision are not known individually, as after a listing.
    pub fn compact_deletions(&mut self, revision: Revision) {
        self.compacted = self.compacted.max(revision);
    }

    /// Returns the changes after a revision.
    pub fn changes_since(&self, after: Revision) -> Changes {
        let items = self
            .items
            .iter()
            .filter(|(_, item)| item.revision > after)
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect();
        let removals = match after >= self.compacted {
            true => {
                let newer = self.deletions.iter().filter(|d| d.revision > after);
                Removals::Deleted(newer.cloned().collect())
            }
            false => {
                let unchanged = self.items.iter().filter(|(_, item)| item.revision <= after);
                Removals::AllExcept(unchanged.map(|(key, _)| hash_key(key)).collect())
            }
        };
        Changes { items, removals }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    /// Returns all keys with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Versioned)> {
        self.items.iter()
    }
}
