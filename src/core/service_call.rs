//! A call to a plain service, and what becomes of it.

use std::time::Duration;

use bytes::Bytes;

use crate::core::id::{CustomerId, NodeId, RequestId, ServiceName};
use crate::core::ledger::{BodyDigest, EntryKey, IdempotencyKey, Outcome};
use crate::core::verdict::Verdict;

/// A call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Name of the request in records.
    pub id: RequestId,
    /// Customer who asks.
    pub customer: CustomerId,
    /// Service that is asked.
    pub service: ServiceName,
    /// Key under which the call runs at most once.
    pub key: IdempotencyKey,
    /// Content type of the body; empty where there is none.
    pub content_type: Box<str>,
    /// Body.
    pub body: Bytes,
    /// Time that the caller still waits for the answer.
    pub timeout: Duration,
}

impl ServiceCall {
    /// Returns the name of the call's entry in the ledger.
    pub fn entry_key(&self) -> EntryKey {
        EntryKey {
            customer: self.customer.clone(),
            key: self.key,
        }
    }

    /// Returns the digest of what the key stands for.
    pub fn digest(&self) -> BodyDigest {
        BodyDigest::of(&self.service, &self.content_type, &self.body)
    }
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallReply {
    /// The call ran, now or before.
    Answered {
        /// The service's answer; without a body where it was too large to be kept for a replay.
        outcome: Outcome,
        /// Whether the answer comes from an earlier request with the same key.
        is_replay: bool,
    },
    /// The call is given up on.
    Refused(CallRefusal),
    /// Another node owns the call's shard; nothing was done.
    Owner(NodeId),
}

/// Why a call is given up on. The verdict speaks of this request and of those that were merged with it,
/// not of earlier requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Cause.
    pub cause: RefusalCause,
    /// When to ask again with the same key.
    pub retry_after: Option<Duration>,
}

impl CallRefusal {
    /// Returns the refusal of a call that was not run.
    pub fn not_run(cause: RefusalCause, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            retry_after,
        }
    }
}

/// Why a call is given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The key stands for a call with another body.
    BodyDiffers,
    /// The key's time is in the future.
    KeyAhead,
    /// The key is older than what the ledger keeps.
    KeyExpired,
    /// The ledger has no room for keys of this time.
    LedgerFull,
    /// Too many calls wait.
    Busy,
    /// The platform's store gives no answers.
    StoreDown,
    /// The call is still under way.
    InProgress,
    /// The node that may have sent the call is gone.
    OwnerLost,
    /// The service's answer was lost.
    AnswerLost,
    /// No back end could be reached in time.
    NoBackend,
    /// The document names no such service.
    UnknownService,
    /// No answer came from the node that keeps the call's shard.
    NoOwner,
    /// The other node said nothing that this one understands.
    Unknown,
}

impl RefusalCause {
    const ALL: [Self; 13] = [
        Self::BodyDiffers,
        Self::KeyAhead,
        Self::KeyExpired,
        Self::LedgerFull,
        Self::Busy,
        Self::StoreDown,
        Self::InProgress,
        Self::OwnerLost,
        Self::AnswerLost,
        Self::NoBackend,
        Self::UnknownService,
        Self::NoOwner,
        Self::Unknown,
    ];

    /// Returns the name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BodyDiffers => "body_differs",
            Self::KeyAhead => "key_ahead",
            Self::KeyExpired => "key_expired",
            Self::LedgerFull => "ledger_full",
            Self::Busy => "busy",
            Self::StoreDown => "store_down",
            Self::InProgress => "in_progress",
            Self::OwnerLost => "owner_lost",
            Self::AnswerLost => "answer_lost",
            Self::NoBackend => "no_backend",
            Self::UnknownService => "unknown_service",
            Self::NoOwner => "no_owner",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the cause with a name; [`RefusalCause::Unknown`] where there is none.
    pub fn from_name(name: &str) -> Self {
        let found = Self::ALL.into_iter().find(|cause| cause.as_str() == name);
        found.unwrap_or(Self::Unknown)
    }

    /// Returns the cause as a sentence for callers.
    pub fn sentence(self) -> &'static str {
        match self {
            Self::BodyDiffers => "The key was used before for a call with another body.",
            Self::KeyAhead => "The key says that it was made in the future; check the clock.",
            Self::KeyExpired => {
                "The key is older than the record of calls, so it cannot be said whether it ran."
            }
            Self::LedgerFull => {
                "The record of calls is full for keys of this time; use a new key after the pause."
            }
            Self::Busy => "Too many calls are waiting.",
            Self::StoreDown => {
                "The platform's store does not answer, so the call was not begun. An earlier request \
                 with the same key keeps the answer that it got."
            }
            Self::InProgress => "The call is still under way; ask again with the same key.",
            Self::OwnerLost => {
                "The node that may have sent the call is gone; the call is not sent again."
            }
            Self::AnswerLost => "The service's answer was lost; the call is not sent again.",
            Self::NoBackend => "No server of the service could be reached in time.",
            Self::UnknownService => "There is no such service.",
            Self::NoOwner => "The node that keeps the record of this call did not answer.",
            Self::Unknown => "Another node refused the call.",
        }
    }
}
