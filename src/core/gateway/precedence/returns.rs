//! Requests that were refused, and the times at which they are expected to come back.

use std::collections::HashMap;
use std::time::Duration;

use super::RANKS;
use crate::core::gateway::request_id::RequestId;
use crate::core::time::Moment;

/// Largest number of requests that are expected.
const MAX_EXPECTED: usize = 256;
/// Time for which a request is still expected after its time.
const MAX_LATENESS: Duration = Duration::from_secs(2);
/// Time before and after the expected return of a request for which its units are reserved.
const RESERVED_AROUND: Duration = Duration::from_millis(250);
/// Time by which a request may come early, as retry delays are rounded.
const MAX_EARLINESS: Duration = Duration::from_millis(10);

/// Part of a bucket's refill for a return.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    /// Time until there is room for the request.
    pub(super) until_room: Duration,
    /// Units of the request.
    pub(super) units: f64,
    /// Time that the refill of its units takes.
    pub(super) length: Duration,
}

/// A request that is expected to come back.
#[derive(Clone, Copy, Debug)]
struct Expected {
    at: Moment,
    rank: usize,
    units: f64,
}

/// Refused requests of a customer that are expected to come back.
#[derive(Debug, Default)]
pub(super) struct Returns {
    expected: HashMap<RequestId, Expected>,
    /// Time up to which returns of each rank are scheduled.
    scheduled_until: [Moment; RANKS],
}

impl Returns {
    /// Returns whether a request comes back at its time.
    pub(super) fn is_due(&self, request: Option<RequestId>, now: Moment) -> bool {
        self.due_at(request)
            .is_some_and(|at| now + MAX_EARLINESS >= at && now <= at + MAX_LATENESS)
    }

    /// Returns the units of the requests of the most urgent `ranks` that are about to come back.
    pub(super) fn expected_units(&self, ranks: usize, now: Moment) -> f64 {
        let is_near = |at: Moment| at.abs_diff(now) <= RESERVED_AROUND;
        let near = self.expected.values();
        near.filter(|expected| expected.rank < ranks && is_near(expected.at))
            .map(|expected| expected.units)
            .sum()
    }

    /// Removes a request that was granted.
    pub(super) fn remove(&mut self, request: Option<RequestId>) {
        if let Some(request) = request {
            self.expected.remove(&request);
        }
    }

    /// Schedules the return of a request after those of its rank that were scheduled before. Returns the delay, at most
    /// `max`.
    pub(super) fn schedule(
        &mut self,
        rank: usize,
        request: Option<RequestId>,
        slot: Slot,
        max: Duration,
        now: Moment,
    ) -> Duration {
        // A caller that comes back early keeps its time.
        if let Some(at) = self.due_at(request).filter(|at| *at > now + MAX_EARLINESS) {
            return (at - now).min(max);
        }
        let at = now
            .saturating_add(slot.until_room)
            .max(self.scheduled_until[rank]);
        let delay = at - now;
        if delay >= max {
            return max;
        }
        // The refill rate may be low only for a moment, while leases begin.
        self.scheduled_until[rank] = at + slot.length.min(max);
        if let Some(request) = request {
            let units = slot.units;
            self.expect(request, Expected { at, rank, units }, now);
        }
        delay
    }

    fn expect(&mut self, request: RequestId, expected: Expected, now: Moment) {
        if self.expected.len() >= MAX_EXPECTED {
            self.expected
                .retain(|_, known| now <= known.at + MAX_LATENESS);
        }
        if self.expected.len() < MAX_EXPECTED {
            self.expected.insert(request, expected);
        }
    }

    fn due_at(&self, request: Option<RequestId>) -> Option<Moment> {
        self.expected.get(&request?).map(|expected| expected.at)
    }
}
