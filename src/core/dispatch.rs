//! Messages between the serving node of a request and the home node of an engine about one attempt.

use crate::core::id::{AttemptNumber, NodeId, TokenOffset, VmId};
use crate::core::request::{AcceptedRequest, Completion};
use crate::core::verdict::Verdict;

/// Engine that may still be generating the tokens of an earlier attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// VM of the engine.
    pub engine: VmId,
    /// Attempt number under which the request runs on the engine.
    pub attempt: AttemptNumber,
}

/// Order to a home node to run one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The request.
    pub request: AcceptedRequest,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Node that serves the request.
    pub from: NodeId,
    /// Tokens that may have been sent to callers already.
    pub prior_tokens: Vec<Box<str>>,
    /// Engine that runs the attempt if it has capacity.
    pub preferred_engine: Option<VmId>,
    /// Engine to attach to instead of starting a new run.
    pub attachment: Option<Attachment>,
    /// Exported KV cache of the engine that ran the request before.
    pub kv_blob: Option<Box<[u8]>>,
    /// Milliseconds until the first token is due.
    pub deadline_ms: u32,
}

/// Event of an attempt, sent by the home node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchEvent {
    /// The attempt is queued. Repeated periodically as a heartbeat, so that a lost connection can
    /// be detected.
    Queued {
        /// Number of requests ahead in the queue.
        position: u32,
        /// Expected wait in milliseconds.
        expected_wait_ms: u32,
    },
    /// An engine has started the attempt.
    Started {
        /// VM of the engine.
        engine: VmId,
        /// Attempt number under which the request runs on the engine.
        engine_attempt: AttemptNumber,
        /// Time in the queue in milliseconds.
        waited_ms: u32,
    },
    /// Generated tokens; an empty list is a heartbeat.
    Tokens {
        /// Offset of the first token in the answer.
        offset: TokenOffset,
        /// The tokens.
        tokens: Vec<Box<str>>,
    },
    /// The answer is complete.
    Finished {
        /// Tokens of the complete answer, including those of earlier attempts.
        total: TokenOffset,
        /// Finish reason and token counts, which are charged.
        completion: Completion,
    },
    /// The home refuses the attempt.
    Refused {
        /// Cause as a text for the caller.
        cause: Box<str>,
        /// Whether an engine may have started the attempt.
        verdict: Verdict,
        /// Time in milliseconds after which the caller should retry.
        retry_after_ms: u32,
    },
    /// The rest of the answer has to be generated elsewhere.
    Moved {
        /// Cause of the move.
        cause: Box<str>,
        /// Engine that continues to generate tokens for a while, if there is one.
        attachment: Option<Attachment>,
        /// Exported KV cache of the engine, if available.
        kv_blob: Option<Box<[u8]>>,
        /// Whether an engine may have started the attempt.
        verdict: Verdict,
    },
}

impl DispatchEvent {
    /// Returns whether this is the last event of the attempt.
    pub fn is_last(&self) -> bool {
        matches!(
            self,
            Self::Finished { .. } | Self::Refused { .. } | Self::Moved { .. }
        )
    }
}
