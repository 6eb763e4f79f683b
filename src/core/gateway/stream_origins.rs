//! Which software version began a stream that its caller may resume at another node.
//!
//! A node keeps the origins of the streams that it began and of those that other nodes have given it to keep, and hands
//! them over when it leaves. Beside them it knows some that are in the store.

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

/// An origin, and whether others depend on this node for it.
#[derive(Debug)]
struct KnownOrigin {
    origin: StreamOrigin,
    /// Whether it is in the store, or this node is to write it there.
    is_stored: bool,
}

/// Origins of streams, kept for as long as their callers may resume them.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    software: HashMap<StreamId, SoftwareId>,
    /// All origins, the oldest ones first.
    known: VecDeque<KnownOrigin>,
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
        self.insert(origin, false);
    }

    /// Records the origin of a stream that is in the store.
    pub fn record_stored(&mut self, origin: StreamOrigin) {
        self.insert(origin, true);
    }

    fn insert(&mut self, origin: StreamOrigin, is_stored: bool) {
        if self.software.contains_key(&origin.stream) {
            return;
        }
        self.software.insert(origin.stream, origin.software);
        self.known.push_back(KnownOrigin { origin, is_stored });
        if self.known.len() > MAX_ORIGINS {
            self.forget_oldest();
        }
    }

    /// Returns the origins that this node keeps and would be lost with it.
    pub fn kept(&self) -> impl Iterator<Item = &StreamOrigin> {
        let kept = self.known.iter().filter(|known| !known.is_stored);
        kept.map(|known| &known.origin)
    }

    /// Returns the software version that began a stream.
    pub fn get(&self, stream: StreamId) -> Option<SoftwareId> {
        self.software.get(&stream).copied()
    }

    /// Returns the streams that this node began at `since` or later, the oldest ones first.
    pub fn begun_since(&self, since: Moment) -> impl Iterator<Item = &StreamOrigin> {
        since_moment(&self.begun, since)
    }

    /// Records the origin of a stream that this node is to write to the store from now on.
    pub fn archive(&mut self, origin: StreamOrigin, now: Moment) {
        let origin = StreamOrigin { at: now, ..origin };
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
        while self
            .known
            .front()
            .is_some_and(|known| is_over(&known.origin))
        {
            self.forget_oldest();
        }
        for origins in [&mut self.begun, &mut self.archived] {
            while origins.front().is_some_and(is_over) {
                origins.pop_front();
            }
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.known.pop_front() {
            self.software.remove(&oldest.origin.stream);
        }
    }
}

fn since_moment(
    origins: &VecDeque<StreamOrigin>,
    since: Moment,
) -> impl Iterator<Item = &StreamOrigin> {
    let first = origins.partition_point(|origin| origin.at < since);
    origins.range(first..)
}
