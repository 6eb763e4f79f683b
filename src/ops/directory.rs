//! Directory of the nodes that callers can connect to.

use std::time::Duration;

use rand::seq::SliceRandom;

use crate::core::id::{Address, ZoneId};
use crate::node::Blackboard;

/// Limit of addresses in one reply.
const MAX_ADDRESSES: usize = 4;

/// Nodes that a caller can use, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Addresses for callers.
    pub addresses: Vec<Address>,
    /// Time to live of the reply.
    pub lifetime: Duration,
}

/// Returns nodes of this node's region, in random order and alternating between zones; nodes of
/// other regions only where this region has none.
pub fn directory(board: &Blackboard) -> Directory {
    let members = board.members.read();
    let own_region = &board.identity.region;
    let mut nodes: Vec<_> = members.accepting_work_in_region(own_region).collect();
    if nodes.is_empty() {
        nodes = members.accepting_work().collect();
    }
    nodes.shuffle(&mut rand::rng());
    let mut zone_counts: Vec<(&ZoneId, u32)> = Vec::new();
    let mut ordered: Vec<(u32, Address)> = Vec::new();
    for node in nodes {
        let round = match zone_counts.iter_mut().find(|(zone, _)| *zone == &node.zone) {
            Some((_, count)) => {
                *count += 1;
                *count
            }
            None => {
                zone_counts.push((&node.zone, 0));
                0
            }
        };
        ordered.push((round, node.caller_address));
    }
    ordered.sort_by_key(|(round, _)| *round);
    Directory {
        addresses: ordered
            .into_iter()
            .map(|(_, address)| address)
            .take(MAX_ADDRESSES)
            .collect(),
        lifetime: board.config.read().document.rules.directory_lifetime,
    }
}
