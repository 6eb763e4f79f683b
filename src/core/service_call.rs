//! Call to a service other than a model, and its reply.

use std::time::Duration;

use bytes::Bytes;

use crate::core::id::{CustomerId, NodeId, RequestId, ServiceName};
use crate::core::ledger::{BodyDigest, EntryKey, IdempotencyKey, Outcome};
use crate::core::verdict::Verdict;

/// Call to a non-idempotent service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Request id used in records.
    pub id: RequestId,
    /// Customer of the caller.
    pub customer: CustomerId,
    /// Called service.
    pub service: ServiceName,
    /// Idempotency key; calls with the same key run at most once.
    pub key: IdempotencyKey,
    /// Content type of the body; empty if there is none.
    pub content_type: Box<str>,
    /// Request body.
    pub body: Bytes,
    /// Time left until the caller stops waiting.
    pub timeout: Duration,
}

impl ServiceCall {
    /// Returns the key of the call's ledger entry.
    pub fn entry_key(&self) -> EntryKey {
        EntryKey {
            customer: self.customer.clone(),
            key: self.key,
        }
    }

    /// Returns the digest of service, content type and body, which must match for calls with the
    /// same idempotency key.
    pub fn digest(&self) -> BodyDigest {
        BodyDigest::of(&self.service, &self.content_type, &self.body)
    }
}

/// Reply to a [`ServiceCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallReply {
    /// The call ran, now or before.
    Answered {
        /// Answer of the service; without its body if it was too large to be stored for a replay.
        outcome: Outcome,
        /// Whether the answer is replayed from an earlier request with the same key.
        is_replay: bool,
    },
    /// The call failed or was refused.
    Refused(CallRefusal),
    /// Another node owns the call's ledger shard; nothing was done.
    Owner(NodeId),
}

/// Failure of a call. The verdict covers this request and concurrent requests merged with it, but
/// not earlier requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Cause of the failure.
    pub cause: RefusalCause,
    /// Time after which the caller should retry with the same key.
    pub retry_after: Option<Duration>,
}

impl CallRefusal {
    /// Creates the refusal of a call that did not run.
    pub fn not_run(cause: RefusalCause, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            retry_after,
        }
    }
}

/// Cause of the failure of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The key was used before with another body.
    BodyDiffers,
    /// The time in the key is in the future.
    KeyAhead,
    /// The key is older than the ledger's retention time.
    KeyExpired,
    /// The ledger page for keys of this time is full.
    LedgerFull,
    /// Too many calls are waiting.
    Busy,
    /// The platform's store does not respond.
    StoreDown,
    /// The call is still under way.
    InProgress,
    /// The node that may have sent the call is gone.
    OwnerLost,
    /// The service's answer was lost.
    AnswerLost,
    /// No back end could be reached in time.
    NoBackend,
    /// The operators' document contains no such service.
    UnknownService,
    /// The owner of the call's ledger shard did not respond.
    NoOwner,
    /// Another node sent a cause that this node does not know.
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

    /// Parses a name used on the wire; unknown names become [`RefusalCause::Unknown`].
    pub fn from_name(name: &str) -> Self {
        let found = Self::ALL.into_iter().find(|cause| cause.as_str() == name);
        found.unwrap_or(Self::Unknown)
    }

    /// Returns a description for callers.
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
