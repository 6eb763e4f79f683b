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
    LOCAL_TARGETS, PROBE_INTERVAL, REGION_EXCHANGES_PER_SECOND, REGION_PROBE_EVERY, REGION_PUSHES,
    REGION_TARGETS, ZONE_PROBE_EVERY, ZONE_TARGETS,
};
use super::{Member, MemberState};
use crate::core::id::NodeId;

/// Distance from this node to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Level {
    /// Same zone.
    Local,
    /// Another zone of the same region.
    Zone,
    /// Another region.
    Region,
}

/// A bounded set of members, probed round-robin in shuffled order.
#[derive(Debug, Default)]
struct Rotation {
    chosen: Vec<NodeId>,
    remaining: Vec<NodeId>,
}

impl Rotation {
    fn replace(&mut self, mut chosen: Vec<NodeId>, rng: &mut ChaCha8Rng) {
        chosen.sort_unstable();
        if chosen == self.chosen {
            return;
        }
        self.remaining
            .retain(|node| chosen.binary_search(node).is_ok());
        for node in &chosen {
            if self.chosen.binary_search(node).is_err() {
                let at = rng.random_range(0..=self.remaining.len());
                self.remaining.insert(at, node.clone());
            }
        }
        self.chosen = chosen;
    }

    fn next(&mut self, rng: &mut ChaCha8Rng) -> Option<NodeId> {
        if self.remaining.is_empty() {
            self.remaining.clone_from(&self.chosen);
            self.remaining.shuffle(rng);
        }
        self.remaining.pop()
    }
}

/// The sets of probe targets of a node.
#[derive(Debug, Default)]
pub(super) struct Targets {
    local: Rotation,
    zone: Rotation,
    region: Rotation,
    slot: u32,
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
        let mut levels: [Vec<(u64, &Member)>; 3] = Default::default();
        for (hash, member) in table.hashed().filter(|(_, m)| m.node != own.node) {
            let weight = mix(own_hash ^ hash.rotate_left(32));
            levels[level_of(own, member) as usize].push((weight, member));
        }
        let [local, zone, region] = levels;
        self.local.replace(heaviest(local, LOCAL_TARGETS), rng);
        self.zone.replace(heaviest(zone, ZONE_TARGETS), rng);
        self.region.replace(heaviest(region, REGION_TARGETS), rng);
    }

    /// Returns the next member to probe.
    pub(super) fn next_probe(&mut self, rng: &mut ChaCha8Rng) -> Option<NodeId> {
        self.slot = self.slot.wrapping_add(1);
        let order = match self.wanted_level(rng) {
            Level::Local => [Level::Local, Level::Zone, Level::Region],
            Level::Zone => [Level::Zone, Level::Local, Level::Region],
            Level::Region => [Level::Region, Level::Local, Level::Zone],
        };
        order
            .into_iter()
            .find_map(|level| self.rotation(level).next(rng))
    }

    /// Returns up to `count` distinct random targets in the region other than `except`, and in addition
    /// this node's share of the region's pushes to other regions.
    pub(super) fn some(
        &self,
        count: usize,
        except: Option<&NodeId>,
        rng: &mut ChaCha8Rng,
    ) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self
            .local
            .chosen
            .iter()
            .chain(&self.zone.chosen)
            .filter(|node| Some(*node) != except)
            .collect();
        nodes.shuffle(rng);
        nodes.truncate(count);
        let far = self.region.chosen.iter().filter(|n| Some(*n) != except);
        let mut far: Vec<_> = far.collect();
        far.shuffle(rng);
        let share = f64::from(REGION_PUSHES) / self.region_len.max(1) as f64;
        let share = share.min(count as f64);
        let crossings = share.trunc() as usize + usize::from(rng.random_bool(share.fract()));
        let wanted = crossings.max(usize::from(nodes.is_empty()));
        nodes.extend(far.into_iter().take(wanted));
        nodes.into_iter().cloned().collect()
    }

    /// Returns the mean number of exchanges with other regions that one node starts in a probe
    /// interval, as its share of the region's limit.
    fn crossing_share(&self) -> f64 {
        let budget = f64::from(REGION_EXCHANGES_PER_SECOND) * PROBE_INTERVAL.as_secs_f64();
        budget / self.region_len.max(1) as f64
    }

    fn wanted_level(&self, rng: &mut ChaCha8Rng) -> Level {
        if self.slot.is_multiple_of(ZONE_PROBE_EVERY) {
            return Level::Zone;
        }
        let most = 1.0 / f64::from(REGION_PROBE_EVERY);
        if rng.random_bool(self.crossing_share().min(most)) {
            return Level::Region;
        }
        Level::Local
    }

    fn rotation(&mut self, level: Level) -> &mut Rotation {
        match level {
            Level::Local => &mut self.local,
            Level::Zone => &mut self.zone,
            Level::Region => &mut self.region,
        }
    }
}

/// Returns the distance from `own` to `member`.
pub(super) fn level_of(own: &Member, member: &Member) -> Level {
    if member.region != own.region {
        Level::Region
    } else if member.zone != own.zone {
        Level::Zone
    } else {
        Level::Local
    }
}

fn heaviest(mut weighted: Vec<(u64, &Member)>, count: usize) -> Vec<NodeId> {
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
