//! Selection of probe targets.
//!
//! A node probes three bounded sets of members: those of its own zone, of the other zones of its
//! region and of other regions. Rendezvous hashing selects each set, so the sets change little when
//! the membership changes, and the number of connections is bounded in a fleet of any size. Each set
//! is probed round-robin in shuffled order, which bounds the time until a member is probed.

use rand::RngExt;
use rand::rngs::ChaCha8Rng;
use rand::seq::SliceRandom;

use super::table::{Table, mix};
use super::tuning::{
    CROSS_REGION_EXCHANGES_PER_PUSH, CROSS_REGION_EXCHANGES_PER_SECOND, MAX_OTHER_REGION_TARGETS,
    MAX_OTHER_ZONE_TARGETS, MAX_SAME_ZONE_TARGETS, OTHER_REGION_PROBE_EVERY,
    OTHER_ZONE_PROBE_EVERY, PROBE_INTERVAL,
};
use super::{Member, MemberState};
use crate::core::id::NodeId;

/// Distance from this node to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Distance {
    /// Same zone.
    SameZone,
    /// Another zone of the same region.
    OtherZone,
    /// Another region.
    OtherRegion,
}

/// A bounded set of members, probed round-robin in shuffled order.
#[derive(Debug, Default)]
struct Rotation {
    members: Vec<NodeId>,
    remaining: Vec<NodeId>,
}

impl Rotation {
    fn replace(&mut self, mut members: Vec<NodeId>, rng: &mut ChaCha8Rng) {
        members.sort_unstable();
        if members == self.members {
            return;
        }
        self.remaining
            .retain(|node| members.binary_search(node).is_ok());
        for node in &members {
            if self.members.binary_search(node).is_err() {
                let at = rng.random_range(0..=self.remaining.len());
                self.remaining.insert(at, node.clone());
            }
        }
        self.members = members;
    }

    fn next(&mut self, rng: &mut ChaCha8Rng) -> Option<NodeId> {
        if self.remaining.is_empty() {
            self.remaining.clone_from(&self.members);
            self.remaining.shuffle(rng);
        }
        self.remaining.pop()
    }
}

/// The sets of probe targets of a node.
#[derive(Debug, Default)]
pub(super) struct Targets {
    same_zone: Rotation,
    other_zones: Rotation,
    other_regions: Rotation,
    probe_count: u32,
    region_len: usize,
    version: Option<u64>,
}

impl Targets {
    /// Recomputes the sets if the membership has changed.
    pub(super) fn refresh(&mut self, own: &Member, table: &Table, rng: &mut ChaCha8Rng) {
        if self.version == Some(table.version()) {
            return;
        }
        self.version = Some(table.version());
        self.region_len = table.region_len(&own.region);
        let own_hash = xxhash_rust::xxh3::xxh3_64(own.node.as_bytes());
        let mut by_distance: [Vec<(u64, &Member)>; 3] = Default::default();
        for (hash, member) in table
            .members_with_hashes()
            .filter(|(_, m)| m.node != own.node)
        {
            let weight = mix(own_hash ^ hash.rotate_left(32));
            by_distance[distance_between(own, member) as usize].push((weight, member));
        }
        let [same_zone, other_zones, other_regions] = by_distance;
        self.same_zone
            .replace(largest_weights(same_zone, MAX_SAME_ZONE_TARGETS), rng);
        self.other_zones
            .replace(largest_weights(other_zones, MAX_OTHER_ZONE_TARGETS), rng);
        self.other_regions.replace(
            largest_weights(other_regions, MAX_OTHER_REGION_TARGETS),
            rng,
        );
    }

    /// Returns the next member to probe.
    pub(super) fn next_probe(&mut self, rng: &mut ChaCha8Rng) -> Option<NodeId> {
        self.probe_count = self.probe_count.wrapping_add(1);
        let order = match self.next_distance(rng) {
            Distance::SameZone => [
                Distance::SameZone,
                Distance::OtherZone,
                Distance::OtherRegion,
            ],
            Distance::OtherZone => [
                Distance::OtherZone,
                Distance::SameZone,
                Distance::OtherRegion,
            ],
            Distance::OtherRegion => [
                Distance::OtherRegion,
                Distance::SameZone,
                Distance::OtherZone,
            ],
        };
        order
            .into_iter()
            .find_map(|distance| self.rotation_at(distance).next(rng))
    }

    /// Returns up to `count` distinct random targets in the region other than `except`, and in addition
    /// this node's share of the region's pushes to other regions.
    pub(super) fn random_targets(
        &self,
        count: usize,
        except: Option<&NodeId>,
        rng: &mut ChaCha8Rng,
    ) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self
            .same_zone
            .members
            .iter()
            .chain(&self.other_zones.members)
            .filter(|node| Some(*node) != except)
            .collect();
        nodes.shuffle(rng);
        nodes.truncate(count);
        let remote = self
            .other_regions
            .members
            .iter()
            .filter(|n| Some(*n) != except);
        let mut remote: Vec<_> = remote.collect();
        remote.shuffle(rng);
        let share = f64::from(CROSS_REGION_EXCHANGES_PER_PUSH) / self.region_len.max(1) as f64;
        let share = share.min(count as f64);
        let cross_region_pushes =
            share.trunc() as usize + usize::from(rng.random_bool(share.fract()));
        let remote_count = cross_region_pushes.max(usize::from(nodes.is_empty()));
        nodes.extend(remote.into_iter().take(remote_count));
        nodes.into_iter().cloned().collect()
    }

    /// Returns the mean number of exchanges with other regions that one node starts in a probe
    /// interval, as its share of the region's limit.
    fn cross_region_share(&self) -> f64 {
        let budget = f64::from(CROSS_REGION_EXCHANGES_PER_SECOND) * PROBE_INTERVAL.as_secs_f64();
        budget / self.region_len.max(1) as f64
    }

    fn next_distance(&self, rng: &mut ChaCha8Rng) -> Distance {
        if self.probe_count.is_multiple_of(OTHER_ZONE_PROBE_EVERY) {
            return Distance::OtherZone;
        }
        let max_share = 1.0 / f64::from(OTHER_REGION_PROBE_EVERY);
        if rng.random_bool(self.cross_region_share().min(max_share)) {
            return Distance::OtherRegion;
        }
        Distance::SameZone
    }

    fn rotation_at(&mut self, distance: Distance) -> &mut Rotation {
        match distance {
            Distance::SameZone => &mut self.same_zone,
            Distance::OtherZone => &mut self.other_zones,
            Distance::OtherRegion => &mut self.other_regions,
        }
    }
}

/// Returns the distance from `own` to `member`.
pub(super) fn distance_between(own: &Member, member: &Member) -> Distance {
    if member.region != own.region {
        Distance::OtherRegion
    } else if member.zone != own.zone {
        Distance::OtherZone
    } else {
        Distance::SameZone
    }
}

fn largest_weights(mut weighted: Vec<(u64, &Member)>, count: usize) -> Vec<NodeId> {
    if weighted.len() > count {
        weighted.select_nth_unstable_by(count, |a, b| b.0.cmp(&a.0));
        weighted.truncate(count);
    }
    weighted
        .into_iter()
        .filter(|(_, member)| member.state != MemberState::Dead)
        .map(|(_, member)| member.node.clone())
        .collect()
}
