//! Decides whether a failed attempt is retried.
//!
//! A retry budget limits retries to a share of first attempts, so that retries never multiply the
//! load of a failing back end. Work that may have run is retried only if it is idempotent.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::core::id::AttemptNumber;
use crate::core::verdict::Verdict;

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: AttemptNumber = 4;
/// Capacity of the retry budget, in retries.
const BUDGET_CAPACITY: f64 = 10.0;
/// Shortest backoff before the first retry; doubles with each attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(50);

/// Token bucket of retries for one model or service on one node, refilled by first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    tokens_per_attempt: f64,
}

impl RetryBudget {
    /// Creates a budget that allows retries of `percent` of first attempts, in addition to an
    /// initial reserve of ten retries.
    pub fn new(percent: u8) -> Self {
        Self {
            tokens: BUDGET_CAPACITY,
            tokens_per_attempt: f64::from(percent) / 100.0,
        }
    }

    /// Changes the allowed share of retries.
    pub fn set_percent(&mut self, percent: u8) {
        self.tokens_per_attempt = f64::from(percent) / 100.0;
    }

    /// Records a first attempt, which refills the budget.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_attempt).min(BUDGET_CAPACITY);
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Failed attempt, as input to [`decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the work may have run.
    pub verdict: Verdict,
    /// Whether the work can safely run twice. Answers of models are idempotent.
    pub is_idempotent: bool,
    /// Number of the attempt, counted from 1.
    pub attempt: AttemptNumber,
    /// Time until the first token or the answer is due.
    pub time_left: Duration,
}

/// Reason for not retrying a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The work took effect.
    HasRun,
    /// The work may have taken effect and is not idempotent.
    MayHaveRun,
    /// The maximum number of attempts is reached.
    TooManyAttempts,
    /// The backoff would exceed the time left.
    TooLate,
    /// The retry budget is exhausted.
    BudgetSpent,
}

/// Result of [`decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry the attempt.
    Retry {
        /// Backoff before the next attempt.
        after: Duration,
    },
    /// Do not retry.
    GiveUp(GiveUp),
}

/// Decides whether a failed attempt is retried, and charges the budget if so.
///
/// Moving a request because an engine or node is leaving is not a retry and is not charged: the
/// answer continues from its last token, and the number of moves is limited by that of leave
/// notices.
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

/// Returns the backoff before the next attempt: exponential, with jitter of up to 100 percent.
fn backoff(attempt: AttemptNumber, rng: &mut impl Rng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(MAX_ATTEMPTS);
    let base = BASE_BACKOFF * 2u32.pow(doublings);
    let millis = u64::try_from(base.as_millis()).unwrap_or(u64::MAX);
    base + Duration::from_millis(rng.random_range(0..=millis))
}
