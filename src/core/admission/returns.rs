//! When refused callers come back.
//!
//! Callers that were refused together and told the same time would come back together and be refused
//! together again. Each refused request books its share of the drain rate, so that returns arrive no
//! faster than they can be served, and a random part keeps nodes that book separately apart.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::Refusal;
use crate::core::time::Moment;

/// Shortest time after which a refused caller comes back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller comes back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);
/// Random part in percent of the time.
const SPREAD_PERCENT: u64 = 25;

/// Times booked for the return of refused requests, of one model on one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    booked_until: Moment,
}

impl ReturnSchedule {
    /// Sets when the caller of a refused request of `cost_tokens` shall come back.
    ///
    /// `tokens_per_second` is the part of the drain rate that this node may book: the home's rate,
    /// divided by the number of nodes that send to it.
    pub fn book(
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
        let start = self.booked_until.max(now + earliest);
        let share = tokens_per_second
            .filter(|rate| *rate > 0.0)
            .map_or(Duration::ZERO, |rate| {
                Duration::try_from_secs_f64(f64::from(cost_tokens) / rate)
                    .unwrap_or(MAX_RETRY_AFTER)
            });
        self.booked_until = (start + share).min(now + MAX_RETRY_AFTER);
        let wait = start.saturating_sub(now).min(MAX_RETRY_AFTER);
        Refusal {
            retry_after: spread(wait, rng),
            ..refusal
        }
    }
}

/// Lengthens a time by a random part, or shortens it where it would pass the longest.
fn spread(wait: Duration, rng: &mut impl Rng) -> Duration {
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let part = rng.random_range(0..=millis.saturating_mul(SPREAD_PERCENT) / 100);
    let longer = wait + Duration::from_millis(part);
    if longer <= MAX_RETRY_AFTER {
        longer
    } else {
        MAX_RETRY_AFTER - Duration::from_millis(part)
    }
}
