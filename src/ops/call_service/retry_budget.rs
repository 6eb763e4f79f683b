//! Keeps retries a share of first attempts, so that failures do not multiply load.

use parking_lot::Mutex;

/// Retries that are allowed at once after a quiet time.
const BURST: f64 = 5.0;

/// A budget that first attempts fill and retries use up.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Mutex::new(BURST),
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt; `percent` is the share that retries may add.
    pub(super) fn record_first_attempt(&self, percent: u8) {
        let mut tokens = self.tokens.lock();
        *tokens = (*tokens + f64::from(percent) / 100.0).min(BURST);
    }

    /// Returns whether a retry may be made, and counts it.
    pub(super) fn take_retry(&self) -> bool {
        let mut tokens = self.tokens.lock();
        let is_allowed = *tokens >= 1.0;
        if is_allowed {
            *tokens -= 1.0;
        }
        is_allowed
    }
}
