//! Token bucket of a holder for one customer, whose rate and size follow the fractions that are lent to it.

use std::collections::HashMap;
use std::time::Duration;

use super::{Charge, Work};
use crate::core::gateway::members::NodeName;
use crate::core::gateway::precedence::{Allowance, Class, Precedence, RefusedCall};
use crate::core::gateway::routes::Quota;
use crate::core::time::Moment;

/// Excess over a customer's limit that is tolerated: a fraction of what the limit allows in [`OVERRUN_WINDOW`].
const OVERRUN: f64 = 0.1;
/// Window in which the excess is counted.
const OVERRUN_WINDOW: Duration = Duration::from_secs(8);
/// Smallest fraction of a limit with which a holder may overdraw its bucket by any one call. At most ten holders
/// have it at the same time, so that their overdrafts add up to at most ten calls.
const MIN_WHOLE_CALL_FRACTION: f64 = 0.1;
/// Time for which a customer's rate may be overdrawn by calls that go on with charged work.
const MAX_OVERDRAFT: Duration = Duration::from_secs(2);
/// Time for which a fraction counts as unused before its lease begins at a process that has just started. A part stays
/// unused for longer while processes restart.
const START_CREDIT: Duration = Duration::from_millis(500);
/// Shortest retry delay that a refused caller is given.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest retry delay that a refused caller is given.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// State of the limit at the refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
    /// Level of the holder's bucket, in units.
    pub level: f64,
    /// Part of the level that is reserved for calls that go before this one, in units.
    pub reserve: f64,
    /// Whether the request came back as its caller was told.
    pub is_return: bool,
    /// Refill rate of the holder's bucket, in units a second.
    pub rate: f64,
    /// Fraction of the limit that is lent to the holder.
    pub fraction: f64,
}

/// Fraction of a customer's limit that a node has lent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Lease {
    fraction: f64,
    until: Moment,
}

/// Token bucket of a holder for one customer. It starts empty.
#[derive(Debug)]
pub struct Bucket {
    quota: Quota,
    leases: HashMap<NodeName, Lease>,
    /// Sum of the fractions of all leases.
    fraction: f64,
    /// Moment up to which no lease ends.
    stable_until: Moment,
    level: f64,
    refilled_at: Moment,
    precedence: Precedence,
}

impl Bucket {
    /// Creates a bucket without a lease.
    pub fn new(quota: Quota, now: Moment) -> Self {
        Self {
            quota,
            leases: HashMap::new(),
            fraction: 0.0,
            stable_until: Moment::MAX,
            level: 0.0,
            refilled_at: now,
            precedence: Precedence::default(),
        }
    }

    /// Adds or replaces the lease of a lender. Returns whether the lender had none.
    pub fn lend(&mut self, lender: &NodeName, fraction: f64, until: Moment, now: Moment) -> bool {
        let lease = Lease { fraction, until };
        if let Some(known) = self.leases.get_mut(lender)
            && known.fraction == fraction
            && known.until > now
        {
            known.until = until;
            self.stable_until = self.stable_until.min(until);
            return false;
        }
        self.advance(now);
        let before = self.leases.insert(lender.clone(), lease);
        self.sum_leases();
        before.is_none()
    }

    /// Adds the allowance of a fraction that was not used while no process held it.
    pub fn credit_start(&mut self, fraction: f64) {
        self.level += self.quota.per_second * fraction * START_CREDIT.as_secs_f64();
        self.limit_level();
    }

    /// Removes the lease of a lender.
    pub fn withdraw(&mut self, lender: &str, now: Moment) {
        self.advance(now);
        if self.leases.remove(lender).is_some() {
            self.sum_leases();
        }
    }

    /// Charges a call if the level, less the reserve for calls that go before it, allows it.
    ///
    /// # Errors
    ///
    /// Fails with the state of the bucket if it does not.
    pub fn charge(
        &mut self,
        charge: &Charge<'_>,
        quota: &Quota,
        now: Moment,
    ) -> Result<(), Shortage> {
        self.advance(now);
        self.quota = *quota;
        self.limit_level();
        match charge.work {
            Work::New => self.charge_new(charge, now),
            Work::Continued => self.charge_continued(charge.units),
        }
    }

