//! Checks of duties, which one node at a time performs for all nodes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{Checks, SETTLE_TIME, Violation, violation};
use crate::config::{LEASE_DURATION, STOP_TIMEOUT, USAGE_REPORT_TIMEOUT, USAGE_WINDOW};
use crate::history::{Moment, Target};

/// Tolerance of a usage report: a fraction of the window's calls, plus an absolute number of calls. It
/// covers calls that start at the edges of the window.
const USAGE_TOLERANCE: (f64, u32) = (0.05, 3);

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
                    found.push(violation("one holder per fencing token", what));
                }
                // Calls that a node sent before it was suspended may arrive late; the platform allows this.
                let node = call.holder.trim_start_matches('n').parse().unwrap_or(0);
                if !self.is_node_undisturbed(node, call.at, call.at) {
                    continue;
                }
                let before = &calls[..at];
                if before.iter().any(|earlier| earlier.fence > call.fence) {
                    let what = format!("{subject}: fencing token decreased: {call:?}");
                    found.push(violation("fencing tokens do not decrease", what));
                }
                let since = call.at.saturating_sub(LEASE_DURATION);
                let recent = before.iter().filter(|earlier| earlier.at >= since);
                let mut holders = recent.map(|earlier| &*earlier.holder);
                if holders.any(|h| h == &*call.holder) {
                    let mut between = before.iter().rev().take_while(|c| c.holder != call.holder);
                    if between.any(|earlier| earlier.at >= since) {
                        let what = format!(
                            "{subject}: former holder acted again within the lease duration: {call:?}"
                        );
                        found.push(violation("one holder at a time", what));
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
                found.push(violation("usage reports of a window agree", what));
            }
        }
        let length = USAGE_WINDOW.as_millis() as u64;
        let first = self.span.wall_start / length + 1;
        for window in first.. {
            let from = Duration::from_millis(window * length - self.span.wall_start);
            let end = from + USAGE_WINDOW;
            if end + USAGE_REPORT_TIMEOUT > self.span.end {
                break;
            }
            if !self.is_all_undisturbed(from, end + USAGE_REPORT_TIMEOUT) {
                continue;
            }
            found.extend(self.check_window(window, from, end, reports.get(&window)));
        }
        found
    }

    /// Returns whether no fault or graceful stop affected any node, the store or the cloud.
    fn is_all_undisturbed(&self, from: Moment, to: Moment) -> bool {
        let from = from.saturating_sub(SETTLE_TIME);
        let mut disturbances = self.events.disturbances.iter();
        let mut stops = self.events.stops.iter();
        let is_undisturbed = disturbances.all(|d| {
            matches!(d.target, Target::Backend(_))
                || d.from > to
                || d.to.is_some_and(|end| end < from)
        });
        is_undisturbed && stops.all(|stop| stop.at > to || stop.at + STOP_TIMEOUT < from)
    }

    /// Returns the violations in the usage report of a window without faults.
    fn check_window(
        &self,
        window: u64,
        from: Moment,
        end: Moment,
        report: Option<&(&BTreeMap<Box<str>, u32>, Moment)>,
    ) -> Vec<Violation> {
        let promise = "usage reports are correct and in time";
        let Some((counts, at)) = report else {
            return vec![violation(
                promise,
                format!("window {window} was not reported"),
            )];
        };
        if *at > end + USAGE_REPORT_TIMEOUT {
            return vec![violation(
                promise,
                format!("window {window} was reported late, at {at:?}"),
            )];
        }
        let mut expected: BTreeMap<&str, u32> = BTreeMap::new();
        for a in &self.events.attempts {
            if self
                .runs(a)
                .first()
                .is_some_and(|run| run.at >= from && run.at < end)
            {
                *expected.entry(a.customer).or_default() += 1;
            }
        }
        let wrong_counts = expected.into_iter().filter(|(customer, true_count)| {
            let reported = counts.get(*customer).copied().unwrap_or(0);
            let (fraction, extra) = USAGE_TOLERANCE;
            reported.abs_diff(*true_count) > (f64::from(*true_count) * fraction) as u32 + extra
        });
        wrong_counts
            .map(|(customer, calls)| {
                let what =
                    format!("window {window}, {customer}: {calls} calls, reported {counts:?}");
                violation(promise, what)
            })
            .collect()
    }
}
