//! Retry times of refused requests.
//!
//! Callers refused at the same time with the same retry time would retry together and be refused
//! together again. Each refused request therefore reserves capacity of the service rate, so that
//! retries arrive no faster than they can be served. Jitter separates the retries scheduled by
//! different nodes, which do not coordinate.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::Refusal;
use crate::core::time::Moment;

/// Shortest retry time of a refused request.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest retry time of a refused request.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);
/// Largest jitter in percent of the retry time.
const JITTER_PERCENT: u64 = 25;

/// Capacity reserved for retries of refused requests for one model on one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    reserved_until: Moment,
}

impl RetrySchedule {
    /// Sets the retry time of a refused request that costs `cost_tokens`.
    ///
    /// `tokens_per_second` is the part of the service rate that this node may reserve: the home's
    /// rate divided by the number of nodes that send requests to it.
    pub fn schedule_retry(
        &mut self,
        refusal: Refusal,
        cost_tokens: u32,
        tokens_per_second: Option<f64>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Refusal {
        let earliest = refusal
            .retry_after
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
        let start = self.reserved_until.max(now + earliest);
        let service_time =
            tokens_per_second
                .filter(|rate| *rate > 0.0)
                .map_or(Duration::ZERO, |rate| {
                    Duration::try_from_secs_f64(f64::from(cost_tokens) / rate)
                        .unwrap_or(MAX_RETRY_AFTER)
                });
        self.reserved_until = (start + service_time).min(now + MAX_RETRY_AFTER);
        let wait = start.saturating_sub(now).min(MAX_RETRY_AFTER);
        Refusal {
            retry_after: add_jitter(wait, rng),
            ..refusal
        }
    }
}

/// Adds jitter to a retry time, or subtracts it if the sum would exceed `MAX_RETRY_AFTER`.
fn add_jitter(wait: Duration, rng: &mut impl Rng) -> Duration {
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let jitter = rng.random_range(0..=millis.saturating_mul(JITTER_PERCENT) / 100);
    let lengthened = wait + Duration::from_millis(jitter);
    if lengthened <= MAX_RETRY_AFTER {
        lengthened
    } else {
        MAX_RETRY_AFTER - Duration::from_millis(jitter)
    }
}
