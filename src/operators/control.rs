//! Interface through which the operators' listener inspects and drains its node.

use futures::future::BoxFuture;

use crate::core::explain::Record;
use crate::core::id::{ModelName, RankName};

/// State of this node's queue for one model and one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueStatus {
    /// Model.
    pub model: ModelName,
    /// Rank of work.
    pub rank: RankName,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests of the model, over all ranks.
    pub running: u32,
}

/// Operators' access to a node.
pub trait NodeControl: Send + Sync {
    /// Returns the queues of this node.
    fn queues(&self) -> Vec<QueueStatus>;

    /// Returns the decision record of a request served by any node; `None` if no node knows the request.
    fn explain(&self, request: &str) -> BoxFuture<'_, Option<Record>>;

    /// Starts to drain the node, which then accepts no new work and hands its requests over. Returns without
    /// waiting for the end.
    fn drain(&self);
}
