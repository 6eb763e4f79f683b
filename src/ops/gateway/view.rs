//! What the store holds, as this node last heard of it, from the store itself or from another node.

use std::collections::HashMap;

use bytes::Bytes;

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

/// Keys of the store with their values.
#[derive(Debug, Default)]
pub struct View {
    /// Revision up to which all changes are in the view.
    pub revision: Revision,
    /// When the store itself last answered.
    pub contact: Option<Moment>,
    items: HashMap<Key, Versioned>,
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
    pub fn delete(&mut self, key: &str, revision: Revision) -> bool {
        let is_newer = self
            .items
            .get(key)
            .is_some_and(|known| known.revision < revision);
        if is_newer {
            self.items.remove(key);
        }
        is_newer
    }

    /// Returns a value.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<Key> {
        self.items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns all keys with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Versioned)> {
        self.items.iter()
    }
}
