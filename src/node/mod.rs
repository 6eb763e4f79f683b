//! How one process is assembled and stopped.

mod blackboard;
mod context;

pub use blackboard::{Blackboard, Identity, Installed, Phase, SectionOf};
pub use context::NodeContext;
