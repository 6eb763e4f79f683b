//! Back ends that fall over if they have to reject too many calls.
//!
//! A back end rejects a call for want of room, which nodes cannot rule out, as they know each other's calls late. While
//! a service is brittle, its back ends are not filled beyond their places, and near them each node keeps to a share of
//! its own: all shares together are less than the places. Where there are more nodes than places, only some nodes have a
//! share, others for each back end.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::routes::ServiceName;
use crate::core::time::Moment;

/// Time after the last answer that said so in which a service counts as brittle.
const BRITTLE_PERIOD: Duration = Duration::from_secs(5);
/// Part of a back end's places that the shares of all nodes add up to.
const SHARED_PART: f64 = 0.9;
/// Part of a back end's places up to which nodes use it beyond their shares.
const FREE_PART: f64 = 1.0 / 3.0;
/// Time for which a node sends no calls to a back end that has rejected one of its calls.
pub const REJECTED_PAUSE: Duration = Duration::from_millis(1200);

/// Services whose back ends are brittle.
#[derive(Debug, Default)]
pub struct BrittleServices {
    until: HashMap<ServiceName, Moment>,
}

impl BrittleServices {
    /// Records that an answer of a back end said that it is brittle. Returns whether this is new of its service.
    pub fn record(&mut self, service: &str, now: Moment) -> bool {
        let is_new = !self.is_brittle(service, now);
        self.until.insert(service.into(), now + BRITTLE_PERIOD);
        is_new
    }

    /// Returns whether the back ends of a service are brittle.
    pub fn is_brittle(&self, service: &str, now: Moment) -> bool {
        self.until.get(service).is_some_and(|until| now < *until)
    }
}

/// This node's shares in the places of brittle back ends.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    /// Position of this node among all nodes, in the order of their names.
    pub position: usize,
    /// Number of nodes.
    pub nodes: usize,
}

impl Shares {
    /// Returns whether this node may send one more call to a brittle back end with `slots` places, where it has `own`
    /// calls and all nodes have `known` ones as far as it knows.
    pub fn has_room(&self, backend: &str, slots: u32, own: u32, known: u32) -> bool {
        let is_rather_empty = f64::from(known + 1) <= f64::from(slots) * FREE_PART;
        let is_within_share = known < slots && own < self.share(backend, slots);
        is_rather_empty || is_within_share
    }

    /// Returns the calls that this node may have at a back end with `slots` places. The places that do not divide
    /// evenly go to nodes that differ from one back end to the next.
    fn share(&self, backend: &str, slots: u32) -> u32 {
        let nodes = self.nodes.max(1);
        let shared = ((f64::from(slots) * SHARED_PART) as usize).max(1);
        let first = (xxh3_64(backend.as_bytes()) % nodes as u64) as usize;
        let turn = (self.position + nodes - first) % nodes;
        let share = shared / nodes + usize::from(turn < shared % nodes);
        share as u32
    }
}
