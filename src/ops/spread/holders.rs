//! Nodes known to have a later revision than this node.

use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::core::id::{Address, ConfigRevision};

/// Maximum number of remembered nodes; more would not be queried before the next gossip message.
const MAX_HOLDERS: usize = 4;

/// A node and the revision that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) address: Address,
    pub(super) revision: ConfigRevision,
}

#[derive(Debug, Default)]
struct State {
    holders: SmallVec<[Holder; MAX_HOLDERS]>,
    /// Highest announced revision; kept after its holders are removed.
    highest_announced: ConfigRevision,
}

/// Nodes known to have a later revision than this node.
#[derive(Debug, Default)]
pub(super) struct Holders {
    state: Mutex<State>,
    added: Notify,
}

impl Holders {
    /// Records that a node has a revision.
    pub(super) fn add(&self, holder: Holder) {
        let mut state = self.state.lock();
        state.highest_announced = state.highest_announced.max(holder.revision);
        state
            .holders
            .retain(|other| other.address != holder.address);
        if state.holders.len() == MAX_HOLDERS {
            state.drop_lowest();
        }
        state.holders.push(holder);
        drop(state);
        self.added.notify_one();
    }

    /// Waits until a holder has been added since the last call.
    pub(super) async fn added(&self) {
        self.added.notified().await;
    }

    /// Returns the node with the highest revision above `current`; among equals, the latest added.
    pub(super) fn best_holder(&self, current: ConfigRevision) -> Option<Holder> {
        let mut state = self.state.lock();
        state.holders.retain(|holder| holder.revision > current);
        state
            .holders
            .iter()
            .max_by_key(|holder| holder.revision)
            .copied()
    }

    /// Removes a node whose reply was missing or of no use.
    pub(super) fn remove(&self, address: Address) {
        self.state
            .lock()
            .holders
            .retain(|holder| holder.address != address);
    }

    /// Returns the highest announced revision.
    pub(super) fn highest_announced(&self) -> ConfigRevision {
        self.state.lock().highest_announced
    }
}

impl State {
    fn drop_lowest(&mut self) {
        let lowest = self
            .holders
            .iter()
            .enumerate()
            .min_by_key(|(_, holder)| holder.revision);
        if let Some((index, _)) = lowest {
            self.holders.remove(index);
        }
    }
}
