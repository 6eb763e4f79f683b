//! Rate limit of the full texts that a node sends, so that many starting nodes do not saturate its link.

use parking_lot::Mutex;
use tokio::time::Instant;

/// Refill rate of the token bucket, in full texts per second.
const REPLIES_PER_SECOND: f64 = 4.0;
/// Capacity of the token bucket, in full texts.
const BURST: f64 = 16.0;

/// Token bucket of the full texts that a node may send.
#[derive(Debug)]
pub(super) struct ReplyBudget(Mutex<State>);

#[derive(Debug)]
struct State {
    tokens: f64,
    updated: Instant,
}

impl Default for ReplyBudget {
    fn default() -> Self {
        Self(Mutex::new(State {
            tokens: BURST,
            updated: Instant::now(),
        }))
    }
}

impl ReplyBudget {
    /// Takes a token for one reply. Returns whether one was available.
    pub(super) fn try_take(&self) -> bool {
        let mut state = self.0.lock();
        let now = Instant::now();
        let elapsed = now.duration_since(state.updated).as_secs_f64();
        state.updated = now;
        state.tokens = (state.tokens + elapsed * REPLIES_PER_SECOND).min(BURST);
        let is_left = state.tokens >= 1.0;
        if is_left {
            state.tokens -= 1.0;
        }
        is_left
    }
}
