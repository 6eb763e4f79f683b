//! Rate limiting of this node's own reports.

use std::collections::BTreeMap;
use std::time::Duration;

use super::reports::{CustomerUse, HomeLoad};
use super::tuning::{REPEAT_INTERVALS, REPORT_INTERVAL, REPORT_INTERVAL_PER_MEMBER};
use crate::core::id::{CustomerId, ModelName};
use crate::core::time::Moment;

#[derive(Debug, Default)]
struct Slot<T> {
    value: T,
    is_told: bool,
    told_at: Option<Moment>,
}

impl<T: Clone> Slot<T> {
    fn put(&mut self, value: T) {
        self.value = value;
        self.is_told = false;
    }

    /// Returns the value if it is due. An unchanged value is sent again after a longer interval, for
    /// nodes that it has not reached.
    fn due(&mut self, now: Moment, interval: Duration) -> Option<T> {
        let wait = match self.is_told {
            true => interval * REPEAT_INTERVALS,
            false => interval,
        };
        if self.told_at.is_some_and(|told_at| told_at + wait > now) {
            return None;
        }
        self.is_told = true;
        self.told_at = Some(now);
        Some(self.value.clone())
    }
}

/// The latest value of each report of this node.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    loads: BTreeMap<ModelName, Slot<HomeLoad>>,
    uses: BTreeMap<CustomerId, Slot<CustomerUse>>,
}

impl Outbox {
    /// Replaces the load of the same model.
    pub(super) fn put_load(&mut self, load: HomeLoad) {
        let slot = self.loads.entry(load.model.clone()).or_default();
        slot.put(load);
    }

    /// Replaces the use by the same customer.
    pub(super) fn put_use(&mut self, used: CustomerUse) {
        let slot = self.uses.entry(used.customer.clone()).or_default();
        slot.put(used);
    }

    /// Returns the loads that are due in a region of `members` nodes.
    pub(super) fn due_loads(&mut self, now: Moment, members: usize) -> Vec<HomeLoad> {
        let interval = interval(members);
        let slots = self.loads.values_mut();
        slots.filter_map(|s| s.due(now, interval)).collect()
    }

    /// Returns the uses that are due in a region of `members` nodes.
    pub(super) fn due_uses(&mut self, now: Moment, members: usize) -> Vec<CustomerUse> {
        let interval = interval(members);
        let slots = self.uses.values_mut();
        slots.filter_map(|s| s.due(now, interval)).collect()
    }
}

/// Returns the minimum interval between two reports of one value in a region of `members` nodes.
fn interval(members: usize) -> Duration {
    REPORT_INTERVAL.max(REPORT_INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX))
}
