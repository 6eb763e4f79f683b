//! Membership of the gateway's nodes, and the directory of nodes for callers.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::origin::ZoneName;
use super::usage::Incarnation;
use crate::core::cells;
use crate::core::time::Moment;
use crate::sources::store::Revision;

/// Name of a node.
pub type NodeName = Box<str>;

/// Number of nodes in the caller's availability zone from which the directory lists only these. With fewer
/// nodes, the loss of one could leave the zone's callers without any.
const ENOUGH_NODES: usize = 2;
/// Largest number of addresses in one answer of the directory.
const MAX_ADDRESSES: usize = 64;

/// Capacity of a node's VM, ordered from small to large.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Capacity {
    /// CPU in thousandths of a core.
    pub cpu_millis: u32,
    /// Network bandwidth in Mbit/s.
    pub link_mbps: u32,
}

/// A node, as it describes itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for datagrams of other nodes.
    pub peers: SocketAddr,
    /// Address at which other nodes fetch snapshots of its view of the platform's store.
    pub control: SocketAddr,
    /// Identifies this start of its process.
    pub incarnation: u64,
    /// Whether it accepts new callers.
    pub is_ready: bool,
    /// Capacity of its VM.
    pub capacity: Capacity,
}

/// The known nodes.
#[derive(Debug, Default)]
pub struct Members {
    nodes: HashMap<NodeName, NodeState>,
    by_incarnation: HashMap<Incarnation, NodeName>,
}

#[derive(Debug)]
struct NodeState {
    member: Member,
    /// When this incarnation was first listed in the store.
    listed_at: Moment,
    last_heard: Option<Moment>,
    /// What it has reported to know of the store.
    knowledge: StoreKnowledge,
    /// Whether it has reported that it does not reach the back ends of a service.
    is_cut_off: bool,
}

/// How much of the store's contents a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreKnowledge {
    /// Revision of the store up to which it knows all changes.
    pub revision: Revision,
    /// Version of the configuration in force; 0 if there is none. It may be newer than the one at `revision`,
    /// after the store was restored from a copy.
    pub config_version: u64,
}

impl StoreKnowledge {
    /// Returns whether it contains something that `other` lacks.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.revision > other.revision || self.config_version > other.config_version
    }
}

impl Members {
    /// Inserts or updates a node. A new incarnation resets its state.
    pub fn put(&mut self, member: Member, now: Moment) {
        self.by_incarnation
            .insert(member.incarnation, member.name.clone());
        match self.nodes.get_mut(&member.name) {
            Some(node) => {
                if node.member.incarnation != member.incarnation {
                    self.by_incarnation.remove(&node.member.incarnation);
                    node.last_heard = None;
                    node.listed_at = now;
                    node.knowledge = StoreKnowledge::default();
                    node.is_cut_off = false;
                }
                node.member = member;
            }
            None => {
                let node = NodeState {
                    member,
                    listed_at: now,
                    last_heard: None,
                    knowledge: StoreKnowledge::default(),
                    is_cut_off: false,
                };
                self.nodes.insert(node.member.name.clone(), node);
            }
        }
    }

