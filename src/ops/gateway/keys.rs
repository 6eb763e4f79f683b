//! Keys of the store that nodes write.

/// Start of the keys of nodes; the rest is a node's name.
pub const NODES: &str = "jayhall/nodes/";
/// Key of the holder of the duties.
pub const HOLDER: &str = "jayhall/holder";
/// Start of the keys of reported windows of usage; the rest is a window's number.
pub const USAGE: &str = "jayhall/usage/";

/// Returns the key of a node.
pub fn node(name: &str) -> String {
    format!("{NODES}{name}")
}

/// Returns the key of a window.
pub fn usage(window: u64) -> String {
    format!("{USAGE}{window:012}")
}
