//! What is told of a request: to its readers, to its replica and to its successor.

use crate::core::answer::Failure;
use crate::core::dispatch::Attachment;
use crate::core::id::{AttemptNumber, NodeId, Term, TokenOffset};
use crate::core::request::{AcceptedRequest, Completion};

/// What this node is to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It runs the request and shows the answer.
    Serving,
    /// It keeps a copy for the node that serves.
    Copy {
        /// Node that serves the request.
        from: NodeId,
    },
    /// It has handed the request over.
    HandedOver {
        /// Node that serves the request now.
        to: NodeId,
    },
}

/// What a reader of an answer finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Tokens from the asked offset on.
    Tokens(Vec<Box<str>>),
    /// All tokens have been read.
    Complete(Completion),
    /// No more tokens will come.
    Failure(Failure),
    /// Another node serves the request.
    Elsewhere(NodeId),
    /// Nothing new yet.
    Pending,
}

/// An update of a serving node to its replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyUpdate {
    /// Node that serves the request.
    pub from: NodeId,
    /// Term in which it serves.
    pub term: Term,
    /// The attempt that made the tokens.
    pub attempt: AttemptNumber,
    /// Offset of the first token.
    pub offset: TokenOffset,
    /// New tokens.
    pub tokens: Vec<Box<str>>,
    /// Set when the answer is whole.
    pub completion: Option<Completion>,
    /// Engine that makes the answer, to attach to.
    pub engine: Option<Attachment>,
}

/// Why an update of a copy is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyError {
    /// The copy was promoted; the sender must not serve the request any more.
    Superseded {
        /// Node that serves the request now.
        by: NodeId,
    },
    /// Tokens before those of the update are missing here.
    Gap,
}

/// Everything that another node needs to go on with a request.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The request, with its record.
    pub request: AcceptedRequest,
    /// Term of the node that serves it.
    pub term: Term,
    /// The attempt that made the latest tokens.
    pub attempt: AttemptNumber,
    /// All tokens so far.
    pub tokens: Vec<Box<str>>,
    /// Set when the answer is whole.
    pub completion: Option<Completion>,
    /// Engine that makes the answer, to attach to.
    pub engine: Option<Attachment>,
}
