//! How one process is assembled and stopped.

mod blackboard;

pub use blackboard::{Blackboard, Identity, Installed, Phase, SectionOf};
