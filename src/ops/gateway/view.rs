//! What the store holds, as this node last heard of it, from the store itself or from another node.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::time::Moment;
use crate::sources::store::{Key, KeyValue, Revision};

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the last change.
    pub revision: Revision,
    /// Revision at which the key was made.
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
    /// Whether the key may have lapsed only because the store was away.
    pub is_doubtful: bool,
}

/// Deletions that are remembered for nodes that ask what changed.
const MAX_DELETIONS: usize = 2000;

/// Keys of the store with their values.
#[derive(Debug, Default)]
pub struct View {
    /// Revision up to which all changes are in the view.
    pub revision: Revision,
    /// When the store itself last answered.
    pub contact: Option<Moment>,
    items: HashMap<Key, Versioned>,
    deletions: VecDeque<Deletion>,
    forgotten: Revision,
}

/// What changed behind a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Values written since.
    pub items: Vec<(Key, Versioned)>,
    /// What went since.
    pub gone: Gone,
}

/// Which keys went behind a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gone {
    /// These.
    Deleted(Vec<Deletion>),
    /// All keys but those with new values and those with these hashes: deletions are not remembered one
    /// by one, as after a list.
    AllBut(Vec<KeyHash>),
}

impl Default for Gone {
    fn default() -> Self {
        Self::Deleted(Vec::new())
    }
}

/// Stands for a key where the key itself would be long.
pub type KeyHash = u64;

/// Returns the hash of a key, the same on all nodes.
pub fn hash(key: &str) -> KeyHash {
    xxh3_64(key.as_bytes())
}

impl View {
    /// Takes a value unless a newer one is known. Returns whether it was taken.
    pub fn put(&mut self, item: &KeyValue) -> bool {
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.mod_revision) {
            return false;
        }
        let value = Versioned {
            revision: item.mod_revision,
            created: item.create_revision,
            value: item.value.clone(),
        };
        self.items.insert(item.key.clone(), value);
        true
    }

    /// Takes a deletion unless a newer value is known. Returns whether it was taken.
    pub fn delete(&mut self, deletion: Deletion) -> bool {
        let is_newer = self
            .items
            .get(&deletion.key)
            .is_some_and(|known| known.revision < deletion.revision);
        if is_newer {
            self.items.remove(&deletion.key);
            self.deletions.push_back(deletion);
            if self.deletions.len() > MAX_DELETIONS {
                let oldest = self.deletions.pop_front();
                self.forgotten = oldest.map_or(0, |oldest| oldest.revision);
            }
        }
        is_newer
    }

    /// Notes that deletions up to a revision are not known one by one, as after a list.
    pub fn forget_deletions(&mut self, revision: Revision) {
        self.deletions.clear();
        self.forgotten = self.forgotten.max(revision);
    }

    /// Returns what changed behind a revision.
    pub fn since(&self, after: Revision) -> Changes {
        let items = self
            .items
            .iter()
            .filter(|(_, item)| item.revision > after)
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect();
        let gone = match after >= self.forgotten {
            true => {
                let newer = self.deletions.iter().filter(|d| d.revision > after);
                Gone::Deleted(newer.cloned().collect())
            }
            false => {
                let unchanged = self.items.iter().filter(|(_, item)| item.revision <= after);
                Gone::AllBut(unchanged.map(|(key, _)| hash(key)).collect())
            }
        };
        Changes { items, gone }
    }

    /// Returns a value.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    /// Returns all keys with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Versioned)> {
        self.items.iter()
    }
}
