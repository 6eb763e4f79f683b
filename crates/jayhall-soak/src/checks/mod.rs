//! Checks the guarantees against the observations of callers, back ends and the cloud.
//!
//! A guarantee with a time bound is checked only if no fault affected the components it depends on (the
//! node, the back end or the store), starting [`SETTLE_TIME`] before the checked period.

mod calls;
mod duties;
mod limits;
mod lost;
mod state;

use std::time::Duration;

use crate::config::timeout;
use crate::history::{Attempt, Events, Moment, Run, Target};

/// Time after a fault until a component is considered recovered.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Tolerance for processing that ends after a timeout or after the caller abandons the call.
const TIMING_TOLERANCE: Duration = Duration::from_millis(500);

/// Time before the timeout of a route from which a call counts as ended by the timeout: a gateway ends calls a little
/// earlier, so that the end reaches the caller in time.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(100);

/// A violated guarantee.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Name of the guarantee.
    pub promise: &'static str,
    /// Description of the observation.
    pub what: String,
}

/// Time bounds of a run.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Time by which all nodes should have recovered.
    pub recovered: Moment,
    /// Time at which the callers stop.
    pub end: Moment,
    /// Time of day at the start, in milliseconds since 1970.
    pub wall_start: u64,
}

/// Returns all violated guarantees.
pub fn check(events: &Events, span: Span) -> Vec<Violation> {
    let cx = Checks { events, span };
    let lists = [
        cx.unexpected_calls(),
        cx.at_most_once(),
        cx.refusals(),
        cx.answers(),
        cx.forwarded_calls(),
        cx.retries(),
        cx.timeouts(),
        cx.lost_calls(),
        cx.lost_in_stops(),
        cx.streams_of_sound_backends(),
        cx.abandoned_calls(),
        cx.leaving_backends(),
        cx.configuration(),
        cx.quotas(),
        cx.calls_below_the_limit(),
        cx.duty_holders(),
        cx.usage(),
        cx.processes(),
        cx.recovery(),
    ];
    lists.into_iter().flatten().collect()
}

struct Checks<'a> {
    events: &'a Events,
    span: Span,
}

/// Returns whether a call lasted until its route's timeout, at which a gateway ends it.
fn has_reached_timeout(a: &Attempt) -> bool {
    a.ended + TIMEOUT_MARGIN >= a.sent + timeout(a.kind)
}

fn violation(promise: &'static str, what: impl Into<String>) -> Violation {
    Violation {
        promise,
        what: what.into(),
    }
}

impl Checks<'_> {
    fn runs(&self, attempt: &Attempt) -> &[Run] {
        self.events.runs.get(&attempt.id).map_or(&[], Vec::as_slice)
    }

    fn is_node_undisturbed(&self, node: usize, from: Moment, to: Moment) -> bool {
        let from = from.saturating_sub(SETTLE_TIME);
        self.events.is_undisturbed(Target::Node(node), from, to)
    }

    fn is_store_undisturbed(&self, from: Moment, to: Moment) -> bool {
        let from = from.saturating_sub(SETTLE_TIME);
        self.events.is_undisturbed(Target::Store, from, to)
    }

    fn are_backends_undisturbed(&self, attempt: &Attempt) -> bool {
        let from = attempt.sent.saturating_sub(SETTLE_TIME);
        let mut runs = self.runs(attempt).iter();
        runs.all(|run| {
            self.events
                .is_undisturbed(Target::Backend(run.backend), from, attempt.ended)
        })
    }

    /// Returns attempts whose node had no fault from [`SETTLE_TIME`] before they were sent until they ended.
    fn undisturbed_attempts(&self) -> impl Iterator<Item = &Attempt> {
        let attempts = self.events.attempts.iter();
        attempts.filter(|a| self.is_node_undisturbed(a.node, a.sent, a.ended))
    }
}
