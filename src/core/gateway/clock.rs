//! Time of day estimated from the wall clocks of all nodes.
//!
//! The wall clock of a single VM may jump by seconds. The monotonic clock of each VM is reliable, and so
//! are most wall clocks at any moment, so the median over the nodes is used.

use std::collections::HashMap;

use super::usage::Incarnation;
use crate::core::time::{Moment, UnixMillis};

/// Age after which another node's clock reading is dropped.
const MAX_AGE: Moment = Moment::from_secs(10);

/// Wall clocks of this node and of others, as offsets from this node's monotonic clock.
#[derive(Debug, Default)]
pub struct ClockMedian {
    readings: HashMap<Incarnation, Reading>,
}

#[derive(Debug)]
struct Reading {
    offset_ms: i64,
    at: Moment,
}

impl ClockMedian {
    /// Records the wall clock of a node at `now` of this node's monotonic clock.
    pub fn record(&mut self, process: Incarnation, wall: UnixMillis, now: Moment) {
        let offset_ms = wall as i64 - now.as_millis() as i64;
        self.readings
            .insert(process, Reading { offset_ms, at: now });
    }

    /// Returns the time of day at `now` of this node's monotonic clock: the median of the recent
    /// readings, or `None` without any.
    pub fn wall(&mut self, now: Moment) -> Option<UnixMillis> {
        self.readings
            .retain(|_, reading| now.saturating_sub(reading.at) <= MAX_AGE);
        let mut offsets: Vec<i64> = self
            .readings
            .values()
            .map(|reading| reading.offset_ms)
            .collect();
        if offsets.is_empty() {
            return None;
        }
        let middle = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        u64::try_from(*median + now.as_millis() as i64).ok()
    }
}
