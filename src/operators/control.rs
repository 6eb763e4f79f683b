//! What operators see of, and tell, the node that answers them.

use futures::future::BoxFuture;

use crate::core::explain::Record;
use crate::core::id::{ModelName, RankName};

/// Requests of one rank that wait for one model at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueStatus {
    /// Model.
    pub model: ModelName,
    /// Rank of work.
    pub rank: RankName,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run, of all ranks together.
    pub running: u32,
}

/// The node, as operators deal with it.
pub trait NodeControl: Send + Sync {
    /// Returns the queues of this node.
    fn queues(&self) -> Vec<QueueStatus>;

    /// Returns the record of a request, wherever it is served; `None` for an unknown one.
    fn explain(&self, request: &str) -> BoxFuture<'_, Option<Record>>;

    /// Starts to leave: takes no new work and hands over what there is. Returns at once.
    fn drain(&self);
}
