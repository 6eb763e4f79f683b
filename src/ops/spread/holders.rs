//! Which nodes are known to have a later revision.

use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::core::id::{Address, ConfigRevision};

/// Nodes remembered; more of them would not be asked before the next gossip.
const MAX_HOLDERS: usize = 4;

/// A node that has a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) address: Address,
    pub(super) revision: ConfigRevision,
}

#[derive(Debug, Default)]
struct State {
    holders: SmallVec<[Holder; MAX_HOLDERS]>,
    /// Highest revision heard of, kept when its holders are gone.
    wanted: ConfigRevision,
}

/// Nodes that are known to have a later revision than this one.
#[derive(Debug, Default)]
pub(super) struct Holders {
    state: Mutex<State>,
    news: Notify,
}

impl Holders {
    /// Notes that a node has a revision.
    pub(super) fn add(&self, holder: Holder) {
        let mut state = self.state.lock();
        state.wanted = state.wanted.max(holder.revision);
        state
            .holders
            .retain(|other| other.address != holder.address);
        if state.holders.len() == MAX_HOLDERS {
            state.drop_lowest();
        }
        state.holders.push(holder);
        drop(state);
        self.news.notify_one();
    }

    /// Waits until something was added since the last call.
    pub(super) async fn news(&self) {
        self.news.notified().await;
    }

    /// Returns the node with the highest revision above `current`, the last one heard first.
    pub(super) fn best(&self, current: ConfigRevision) -> Option<Holder> {
        let mut state = self.state.lock();
        state.holders.retain(|holder| holder.revision > current);
        state
            .holders
            .iter()
            .max_by_key(|holder| holder.revision)
            .copied()
    }

    /// Forgets a node that did not answer usefully.
    pub(super) fn remove(&self, address: Address) {
        self.state
            .lock()
            .holders
            .retain(|holder| holder.address != address);
    }

    /// Returns the highest revision heard of.
    pub(super) fn wanted(&self) -> ConfigRevision {
        self.state.lock().wanted
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
