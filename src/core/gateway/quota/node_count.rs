//! Number of nodes that share the limits.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::time::Moment;

/// Time for which the part of a node that is gone is left unused. Nodes that are cut off from the store, and from the
/// nodes that saw them expire there, go on with their parts.
const DEPARTED_PERIOD: Duration = Duration::from_secs(30);

/// Largest number of nodes that were known within [`DEPARTED_PERIOD`].
#[derive(Debug, Default)]
pub struct NodeCount {
    /// Counts and when they were last current; each is larger than those after it.
    counts: VecDeque<(Moment, usize)>,
}

impl NodeCount {
    /// Records the number of nodes that are known.
    pub fn record(&mut self, count: usize, now: Moment) {
        while self.counts.back().is_some_and(|(_, last)| *last <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        let is_old = |at: Moment| now.saturating_sub(at) > DEPARTED_PERIOD;
        while self.counts.front().is_some_and(|(at, _)| is_old(*at)) {
            self.counts.pop_front();
        }
    }

    /// Returns the largest count, at least 1.
    pub fn largest(&self) -> usize {
        self.counts.front().map_or(1, |(_, count)| *count).max(1)
    }
}
