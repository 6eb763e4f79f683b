//! What a serving node and the home of an engine say to each other about one attempt.

use crate::core::id::{AttemptNumber, NodeId, TokenOffset, VmId};
use crate::core::request::{AcceptedRequest, Completion};
use crate::core::verdict::Verdict;

/// An engine that may still make the tokens of an earlier attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// The engine's VM.
    pub engine: VmId,
    /// Attempt under which the engine knows the request.
    pub attempt: AttemptNumber,
}

/// Asks a home to run one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The request.
    pub request: AcceptedRequest,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Node that serves the request.
    pub from: NodeId,
    /// Tokens that callers may have already.
    pub prior_tokens: Vec<Box<str>>,
    /// Engine that should run it, if it can.
    pub preferred_engine: Option<VmId>,
    /// Engine to attach to instead of starting anew.
    pub attachment: Option<Attachment>,
    /// State of an engine's cache, exported where the request ran before.
    pub kv_blob: Option<Box<[u8]>>,
    /// Milliseconds until the first token is due.
    pub deadline_ms: u32,
}

/// What a home tells about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchEvent {
    /// Waits in the queue. Sent again now and then, so that silence means a lost connection.
    Queued {
        /// Requests in front of it.
        position: u32,
        /// Expected wait in milliseconds.
        expected_wait_ms: u32,
    },
    /// An engine has started it.
    Started {
        /// The engine's VM.
        engine: VmId,
        /// Attempt under which the engine knows it.
        engine_attempt: AttemptNumber,
        /// Time in the queue in milliseconds.
        waited_ms: u32,
    },
    /// Tokens; none where the event only shows that the connection lives.
    Tokens {
        /// Offset of the first one in the answer.
        offset: TokenOffset,
        /// The tokens.
        tokens: Vec<Box<str>>,
    },
    /// The answer is whole.
    Finished {
        /// Tokens of the whole answer, those made before included.
        total: TokenOffset,
        /// What is charged.
        completion: Completion,
    },
    /// The home will not run it.
    Refused {
        /// Why.
        cause: Box<str>,
        /// Whether an engine may have started it.
        verdict: Verdict,
        /// Milliseconds after which it makes sense to ask again.
        retry_after_ms: u32,
    },
    /// The rest has to be run elsewhere.
    Moved {
        /// Why.
        cause: Box<str>,
        /// Engine that goes on making tokens for a while, if one does.
        attachment: Option<Attachment>,
        /// State of the engine's cache, where it was exported.
        kv_blob: Option<Box<[u8]>>,
        /// Whether an engine may have started the attempt.
        verdict: Verdict,
    },
}

impl DispatchEvent {
    /// Returns whether no event follows this one.
    pub fn is_last(&self) -> bool {
        matches!(
            self,
            Self::Finished { .. } | Self::Refused { .. } | Self::Moved { .. }
        )
    }
}
