//! Estimates of a home node's service rate and of its arrival rates.

use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::RankLevel;
use crate::core::time::Moment;

/// Time constant, in requests, of the smoothed rate of a slot.
const SMOOTHING_REQUESTS: f64 = 32.0;
/// Time constant of the smoothed arrival rates.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Service rate of a home node's slots in tokens per second, estimated from finished requests.
///
/// The estimate is the smoothed rate of one busy slot rather than the throughput of the home,
/// because a half idle home would otherwise appear slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    tokens: f64,
    seconds: f64,
    requests: f64,
}

impl DrainRate {
    /// Records a finished request that occupied a slot for `service` and was settled at `tokens`.
    pub fn observe(&mut self, tokens: u32, service: Duration) {
        let decay_factor = 1.0 - 1.0 / SMOOTHING_REQUESTS;
        self.tokens = self.tokens * decay_factor + f64::from(tokens);
        self.seconds = self.seconds * decay_factor + service.as_secs_f64();
        self.requests = self.requests * decay_factor + 1.0;
    }

    /// Returns the tokens per second of `slots` busy slots, or `None` before the first observation.
    pub fn tokens_per_second(&self, slots: u32) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.tokens / self.seconds * f64::from(slots))
    }

    /// Returns the mean time that a request occupies a slot, or `None` before the first
    /// observation.
    pub fn mean_service(&self) -> Option<Duration> {
        (self.requests > 0.0).then(|| Duration::from_secs_f64(self.seconds / self.requests))
    }
}

/// Arrival rate in tokens per second by rank level, with exponential decay over five seconds.
#[derive(Clone, Debug, Default)]
pub struct RankArrivals {
    tokens: SmallVec<[f64; 4]>,
    updated_at: Moment,
}

impl RankArrivals {
    /// Counts an accepted request.
    pub fn observe(&mut self, level: RankLevel, tokens: u32, now: Moment) {
        self.decay(now);
        let level = usize::from(level);
        if self.tokens.len() <= level {
            self.tokens.resize(level + 1, 0.0);
        }
        self.tokens[level] += f64::from(tokens);
    }

    /// Returns the tokens per second that arrive at levels more urgent than `level`.
    pub fn rate_above(&mut self, level: RankLevel, now: Moment) -> f64 {
        self.decay(now);
        let tokens: f64 = self.tokens.iter().take(level.into()).sum();
        tokens / ARRIVAL_TIME_CONSTANT.as_secs_f64()
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let decay_factor = (-elapsed / ARRIVAL_TIME_CONSTANT.as_secs_f64()).exp();
        for tokens in &mut self.tokens {
            *tokens *= decay_factor;
        }
    }
}
