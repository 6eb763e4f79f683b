//! Which calls of a customer are charged first while its quota is short.
//!
//! Calls are ordered by class: by rank, and within a rank requests that come back after a refusal before new ones. A
//! call is charged only while the level of the bucket is above a reserve for the classes before its own: one for more
//! urgent ranks, in proportion to the rate at which they have asked lately, and one for requests that are about to come
//! back. The reserve decides only who is charged: a bucket admits no more than without it. It does not depend on the
//! size of the call, so that large calls of a rank are charged as often as small ones. Only calls of a small fraction of
//! the mean size, such as orders beside prompts, have a smaller one: to refuse them leaves hardly more for the others.
//!
//! Each rank keeps a minimum share, so that more urgent calls beyond the limit do not stop the others. A customer whose
//! calls all have one rank has no reserve, and its requests come back without precedence.

mod returns;

use std::time::Duration;

use self::returns::{Returns, Slot};
use super::decay::DecayingSum;
use super::request_id::RequestId;
use crate::core::time::Moment;

/// Number of ranks of one customer's calls.
pub const RANKS: usize = 3;

/// Window of the rates at which calls are asked for and granted.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Time without a call of a rank after which the rank counts as unused.
const RANK_TTL: Duration = Duration::from_secs(10);
/// Time for which the reserve for more urgent ranks lasts them.
const RESERVE_TIME: Duration = Duration::from_millis(500);
/// Largest reserve for more urgent ranks, as a fraction of the bucket's capacity.
const MAX_RESERVE: f64 = 0.5;
/// Largest reserve for returning requests, as a fraction of the bucket's capacity.
const MAX_RETURN_RESERVE: f64 = 0.1;
/// Minimum share of a rank: a fraction of what it would get if all ranks were charged alike.
const MIN_SHARE: f64 = 0.3;
/// Fraction of the rate left to a rank that is scheduled for its returning requests. New ones get the rest: a
/// customer beyond its limit for long would otherwise be served only after a delay.
const RETURN_SHARE: f64 = 0.5;

/// Size below which the reserve for a call is smaller, as a fraction of the mean size of the customer's calls.
const SMALL_CALL: f64 = 0.25;

/// Priority of a call among the calls of its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Priority {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Identity of the request over its attempts, by which its return is recognized.
    pub request: Option<RequestId>,
    /// Longest retry delay that is of use to the caller.
    pub max_retry_after: Duration,
}

impl Default for Priority {
    /// The priority of calls for which none is known.
    fn default() -> Self {
        Self {
            rank: 0,
            request: None,
            max_retry_after: Duration::MAX,
        }
    }
}

/// Class of a call, by which it is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    rank: usize,
    /// Whether the request comes back as its caller was told.
    pub is_return: bool,
}

/// What a bucket may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Refill rate, in units a second.
    pub rate: f64,
    /// Largest level, in units.
    pub capacity: f64,
}

/// A call that was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefusedCall {
    /// Its class.
    pub class: Class,
    /// Identity of the request over its attempts.
    pub request: Option<RequestId>,
    /// Its units.
    pub units: f64,
    /// Units that the level is short of.
    pub lack: f64,
    /// Shortest retry delay.
    pub min_retry_after: Duration,
    /// Longest retry delay.
    pub max_retry_after: Duration,
}

/// Use of a bucket by the calls of one rank.
#[derive(Debug, Default)]
struct RankUse {
    /// Units that calls have asked for.
    asked: DecayingSum,
    last_asked: Option<Moment>,
    /// Units by which the rank is below its minimum share. Negative after a call that exceeded it.
    owed: f64,
}

impl RankUse {
    fn asked(&self, now: Moment) -> f64 {
        self.asked.value(RATE_WINDOW, now)
    }

    /// Counts granted units against the minimum share. Units beyond what the rank is owed count in advance only if it
    /// is owed something, and so may have used the reserve.
    fn settle(&mut self, units: f64) {
        let lowest = match self.owed > 0.0 {
            true => f64::NEG_INFINITY,
            false => self.owed,
        };
        self.owed = (self.owed - units).max(lowest);
    }

    fn is_in_use(&self, now: Moment) -> bool {
        self.last_asked
            .is_some_and(|at| now.saturating_sub(at) <= RANK_TTL)
    }
}

/// Use of a bucket by rank, and the requests that are expected to come back.
#[derive(Debug, Default)]
pub struct Precedence {
    ranks: [RankUse; RANKS],
    /// Number of calls of all ranks.
    calls: DecayingSum,
    /// Units of all ranks that were granted.
    granted: DecayingSum,
    returns: Returns,
}