    /// Removes a node.
    pub fn remove(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            self.by_incarnation.remove(&node.member.incarnation);
        }
    }

    /// Records that another node recently received a message of a node's process, and whether that node was
    /// ready.
    pub fn apply_indirect_report(&mut self, incarnation: Incarnation, is_ready: bool, now: Moment) {
        let name = self.by_incarnation.get(&incarnation);
        if let Some(node) = name.and_then(|name| self.nodes.get_mut(name)) {
            node.last_heard = Some(now);
            node.member.is_ready = is_ready;
        }
    }

    /// Returns up to `count` nodes of an availability zone, the largest first. Nodes that are not ready or are
    /// silent are left out while there are others. All nodes with the same view choose the same ones.
    pub fn largest_in_zone(
        &self,
        zone: &str,
        own: &str,
        count: usize,
        now: Moment,
        silence: Moment,
    ) -> SmallVec<[&Member; 2]> {
        let mut in_zone: Vec<&Member> = self.iter().filter(|m| &*m.zone == zone).collect();
        if in_zone.iter().any(|m| self.is_able(m, own, now, silence)) {
            in_zone.retain(|m| self.is_able(m, own, now, silence));
        }
        in_zone.sort_unstable_by_key(|m| (Reverse(m.capacity), &m.name));
        in_zone.into_iter().take(count).collect()
    }

    /// Returns up to `count` nodes that keep something for a job, in as many availability zones as possible. Nodes
    /// that are not ready or are silent are left out. All nodes with the same view choose the same ones, and a node
    /// that comes or goes changes the choice only for few jobs.
    pub fn keepers(
        &self,
        job: u64,
        own: &str,
        count: usize,
        now: Moment,
        silence: Moment,
    ) -> SmallVec<[&Member; 4]> {
        let able = self.iter().filter(|m| self.is_able(m, own, now, silence));
        let mut ranked: Vec<&Member> = able.collect();
        ranked.sort_by_cached_key(|m| Reverse(cells::weight_of(job, &m.name)));
        let mut keepers: SmallVec<[&Member; 4]> = SmallVec::new();
        let mut others = Vec::new();
        for member in ranked {
            match keepers.iter().any(|keeper| keeper.zone == member.zone) {
                false => keepers.push(member),
                true => others.push(member),
            }
        }
        keepers.extend(others);
        keepers.truncate(count);
        keepers
    }

    /// Returns the nodes of an availability zone that were heard from within `age`.
    pub fn fresh_in_zone(
        &self,
        zone: &str,
        now: Moment,
        age: Moment,
    ) -> impl Iterator<Item = &Member> {
        let in_zone = self
            .nodes
            .values()
            .filter(move |node| &*node.member.zone == zone);
        let is_fresh = move |at: Moment| now.saturating_sub(at) <= age;
        let fresh = in_zone.filter(move |node| node.last_heard.is_some_and(is_fresh));
        fresh.map(|node| &node.member)
    }

    /// Returns the availability zones that have nodes.
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        self.iter().map(|member| member.zone.clone()).collect()
    }

    /// Records a message of a node: whether it was ready, and what it knew of the store.
    pub fn apply_report(
        &mut self,
        name: &str,
        incarnation: u64,
        is_ready: bool,
        knowledge: StoreKnowledge,
        now: Moment,
    ) {
        let node = self.nodes.get_mut(name);
        if let Some(node) = node.filter(|node| node.member.incarnation == incarnation) {
            node.last_heard = Some(now);
            node.knowledge = knowledge;
            node.member.is_ready = is_ready;
        }
    }

    /// Records whether a process of a node has reported that it does not reach the back ends of a service.
    pub fn set_cut_off(&mut self, incarnation: Incarnation, is_cut_off: bool) {
        let name = self.by_incarnation.get(&incarnation);
        if let Some(node) = name.and_then(|name| self.nodes.get_mut(name)) {
            node.is_cut_off = is_cut_off;
        }
    }

    /// Returns whether a node has reported that it does not reach the back ends of a service.
    pub fn is_cut_off(&self, name: &str) -> bool {
        self.nodes.get(name).is_some_and(|node| node.is_cut_off)
    }

    /// Returns the nodes through which node `own` may forward calls: ready ones that have been heard from within
    /// `silence` and reach all back ends. Those of its availability zone suffice if they are most of the zone's
    /// nodes; else those of its region, if there are any.
    pub fn forwarders(&self, own: &str, now: Moment, silence: Moment) -> Vec<&Member> {
        let Some(own) = self.nodes.get(own).map(|node| &node.member) else {
            return Vec::new();
        };
        let others = self
            .nodes
            .values()
            .filter(|node| node.member.name != own.name);
        let able: Vec<&Member> = others
            .filter(|node| node.member.is_ready && !node.is_cut_off)
            .map(|node| &node.member)
            .filter(|member| self.is_fresh(&member.name, now, silence))
            .collect();
        let in_zone: Vec<&Member> = able
            .iter()
            .copied()
            .filter(|m| m.zone == own.zone)
            .collect();
        let zone_size = self.iter().filter(|m| m.zone == own.zone).count();
        if !in_zone.is_empty() && in_zone.len() * 2 >= zone_size {
            return in_zone;
        }
        let in_region = able.iter().copied().filter(|m| m.region == own.region);
        let in_region: Vec<&Member> = in_region.collect();
        match in_region.is_empty() {
            true => able,
            false => in_region,
        }
    }

    /// Returns the control addresses of the nodes that know something of the store that `own` lacks and were
    /// heard from within `age`.
    pub fn ahead_of(
        &self,
        own: StoreKnowledge,
        now: Moment,
        age: Moment,
    ) -> impl Iterator<Item = SocketAddr> {
        let ahead = self.nodes.values().filter(move |node| {
            let is_fresh = node
                .last_heard
                .is_some_and(|at| now.saturating_sub(at) <= age);
            is_fresh && node.knowledge.is_ahead_of(&own)
        });
        ahead.map(|node| node.member.control)
    }

    /// Returns a node.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.nodes.get(name).map(|node| &node.member)
    }

    /// Returns all nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.nodes.values().map(|node| &node.member)
    }

    /// Returns the number of nodes, at least 1 for this node.
    pub fn count(&self) -> usize {
        self.nodes.len().max(1)
    }

    /// Returns whether a node is `own`, or is ready and not silent.
    pub fn is_able(&self, member: &Member, own: &str, now: Moment, silence: Moment) -> bool {
        let is_silent = || self.is_silent(&member.name, now, silence);
        *member.name == *own || (member.is_ready && !is_silent())
    }

    /// Returns the position of node `own` among all nodes, in the order of their names.
    pub fn position(&self, own: &str) -> usize {
        self.nodes.keys().filter(|name| ***name < *own).count()
    }

    /// Returns whether a node was heard from within `age`.
    pub fn is_fresh(&self, name: &str, now: Moment, age: Moment) -> bool {
        let last_heard = self.nodes.get(name).and_then(|node| node.last_heard);
        last_heard.is_some_and(|at| now.saturating_sub(at) <= age)
    }

    /// Returns the addresses at which a caller may connect: ready nodes of its availability zone if there are
    /// enough, else those of its region, else all. Nodes other than `own` that have been silent for longer than
    /// `silence` are left out.
    pub fn directory(
        &self,
        own: &str,
        region: &str,
        zone: &str,
        now: Moment,
        silence: Moment,
    ) -> Vec<SocketAddr> {
        let ready: Vec<&Member> = self
            .iter()
            .filter(|member| member.is_ready)
            .filter(|member| &*member.name == own || !self.is_silent(&member.name, now, silence))
            .collect();
        let in_zone: Vec<&Member> = ready.iter().copied().filter(|m| &*m.zone == zone).collect();
        let in_region: Vec<&Member> = ready
            .iter()
            .copied()
            .filter(|m| &*m.region == region)
            .collect();
        let chosen = match (in_zone.len(), in_region.len()) {
            (ENOUGH_NODES.., _) => in_zone,
            (_, ENOUGH_NODES..) => in_region,
            _ => ready,
        };
        let mut addresses: Vec<_> = chosen.iter().map(|member| member.callers).collect();
        if addresses.len() > MAX_ADDRESSES {
            // Each node returns a different subset, so that all nodes receive callers.
            let seed = xxh3_64(own.as_bytes());
            addresses.sort_by_cached_key(|a| cells::weight_of(seed, &a.to_string()));
            addresses.truncate(MAX_ADDRESSES);
        }
        addresses.sort_unstable();
        addresses
    }

    /// Returns whether a known node has been silent for longer than `silence` since its last message, or since
    /// it was listed if there was none.
    pub fn is_silent(&self, name: &str, now: Moment, silence: Moment) -> bool {
        let node = self.nodes.get(name);
        let last_heard = node.map(|node| node.last_heard.unwrap_or(node.listed_at));
        last_heard.is_some_and(|at| now.saturating_sub(at) > silence)
    }
}
