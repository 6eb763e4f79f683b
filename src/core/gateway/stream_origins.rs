//! Which software version began a stream that its caller may resume at another node.
//!
//! A node keeps the origins of the streams that it began and of those that other nodes have given it to keep, and hands
//! them over when it leaves. Beside them it knows some that are in the store.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

use super::software::{STREAM_LIFETIME, SoftwareId};
use crate::core::time::Moment;

/// Identifies a stream: a hash of the caller's attempt that brought its first event.
pub type StreamId = u64;

/// Limit on the origins that a node keeps.
const MAX_ORIGINS: usize = 100_000;

/// Returns the identifier of the stream that an attempt of a caller began. All nodes compute the same one.
pub fn stream_id(attempt: &str) -> StreamId {
    xxhash_rust::xxh3::xxh3_64(attempt.as_bytes())
}

/// The origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// Software version that began it.
    pub software: SoftwareId,
    /// When this node began it or was given its origin, less the time for which the giver had it.
    pub at: Moment,
}

/// Origins of streams, kept for as long as their callers may resume them.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    software: HashMap<StreamId, SoftwareId>,
    /// Those that this node keeps, the oldest ones first.
    kept: VecDeque<StreamOrigin>,
    /// Others, which are in the store or are to be written there, the oldest ones first.
    stored: VecDeque<StreamOrigin>,
    /// Those of streams that this node began, the oldest ones first.
    begun: VecDeque<StreamOrigin>,
    /// Those that this node writes to the store, the oldest ones first.
    archived: VecDeque<StreamOrigin>,
}

impl StreamOrigins {
    /// Records a stream that this node began.
    pub fn record_begun(&mut self, origin: StreamOrigin) {
        self.begun.push_back(origin);
        self.record(origin);
    }

    /// Records the origin of a stream, which this node keeps. The first one that is known of a stream stays.
    pub fn record(&mut self, origin: StreamOrigin) {
        if insert(&mut self.software, origin) {
            self.kept.push_back(origin);
            forget_beyond_limit(&mut self.kept, &mut self.software);
        }
    }

    /// Records the origin of a stream that is in the store.
    pub fn record_stored(&mut self, origin: StreamOrigin) {
        if insert(&mut self.software, origin) {
            self.stored.push_back(origin);
            forget_beyond_limit(&mut self.stored, &mut self.software);
        }
    }

    /// Returns the origins that this node keeps and would be lost with it.
    pub fn kept(&self) -> impl Iterator<Item = &StreamOrigin> {
        self.kept.iter()
    }

    /// Returns the software version that began a stream.
    pub fn get(&self, stream: StreamId) -> Option<SoftwareId> {
        self.software.get(&stream).copied()
    }

    /// Returns the streams that this node began at `since` or later, the oldest ones first.
    pub fn begun_since(&self, since: Moment) -> impl Iterator<Item = &StreamOrigin> {
        since_moment(&self.begun, since)
    }

    /// Records the origin of a stream that this node is to write to the store.
    pub fn archive(&mut self, origin: StreamOrigin) {
        self.archived.push_back(origin);
        if self.archived.len() > MAX_ORIGINS {
            self.archived.pop_front();
        }
        self.record_stored(origin);
    }

    /// Returns the origins to be written to the store that were recorded at `since` or later, the oldest ones first.
    pub fn archived_since(&self, since: Moment) -> impl Iterator<Item = &StreamOrigin> {
        since_moment(&self.archived, since)
    }

    /// Forgets streams that are too old to be resumed.
    pub fn expire(&mut self, now: Moment) {
        let is_over = |origin: &StreamOrigin| now.saturating_sub(origin.at) > STREAM_LIFETIME;
        for origins in [&mut self.kept, &mut self.stored] {
            while origins.front().is_some_and(is_over) {
                forget_oldest(origins, &mut self.software);
            }
        }
        for origins in [&mut self.begun, &mut self.archived] {
            while origins.front().is_some_and(is_over) {
                origins.pop_front();
            }
        }
    }
}

/// Inserts an origin, unless one is known of its stream. Returns whether it was inserted.
fn insert(software: &mut HashMap<StreamId, SoftwareId>, origin: StreamOrigin) -> bool {
    match software.entry(origin.stream) {
        Entry::Occupied(_) => false,
        Entry::Vacant(entry) => {
            entry.insert(origin.software);
            true
        }
    }
}

fn forget_beyond_limit(
    origins: &mut VecDeque<StreamOrigin>,
    software: &mut HashMap<StreamId, SoftwareId>,
) {
    if origins.len() > MAX_ORIGINS {
        forget_oldest(origins, software);
    }
}

fn forget_oldest(
    origins: &mut VecDeque<StreamOrigin>,
    software: &mut HashMap<StreamId, SoftwareId>,
) {
    if let Some(oldest) = origins.pop_front() {
        software.remove(&oldest.stream);
    }
}

fn since_moment(
    origins: &VecDeque<StreamOrigin>,
    since: Moment,
) -> impl Iterator<Item = &StreamOrigin> {
    let first = origins.partition_point(|origin| origin.at < since);
    origins.range(first..)
}
