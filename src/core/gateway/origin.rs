//! Who told something of the load: one node, or an availability zone whose sum one of its nodes told.

use super::members::NodeName;

/// Name of an availability zone.
pub type ZoneName = Box<str>;

/// Who told something.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A node told of itself.
    Node(NodeName),
    /// A node told the sum over its availability zone.
    Zone(ZoneName),
}

impl Origin {
    /// Returns whether it is one node.
    pub fn is_node(&self) -> bool {
        matches!(self, Self::Node(_))
    }
}

impl From<&str> for Origin {
    fn from(node: &str) -> Self {
        Self::Node(node.into())
    }
}
