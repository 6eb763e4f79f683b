//! Whose load a report covers: one node, or an availability zone whose sums one of its nodes sends.

use super::members::NodeName;

/// Name of an availability zone.
pub type ZoneName = Box<str>;

/// The node or zone that a report covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// One node, which reports for itself.
    Node(NodeName),
    /// All nodes of an availability zone, summed by one of them.
    Zone(ZoneName),
}

impl Origin {
    /// Returns whether the report covers a single node.
    pub fn is_node(&self) -> bool {
        matches!(self, Self::Node(_))
    }
}

impl From<&str> for Origin {
    fn from(node: &str) -> Self {
        Self::Node(node.into())
    }
}
