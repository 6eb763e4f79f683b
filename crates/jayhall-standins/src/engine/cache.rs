//! The prefix cache and the events that it publishes late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::time::Instant;

/// Events that the engine keeps for readers.
const MAX_EVENTS: usize = 4096;

/// Blocks by last use.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    ticks: HashMap<u64, u64>,
    by_tick: BTreeMap<u64, u64>,
    tick: u64,
}

impl PrefixCache {
    pub(crate) fn len(&self) -> usize {
        self.ticks.len()
    }

    /// Returns how many leading blocks are cached and marks them as used.
    pub(crate) fn match_prefix(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks.iter().take_while(|b| self.ticks.contains_key(b));
        let count = cached.count();
        self.touch(&blocks[..count]);
        count
    }

    /// Stores blocks and returns the new ones.
    pub(crate) fn insert(&mut self, blocks: &[u64]) -> Vec<u64> {
        let new = blocks.iter().filter(|b| !self.ticks.contains_key(b));
        let new: Vec<u64> = new.copied().collect();
        self.touch(blocks);
        new
    }

    /// Removes the least recently used blocks until at most `limit` are left, and returns them.
    pub(crate) fn shrink_to(&mut self, limit: usize) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.ticks.len() > limit {
            let Some((_, block)) = self.by_tick.pop_first() else {
                break;
            };
            self.ticks.remove(&block);
            removed.push(block);
        }
        removed
    }

    /// Marks blocks as used, the last one as the oldest, so that a prefix outlives what follows it.
    fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.tick += 1;
            if let Some(old) = self.ticks.insert(*block, self.tick) {
                self.by_tick.remove(&old);
            }
            self.by_tick.insert(self.tick, *block);
        }
    }
}

/// What happened to blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// Blocks were stored.
    Stored,
    /// Blocks were removed.
    Removed,
    /// The whole cache was cleared.
    Cleared,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; numbers of lost events are missing.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hashes of the blocks, as 16 hexadecimal digits.
    pub blocks: Vec<Box<str>>,
}

/// Events and when they become visible.
#[derive(Debug)]
pub(crate) struct EventLog {
    events: VecDeque<(Instant, CacheEvent)>,
    last_seq: u64,
    lag: Duration,
    gap_probability: f64,
    rng: StdRng,
}

impl EventLog {
    pub(crate) fn new(lag: Duration, gap_probability: f64, seed: u64) -> Self {
        Self {
            events: VecDeque::new(),
            last_seq: 0,
            lag,
            gap_probability,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn push(&mut self, kind: CacheEventKind, blocks: &[u64], now: Instant) {
        if blocks.is_empty() && kind != CacheEventKind::Cleared {
            return;
        }
        self.last_seq += 1;
        if self.rng.random::<f64>() < self.gap_probability {
            return;
        }
        let event = CacheEvent {
            seq: self.last_seq,
            kind,
            blocks: blocks.iter().map(|b| format!("{b:016x}").into()).collect(),
        };
        self.events.push_back((now + self.lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events behind `after`.
    pub(crate) fn read(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().take_while(|(at, _)| *at <= now);
        let events = visible.map(|(_, event)| event);
        events.filter(|e| e.seq > after).cloned().collect()
    }
}
