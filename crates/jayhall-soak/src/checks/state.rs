//! Checks of node state: back end membership, configuration, customer limits and processes.

use std::time::Duration;

use super::{Checks, Violation, violation};
use crate::config::{CONFIG_PROPAGATION_TIME, CUSTOMERS, DRAIN_TIME, STOP_TIMEOUT};
use crate::history::{Kind, Moment};

/// Length of the sliding window in which a customer's units are counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// Tolerated excess over a customer's limit: a fraction of rate and burst in a window, plus a fraction of
/// the rate in the window.
const QUOTA_TOLERANCE: (f64, f64) = (0.1, 0.2);

impl Checks<'_> {
    pub(super) fn leaving_backends(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in &self.events.attempts {
            for run in self.runs(a) {
                let Some(leaving_since) = self.events.leaving_since.get(&run.backend) else {
                    continue;
                };
                let is_undisturbed = self.is_node_undisturbed(a.node, *leaving_since, run.at)
                    && self.is_store_undisturbed(*leaving_since, run.at);
                if run.at > *leaving_since + DRAIN_TIME && is_undisturbed {
                    let what = format!(
                        "{} through n{}; the back end left at {leaving_since:?}: {run:?}",
                        a.id, a.node
                    );
                    found.push(violation("no call to a drained or removed back end", what));
                }
            }
        }
        found
    }

    pub(super) fn configuration(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for a in self
            .events
            .attempts
            .iter()
            .filter(|a| a.kind == Kind::Idempotent)
        {
            for run in self.runs(a) {
                let since = a.sent.saturating_sub(CONFIG_PROPAGATION_TIME);
                let is_undisturbed = self.is_node_undisturbed(a.node, since, run.at)
                    && self.is_store_undisturbed(since, run.at);
                if is_undisturbed
                    && !self
                        .allowed(since, run.at)
                        .any(|service| service == run.service)
                {
                    let what = format!("{} through n{}, sent {:?}: {run:?}", a.id, a.node, a.sent);
                    found.push(violation("configuration is applied in time", what));
                }
            }
        }
        found
    }

    /// Returns the services that the moving route was configured with between two points in time.
    fn allowed(&self, from: Moment, to: Moment) -> impl Iterator<Item = &'static str> {
        let versions = &self.events.versions;
        let first = versions.iter().rposition(|v| v.at <= from).unwrap_or(0);
        let in_span = versions[first..].iter().take_while(move |v| v.at <= to);
        in_span.map(|v| v.moving_route)
    }

    pub(super) fn quotas(&self) -> Vec<Violation> {
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
            let (overrun, slack) = QUOTA_TOLERANCE;
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
                "{} was served {units} units from {from:?}, allowed {allowed:.0}",
                customer.name
            );
            found.push(violation("customer limits", what));
        }
        found
    }

    pub(super) fn processes(&self) -> Vec<Violation> {
        let exits = self.events.unexpected_exits.iter();
        let exits = exits.map(|(node, at)| {
            violation(
                "processes do not exit unexpectedly",
                format!("n{node} at {at:?}"),
            )
        });
        let stops = self.events.stops.iter();
        let late_or_failed = stops.filter(|stop| {
            let in_time = stop.took.is_some_and(|took| took <= STOP_TIMEOUT);
            let is_undisturbed =
                self.is_node_undisturbed(stop.node, stop.at, stop.at + STOP_TIMEOUT);
            is_undisturbed && !(in_time && stop.is_success)
        });
        let late_or_failed =
            late_or_failed.map(|stop| violation("graceful stop ends in time", format!("{stop:?}")));
        exits.chain(late_or_failed).collect()
    }
}
