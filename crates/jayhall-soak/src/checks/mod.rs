//! Checks of the promises, from what callers, back ends and the cloud saw.
//!
//! A promise with a time bound is checked where nothing was done to what it rests on: the node, the
//! back end or the store, from [`SETTLED`] before.

mod calls;
mod duties;
mod state;

use std::time::Duration;

use crate::history::{Attempt, Events, Moment, Run, Target};

/// Time without a disturbance after which a party counts as calm.
const SETTLED: Duration = Duration::from_secs(4);
/// Time after a route's timeout, or after a caller left, within which all is over.
const SLACK: Duration = Duration::from_millis(500);

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub what: String,
}

/// What a run was like beside its events.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Time after which everything should have recovered.
    pub recovered: Moment,
    /// End of the callers' calls.
    pub end: Moment,
    /// Time of day at the start, in milliseconds since 1970.
    pub wall_start: u64,
}

/// Returns every broken promise.
pub fn check(events: &Events, span: Span) -> Vec<Violation> {
    let cx = Checks { events, span };
    let lists = [
        cx.strays(),
        cx.at_most_once(),
        cx.refusals(),
        cx.answers(),
        cx.passed_on(),
        cx.second_sends(),
        cx.timeouts(),
        cx.lost(),
        cx.left(),
        cx.leaving_backends(),
        cx.configuration(),
        cx.quotas(),
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

fn broken(promise: &'static str, what: impl Into<String>) -> Violation {
    Violation {
        promise,
        what: what.into(),
    }
}

impl Checks<'_> {
    fn runs(&self, attempt: &Attempt) -> &[Run] {
        self.events.runs.get(&attempt.id).map_or(&[], Vec::as_slice)
    }

    fn is_node_calm(&self, node: usize, from: Moment, to: Moment) -> bool {
        let from = from.saturating_sub(SETTLED);
        self.events.is_calm(Target::Node(node), from, to)
    }

    fn is_store_calm(&self, from: Moment, to: Moment) -> bool {
        let from = from.saturating_sub(SETTLED);
        self.events.is_calm(Target::Store, from, to)
    }

    fn are_backends_calm(&self, attempt: &Attempt) -> bool {
        let from = attempt.sent.saturating_sub(SETTLED);
        let mut runs = self.runs(attempt).iter();
        runs.all(|run| {
            self.events
                .is_calm(Target::Backend(run.backend), from, attempt.ended)
        })
    }

    /// Returns attempts on nodes to which nothing was done from a while before until their end.
    fn calm_attempts(&self) -> impl Iterator<Item = &Attempt> {
        let attempts = self.events.attempts.iter();
        attempts.filter(|a| self.is_node_calm(a.node, a.sent, a.ended))
    }
}
