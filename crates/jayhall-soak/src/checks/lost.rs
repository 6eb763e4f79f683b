//! Checks of calls that ended without a complete response: around graceful stops, and where the back end was sound
//! and would have gone on in time.

use std::time::Duration;

use super::{Checks, SETTLE_TIME, TIMING_TOLERANCE, Violation, has_reached_timeout, violation};
use crate::backend::EXECUTION_TIME;
use crate::bodies::{EVENTS_PER_STREAM, event_interval};
use crate::config::{STOP_TIMEOUT, timeout};
use crate::history::{Attempt, Kind, Moment, Outcome, Run, Stop, Target};

/// Time after SIGTERM until which calls are sent that may be broken off at the end of the stop.
const STOP_ENTRY_TIME: Duration = Duration::from_secs(3);
/// Last part of the stop timeout, in which calls whose back end is still at work may be broken off.
const STOP_END_SHARE: f64 = 1.0 / 6.0;

/// Statuses by which a gateway gives up a call that may have run.
const GIVEN_UP_STATUSES: [u16; 2] = [502, 504];

fn has_no_response(a: &Attempt) -> bool {
    matches!(
        a.outcome,
        Outcome::NoAnswer | Outcome::BrokenOff | Outcome::Silence
    )
}

fn stop_end(stop: &Stop) -> Moment {
    stop.at + stop.took.unwrap_or(STOP_TIMEOUT)
}

/// Returns whether a back end was still at work on a call that a stopping node broke off in the last part of the stop.
fn may_be_broken_off(stop: &Stop, a: &Attempt, runs: &[Run]) -> bool {
    let last_part = stop.at + STOP_TIMEOUT.mul_f64(1.0 - STOP_END_SHARE);
    let is_at_work = |run: &Run| run.ended.is_none_or(|ended| ended >= last_part);
    a.sent <= stop.at + STOP_ENTRY_TIME && a.ended >= last_part && runs.iter().any(is_at_work)
}

impl Checks<'_> {
    /// Returns whether no fault affected the node and the back ends of a call, from [`SETTLE_TIME`] before it was sent
    /// until it ended. Graceful stops of the node are no faults.
    fn is_undisturbed(&self, a: &Attempt) -> bool {
        let from = a.sent.saturating_sub(SETTLE_TIME);
        let node = Target::Node(a.node);
        self.events.has_only_planned_work(node, from, a.ended) && self.are_backends_undisturbed(a)
    }

    /// Returns whether a graceful stop of its node may break off a call.
    pub(super) fn may_be_broken_off(&self, a: &Attempt) -> bool {
        let mut stops = self.events.stops.iter().filter(|s| s.node == a.node);
        stops.any(|stop| may_be_broken_off(stop, a, self.runs(a)))
    }

    /// Checks that no call is lost that overlaps a graceful stop of its node: neither once it has been forwarded, nor
    /// later than [`TIMING_TOLERANCE`] after it was sent.
    pub(super) fn lost_in_stops(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for stop in &self.events.stops {
            let end = stop_end(stop);
            let of_node = self.events.attempts.iter().filter(|a| a.node == stop.node);
            let overlapping = of_node.filter(|a| a.sent <= end && a.ended >= stop.at);
            for a in overlapping.filter(|a| has_no_response(a)) {
                let runs = self.runs(a);
                let was_read = a.ended > a.sent + TIMING_TOLERANCE;
                if (runs.is_empty() && !was_read)
                    || has_reached_timeout(a)
                    || may_be_broken_off(stop, a, runs)
                    || !self.is_undisturbed(a)
                {
                    continue;
                }
                let at = stop.at;
                let what = format!("lost during the graceful stop at {at:?}: {a:?} {runs:?}");
                found.push(violation("no call is lost in a graceful stop", what));
            }
        }
        found
    }

    /// Checks that streams are complete if their first back end was sound all along and would have sent all events
    /// before the timeout, however long it was silent.
    pub(super) fn streams_of_sound_backends(&self) -> Vec<Violation> {
        let attempts = self.events.attempts.iter();
        let lost = attempts.filter(|a| a.kind.is_stream() && self.is_cut_short(a));
        lost.map(|a| {
            let what = format!("{a:?} {:?}", self.runs(a));
            let promise = match has_no_response(a) {
                true => "streams of sound back ends are complete",
                false => "calls are not given up while their back end is sound",
            };
            violation(promise, what)
        })
        .collect()
    }

    /// Returns whether a stream ended without all its events although its back end would have sent them in time.
    fn is_cut_short(&self, a: &Attempt) -> bool {
        let Some(first) = self.runs(a).first() else {
            return false;
        };
        let due = a.sent + timeout(a.kind);
        let is_given_up = match a.outcome {
            Outcome::Answered {
                status, is_signed, ..
            } => GIVEN_UP_STATUSES.contains(&status) && !is_signed,
            _ => has_no_response(a),
        };
        is_given_up
            && !has_reached_timeout(a)
            && !self.may_be_broken_off(a)
            && self.expected_end(a.kind, first) + TIMING_TOLERANCE < due
            && self.is_undisturbed(a)
    }

    /// Returns when a sound back end sends the last event of a stream, after its silences.
    fn expected_end(&self, kind: Kind, run: &Run) -> Moment {
        let silences = self.events.silences.iter();
        let mut silences: Vec<_> = silences
            .filter(|s| s.backend == run.backend && s.to.is_none_or(|to| to > run.at))
            .collect();
        silences.sort_by_key(|s| s.from);
        let mut end = run.at + EXECUTION_TIME + event_interval(kind) * EVENTS_PER_STREAM as u32;
        let mut silent_until = run.at;
        for silence in silences {
            let from = silence.from.max(silent_until);
            let to = silence.to.unwrap_or(Moment::MAX);
            if from < end && to > from {
                end = end.saturating_add(to - from);
                silent_until = to;
            }
        }
        end
    }
}
