//! Encoding of a node's entry in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::gateway::members::{Capacity, Member};

#[derive(Serialize, Deserialize)]
struct NodeWire {
    name: Box<str>,
    region: Box<str>,
    zone: Box<str>,
    callers: SocketAddr,
    peers: SocketAddr,
    control: SocketAddr,
    incarnation: u64,
    ready: bool,
    /// Thousandths of a core.
    #[serde(default)]
    cpu_millis: u32,
    #[serde(default)]
    link_mbps: u32,
}

impl From<Member> for NodeWire {
    fn from(member: Member) -> Self {
        Self {
            name: member.name,
            region: member.region,
            zone: member.zone,
            callers: member.callers,
            peers: member.peers,
            control: member.control,
            incarnation: member.incarnation,
            ready: member.is_ready,
            cpu_millis: member.capacity.cpu_millis,
            link_mbps: member.capacity.link_mbps,
        }
    }
}

impl From<NodeWire> for Member {
    fn from(wire: NodeWire) -> Self {
        Self {
            name: wire.name,
            region: wire.region,
            zone: wire.zone,
            callers: wire.callers,
            peers: wire.peers,
            control: wire.control,
            incarnation: wire.incarnation,
            is_ready: wire.ready,
            capacity: Capacity {
                cpu_millis: wire.cpu_millis,
                link_mbps: wire.link_mbps,
            },
        }
    }
}

/// Encodes a node's entry.
///
/// # Errors
///
/// Fails if serialization fails.
pub fn encode(member: Member) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&NodeWire::from(member))
}

/// Decodes a node's entry.
///
/// # Errors
///
/// Fails if the text is not a valid entry.
pub fn decode(text: &[u8]) -> serde_json::Result<Member> {
    serde_json::from_slice::<NodeWire>(text).map(Into::into)
}
