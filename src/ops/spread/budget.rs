//! Bounds the whole texts that one node sends, so that many starting nodes do not fill its link.

use parking_lot::Mutex;
use tokio::time::Instant;

/// Whole texts a second in the long run.
const REPLIES_PER_SECOND: f64 = 4.0;
/// Whole texts at once after a quiet time.
const BURST: f64 = 16.0;

/// Share of whole texts that a node may still send.
#[derive(Debug)]
pub(super) struct ReplyBudget(Mutex<State>);

#[derive(Debug)]
struct State {
    replies: f64,
    updated: Instant,
}

impl Default for ReplyBudget {
    fn default() -> Self {
        Self(Mutex::new(State {
            replies: BURST,
            updated: Instant::now(),
        }))
    }
}

impl ReplyBudget {
    /// Takes one reply from the share. Returns whether there was one left.
    pub(super) fn take(&self) -> bool {
        let mut state = self.0.lock();
        let now = Instant::now();
        let elapsed = now.duration_since(state.updated).as_secs_f64();
        state.updated = now;
        state.replies = (state.replies + elapsed * REPLIES_PER_SECOND).min(BURST);
        let is_left = state.replies >= 1.0;
        if is_left {
            state.replies -= 1.0;
        }
        is_left
    }
}
