//! Keys that nodes write in the store.

/// Prefix of the nodes' keys, followed by the node's name.
pub const NODES: &str = "jayhall/nodes/";
/// Key of the holder of the duties.
pub const HOLDER: &str = "jayhall/holder";
/// Prefix of the keys of decided usage windows, followed by the window's number.
pub const USAGE: &str = "jayhall/usage/";

/// Key of the mark that names the last era of the store that is settled.
pub const SETTLED_ERA: &str = "jayhall/settled-era";

/// Prefix of the keys of quarantined calls, followed by the entry's id.
pub const QUARANTINE: &str = "jayhall/quarantine/";

/// Prefix of the keys of the software versions that services have had lately, followed by the service's name.
pub const SOFTWARE: &str = "jayhall/software/";

/// Returns the key of the software versions of a service.
pub fn software(service: &str) -> String {
    format!("{SOFTWARE}{service}")
}

/// Prefix of the keys of rollouts of software versions, followed by the service's name.
pub const ROLLOUTS: &str = "jayhall/rollouts/";

/// Returns the key of a service's rollout.
pub fn rollout(service: &str) -> String {
    format!("{ROLLOUTS}{service}")
}

/// Prefix of the keys of origins of streams. Nodes do not keep them in their view of the store.
pub const STREAMS: &str = "jayhall/streams/";

/// Returns the key of the origins of streams that a process of a node began within a numbered period.
pub fn streams(incarnation: u64, period: u64) -> String {
    format!("{STREAMS}{incarnation:016x}/{period}")
}

/// Returns the key of a quarantine entry.
pub fn quarantine(id: u64) -> String {
    format!("{QUARANTINE}{id:016x}")
}

/// Returns the key of a node.
pub fn node(name: &str) -> String {
    format!("{NODES}{name}")
}

/// Returns the usage window of a key, if it is one of a usage window.
pub fn usage_window(key: &str) -> Option<u64> {
    key.strip_prefix(USAGE)?.parse().ok()
}

/// Returns the key of a usage window.
pub fn usage(window: u64) -> String {
    format!("{USAGE}{window:012}")
}
