//! This node's own reports, held back so that each value is told at a bounded rate.

use std::collections::BTreeMap;
use std::time::Duration;

use super::reports::{CustomerUse, HomeLoad};
use super::tuning::{REPORT_INTERVAL, REPORT_INTERVAL_PER_MEMBER};
use crate::core::id::{CustomerId, ModelName};
use crate::core::time::Moment;

#[derive(Debug)]
struct Slot<T> {
    waiting: Option<T>,
    told_at: Option<Moment>,
}

impl<T> Default for Slot<T> {
    fn default() -> Self {
        Self {
            waiting: None,
            told_at: None,
        }
    }
}

impl<T> Slot<T> {
    fn take_due(&mut self, now: Moment, interval: Duration) -> Option<T> {
        if self.told_at.is_some_and(|told_at| told_at + interval > now) {
            return None;
        }
        let value = self.waiting.take()?;
        self.told_at = Some(now);
        Some(value)
    }
}

/// This node's own reports that wait for their turn. A newer value replaces a waiting one.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    loads: BTreeMap<ModelName, Slot<HomeLoad>>,
    uses: BTreeMap<CustomerId, Slot<CustomerUse>>,
}

impl Outbox {
    /// Puts a load in place of a waiting one for the same model.
    pub(super) fn put_load(&mut self, load: HomeLoad) {
        let slot = self.loads.entry(load.model.clone()).or_default();
        slot.waiting = Some(load);
    }

    /// Puts a use in place of a waiting one for the same customer.
    pub(super) fn put_use(&mut self, used: CustomerUse) {
        let slot = self.uses.entry(used.customer.clone()).or_default();
        slot.waiting = Some(used);
    }

    /// Takes the loads whose turn has come in a region of `members` nodes.
    pub(super) fn due_loads(&mut self, now: Moment, members: usize) -> Vec<HomeLoad> {
        let interval = interval(members);
        let slots = self.loads.values_mut();
        slots.filter_map(|s| s.take_due(now, interval)).collect()
    }

    /// Takes the uses whose turn has come in a region of `members` nodes.
    pub(super) fn due_uses(&mut self, now: Moment, members: usize) -> Vec<CustomerUse> {
        let interval = interval(members);
        let slots = self.uses.values_mut();
        slots.filter_map(|s| s.take_due(now, interval)).collect()
    }
}

/// Returns the time between two reports of one value in a region of `members` nodes.
fn interval(members: usize) -> Duration {
    REPORT_INTERVAL.max(REPORT_INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX))
}