    fn charge_new(&mut self, charge: &Charge<'_>, now: Moment) -> Result<(), Shortage> {
        let Charge {
            units, priority, ..
        } = *charge;
        let class = self.precedence.record_asked(&priority, units, now);
        let reserve = self.precedence.reserve(class, units, self.allowance(), now);
        let is_within = self.level > reserve && units <= self.level + self.overdraft(units);
        if is_within && self.fraction > 0.0 {
            self.level -= units;
            self.precedence
                .record_granted(class, priority.request, units, now);
            return Ok(());
        }
        self.precedence
            .record_refused(class, units, self.allowance(), now);
        let retry_after = match self.precedence.has_several_ranks(now) {
            true => self.schedule_return(charge, class, reserve, now),
            false => self.retry_after(units),
        };
        Err(self.shortage(retry_after, reserve, class.is_return))
    }

    /// Charges a call whose work was charged before.
    fn charge_continued(&mut self, units: f64) -> Result<(), Shortage> {
        let is_within = self.level > -self.rate() * MAX_OVERDRAFT.as_secs_f64();
        if is_within && self.fraction > 0.0 {
            self.level -= units;
            return Ok(());
        }
        Err(self.shortage(self.retry_after(units), 0.0, false))
    }

    /// Refunds the units of a call that was not run.
    pub fn refund(&mut self, units: f64, now: Moment) {
        self.advance(now);
        self.level += units;
        self.limit_level();
    }

    /// Returns the fraction of the limit that is lent.
    pub fn fraction(&mut self, now: Moment) -> f64 {
        self.advance(now);
        self.fraction
    }

    /// Returns whether the bucket is in debt, or has a lease.
    pub fn is_used(&mut self, now: Moment) -> bool {
        self.advance(now);
        !self.leases.is_empty()
    }

    /// Returns the refill rate in units a second.
    fn rate(&self) -> f64 {
        self.quota.per_second * self.fraction
    }

    /// Returns by how much a call of `units` may overdraw the bucket.
    fn overdraft(&self, units: f64) -> f64 {
        if self.fraction >= MIN_WHOLE_CALL_FRACTION {
            return units;
        }
        let in_window = self.quota.per_second * OVERRUN_WINDOW.as_secs_f64() + self.quota.burst;
        OVERRUN * in_window * self.fraction
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            rate: self.rate(),
            capacity: self.quota.burst * self.fraction,
        }
    }

    /// Returns the retry delay of a refused call of a customer whose calls have one rank.
    fn retry_after(&self, units: f64) -> Duration {
        let lack = units * 0.1 - self.level;
        let wait = Duration::try_from_secs_f64(lack / self.rate().max(1e-9));
        wait.unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Schedules the return of a refused call, and returns its retry delay.
    fn schedule_return(
        &mut self,
        charge: &Charge<'_>,
        class: Class,
        reserve: f64,
        now: Moment,
    ) -> Duration {
        let needed = reserve.max(charge.units - self.overdraft(charge.units));
        let max_retry_after = charge.priority.max_retry_after.min(MAX_RETRY_AFTER);
        let refused = RefusedCall {
            class,
            request: charge.priority.request,
            units: charge.units,
            lack: needed - self.level,
            min_retry_after: MIN_RETRY_AFTER,
            max_retry_after,
        };
        let allowance = self.allowance();
        self.precedence.schedule_return(&refused, allowance, now)
    }

    fn shortage(&self, retry_after: Duration, reserve: f64, is_return: bool) -> Shortage {
        Shortage {
            retry_after,
            level: self.level,
            reserve,
            is_return,
            rate: self.rate(),
            fraction: self.fraction,
        }
    }

    /// Refills the bucket up to `now`, with the leases that were in force at each moment.
    fn advance(&mut self, now: Moment) {
        while self.stable_until <= now {
            let at = self.stable_until.max(self.refilled_at);
            self.refill(at);
            self.leases.retain(|_, lease| lease.until > at);
            self.sum_leases();
        }
        self.refill(now);
    }

    fn refill(&mut self, to: Moment) {
        let elapsed = to.saturating_sub(self.refilled_at).as_secs_f64();
        self.level += self.rate() * elapsed;
        self.refilled_at = self.refilled_at.max(to);
        self.limit_level();
    }

    fn sum_leases(&mut self) {
        self.fraction = self.leases.values().map(|lease| lease.fraction).sum();
        let ends = self.leases.values().map(|lease| lease.until);
        self.stable_until = ends.min().unwrap_or(Moment::MAX);
        self.limit_level();
    }

    fn limit_level(&mut self) {
        self.level = self.level.min(self.quota.burst * self.fraction);
    }
}
