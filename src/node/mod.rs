//! Assembly, startup and graceful shutdown of a process.

mod blackboard;
mod context;
mod control;
mod daemon;
mod gateway;
mod process;

pub use blackboard::{Blackboard, Identity, InstalledDocument, Phase, WatchCell};
pub use context::NodeContext;
pub use daemon::Daemon;
pub use gateway::{Gateway, Platform};
pub use process::{Connections, LeaveOutcome, Node, http_client};
