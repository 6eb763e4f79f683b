//! Number of calls of each customer that began to run in each time window.
//!
//! Windows follow the estimated time of day (see [`super::clock`]). Every node counts its own calls and sends
//! its totals to the others. The totals of one process only grow, and those of a lost node remain known to
//! the others.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::origin::ZoneName;
use super::routes::CustomerName;

/// Number of a window since 1970.
pub type Window = u64;
/// Calls of each customer.
pub type Counts = BTreeMap<CustomerName, u32>;
/// Identifies one start of a node's process.
pub type Incarnation = u64;

/// Number of windows that are kept before the current one.
pub const KEPT_WINDOWS: u64 = 6;

/// Usage counts of all nodes.
#[derive(Debug, Default)]
pub struct UsageCounts {
    by_process: HashMap<Incarnation, BTreeMap<Window, Counts>>,
    by_zone: HashMap<ZoneName, BTreeMap<Window, Counts>>,
}

impl UsageCounts {
    /// Counts one call of a node's process.
    pub fn count(&mut self, process: Incarnation, window: Window, customer: &str) {
        let counts = self.counts(process, window);
        match counts.get_mut(customer) {
            Some(count) => *count += 1,
            None => {
                counts.insert(customer.into(), 1);
            }
        }
    }

    /// Merges the totals of another process by maximum. Totals never shrink, so messages may be delayed,
    /// duplicated or lost.
    pub fn merge(&mut self, process: Incarnation, window: Window, totals: &Counts) {
        merge_max(self.counts(process, window), totals);
    }

    /// Merges sums over an availability zone by maximum. Any node of the zone may have sent them: a node may
    /// lack some of the zone's counts, but never reports more than there are.
    pub fn merge_zone(&mut self, zone: &str, window: Window, totals: &Counts) {
        let windows = self.by_zone.entry(zone.into()).or_default();
        merge_max(windows.entry(window).or_default(), totals);
    }

    fn counts(&mut self, process: Incarnation, window: Window) -> &mut Counts {
        let windows = self.by_process.entry(process).or_default();
        windows.entry(window).or_default()
    }

    /// Returns the sum over all processes and availability zones in a window.
    pub fn total(&self, window: Window) -> Counts {
        let all = self.by_process.values().chain(self.by_zone.values());
        sum(all.filter_map(|windows| windows.get(&window)))
    }

    /// Returns the sums over the processes that report for themselves, without zone sums, for the windows from
    /// `first` on.
    pub fn process_totals(&self, first: Window) -> BTreeMap<Window, Counts> {
        let windows = self.by_process.values();
        let numbers: BTreeSet<Window> = windows
            .flat_map(|windows| windows.range(first..).map(|(window, _)| *window))
            .collect();
        let of_window = |window| {
            let counts = self.by_process.values();
            sum(counts.filter_map(|windows| windows.get(&window)))
        };
        numbers.into_iter().map(|w| (w, of_window(w))).collect()
    }

    /// Returns the counts of one process for the windows from `first` on.
    pub fn process_counts(&self, process: Incarnation, first: Window) -> Vec<(Window, &Counts)> {
        self.by_process
            .get(&process)
            .into_iter()
            .flat_map(|windows| windows.range(first..))
            .map(|(window, counts)| (*window, counts))
            .collect()
    }

    /// Drops windows more than [`KEPT_WINDOWS`] before `now`.
    pub fn forget_before(&mut self, now: Window) {
        let first = now.saturating_sub(KEPT_WINDOWS);
        let windows = self.by_process.values_mut();
        for windows in windows.chain(self.by_zone.values_mut()) {
            *windows = windows.split_off(&first);
        }
        self.by_process.retain(|_, windows| !windows.is_empty());
        self.by_zone.retain(|_, windows| !windows.is_empty());
    }
}

fn merge_max(counts: &mut Counts, totals: &Counts) {
    for (customer, total) in totals {
        let count = counts.entry(customer.clone()).or_default();
        *count = (*count).max(*total);
    }
}

fn sum<'a>(all: impl Iterator<Item = &'a Counts>) -> Counts {
    let mut sum = Counts::new();
    for (customer, count) in all.flatten() {
        *sum.entry(customer.clone()).or_default() += count;
    }
    sum
}
