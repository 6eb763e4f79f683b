//! Why the store gave no answer.

use std::time::Duration;

use thiserror::Error;

use super::types::Revision;
use crate::core::verdict::Verdict;

/// Why the store gave no answer, and whether the call may have taken effect all the same.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No connection was made. The call did not take effect.
    #[error("the store was not reached: {cause}")]
    NotReached {
        /// What the connection attempt said.
        cause: Box<str>,
    },
    /// The store, or this node's share of it, is used up. The call did not take effect.
    #[error("the store's rate limit is used up for {} ms", .retry_after.as_millis())]
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// The call left and no usable answer came. It may have taken effect, or may still do so.
    #[error("the store's answer was lost: {cause}")]
    AnswerLost {
        /// What was seen instead of an answer.
        cause: Box<str>,
    },
    /// The store refused the call. It did not take effect.
    #[error("the store refused the call: {cause}")]
    Refused {
        /// The store's own text.
        cause: Box<str>,
    },
    /// The lease has ended. The call did not take effect.
    #[error("the lease has ended")]
    LeaseNotFound,
    /// The history that a watch asked for is gone. The keys have to be read anew.
    #[error("the store's history begins at revision {revision}")]
    Compacted {
        /// First revision that can be watched.
        revision: Revision,
    },
}

/// The module's result.
pub type Result<T> = std::result::Result<T, StoreError>;

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::AnswerLost { .. } => Verdict::MayHaveRun,
            Self::NotReached { .. }
            | Self::RateLimited { .. }
            | Self::Refused { .. }
            | Self::LeaseNotFound
            | Self::Compacted { .. } => Verdict::NotRun,
        }
    }
}
