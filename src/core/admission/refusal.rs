//! Refusals made before a request runs.

use std::fmt;
use std::time::Duration;

use thiserror::Error;

use crate::core::verdict::Verdict;

/// The module's result.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Reason for refusing a request before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The expected wait for a slot exceeds the usable part of the deadline.
    DeadlineUnreachable {
        /// Expected wait.
        expected_wait: Duration,
        /// Time until the first token is due.
        deadline: Duration,
    },
    /// The deadline passed while the request was queued.
    DeadlinePassed {
        /// Time in the queue.
        waited: Duration,
    },
    /// The customer has used up its token rate.
    TokenLimit {
        /// Limit in tokens per second over all nodes.
        tokens_per_second: u32,
    },
    /// The customer has reached its limit of unfinished requests.
    InFlightLimit {
        /// Limit over all nodes.
        max_in_flight: u32,
    },
    /// No back end serves the requested model or service.
    NoBackend,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DeadlineUnreachable {
                expected_wait,
                deadline,
            } => write!(
                f,
                "the expected wait of {:.1} s is longer than the {:.1} s left",
                expected_wait.as_secs_f64(),
                deadline.as_secs_f64()
            ),
            Self::DeadlinePassed { waited } => write!(
                f,
                "no slot became free in the {:.1} s that the request could wait",
                waited.as_secs_f64()
            ),
            Self::TokenLimit { tokens_per_second } => write!(
                f,
                "the customer's {tokens_per_second} tokens a second are used up"
            ),
            Self::InFlightLimit { max_in_flight } => write!(
                f,
                "the customer already has {max_in_flight} unfinished requests"
            ),
            Self::NoBackend => f.write_str("no back end serves this now"),
        }
    }
}

/// Refusal of a request before it ran.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{cause}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns the verdict, which is `NotRun` for all refusals.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// Returns the value of a `Retry-After` header in whole seconds, at least 1.
    pub fn retry_after_seconds(&self) -> u64 {
        let millis = self.retry_after.as_millis();
        u64::try_from(millis.div_ceil(1000))
            .unwrap_or(u64::MAX)
            .max(1)
    }
}
