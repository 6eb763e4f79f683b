//! How fast a home serves, and how fast work arrives.

use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::RankLevel;
use crate::core::time::Moment;

/// Requests over which the rate of a slot is smoothed.
const SMOOTHED_REQUESTS: f64 = 32.0;
/// Time over which arrivals are smoothed.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(5);

/// Tokens that a home's slots serve a second, from finished requests.
///
/// The rate of one busy slot is smoothed, not the rate of the home: a home that is half idle is not
/// slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    tokens: f64,
    seconds: f64,
    requests: f64,
}

impl DrainRate {
    /// Learns from a request that held a slot for `service` and was settled at `tokens`.
    pub fn observe(&mut self, tokens: u32, service: Duration) {
        let keep = 1.0 - 1.0 / SMOOTHED_REQUESTS;
        self.tokens = self.tokens * keep + f64::from(tokens);
        self.seconds = self.seconds * keep + service.as_secs_f64();
        self.requests = self.requests * keep + 1.0;
    }

    /// Returns the tokens a second of `slots` busy slots, or `None` before the first observation.
    pub fn tokens_per_second(&self, slots: u32) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.tokens / self.seconds * f64::from(slots))
    }

    /// Returns the mean time that a request holds a slot.
    pub fn mean_service(&self) -> Option<Duration> {
        (self.requests > 0.0).then(|| Duration::from_secs_f64(self.seconds / self.requests))
    }
}

/// Tokens that arrive a second, by rank level, decayed over five seconds.
#[derive(Clone, Debug, Default)]
pub struct RankArrivals {
    tokens: SmallVec<[f64; 4]>,
    updated: Moment,
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

    /// Returns the tokens a second that arrive at levels more urgent than `level`.
    pub fn above(&mut self, level: RankLevel, now: Moment) -> f64 {
        self.decay(now);
        let tokens: f64 = self.tokens.iter().take(level.into()).sum();
        tokens / ARRIVAL_WINDOW.as_secs_f64()
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let keep = (-elapsed / ARRIVAL_WINDOW.as_secs_f64()).exp();
        for tokens in &mut self.tokens {
            *tokens *= keep;
        }
    }
}
