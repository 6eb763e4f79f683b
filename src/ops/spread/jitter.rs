//! Random delays, so that nodes do not act in lockstep.

use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Source of random delays.
#[derive(Debug)]
pub(super) struct Jitter(Mutex<ChaCha8Rng>);

impl Jitter {
    pub(super) fn new(seed: u64) -> Self {
        Self(Mutex::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// Returns a random delay of at most `longest`.
    pub(super) fn up_to(&self, longest: Duration) -> Duration {
        longest.mul_f64(self.0.lock().random::<f64>())
    }

    /// Returns a random delay between 0.5 and 1.5 times `mean`.
    pub(super) fn around(&self, mean: Duration) -> Duration {
        mean / 2 + self.up_to(mean)
    }

    /// Returns a random index below `len`, which must be positive.
    pub(super) fn index(&self, len: usize) -> usize {
        self.0.lock().random_range(0..len)
    }
}
