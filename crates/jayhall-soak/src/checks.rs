//! Checks of the promises, from what callers, back ends and the cloud saw.
//!
//! A promise with a time bound is checked where nothing was done to what it rests on: the node, the
//! back end or the store, from [`SETTLED`] before.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::config::{
    CONFIG_APPLIES, CUSTOMERS, DRAIN, LEASE, MAX_BACKENDS, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW,
    STOP, USAGE_LATE, USAGE_WINDOW, timeout,
};
use crate::history::{Attempt, Events, Kind, Moment, Outcome, Run, Target};

/// Time without a disturbance after which a party counts as calm.
const SETTLED: Duration = Duration::from_secs(4);
/// Time after a route's timeout, or after a caller left, within which all is over.
const SLACK: Duration = Duration::from_millis(500);
/// Span in which a customer's units are counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// What a customer may have beyond its limit: a part of it, and of its rate in a window besides.
const QUOTA_OVERRUN: (f64, f64) = (0.1, 0.2);
/// Statuses that promise that a call has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Cases of one kind that may be chance, where a promise is about shares.
const FEW: usize = 3;
/// Part of a window's calls by which a report of usage may be off, and calls besides: those that began
/// at the window's edges.
const USAGE_OFF: (f64, u32) = (0.05, 3);
/// Part of the calls that are answered once all faults are over.
const RECOVERED: f64 = 0.95;

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

    fn strays(&self) -> Vec<Violation> {
        let sent: HashSet<_> = self.events.attempts.iter().map(|a| &a.id).collect();
        let unknown = self.events.runs.keys().filter(|id| !sent.contains(id));
        let unknown =
            unknown.map(|id| broken("unasked", format!("{id} ran and no caller sent it")));
        let strays = self.events.strays.iter();
        let strays = strays.map(|what| broken("unasked", what.to_string()));
        unknown.chain(strays).collect()
    }

    fn at_most_once(&self) -> Vec<Violation> {
        let attempts = self.events.attempts.iter();
        let twice = attempts.filter(|a| !a.kind.may_repeat() && self.runs(a).len() > 1);
        twice
            .map(|a| broken("at most once", format!("{} ran: {:?}", a.id, self.runs(a))))
            .collect()
    }

    fn refusals(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in &self.events.attempts {
            let Outcome::Answered { status, .. } = a.outcome else {
                continue;
            };
            if NOT_RUN.contains(&status) && !a.kind.may_repeat() && !self.runs(a).is_empty() {
                let what = format!("{} was answered {status} and ran: {:?}", a.id, self.runs(a));
                found.push(broken("true refusals", what));
            }
            if [400, 401, 403, 404, 413].contains(&status) {
                let what = format!("{} of {} was denied with {status}", a.id, a.customer);
                found.push(broken("proper calls are not denied", what));
            }
        }
        found
    }

    fn answers(&self) -> Vec<Violation> {
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

    fn passed_on(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in &self.events.attempts {
            for run in self.runs(a) {
                if run.customer.as_deref() != Some(a.customer) || run.has_key {
                    let what = format!("{} of {} came as {run:?}", a.id, a.customer);
                    found.push(broken("customers as their keys say", what));
                }
                if run
                    .deadline
                    .is_none_or(|deadline| deadline > a.deadline + SLACK)
                {
                    let what = format!("{} with {:?}: {run:?}", a.id, a.deadline);
                    found.push(broken("no more time than is left", what));
                }
            }
        }
        found
    }

    fn second_sends(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let attempts = self.events.attempts.iter();
        let many: Vec<_> = attempts
            .filter(|a| self.runs(a).len() > MAX_BACKENDS)
            .map(|a| &*a.id)
            .collect();
        if many.len() > FEW {
            let what = format!("more than {MAX_BACKENDS} back ends got {many:?}");
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
                    let what = format!("{seen} of {service} up to {end:?}, allowed {allowed:.0}");
                    found.push(broken("second sends", what));
                    break;
                }
            }
        }
        found
    }

    fn timeouts(&self) -> Vec<Violation> {
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
                format!("{waiting} waited, late: {late:?}"),
            )],
            false => Vec::new(),
        }
    }

    /// Calls that were passed on and lost though nothing was done to node and back end: a few at any
    /// time may be chance, around a graceful stop none.
    fn lost(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let lost: Vec<_> = self
            .calm_attempts()
            .filter(|a| matches!(a.outcome, Outcome::NoAnswer | Outcome::BrokenOff))
            .filter(|a| !self.runs(a).is_empty() && self.are_backends_calm(a))
            .collect();
        if lost.len() > FEW {
            let what = format!("lost without a cause: {lost:?}");
            found.push(broken("no call is lost", what));
        }
        for stop in &self.events.stops {
            let end = stop.at + stop.took.unwrap_or(STOP);
            for a in lost.iter().filter(|a| a.node == stop.node) {
                if a.sent <= end && a.ended >= stop.at {
                    let what = format!(
                        "lost in the stop at {:?}: {a:?} {:?}",
                        stop.at,
                        self.runs(a)
                    );
                    found.push(broken("a stop loses nothing", what));
                }
            }
        }
        found
    }

    fn left(&self) -> Vec<Violation> {
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
                let what = format!("of {ran} calls whose callers left, still at work: {at_work:?}");
                vec![broken("work ends when the caller leaves", what)]
            }
            false => Vec::new(),
        }
    }

    fn leaving_backends(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in &self.events.attempts {
            for run in self.runs(a) {
                let Some(left) = self.events.left.get(&run.backend) else {
                    continue;
                };
                let is_calm =
                    self.is_node_calm(a.node, *left, run.at) && self.is_store_calm(*left, run.at);
                if run.at > *left + DRAIN && is_calm {
                    let what =
                        format!("{} through n{}; it left at {left:?}: {run:?}", a.id, a.node);
                    found.push(broken("no call to a back end that left", what));
                }
            }
        }
        found
    }

    fn configuration(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in self
            .events
            .attempts
            .iter()
            .filter(|a| a.kind == Kind::Idempotent)
        {
            for run in self.runs(a) {
                let since = a.sent.saturating_sub(CONFIG_APPLIES);
                let is_calm =
                    self.is_node_calm(a.node, since, run.at) && self.is_store_calm(since, run.at);
                if is_calm
                    && !self
                        .allowed(since, run.at)
                        .any(|service| service == run.service)
                {
                    let what = format!("{} through n{}, sent {:?}: {run:?}", a.id, a.node, a.sent);
                    found.push(broken("configuration in force in time", what));
                }
            }
        }
        found
    }

    /// Returns the services of the moving route that were in force at some time of a span.
    fn allowed(&self, from: Moment, to: Moment) -> impl Iterator<Item = &'static str> {
        let versions = &self.events.versions;
        let first = versions.iter().rposition(|v| v.at <= from).unwrap_or(0);
        let in_span = versions[first..].iter().take_while(move |v| v.at <= to);
        in_span.map(|v| v.moving_route)
    }

    fn quotas(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for customer in CUSTOMERS.iter().filter(|c| c.limit.0 > 0.0) {
            let attempts = self.events.attempts.iter();
            let mut spent: Vec<(Moment, u32)> = attempts
                .filter(|a| a.customer == customer.name)
                .filter_map(|a| Some((self.runs(a).first()?.at, a.units)))
                .collect();
            spent.sort_unstable();
            let (rate, burst) = customer.limit;
            let in_window = rate * QUOTA_WINDOW.as_secs_f64();
            let (overrun, slack) = QUOTA_OVERRUN;
            let allowed = (in_window + burst) * (1.0 + overrun) + in_window * slack;
            let sum_from = |first: usize| -> u32 {
                let end = spent[first].0 + QUOTA_WINDOW;
                let in_it = spent[first..].iter().take_while(|(at, _)| *at <= end);
                in_it.map(|(_, units)| units).sum()
            };
            let worst = (0..spent.len()).max_by_key(|first| sum_from(*first));
            let Some(worst) = worst.filter(|worst| f64::from(sum_from(*worst)) > allowed) else {
                continue;
            };
            let (units, from) = (sum_from(worst), spent[worst].0);
            let what = format!(
                "{} had {units} of {allowed:.0} from {from:?}",
                customer.name
            );
            found.push(broken("limits of customers", what));
        }
        found
    }

    fn duty_holders(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut by_subject: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for call in &self.events.duty_calls {
            by_subject.entry(&call.subject).or_default().push(call);
        }
        for (subject, calls) in by_subject {
            let mut holders: HashMap<u64, &str> = HashMap::new();
            for (at, call) in calls.iter().enumerate() {
                let holder = *holders.entry(call.fence).or_insert(&call.holder);
                if holder != &*call.holder {
                    let what = format!("{holder} and {call:?}");
                    found.push(broken("one holder of a token", what));
                }
                // What a node sent before it was suspended may arrive late, as the platform allows.
                let node = call.holder.trim_start_matches('n').parse().unwrap_or(0);
                if !self.is_node_calm(node, call.at, call.at) {
                    continue;
                }
                let before = &calls[..at];
                if before.iter().any(|earlier| earlier.fence > call.fence) {
                    let what = format!("{subject}: a lower token than before: {call:?}");
                    found.push(broken("tokens grow", what));
                }
                let since = call.at.saturating_sub(LEASE);
                let recent = before.iter().filter(|earlier| earlier.at >= since);
                let mut holders = recent.map(|earlier| &*earlier.holder);
                if holders.any(|h| h == &*call.holder) {
                    let mut between = before.iter().rev().take_while(|c| c.holder != call.holder);
                    if between.any(|earlier| earlier.at >= since) {
                        let what = format!("{subject}: a holder acts again too soon: {call:?}");
                        found.push(broken("one holder at a time", what));
                    }
                }
            }
        }
        found
    }

    fn usage(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut reports: BTreeMap<u64, (&BTreeMap<Box<str>, u32>, Moment)> = BTreeMap::new();
        for call in &self.events.duty_calls {
            let Some((window, counts)) = &call.usage else {
                continue;
            };
            let first = reports.entry(*window).or_insert((counts, call.at));
            if first.0 != counts {
                let what = format!("window {window}: {:?}, then {call:?}", first.0);
                found.push(broken("usage is decided once", what));
            }
        }
        let length = USAGE_WINDOW.as_millis() as u64;
        let first = self.span.wall_start / length + 1;
        for window in first.. {
            let from = Duration::from_millis(window * length - self.span.wall_start);
            let end = from + USAGE_WINDOW;
            if end + USAGE_LATE > self.span.end {
                break;
            }
            if !self.is_all_calm(from, end + USAGE_LATE) {
                continue;
            }
            found.extend(self.window_is_right(window, from, end, reports.get(&window)));
        }
        found
    }

    fn is_all_calm(&self, from: Moment, to: Moment) -> bool {
        let from = from.saturating_sub(SETTLED);
        let mut disturbances = self.events.disturbances.iter();
        let mut stops = self.events.stops.iter();
        let is_calm = disturbances.all(|d| {
            matches!(d.target, Target::Backend(_))
                || d.from > to
                || d.to.is_some_and(|end| end < from)
        });
        is_calm && stops.all(|stop| stop.at > to || stop.at + STOP < from)
    }

    fn window_is_right(
        &self,
        window: u64,
        from: Moment,
        end: Moment,
        report: Option<&(&BTreeMap<Box<str>, u32>, Moment)>,
    ) -> Vec<Violation> {
        let promise = "usage is right and in time";
        let Some((counts, at)) = report else {
            return vec![broken(promise, format!("window {window} was not reported"))];
        };
        if *at > end + USAGE_LATE {
            return vec![broken(promise, format!("window {window} came at {at:?}"))];
        }
        let mut truth: BTreeMap<&str, u32> = BTreeMap::new();
        for a in &self.events.attempts {
            if self
                .runs(a)
                .first()
                .is_some_and(|run| run.at >= from && run.at < end)
            {
                *truth.entry(a.customer).or_default() += 1;
            }
        }
        let off = truth.into_iter().filter(|(customer, true_count)| {
            let told = counts.get(*customer).copied().unwrap_or(0);
            let (part, besides) = USAGE_OFF;
            told.abs_diff(*true_count) > (f64::from(*true_count) * part) as u32 + besides
        });
        off.map(|(customer, calls)| {
            let what = format!("window {window}, {customer}: {calls} calls, told {counts:?}");
            broken(promise, what)
        })
        .collect()
    }

    fn processes(&self) -> Vec<Violation> {
        let exits = self.events.own_exits.iter();
        let exits = exits.map(|(node, at)| {
            broken(
                "processes do not end by themselves",
                format!("n{node} at {at:?}"),
            )
        });
        let stops = self.events.stops.iter();
        let bad = stops.filter(|stop| {
            let in_time = stop.took.is_some_and(|took| took <= STOP);
            let is_calm = self.is_node_calm(stop.node, stop.at, stop.at + STOP);
            is_calm && !(in_time && stop.is_success)
        });
        let bad = bad.map(|stop| broken("a stop ends in time", format!("{stop:?}")));
        exits.chain(bad).collect()
    }

    fn recovery(&self) -> Vec<Violation> {
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
        let is_served =
            |a: &&&Attempt| matches!(&a.outcome, Outcome::Answered { status, .. } if *status < 300);
        let served = late.iter().filter(is_served).count();
        match (served as f64) < late.len() as f64 * RECOVERED || late.is_empty() {
            true => {
                let failed = late.iter().filter(|a| !is_served(a)).take(5);
                let failed: Vec<_> = failed.collect();
                let what = format!(
                    "{served} of {} calls served; such as {failed:?}",
                    late.len()
                );
                vec![broken("serving again after the last fault", what)]
            }
            false => Vec::new(),
        }
    }
}
