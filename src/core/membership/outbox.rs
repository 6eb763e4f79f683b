//! Rate limiting of this node's own reports.

use std::collections::BTreeMap;
use std::time::Duration;

use super::reports::{CustomerUse, HomeLoad};
use super::tuning::{MIN_REPORT_INTERVAL, REPORT_INTERVAL_PER_MEMBER, UNCHANGED_REPORT_INTERVALS};
use crate::core::id::{CustomerId, ModelName};
use crate::core::time::Moment;

#[derive(Debug, Default)]
struct PendingReport<T> {
    value: T,
    is_sent: bool,
    sent_at: Option<Moment>,
}

impl<T: Clone> PendingReport<T> {
    fn put(&mut self, value: T) {
        self.value = value;
        self.is_sent = false;
    }

    /// Returns the value if it is due. An unchanged value is sent again after a longer interval, for
    /// nodes that it has not reached.
    fn due(&mut self, now: Moment, interval: Duration) -> Option<T> {
        let wait = match self.is_sent {
            true => interval * UNCHANGED_REPORT_INTERVALS,
            false => interval,
        };
        if self.sent_at.is_some_and(|sent_at| sent_at + wait > now) {
            return None;
        }
        self.is_sent = true;
        self.sent_at = Some(now);
        Some(self.value.clone())
    }
}

/// The latest value of each report of this node.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    loads: BTreeMap<ModelName, PendingReport<HomeLoad>>,
    uses: BTreeMap<CustomerId, PendingReport<CustomerUse>>,
}

impl Outbox {
    /// Replaces the load of the same model.
    pub(super) fn put_load(&mut self, load: HomeLoad) {
        let report = self.loads.entry(load.model.clone()).or_default();
        report.put(load);
    }

    /// Replaces the use by the same customer.
    pub(super) fn put_use(&mut self, usage: CustomerUse) {
        let report = self.uses.entry(usage.customer.clone()).or_default();
        report.put(usage);
    }

    /// Returns the loads that are due in a region of `members` nodes.
    pub(super) fn due_loads(&mut self, now: Moment, members: usize) -> Vec<HomeLoad> {
        let interval = interval(members);
        let pending = self.loads.values_mut();
        pending.filter_map(|s| s.due(now, interval)).collect()
    }

    /// Returns the uses that are due in a region of `members` nodes.
    pub(super) fn due_uses(&mut self, now: Moment, members: usize) -> Vec<CustomerUse> {
        let interval = interval(members);
        let pending = self.uses.values_mut();
        pending.filter_map(|s| s.due(now, interval)).collect()
    }
}

/// Returns the minimum interval between two reports of one value in a region of `members` nodes.
fn interval(members: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX))
}
