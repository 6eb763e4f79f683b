//! Checks of duties, which one node at a time performs for all nodes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{Checks, SETTLED, Violation, broken};
use crate::config::{LEASE, STOP, USAGE_LATE, USAGE_WINDOW};
use crate::history::{Moment, Target};

/// Tolerance of a usage report: a fraction of the window's calls, plus an absolute number of calls. It
/// covers calls that start at the edges of the window.
const USAGE_OFF: (f64, u32) = (0.05, 3);

impl Checks<'_> {
    pub(super) fn duty_holders(&self) -> Vec<Violation> {
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
                // Calls that a node sent before it was suspended may arrive late; the platform allows this.
                let node = call.holder.trim_start_matches('n').parse().unwrap_or(0);
                if !self.is_node_calm(node, call.at, call.at) {
                    continue;
                }
                let before = &calls[..at];
                if before.iter().any(|earlier| earlier.fence > call.fence) {
                    let what = format!("{subject}: fencing token decreased: {call:?}");
                    found.push(broken("tokens grow", what));
                }
                let since = call.at.saturating_sub(LEASE);
                let recent = before.iter().filter(|earlier| earlier.at >= since);
                let mut holders = recent.map(|earlier| &*earlier.holder);
                if holders.any(|h| h == &*call.holder) {
                    let mut between = before.iter().rev().take_while(|c| c.holder != call.holder);
                    if between.any(|earlier| earlier.at >= since) {
                        let what = format!(
                            "{subject}: former holder acted again within the lease duration: {call:?}"
                        );
                        found.push(broken("one holder at a time", what));
                    }
                }
            }
        }
        found
    }

    pub(super) fn usage(&self) -> Vec<Violation> {
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
            found.extend(self.wrong_in_window(window, from, end, reports.get(&window)));
        }
        found
    }

    /// Returns whether no fault or graceful stop affected any node, the store or the cloud.
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

    /// Returns the violations in the usage report of a window without faults.
    fn wrong_in_window(
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
            return vec![broken(
                promise,
                format!("window {window} was reported late, at {at:?}"),
            )];
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
            let what = format!("window {window}, {customer}: {calls} calls, reported {counts:?}");
            broken(promise, what)
        })
        .collect()
    }
}
