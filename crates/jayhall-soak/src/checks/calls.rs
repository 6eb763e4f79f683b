//! Checks of calls: execution, responses, retries, timeouts and recovery.

use std::collections::{HashMap, HashSet};

use super::{Checks, TIMING_TOLERANCE, Violation, has_reached_timeout, violation};
use crate::config::{CUSTOMERS, MAX_BACKENDS, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, timeout};
use crate::history::{Attempt, Moment, Outcome};

/// Statuses that guarantee that a call has not been executed and never will be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Number of failures tolerated as chance by checks of proportions.
const CHANCE_FAILURES: usize = 3;
/// Minimum fraction of calls that succeed after recovery from all faults.
const MIN_SERVED_FRACTION: f64 = 0.95;

impl Checks<'_> {
    pub(super) fn unexpected_calls(&self) -> Vec<Violation> {
        let sent: HashSet<_> = self.events.attempts.iter().map(|a| &a.id).collect();
        let unknown = self.events.runs.keys().filter(|id| !sent.contains(id));
        let unknown = unknown.map(|id| {
            violation(
                "unasked",
                format!("{id} was executed, but no caller sent it"),
            )
        });
        let unexpected_calls = self.events.unexpected_calls.iter();
        let unexpected_calls = unexpected_calls.map(|what| violation("unasked", what.to_string()));
        unknown.chain(unexpected_calls).collect()
    }

    pub(super) fn at_most_once(&self) -> Vec<Violation> {
        let attempts = self.events.attempts.iter();
        let twice = attempts.filter(|a| !a.kind.may_repeat() && self.runs(a).len() > 1);
        twice
            .map(|a| {
                violation(
                    "at most once",
                    format!("{} was executed more than once: {:?}", a.id, self.runs(a)),
                )
            })
            .collect()
    }

    pub(super) fn refusals(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in &self.events.attempts {
            let Outcome::Answered { status, .. } = a.outcome else {
                continue;
            };
            if NOT_RUN_STATUSES.contains(&status)
                && !a.kind.may_repeat()
                && !self.runs(a).is_empty()
            {
                let what = format!(
                    "{} was answered {status}, but was executed: {:?}",
                    a.id,
                    self.runs(a)
                );
                found.push(violation("refused calls are not executed", what));
            }
            if [400, 401, 403, 404, 413].contains(&status) {
                let what = format!("{} of {} was rejected with {status}", a.id, a.customer);
                found.push(violation("valid calls are not rejected", what));
            }
        }
        found
    }

    pub(super) fn answers(&self) -> Vec<Violation> {
        let attempts = self.events.attempts.iter();
        let wrong = attempts.filter_map(|a| match &a.outcome {
            Outcome::Answered { status, fault, .. } => {
                let what = fault.as_ref()?;
                Some(violation(
                    "responses are intact",
                    format!("{} got {status}: {what}", a.id),
                ))
            }
            _ => None,
        });
        wrong.collect()
    }

    pub(super) fn forwarded_calls(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in &self.events.attempts {
            for run in self.runs(a) {
                if run.customer.as_deref() != Some(a.customer) || run.has_key {
                    let what = format!("{} of {} was forwarded as {run:?}", a.id, a.customer);
                    found.push(violation("customer identity replaces the API key", what));
                }
                if run
                    .deadline
                    .is_none_or(|deadline| deadline > a.deadline + TIMING_TOLERANCE)
                {
                    let what = format!(
                        "{} with deadline {:?} was forwarded as {run:?}",
                        a.id, a.deadline
                    );
                    found.push(violation("deadline is not extended", what));
                }
            }
        }
        found
    }

    pub(super) fn retries(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let attempts = self.events.attempts.iter();
        let many: Vec<_> = attempts
            .filter(|a| self.runs(a).len() > MAX_BACKENDS)
            .map(|a| &*a.id)
            .collect();
        if many.len() > CHANCE_FAILURES {
            let what = format!("sent to more than {MAX_BACKENDS} back ends: {many:?}");
            found.push(violation("second sends", what));
        }
        let mut calls: HashMap<&str, Vec<Moment>> = HashMap::new();
        let mut retried_at: HashMap<&str, Vec<Moment>> = HashMap::new();
        for a in &self.events.attempts {
            for (at, run) in self.runs(a).iter().enumerate() {
                let list = if at == 0 { &mut calls } else { &mut retried_at };
                list.entry(run.service).or_default().push(run.at);
            }
        }
        for (service, retried_at) in &retried_at {
            let calls = calls.get(service).map_or(&[][..], Vec::as_slice);
            for end in retried_at {
                let count = |moments: &[Moment], end: Moment| {
                    let from = end.saturating_sub(RETRY_WINDOW);
                    moments
                        .iter()
                        .filter(|at| **at > from && **at <= end)
                        .count()
                };
                let before = end.saturating_sub(RETRY_WINDOW);
                let most = count(calls, *end).max(count(calls, before));
                let allowed = most as f64 * RETRY_RATIO + RETRY_SLACK as f64;
                let seen = count(retried_at, *end);
                if seen as f64 > allowed {
                    let what = format!(
                        "{seen} retries to {service} in the window ending at {end:?}, allowed {allowed:.0}"
                    );
                    found.push(violation("second sends", what));
                    break;
                }
            }
        }
        found
    }

    pub(super) fn timeouts(&self) -> Vec<Violation> {
        let mut overdue = 0;
        let mut late = Vec::new();
        for a in self.undisturbed_attempts() {
            let due = a.sent + timeout(a.kind);
            if a.ended <= due || a.outcome == Outcome::Left {
                continue;
            }
            overdue += 1;
            if a.ended > due + TIMING_TOLERANCE {
                late.push(format!(
                    "{} after {:?}",
                    a.id,
                    a.ended.saturating_sub(a.sent)
                ));
            }
        }
        match late.len() > CHANCE_FAILURES && late.len() * 2 > overdue {
            true => vec![violation(
                "responses within the timeout",
                format!(
                    "{overdue} calls exceeded their timeout; ended beyond the tolerance: {late:?}"
                ),
            )],
            false => Vec::new(),
        }
    }

    /// Checks calls that were forwarded and lost without a fault at the node or the back end. Up to
    /// [`CHANCE_FAILURES`] such calls are tolerated in a run, besides those that end at their timeout or in the last
    /// part of a graceful stop. [`super::lost`] is stricter around graceful stops and for streams.
    pub(super) fn lost_calls(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let lost: Vec<_> = self
            .undisturbed_attempts()
            .filter(|a| matches!(a.outcome, Outcome::NoAnswer | Outcome::BrokenOff))
            .filter(|a| !has_reached_timeout(a) && !self.may_be_broken_off(a))
            .filter(|a| !self.runs(a).is_empty() && self.are_backends_undisturbed(a))
            .collect();
        if lost.len() > CHANCE_FAILURES {
            let what = format!("lost without a fault: {lost:?}");
            found.push(violation("no call is lost", what));
        }
        found
    }

    pub(super) fn abandoned_calls(&self) -> Vec<Violation> {
        let mut executed = 0;
        let mut running = Vec::new();
        for a in self
            .undisturbed_attempts()
            .filter(|a| a.outcome == Outcome::Left)
        {
            if !a.kind.is_stream() || !self.are_backends_undisturbed(a) {
                continue;
            }
            let Some(run) = self.runs(a).last() else {
                continue;
            };
            executed += 1;
            if run
                .ended
                .is_none_or(|ended| ended > a.ended + TIMING_TOLERANCE)
            {
                running.push(&*a.id);
            }
        }
        match running.len() > CHANCE_FAILURES && running.len() * 4 > executed {
            true => {
                let what = format!("of {executed} abandoned calls, still running: {running:?}");
                vec![violation("work ends when the caller leaves", what)]
            }
            false => Vec::new(),
        }
    }

    pub(super) fn recovery(&self) -> Vec<Violation> {
        let limited = |a: &&Attempt| {
            CUSTOMERS
                .iter()
                .any(|c| c.name == a.customer && c.limit.0 > 0.0)
        };
        let late: Vec<_> = self
            .events
            .attempts
            .iter()
            .filter(|a| a.sent >= self.span.recovered && a.outcome != Outcome::Left)
            .filter(|a| !limited(a))
            .collect();
        let served = late.iter().filter(|a| a.outcome.is_success()).count();
        match (served as f64) < late.len() as f64 * MIN_SERVED_FRACTION || late.is_empty() {
            true => {
                let failed = late.iter().filter(|a| !a.outcome.is_success()).take(5);
                let failed: Vec<_> = failed.collect();
                let what = format!(
                    "{served} of {} calls served; first failures: {failed:?}",
                    late.len()
                );
                vec![violation("recovery after the last fault", what)]
            }
            false => Vec::new(),
        }
    }
}
