//! Whether a failed attempt is made again.
//!
//! Retries may add a bounded share to first attempts, so that a failing back end never gets a multiple
//! of its load. A retry of work that may have run is made only where running it twice does no harm.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::core::id::AttemptNumber;
use crate::core::verdict::Verdict;

/// Attempts of one request, the first among them.
const MAX_ATTEMPTS: AttemptNumber = 4;
/// Retries that are possible after a quiet time.
const RESERVE: f64 = 10.0;
/// Shortest wait before the first retry; doubles with each attempt.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Share of retries in first attempts, of one model or service on one node.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    per_attempt: f64,
}

impl RetryBudget {
    /// Creates a budget in which retries add at most `percent` to first attempts, beside a reserve of
    /// ten retries.
    pub fn new(percent: u8) -> Self {
        Self {
            tokens: RESERVE,
            per_attempt: f64::from(percent) / 100.0,
        }
    }

    /// Changes the share.
    pub fn set_percent(&mut self, percent: u8) {
        self.per_attempt = f64::from(percent) / 100.0;
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.tokens = (self.tokens + self.per_attempt).min(RESERVE);
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Whether running the work twice does no harm. Answers of models are such work.
    pub is_idempotent: bool,
    /// Number of the attempt, from 1.
    pub attempt: AttemptNumber,
    /// Time until the first token or the answer is due.
    pub time_left: Duration,
}

/// Why a failed attempt is not made again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The work took effect.
    HasRun,
    /// The work may have taken effect and must not take effect twice.
    MayHaveRun,
    /// There were as many attempts as there may be.
    TooManyAttempts,
    /// The next attempt would come too late.
    TooLate,
    /// Retries have used up their share.
    BudgetSpent,
}

/// What is done about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is made again.
    Retry {
        /// After this time.
        after: Duration,
    },
    /// It is not.
    GiveUp(GiveUp),
}

/// Decides whether a failed attempt is made again, and charges the budget if it is.
///
/// A request that is moved because an engine or node leaves is not retried in this sense: it goes on
/// where it was, and moves are as few as notices.
pub fn decide(
    failed: &FailedAttempt,
    budget: &mut RetryBudget,
    rng: &mut impl Rng,
) -> RetryDecision {
    if failed.verdict == Verdict::Ran {
        return RetryDecision::GiveUp(GiveUp::HasRun);
    }
    if failed.verdict == Verdict::MayHaveRun && !failed.is_idempotent {
        return RetryDecision::GiveUp(GiveUp::MayHaveRun);
    }
    if failed.attempt >= MAX_ATTEMPTS {
        return RetryDecision::GiveUp(GiveUp::TooManyAttempts);
    }
    let after = backoff(failed.attempt, rng);
    if after >= failed.time_left {
        return RetryDecision::GiveUp(GiveUp::TooLate);
    }
    if !budget.take() {
        return RetryDecision::GiveUp(GiveUp::BudgetSpent);
    }
    RetryDecision::Retry { after }
}

/// Returns the wait before the next attempt: doubled each time, with a random part of its length.
fn backoff(attempt: AttemptNumber, rng: &mut impl Rng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(MAX_ATTEMPTS);
    let base = FIRST_BACKOFF * 2u32.pow(doublings);
    let millis = u64::try_from(base.as_millis()).unwrap_or(u64::MAX);
    base + Duration::from_millis(rng.random_range(0..=millis))
}
