//! How one process is assembled and stopped.

mod blackboard;
mod context;
mod process;

pub use blackboard::{Blackboard, Identity, Installed, Phase, SectionOf};
pub use context::NodeContext;
pub use process::{Left, Node, http_client};
