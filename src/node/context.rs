//! Process-wide dependencies of the operations.

use std::sync::Arc;

use super::Blackboard;
use crate::peers::Pool;
use crate::sources::engine::EngineClient;

/// Process-wide dependencies of the operations; passed explicitly instead of being global.
#[derive(Clone, Debug)]
pub struct NodeContext {
    /// State that the controllers publish.
    pub board: Arc<Blackboard>,
    /// Connection pool for other nodes.
    pub pool: Arc<Pool>,
    /// Client for all engines.
    pub engines: EngineClient,
}