impl Precedence {
    /// Records that a call asks for `units`, and returns its class.
    pub fn record_asked(&mut self, priority: &Priority, units: f64, now: Moment) -> Class {
        let class = Class {
            rank: rank_index(priority),
            is_return: self.returns.is_due(priority.request, now),
        };
        self.calls.add(1.0, RATE_WINDOW, now);
        let rank = &mut self.ranks[class.rank];
        rank.last_asked = Some(now);
        rank.asked.add(units, RATE_WINDOW, now);
        class
    }

    /// Records that a call was granted.
    pub fn record_granted(
        &mut self,
        class: Class,
        request: Option<RequestId>,
        units: f64,
        now: Moment,
    ) {
        self.granted.add(units, RATE_WINDOW, now);
        self.ranks[class.rank].settle(units);
        self.returns.remove(request);
    }

    /// Records that a call was refused.
    pub fn record_refused(&mut self, class: Class, units: f64, allowance: Allowance, now: Moment) {
        let earned = units * MIN_SHARE * self.granted_fraction(allowance.rate, now);
        let rank = &mut self.ranks[class.rank];
        rank.owed = (rank.owed + earned).min(units);
    }

    /// Returns the level above which a call of a class and of this size is granted.
    pub fn reserve(&self, class: Class, units: f64, allowance: Allowance, now: Moment) -> f64 {
        let Allowance { rate, capacity } = allowance;
        if rate <= 0.0 {
            return 0.0;
        }
        let full_reserve = (rate * RESERVE_TIME.as_secs_f64()).min(capacity * MAX_RESERVE);
        let limit = match self.ranks[class.rank].owed > 0.0 {
            true => rate * (1.0 - MIN_SHARE),
            false => f64::INFINITY,
        };
        let urgent = self.urgent_rate(class.rank, limit, now).min(rate);
        let ranks_before = match class.is_return {
            true => class.rank,
            false => class.rank + 1,
        };
        let returning = self.returns.expected_units(ranks_before, now);
        let reserve = full_reserve * urgent / rate + returning.min(capacity * MAX_RETURN_RESERVE);
        reserve * self.size_factor(units, now)
    }

    /// Returns the fraction of the reserve that applies to a call of this size.
    fn size_factor(&self, units: f64, now: Moment) -> f64 {
        let asked: f64 = self.ranks.iter().map(|rank| rank.asked(now)).sum();
        let mean = asked / self.calls.value(RATE_WINDOW, now).max(1.0);
        (units / (mean * SMALL_CALL).max(1.0)).min(1.0)
    }

    /// Returns whether calls of several ranks are made, so that some go before others.
    pub fn has_several_ranks(&self, now: Moment) -> bool {
        let used = self.ranks.iter().filter(|rank| rank.is_in_use(now));
        used.count() > 1
    }

    /// Schedules the return of a refused call, and returns its retry delay: the time until the bucket is expected to
    /// have room for it beside the classes before it and the returns that were scheduled. If that is longer than its
    /// longest delay, nothing is scheduled.
    pub fn schedule_return(
        &mut self,
        call: &RefusedCall,
        allowance: Allowance,
        now: Moment,
    ) -> Duration {
        let rank = call.class.rank;
        let rate = self.rate_left(rank, allowance.rate, now);
        let slot = Slot {
            until_room: duration(call.lack / rate).max(call.min_retry_after),
            units: call.units,
            length: duration(call.units / (rate * RETURN_SHARE)),
        };
        self.returns
            .schedule(rank, call.request, slot, call.max_retry_after, now)
    }

    /// Returns the rate that more urgent calls leave to a rank.
    fn rate_left(&self, rank: usize, rate: f64, now: Moment) -> f64 {
        let left = rate - self.urgent_rate(rank, f64::INFINITY, now);
        left.max(rate * MIN_SHARE)
    }

    /// Returns the rate at which the ranks before `rank` have asked, the most urgent first, as long as the sum is at
    /// most `limit`.
    fn urgent_rate(&self, rank: usize, limit: f64, now: Moment) -> f64 {
        let mut sum = 0.0;
        for urgent in &self.ranks[..rank] {
            let rate = urgent.asked(now) / RATE_WINDOW.as_secs_f64();
            if sum + rate > limit {
                break;
            }
            sum += rate;
        }
        sum
    }

    /// Returns the fraction of the units asked for lately that was granted, at most what `rate` allows in the long run.
    fn granted_fraction(&self, rate: f64, now: Moment) -> f64 {
        let asked: f64 = self.ranks.iter().map(|rank| rank.asked(now)).sum();
        let granted = self.granted.value(RATE_WINDOW, now);
        granted.min(rate * RATE_WINDOW.as_secs_f64()) / asked.max(1.0)
    }
}

fn rank_index(priority: &Priority) -> usize {
    usize::from(priority.rank).min(RANKS - 1)
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
