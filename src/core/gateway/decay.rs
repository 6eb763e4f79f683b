//! Exponentially decaying sums.

use std::time::Duration;

use crate::core::time::Moment;

/// A sum that decays to 1/e of its value within one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    at: Moment,
}

impl DecayingSum {
    /// Creates a sum with the given value at `at`.
    pub fn new(value: f64, at: Moment) -> Self {
        Self { value, at }
    }

    /// Returns the decayed value at `now`.
    pub fn value(&self, window: Duration, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / window.as_secs_f64()).exp()
    }

    /// Adds `amount`, which may be negative, to the decayed value. The result is at least 0.
    pub fn add(&mut self, amount: f64, window: Duration, now: Moment) {
        self.value = (self.value(window, now) + amount).max(0.0);
        self.at = now;
    }
}
