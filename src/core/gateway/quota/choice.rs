//! Choice of the quota holders, by rendezvous hashing.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::core::cells;
use crate::core::gateway::members::NodeName;

/// Number of holders of a customer in each region.
pub const HOLDERS: usize = 2;
/// Number of nodes of a region for each node of its pool.
const NODES_PER_POOL_NODE: usize = 14;
/// Job by which the pool of a region is chosen.
const POOL_JOB: u64 = 0x7175_6f74_6173;

/// A node, as a candidate for the pool of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetNode<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Whether it is ready and was heard from lately.
    pub is_able: bool,
}

/// Nodes that may hold quotas, by region.
#[derive(Debug, Default)]
pub struct Pools {
    /// All other nodes of the own region.
    neighbours: Vec<NodeName>,
    own: Vec<NodeName>,
    others: Vec<Vec<NodeName>>,
}

impl Pools {
    /// Chooses the pools of all regions among the nodes that are able and not skipped. `own` is never skipped.
    pub fn choose(
        fleet: &[FleetNode<'_>],
        own: &str,
        own_region: &str,
        is_skipped: impl Fn(&FleetNode<'_>) -> bool,
    ) -> Self {
        let mut regions: Vec<&str> = fleet.iter().map(|node| node.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let choose = |region: &str| {
            let nodes = fleet.iter().filter(|node| node.region == region);
            let mut ranked: Vec<&FleetNode<'_>> = nodes.collect();
            let size = ranked.len().div_ceil(NODES_PER_POOL_NODE).max(HOLDERS);
            ranked.retain(|node| node.is_able && (node.name == own || !is_skipped(node)));
            let by_weight = |node: &&FleetNode<'_>| Reverse(cells::weight_of(POOL_JOB, node.name));
            if ranked.len() > size {
                ranked.select_nth_unstable_by_key(size, by_weight);
                ranked.truncate(size);
            }
            ranked.into_iter().map(|node| node.name.into()).collect()
        };
        let others = regions.iter().filter(|region| **region != own_region);
        let in_region = fleet.iter().filter(|node| node.region == own_region);
        let neighbours = in_region.filter(|node| node.name != own);
        Self {
            neighbours: neighbours.map(|node| node.name.into()).collect(),
            own: choose(own_region),
            others: others.map(|region| choose(region)).collect(),
        }
    }

    /// Returns all other nodes of the own region, to any of which an earlier process of this node may have lent.
    pub fn neighbours(&self) -> &[NodeName] {
        &self.neighbours
    }

    /// Returns the pool of the own region.
    pub fn own_pool(&self) -> &[NodeName] {
        &self.own
    }

    /// Returns the holders of a customer in the own region, the first one first.
    pub fn own_holders(&self, customer: &str) -> impl Iterator<Item = &NodeName> {
        holders(&self.own, customer)
    }

    /// Returns the holders of a customer in each other region.
    pub fn other_holders(
        &self,
        customer: &str,
    ) -> impl Iterator<Item = impl Iterator<Item = &NodeName>> {
        self.others.iter().map(move |pool| holders(pool, customer))
    }
}

/// Returns the holders of a customer among the nodes of a pool.
fn holders<'a>(
    pool: &'a [NodeName],
    customer: &str,
) -> impl Iterator<Item = &'a NodeName> + use<'a> {
    let job = xxh3_64(customer.as_bytes());
    let mut first: Option<(u64, &NodeName)> = None;
    let mut second: Option<(u64, &NodeName)> = None;
    for name in pool {
        let ranked = Some((cells::weight_of(job, name), name));
        if ranked > first {
            second = first;
            first = ranked;
        } else if ranked > second {
            second = ranked;
        }
    }
    first.into_iter().chain(second).map(|(_, name)| name)
}
