//! Table of the requests that this node serves and of its copies of requests that other nodes
//! serve.

mod entry;
mod types;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::core::id::{NodeId, RequestId};

pub use entry::Entry;
pub(crate) use entry::HAND_OVER_TERM_STEP;
pub use types::{CopyError, CopyUpdate, Progress, Role, Snapshot};

/// Time for which a request that has ended is kept, so that its answer can be fetched.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Limit of requests in the table, including copies.
const MAX_ENTRIES: usize = 50_000;

/// Table of the requests that this node serves or has a copy of.
#[derive(Debug, Default)]
pub struct Requests {
    entries: Mutex<HashMap<RequestId, Arc<Entry>>>,
}

impl Requests {
    /// Returns a request by its id.
    pub fn get(&self, id: &str) -> Option<Arc<Entry>> {
        self.entries.lock().get(id).cloned()
    }

    /// Adds a request. Returns false where the table is full.
    pub fn insert(&self, entry: Arc<Entry>) -> bool {
        let mut entries = self.entries.lock();
        if entries.len() >= MAX_ENTRIES {
            return false;
        }
        entries.insert(entry.id().clone(), entry);
        true
    }

    /// Removes a request.
    pub fn remove(&self, id: &str) {
        self.entries.lock().remove(id);
    }

    /// Returns the requests that this node serves and that are open.
    pub fn served_open(&self) -> Vec<Arc<Entry>> {
        self.filtered(|entry| entry.role() == Role::Serving && entry.is_open())
    }

    /// Returns the requests that this node serves, including ended ones.
    pub fn served(&self) -> Vec<Arc<Entry>> {
        self.filtered(|entry| entry.role() == Role::Serving)
    }

    /// Returns the copies of requests that `node` serves.
    pub fn copies_of(&self, node: &str) -> Vec<Arc<Entry>> {
        self.filtered(|entry| matches!(entry.role(), Role::Copy { from } if &*from == node))
    }

    /// Returns the nodes that serve the requests of this node's copies.
    pub fn serving_nodes_of_copies(&self) -> Vec<NodeId> {
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

    /// Removes requests that ended more than [`RETENTION`] ago.
    pub fn remove_expired(&self, now: Instant) {
        self.entries
            .lock()
            .retain(|_, entry| entry.ended_at().is_none_or(|at| now < at + RETENTION));
    }

    /// Returns the number of requests, including copies.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Returns whether the table is empty.
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
