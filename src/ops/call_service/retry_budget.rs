//! Retry budget: limits retries to a share of first attempts, so that failures do not multiply the
//! load.

use parking_lot::Mutex;

/// Capacity of the budget: retries allowed in a burst.
const MAX_BURST_RETRIES: f64 = 5.0;

/// Token bucket that is filled by first attempts and drained by retries.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Mutex::new(MAX_BURST_RETRIES),
        }
    }
}

impl RetryBudget {
    /// Adds a first attempt; `percent` is the allowed share of retries.
    pub(super) fn record_first_attempt(&self, percent: u8) {
        let mut tokens = self.tokens.lock();
        *tokens = (*tokens + f64::from(percent) / 100.0).min(MAX_BURST_RETRIES);
    }

    /// Takes a token for a retry. Returns whether there was one.
    pub(super) fn take_retry(&self) -> bool {
        let mut tokens = self.tokens.lock();
        let is_allowed = *tokens >= 1.0;
        if is_allowed {
            *tokens -= 1.0;
        }
        is_allowed
    }
}
