//! Sums in which what was added long ago counts less.

use std::time::Duration;

use crate::core::time::Moment;

/// A sum of which, after a window, a part of 1/e is left.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decaying {
    value: f64,
    at: Moment,
}

impl Decaying {
    /// Creates a sum that had a value at a moment.
    pub fn new(value: f64, at: Moment) -> Self {
        Self { value, at }
    }

    /// Returns what is left now.
    pub fn value(&self, window: Duration, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / window.as_secs_f64()).exp()
    }

    /// Adds to what is left, or takes away from it, down to nothing.
    pub fn add(&mut self, amount: f64, window: Duration, now: Moment) {
        self.value = (self.value(window, now) + amount).max(0.0);
        self.at = now;
    }
}
