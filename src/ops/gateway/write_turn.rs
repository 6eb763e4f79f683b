//! Whose turn it is to write to the store what all nodes know, so that not all of them write it.

use std::time::Duration;

use super::relay;
use super::state::GatewayState;
use crate::core::time::Moment;

/// Time for which a write is left to the nodes that watch the store.
const FOLLOWER_DELAY: Duration = Duration::from_secs(2);

/// Since when this node has something to write.
#[derive(Debug, Default)]
pub struct WriteTurn {
    pending_since: Option<Moment>,
}

impl WriteTurn {
    /// Returns whether this node is to write now. It must be called in each round, also if nothing is pending.
    pub fn has_come(&mut self, state: &GatewayState, is_pending: bool) -> bool {
        if !is_pending {
            self.pending_since = None;
            return false;
        }
        let now = state.now();
        let since = *self.pending_since.get_or_insert(now);
        now.saturating_sub(since) >= FOLLOWER_DELAY || !relay::is_follower(state)
    }
}
