//! Checks of calls: execution, responses, retries, timeouts and recovery.

use std::collections::{HashMap, HashSet};

use super::{Checks, SLACK, Violation, broken};
use crate::config::{
    CUSTOMERS, MAX_BACKENDS, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, STOP, timeout,
};
use crate::history::{Attempt, Moment, Outcome};

/// Statuses that guarantee that a call has not been executed and never will be.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Number of failures tolerated as chance by checks of proportions.
const FEW: usize = 3;
/// Minimum fraction of calls that succeed after recovery from all faults.
const RECOVERED: f64 = 0.95;

impl Checks<'_> {
    pub(super) fn strays(&self) -> Vec<Violation> {
        let sent: HashSet<_> = self.events.attempts.iter().map(|a| &a.id).collect();
        let unknown = self.events.runs.keys().filter(|id| !sent.contains(id));
        let unknown = unknown.map(|id| {
            broken(
                "unasked",
                format!("{id} was executed, but no caller sent it"),
            )
        });
        let strays = self.events.strays.iter();
        let strays = strays.map(|what| broken("unasked", what.to_string()));
        unknown.chain(strays).collect()
    }

    pub(super) fn at_most_once(&self) -> Vec<Violation> {
        let attempts = self.events.attempts.iter();
        let twice = attempts.filter(|a| !a.kind.may_repeat() && self.runs(a).len() > 1);
        twice
            .map(|a| {
                broken(
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
            if NOT_RUN.contains(&status) && !a.kind.may_repeat() && !self.runs(a).is_empty() {
                let what = format!(
                    "{} was answered {status}, but was executed: {:?}",
                    a.id,
                    self.runs(a)
                );
                found.push(broken("true refusals", what));
            }
            if [400, 401, 403, 404, 413].contains(&status) {
                let what = format!("{} of {} was rejected with {status}", a.id, a.customer);
                found.push(broken("proper calls are not denied", what));
            }
        }
        found
    }

    pub(super) fn answers(&self) -> Vec<Violation> {
        let attempts = self.events.attempts.iter();
        let wrong = attempts.filter_map(|a| match &a.outcome {
            Outcome::Answered { status, fault, .. } => {
                let what = fault.as_ref()?;
                Some(broken(
                    "whole answers",
                    format!("{} got {status}: {what}", a.id),
                ))
            }
            _ => None,
        });
        wrong.collect()
    }

    pub(super) fn passed_on(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in &self.events.attempts {
            for run in self.runs(a) {
                if run.customer.as_deref() != Some(a.customer) || run.has_key {
                    let what = format!("{} of {} was forwarded as {run:?}", a.id, a.customer);
                    found.push(broken("customers as their keys say", what));
                }
                if run
                    .deadline
                    .is_none_or(|deadline| deadline > a.deadline + SLACK)
                {
                    let what = format!(
                        "{} with deadline {:?} was forwarded as {run:?}",
                        a.id, a.deadline
                    );
                    found.push(broken("no more time than is left", what));
                }
            }
        }
        found
    }

    pub(super) fn second_sends(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let attempts = self.events.attempts.iter();
        let many: Vec<_> = attempts
            .filter(|a| self.runs(a).len() > MAX_BACKENDS)
            .map(|a| &*a.id)
            .collect();
        if many.len() > FEW {
            let what = format!("sent to more than {MAX_BACKENDS} back ends: {many:?}");
            found.push(broken("second sends", what));
        }
        let mut calls: HashMap<&str, Vec<Moment>> = HashMap::new();
        let mut again: HashMap<&str, Vec<Moment>> = HashMap::new();
        for a in &self.events.attempts {
            for (at, run) in self.runs(a).iter().enumerate() {
                let list = if at == 0 { &mut calls } else { &mut again };
                list.entry(run.service).or_default().push(run.at);
            }
        }
        for (service, again) in &again {
            let calls = calls.get(service).map_or(&[][..], Vec::as_slice);
            for end in again {
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
                let seen = count(again, *end);
                if seen as f64 > allowed {
                    let what = format!(
                        "{seen} retries to {service} in the window ending at {end:?}, allowed {allowed:.0}"
                    );
                    found.push(broken("second sends", what));
                    break;
                }
            }
        }
        found
    }

    pub(super) fn timeouts(&self) -> Vec<Violation> {
        let mut waiting = 0;
        let mut late = Vec::new();
        for a in self.calm_attempts() {
            let due = a.sent + timeout(a.kind);
            if a.ended <= due || a.outcome == Outcome::Left {
                continue;
            }
            waiting += 1;
            if a.ended > due + SLACK {
                late.push(format!(
                    "{} after {:?}",
                    a.id,
                    a.ended.saturating_sub(a.sent)
                ));
            }
        }
        match late.len() > FEW && late.len() * 2 > waiting {
            true => vec![broken(
                "answers in time",
                format!(
                    "{waiting} calls exceeded their timeout; ended beyond the tolerance: {late:?}"
                ),
            )],
            false => Vec::new(),
        }
    }

    /// Checks calls that were forwarded and lost without a fault at the node or the back end. Up to
    /// [`FEW`] such calls are tolerated in a run, but none that overlaps a graceful stop of its node.
    pub(super) fn lost(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let lost: Vec<_> = self
            .calm_attempts()
            .filter(|a| matches!(a.outcome, Outcome::NoAnswer | Outcome::BrokenOff))
            .filter(|a| !self.runs(a).is_empty() && self.are_backends_calm(a))
            .collect();
        if lost.len() > FEW {
            let what = format!("lost without a fault: {lost:?}");
            found.push(broken("no call is lost", what));
        }
        for stop in &self.events.stops {
            let end = stop.at + stop.took.unwrap_or(STOP);
            for a in lost.iter().filter(|a| a.node == stop.node) {
                if a.sent <= end && a.ended >= stop.at {
                    let what = format!(
                        "lost during the graceful stop at {:?}: {a:?} {:?}",
                        stop.at,
                        self.runs(a)
                    );
                    found.push(broken("a stop loses nothing", what));
                }
            }
        }
        found
    }

    pub(super) fn left(&self) -> Vec<Violation> {
        let mut ran = 0;
        let mut at_work = Vec::new();
        for a in self.calm_attempts().filter(|a| a.outcome == Outcome::Left) {
            if !a.kind.is_stream() || !self.are_backends_calm(a) {
                continue;
            }
            let Some(run) = self.runs(a).last() else {
                continue;
            };
            ran += 1;
            if run.ended.is_none_or(|ended| ended > a.ended + SLACK) {
                at_work.push(&*a.id);
            }
        }
        match at_work.len() > FEW && at_work.len() * 4 > ran {
            true => {
                let what = format!("of {ran} abandoned calls, still running: {at_work:?}");
                vec![broken("work ends when the caller leaves", what)]
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
        match (served as f64) < late.len() as f64 * RECOVERED || late.is_empty() {
            true => {
                let failed = late.iter().filter(|a| !a.outcome.is_success()).take(5);
                let failed: Vec<_> = failed.collect();
                let what = format!(
                    "{served} of {} calls served; first failures: {failed:?}",
                    late.len()
                );
                vec![broken("serving again after the last fault", what)]
            }
            false => Vec::new(),
        }
    }
}
