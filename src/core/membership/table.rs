//! Table of the members that a node knows, with digests for the comparison of two views.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use super::tuning::{DIGEST_BUCKETS, MAX_DEAD_MEMBERS};
use super::{Member, MemberState};
use crate::core::id::{Address, NodeId, RegionId};
use crate::core::time::Moment;

/// A dead member.
#[derive(Clone, Debug)]
pub struct DeadMember {
    /// Incarnation at which the member was declared dead; only a higher one revives it.
    pub incarnation: u64,
    /// When this node learned of the death.
    pub died_at: Moment,
    /// Address for reconnection attempts; `None` for members that announced that they leave.
    pub retry_address: Option<Address>,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    hash: u64,
}

impl Entry {
    /// Ignores suspicion, so that views that differ only in suspicions have equal digests.
    fn digest(&self) -> u64 {
        let is_leaving = u64::from(self.member.state == MemberState::Leaving);
        mix(self.hash ^ mix((self.member.incarnation << 1) | is_leaving))
    }

    fn bucket(&self) -> usize {
        (self.hash % DIGEST_BUCKETS as u64) as usize
    }
}

/// The live members that a node knows, and the dead ones that it remembers.
#[derive(Debug)]
pub struct Table {
    live: BTreeMap<NodeId, Entry>,
    regions: BTreeMap<RegionId, usize>,
    dead: BTreeMap<NodeId, DeadMember>,
    dead_order: VecDeque<NodeId>,
    buckets: [u64; DIGEST_BUCKETS],
    digest: u64,
    version: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            live: BTreeMap::new(),
            regions: BTreeMap::new(),
            dead: BTreeMap::new(),
            dead_order: VecDeque::new(),
            buckets: [0; DIGEST_BUCKETS],
            digest: 0,
            version: 0,
        }
    }
}

impl Table {
    /// Returns the live member named `node`.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.live.get(node).map(|entry| &entry.member)
    }

    /// Returns the dead member named `node`, if it is remembered.
    pub fn dead(&self, node: &str) -> Option<&DeadMember> {
        self.dead.get(node)
    }

    /// Returns the remembered dead members.
    pub fn dead_members(&self) -> impl Iterator<Item = &DeadMember> {
        self.dead.values()
    }

    /// Returns the live members in order of name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.live.values().map(|entry| &entry.member)
    }

    /// Returns the live members with the hashes of their names.
    pub fn members_with_hashes(&self) -> impl Iterator<Item = (u64, &Member)> {
        self.live.values().map(|entry| (entry.hash, &entry.member))
    }

    /// Returns the live members of a bucket.
    pub fn members_in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Member> {
        self.live
            .values()
            .filter(move |entry| entry.bucket() == bucket)
            .map(|entry| &entry.member)
    }

    /// Returns the number of live members.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns whether there is no live member.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Returns the number of live members of a region.
    pub fn region_len(&self, region: &str) -> usize {
        self.regions.get(region).copied().unwrap_or(0)
    }

    /// Returns a digest of the live members. Equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digests of the buckets.
    pub fn bucket_digests(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns a counter that increases with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Inserts a live member, or replaces its record.
    pub fn set(&mut self, member: Member) {
        self.remove_live(&member.node.clone());
        self.dead.remove(&member.node);
        *self.regions.entry(member.region.clone()).or_insert(0) += 1;
        let hash = xxh3_64(member.node.as_bytes());
        let entry = Entry { member, hash };
        self.toggle_digest(&entry);
        self.live.insert(entry.member.node.clone(), entry);
        self.version += 1;
    }

    /// Marks a member as dead. Forgets the oldest dead member above [`MAX_DEAD_MEMBERS`].
    pub fn mark_dead(&mut self, node: &NodeId, dead: DeadMember) {
        self.remove_live(node);
        self.version += 1;
        if self.dead.insert(node.clone(), dead).is_none() {
            self.dead_order.push_back(node.clone());
        }
        while self.dead_order.len() > MAX_DEAD_MEMBERS {
            if let Some(oldest) = self.dead_order.pop_front() {
                self.dead.remove(&oldest);
            }
        }
    }

    fn remove_live(&mut self, node: &NodeId) {
        let Some(entry) = self.live.remove(node) else {
            return;
        };
        self.toggle_digest(&entry);
        if let Some(count) = self.regions.get_mut(&entry.member.region) {
            *count -= 1;
        }
    }

    fn toggle_digest(&mut self, entry: &Entry) {
        let digest = entry.digest();
        self.digest ^= digest;
        self.buckets[entry.bucket()] ^= digest;
    }
}

/// Mixes the bits of a number (the finalizer of MurmurHash3).
pub(super) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}
