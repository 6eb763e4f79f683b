//! True time from clocks of which some are wrong.
//!
//! The time of day of single VMs jumps by seconds. The steady clock of each VM is sound, and so are
//! most clocks of day at any moment: the median over the nodes is taken as the truth.

use std::collections::HashMap;

use super::usage::Incarnation;
use crate::core::time::{Moment, UnixMillis};

/// Age after which what another node said of its clock counts no more.
const MAX_AGE: Moment = Moment::from_secs(10);

/// Clocks of this node and of others, as differences from this node's steady clock.
#[derive(Debug, Default)]
pub struct ClockMedian {
    told: HashMap<Incarnation, Told>,
}

#[derive(Debug)]
struct Told {
    offset_ms: i64,
    at: Moment,
}

impl ClockMedian {
    /// Notes the time of day at a node, at a moment of this node's steady clock.
    pub fn note(&mut self, process: Incarnation, wall: UnixMillis, now: Moment) {
        let offset_ms = wall as i64 - now.as_millis() as i64;
        self.told.insert(process, Told { offset_ms, at: now });
    }

    /// Returns the time of day at a moment of this node's steady clock: the median of all clocks heard
    /// of lately, or `None` where there is none.
    pub fn wall(&mut self, now: Moment) -> Option<UnixMillis> {
        self.told
            .retain(|_, told| now.saturating_sub(told.at) <= MAX_AGE);
        let mut offsets: Vec<i64> = self.told.values().map(|told| told.offset_ms).collect();
        if offsets.is_empty() {
            return None;
        }
        let middle = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        u64::try_from(*median + now.as_millis() as i64).ok()
    }
}
