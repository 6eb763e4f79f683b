//! Which nodes there are, and which of them callers are told.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::core::time::Moment;

/// Name of a node.
pub type NodeName = Box<str>;

/// Nodes in the caller's own availability zone from which on no other nodes are told. With fewer, the
/// loss of one would leave the zone's callers nowhere to go.
const ENOUGH_IN_ZONE: usize = 2;
/// Addresses in one answer.
const MAX_ADDRESSES: usize = 64;

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
}

/// The nodes that are known.
#[derive(Debug, Default)]
pub struct Members {
    nodes: HashMap<NodeName, Known>,
}

#[derive(Debug)]
struct Known {
    member: Member,
    heard: Option<Moment>,
    /// Revision of the store up to which it said that it knows all changes.
    revision: u64,
}

impl Members {
    /// Takes what a node says of itself.
    pub fn put(&mut self, member: Member) {
        match self.nodes.get_mut(&member.name) {
            Some(known) => {
                if known.member.incarnation != member.incarnation {
                    known.heard = None;
                    known.revision = 0;
                }
                known.member = member;
            }
            None => {
                let known = Known {
                    member,
                    heard: None,
                    revision: 0,
                };
                self.nodes.insert(known.member.name.clone(), known);
            }
        }
    }

    /// Forgets a node.
    pub fn remove(&mut self, name: &str) {
        self.nodes.remove(name);
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
        addresses.sort_unstable();
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }

    /// Returns whether a node that was heard of before has been silent for long.
    fn is_silent(&self, name: &str, now: Moment, silence: Moment) -> bool {
        let heard = self.nodes.get(name).and_then(|known| known.heard);
        heard.is_some_and(|heard| now.saturating_sub(heard) > silence)
    }
}
