//! Limit on the bytes that a node sends for gossip.

use super::tuning::{BUDGET_BURST_BYTES, BUDGET_BYTES_PER_SECOND};
use crate::core::time::Moment;

/// A token bucket over bytes. Messages that cannot be delayed may overdraw it.
#[derive(Debug)]
pub(super) struct ByteBudget {
    available: f64,
    filled_at: Moment,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            available: BUDGET_BURST_BYTES as f64,
            filled_at: now,
        }
    }

    /// Returns the bytes that may be sent now.
    pub(super) fn available(&mut self, now: Moment) -> usize {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now.max(self.filled_at);
        let filled = self.available + passed * BUDGET_BYTES_PER_SECOND as f64;
        self.available = filled.min(BUDGET_BURST_BYTES as f64);
        self.available.max(0.0) as usize
    }

    /// Charges the bytes of a sent message. The overdraft is bounded by the burst size.
    pub(super) fn charge(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(-(BUDGET_BURST_BYTES as f64));
    }
}
