//! State of a request as sent to its readers, its replica and the node that takes it over.

use crate::core::answer::Failure;
use crate::core::dispatch::Attachment;
use crate::core::id::{AttemptNumber, NodeId, Term, TokenOffset};
use crate::core::request::{AcceptedRequest, Completion};

/// Role of this node for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Runs the request and sends the answer to callers.
    Serving,
    /// Replica: keeps a copy for the serving node.
    Copy {
        /// Node that serves the request.
        from: NodeId,
    },
    /// Has handed the request over to another node.
    HandedOver {
        /// Node that serves the request now.
        to: NodeId,
    },
}

/// Progress of an answer since a reader's offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Tokens from the requested offset on.
    Tokens(Vec<Box<str>>),
    /// The answer is complete and has been read to its end.
    Complete(Completion),
    /// The request was given up; no more tokens follow.
    Failure(Failure),
    /// Another node serves the request.
    ServedBy(NodeId),
    /// No new tokens yet.
    Pending,
}

/// Update from a serving node to its replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyUpdate {
    /// Node that serves the request.
    pub from: NodeId,
    /// Term in which that node serves the request.
    pub term: Term,
    /// Attempt that generated the tokens.
    pub attempt: AttemptNumber,
    /// Offset of the first token of the update.
    pub offset: TokenOffset,
    /// Tokens that are new to the replica.
    pub tokens: Vec<Box<str>>,
    /// Set once the answer is complete.
    pub completion: Option<Completion>,
    /// Engine that generates the answer, to which another attempt can attach.
    pub engine: Option<Attachment>,
}

/// Why an update of a copy is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyError {
    /// The request is served in a higher term; the sender must stop serving it.
    Superseded {
        /// Node that serves the request now.
        by: NodeId,
    },
    /// The copy lacks tokens before those of the update.
    Gap,
}

/// State that another node needs to continue a request.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The request with its record.
    pub request: AcceptedRequest,
    /// Term in which the request is served.
    pub term: Term,
    /// Attempt that generated the latest tokens.
    pub attempt: AttemptNumber,
    /// All tokens so far.
    pub tokens: Vec<Box<str>>,
    /// Set once the answer is complete.
    pub completion: Option<Completion>,
    /// Engine that generates the answer, to which another attempt can attach.
    pub engine: Option<Attachment>,
}
