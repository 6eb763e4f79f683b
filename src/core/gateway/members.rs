//! Which nodes there are, and which of them callers are told.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::origin::ZoneName;
use super::usage::Incarnation;
use crate::core::cells;
use crate::core::time::Moment;

/// Name of a node.
pub type NodeName = Box<str>;

/// Nodes in the caller's own availability zone from which on no other nodes are told. With fewer, the
/// loss of one would leave the zone's callers nowhere to go.
const ENOUGH_IN_ZONE: usize = 2;
/// Addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// What a node's VM can carry. Larger ones come later in the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Capacity {
    /// Processor in thousandths of a core.
    pub cpu_millis: u32,
    /// Link to the network in Mbit/s.
    pub link_mbps: u32,
}

/// A node, as it says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other nodes reach it by datagrams.
    pub peers: SocketAddr,
    /// Where other nodes fetch what it knows of the platform's store.
    pub control: SocketAddr,
    /// Names this start of its process.
    pub incarnation: u64,
    /// Whether it takes new callers.
    pub is_ready: bool,
    /// What its VM can carry.
    pub capacity: Capacity,
}

/// The nodes that are known.
#[derive(Debug, Default)]
pub struct Members {
    nodes: HashMap<NodeName, Known>,
    by_incarnation: HashMap<Incarnation, NodeName>,
}

#[derive(Debug)]
struct Known {
    member: Member,
    /// When this start of its process was listed.
    listed: Moment,
    heard: Option<Moment>,
    /// Revision of the store up to which it said that it knows all changes.
    revision: u64,
}

impl Members {
    /// Takes what a node says of itself.
    pub fn put(&mut self, member: Member, now: Moment) {
        self.by_incarnation
            .insert(member.incarnation, member.name.clone());
        match self.nodes.get_mut(&member.name) {
            Some(known) => {
                if known.member.incarnation != member.incarnation {
                    self.by_incarnation.remove(&known.member.incarnation);
                    known.heard = None;
                    known.listed = now;
                    known.revision = 0;
                }
                known.member = member;
            }
            None => {
                let known = Known {
                    member,
                    listed: now,
                    heard: None,
                    revision: 0,
                };
                self.nodes.insert(known.member.name.clone(), known);
            }
        }
    }

    /// Forgets a node.
    pub fn remove(&mut self, name: &str) {
        if let Some(known) = self.nodes.remove(name) {
            self.by_incarnation.remove(&known.member.incarnation);
        }
    }

    /// Notes that another node has heard of the process of a node of late, and whether it took callers.
    pub fn heard_by_other(&mut self, incarnation: Incarnation, is_ready: bool, now: Moment) {
        let name = self.by_incarnation.get(&incarnation);
        if let Some(known) = name.and_then(|name| self.nodes.get_mut(name)) {
            known.heard = Some(now);
            known.member.is_ready = is_ready;
        }
    }

    /// Returns the nodes of an availability zone that can carry most, `count` of them at most: those that
    /// are ready and not silent, if there are any. All nodes that hear the same choose the same.
    pub fn ablest(
        &self,
        zone: &str,
        own: &str,
        count: usize,
        now: Moment,
        silence: Moment,
    ) -> SmallVec<[&Member; 2]> {
        let mut in_zone: Vec<&Member> = self.iter().filter(|m| &*m.zone == zone).collect();
        let is_able =
            |m: &Member| &*m.name == own || (m.is_ready && !self.is_silent(&m.name, now, silence));
        if in_zone.iter().any(|m| is_able(m)) {
            in_zone.retain(|m| is_able(m));
        }
        in_zone.sort_unstable_by_key(|m| (Reverse(m.capacity), &m.name));
        in_zone.into_iter().take(count).collect()
    }

    /// Returns the nodes of an availability zone that were heard of not longer than `age` ago.
    pub fn heard_in_zone(
        &self,
        zone: &str,
        now: Moment,
        age: Moment,
    ) -> impl Iterator<Item = &Member> {
        let in_zone = self.nodes.values().filter(move |k| &*k.member.zone == zone);
        let is_fresh = move |heard: Moment| now.saturating_sub(heard) <= age;
        let heard = in_zone.filter(move |known| known.heard.is_some_and(is_fresh));
        heard.map(|known| &known.member)
    }

    /// Returns the availability zones that have nodes.
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        self.iter().map(|member| member.zone.clone()).collect()
    }

    /// Notes a message of a node: whether it took new callers, and the revision of the store up to which
    /// it knew all changes.
    pub fn heard(
        &mut self,
        name: &str,
        incarnation: u64,
        is_ready: bool,
        revision: u64,
        now: Moment,
    ) {
        let known = self.nodes.get_mut(name);
        if let Some(known) = known.filter(|known| known.member.incarnation == incarnation) {
            known.heard = Some(now);
            known.revision = revision;
            known.member.is_ready = is_ready;
        }
    }

    /// Returns where the nodes are reached that know more of the store than `revision` and were heard of
    /// not longer than `age` ago.
    pub fn ahead_of(
        &self,
        revision: u64,
        now: Moment,
        age: Moment,
    ) -> impl Iterator<Item = SocketAddr> {
        let ahead = self.nodes.values().filter(move |known| {
            let is_fresh = known
                .heard
                .is_some_and(|heard| now.saturating_sub(heard) <= age);
            is_fresh && known.revision > revision
        });
        ahead.map(|known| known.member.control)
    }

    /// Returns all nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.nodes.values().map(|known| &known.member)
    }

    /// Returns the number of nodes, at least 1: the node itself.
    pub fn count(&self) -> usize {
        self.nodes.len().max(1)
    }

    /// Returns whether a node was heard of not longer than `age` ago.
    pub fn is_fresh(&self, name: &str, now: Moment, age: Moment) -> bool {
        let heard = self.nodes.get(name).and_then(|known| known.heard);
        heard.is_some_and(|heard| now.saturating_sub(heard) <= age)
    }

    /// Returns where a caller may connect: nodes of its availability zone if there are enough, else
    /// those of its region, else all. Nodes that fell silent for `silence` are left out while others
    /// are there.
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
            (ENOUGH_IN_ZONE.., _) => in_zone,
            (_, ENOUGH_IN_ZONE..) => in_region,
            _ => ready,
        };
        let mut addresses: Vec<_> = chosen.iter().map(|member| member.callers).collect();
        if addresses.len() > MAX_ADDRESSES {
            // Nodes tell different ones of many, so that all get callers.
            let seed = xxh3_64(own.as_bytes());
            addresses.sort_by_cached_key(|a| cells::weight_of(seed, &a.to_string()));
            addresses.truncate(MAX_ADDRESSES);
        }
        addresses.sort_unstable();
        addresses
    }

    /// Returns whether a node has been silent for long, since it was listed or last heard of.
    pub fn is_silent(&self, name: &str, now: Moment, silence: Moment) -> bool {
        let known = self.nodes.get(name);
        let heard = known.map(|known| known.heard.unwrap_or(known.listed));
        heard.is_some_and(|heard| now.saturating_sub(heard) > silence)
    }
}
