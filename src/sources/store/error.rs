//! Errors of the store client.

use std::time::Duration;

use thiserror::Error;

use super::types::{Era, Revision};
use crate::core::verdict::Verdict;

/// Why a call to the store failed, and whether it may have taken effect nevertheless.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No connection was made. The call did not take effect.
    #[error("the store was not reached: {cause}")]
    NotReached {
        /// Error of the connection attempt.
        cause: Box<str>,
    },
    /// The rate limit of the store, or this node's share of it, is exhausted. The call did not take
    /// effect.
    #[error("the store's rate limit is used up for {} ms", .retry_after.as_millis())]
    RateLimited {
        /// Time after which the call may be retried.
        retry_after: Duration,
    },
    /// The call was sent and there was no usable response. It may have taken effect, or may still do
    /// so.
    #[error("the store's answer was lost: {cause}")]
    AnswerLost {
        /// Error that was observed.
        cause: Box<str>,
    },
    /// The store refused the call. It did not take effect.
    #[error("the store refused the call: {cause}")]
    Refused {
        /// Error message of the store.
        cause: Box<str>,
    },
    /// The store has come back from an older copy since the revision in a condition of the call. The call
    /// may have taken effect, as a revision of the same number may be that of another value.
    #[error("the store has come back from an older copy, in era {era}")]
    Restored {
        /// Era of the store.
        era: Era,
    },
    /// The lease has expired. The call did not take effect.
    #[error("the lease has ended")]
    LeaseNotFound,
    /// The revisions that a watch requested have been compacted. The keys must be listed again.
    #[error("the store's history begins at revision {revision}")]
    Compacted {
        /// First revision that is still available.
        revision: Revision,
    },
}

/// The module's result.
pub type Result<T> = std::result::Result<T, StoreError>;

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::AnswerLost { .. } | Self::Restored { .. } => Verdict::MayHaveRun,
            Self::NotReached { .. }
            | Self::RateLimited { .. }
            | Self::Refused { .. }
            | Self::LeaseNotFound
            | Self::Compacted { .. } => Verdict::NotRun,
        }
    }
}
