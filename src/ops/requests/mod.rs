//! The requests that this node serves, and its copies of those that others serve.

mod entry;
mod types;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::core::id::{NodeId, RequestId};

pub use entry::Entry;
pub(crate) use entry::HAND_OVER_TERMS;
pub use types::{CopyError, CopyUpdate, Progress, Role, Snapshot};

/// Time for which an ended answer can still be fetched.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Requests that a node keeps at most, copies among them.
const MAX_ENTRIES: usize = 50_000;

/// The requests that this node serves or keeps a copy of.
#[derive(Debug, Default)]
pub struct Requests {
    entries: Mutex<HashMap<RequestId, Arc<Entry>>>,
}

impl Requests {
    /// Returns the request with an id.
    pub fn get(&self, id: &str) -> Option<Arc<Entry>> {
        self.entries.lock().get(id).cloned()
    }

    /// Adds a request. Returns whether there was room.
    pub fn insert(&self, entry: Arc<Entry>) -> bool {
        let mut entries = self.entries.lock();
        if entries.len() >= MAX_ENTRIES {
            return false;
        }
        entries.insert(entry.id().clone(), entry);
        true
    }

    /// Drops a request.
    pub fn remove(&self, id: &str) {
        self.entries.lock().remove(id);
    }

    /// Returns the requests that this node serves and that are still open.
    pub fn served_open(&self) -> Vec<Arc<Entry>> {
        self.filtered(|entry| entry.role() == Role::Serving && entry.is_open())
    }

    /// Returns the requests that this node serves, ended ones among them.
    pub fn served(&self) -> Vec<Arc<Entry>> {
        self.filtered(|entry| entry.role() == Role::Serving)
    }

    /// Returns the copies of open requests that a node serves.
    pub fn copies_of(&self, node: &str) -> Vec<Arc<Entry>> {
        self.filtered(|entry| matches!(entry.role(), Role::Copy { from } if &*from == node))
    }

    /// Returns the nodes whose requests this node has copies of.
    pub fn copied_nodes(&self) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = self
            .entries
            .lock()
            .values()
            .filter_map(|entry| match entry.role() {
                Role::Copy { from } => Some(from),
                _ => None,
            })
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Drops ended requests that have been kept long enough.
    pub fn drop_old(&self, now: Instant) {
        self.entries
            .lock()
            .retain(|_, entry| entry.ended_at().is_none_or(|at| now < at + RETENTION));
    }

    /// Returns how many requests there are, copies among them.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Returns whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn filtered(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<Arc<Entry>> {
        self.entries
            .lock()
            .values()
            .filter(|entry| wanted(entry))
            .cloned()
            .collect()
    }
}
