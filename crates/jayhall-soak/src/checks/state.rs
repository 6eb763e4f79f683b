//! Checks of node state: back end membership, configuration and processes.

use super::{Checks, Violation, violation};
use crate::config::{CONFIG_PROPAGATION_TIME, DRAIN_TIME, STOP_TIMEOUT};
use crate::history::{Kind, Moment};

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
