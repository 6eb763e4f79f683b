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

/// Counts of one process of a node.
#[derive(Debug)]
struct ProcessCounts {
    zone: ZoneName,
    windows: BTreeMap<Window, Counts>,
}

/// Usage counts of all nodes. The calls of a node may be known from its own reports, from the sums over its
/// availability zone, or from both, and count once.
#[derive(Debug, Default)]
pub struct UsageCounts {
    by_process: HashMap<Incarnation, ProcessCounts>,
    by_zone: HashMap<ZoneName, BTreeMap<Window, Counts>>,
}

impl UsageCounts {
    /// Counts one call of a node's process in an availability zone.
    pub fn count(&mut self, process: Incarnation, zone: &str, window: Window, customer: &str) {
        let counts = self.counts(process, zone, window);
        match counts.get_mut(customer) {
            Some(count) => *count += 1,
            None => {
                counts.insert(customer.into(), 1);
            }
        }
    }

    /// Merges the totals of another process by maximum. Totals never shrink, so messages may be delayed,
    /// duplicated or lost.
    pub fn merge(&mut self, process: Incarnation, zone: &str, window: Window, totals: &Counts) {
        merge_max(self.counts(process, zone, window), totals);
    }

    /// Merges sums over an availability zone by maximum. Any node of the zone may have sent them: a node may
    /// lack some of the zone's counts, but never reports more than there are.
    pub fn merge_zone(&mut self, zone: &str, window: Window, totals: &Counts) {
        let windows = self.by_zone.entry(zone.into()).or_default();
        merge_max(windows.entry(window).or_default(), totals);
    }

    fn counts(&mut self, process: Incarnation, zone: &str, window: Window) -> &mut Counts {
        let process = self
            .by_process
            .entry(process)
            .or_insert_with(|| ProcessCounts {
                zone: zone.into(),
                windows: BTreeMap::new(),
            });
        process.windows.entry(window).or_default()
    }

    /// Returns the sum over all processes and availability zones in a window.
    pub fn total(&self, window: Window) -> Counts {
        let of_processes = self.by_process.values().map(|process| &process.zone);
        let zones: BTreeSet<&ZoneName> = of_processes.chain(self.by_zone.keys()).collect();
        let totals: Vec<Counts> = zones
            .into_iter()
            .map(|zone| self.zone_total(zone, window))
            .collect();
        sum(totals.iter())
    }

    /// Returns the counts of an availability zone in a window: of its processes that report for themselves or of the
    /// sums over the zone, whichever are higher.
    fn zone_total(&self, zone: &str, window: Window) -> Counts {
        let mut counts = self.processes_of(zone, window);
        let sums = self.by_zone.get(zone);
        if let Some(sums) = sums.and_then(|windows| windows.get(&window)) {
            merge_max(&mut counts, sums);
        }
        counts
    }

    /// Returns the sum over the processes of a zone that report for themselves in a window.
    fn processes_of(&self, zone: &str, window: Window) -> Counts {
        let in_zone = self.by_process.values().filter(|p| *p.zone == *zone);
        sum(in_zone.filter_map(|process| process.windows.get(&window)))
    }

    /// Returns the sums over the processes of an availability zone that report for themselves, without zone sums, for
    /// the windows from `first` on.
    pub fn process_totals(&self, zone: &str, first: Window) -> BTreeMap<Window, Counts> {
        let in_zone = self.by_process.values().filter(|p| *p.zone == *zone);
        let numbers: BTreeSet<Window> = in_zone
            .flat_map(|process| process.windows.range(first..).map(|(window, _)| *window))
            .collect();
        let numbers = numbers.into_iter();
        numbers.map(|w| (w, self.processes_of(zone, w))).collect()
    }

    /// Returns the counts of one process for the windows from `first` on.
    pub fn process_counts(&self, process: Incarnation, first: Window) -> Vec<(Window, &Counts)> {
        self.by_process
            .get(&process)
            .into_iter()
            .flat_map(|process| process.windows.range(first..))
            .map(|(window, counts)| (*window, counts))
            .collect()
    }

    /// Drops windows more than [`KEPT_WINDOWS`] before `now`.
    pub fn forget_before(&mut self, now: Window) {
        let first = now.saturating_sub(KEPT_WINDOWS);
        let of_processes = self.by_process.values_mut().map(|p| &mut p.windows);
        for windows in of_processes.chain(self.by_zone.values_mut()) {
            *windows = windows.split_off(&first);
        }
        self.by_process
            .retain(|_, process| !process.windows.is_empty());
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
