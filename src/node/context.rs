//! What operations need of the process they run in.

use std::sync::Arc;

use super::Blackboard;
use crate::peers::Pool;
use crate::sources::engine::EngineClient;

/// What operations need of the process they run in; passed down, never global.
#[derive(Clone, Debug)]
pub struct NodeContext {
    /// What controllers write and everything else reads.
    pub board: Arc<Blackboard>,
    /// Connections to other nodes.
    pub pool: Arc<Pool>,
    /// Client for all engines.
    pub engines: EngineClient,
}
