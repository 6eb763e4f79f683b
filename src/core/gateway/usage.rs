//! How many calls of each customer began to run in each window of true time.
//!
//! Every node counts its own calls and tells the others its totals, which only grow within one start
//! of a process. A node that vanishes leaves its last totals with the others.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::origin::ZoneName;
use super::routes::CustomerName;

/// Number of a window since 1970.
pub type Window = u64;
/// Calls of each customer.
pub type Counts = BTreeMap<CustomerName, u32>;
/// Names one start of a node's process.
pub type Incarnation = u64;

/// Windows that are kept behind the newest one.
pub const KEPT_WINDOWS: u64 = 6;

/// Counts of all nodes.
#[derive(Debug, Default)]
pub struct UsageBook {
    by_process: HashMap<Incarnation, BTreeMap<Window, Counts>>,
    by_zone: HashMap<ZoneName, BTreeMap<Window, Counts>>,
}

impl UsageBook {
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

    /// Takes the totals that another process told. Totals never shrink, so that messages may come
    /// late, twice or not at all.
    pub fn merge(&mut self, process: Incarnation, window: Window, told: &Counts) {
        take_larger(self.counts(process, window), told);
    }

    /// Takes the sums that were told of an availability zone, by any of its nodes: each knows most of the
    /// zone's counts, and none more than there are.
    pub fn merge_zone(&mut self, zone: &str, window: Window, told: &Counts) {
        let windows = self.by_zone.entry(zone.into()).or_default();
        take_larger(windows.entry(window).or_default(), told);
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

    /// Returns the sums over the processes that told of themselves, in the windows from `first` on.
    pub fn of_processes(&self, first: Window) -> BTreeMap<Window, Counts> {
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

    /// Returns what one process counted in the windows from `first` on.
    pub fn of_process(&self, process: Incarnation, first: Window) -> Vec<(Window, &Counts)> {
        self.by_process
            .get(&process)
            .into_iter()
            .flat_map(|windows| windows.range(first..))
            .map(|(window, counts)| (*window, counts))
            .collect()
    }

    /// Forgets windows long before `now`.
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

fn take_larger(counts: &mut Counts, told: &Counts) {
    for (customer, told) in told {
        let count = counts.entry(customer.clone()).or_default();
        *count = (*count).max(*told);
    }
}

fn sum<'a>(all: impl Iterator<Item = &'a Counts>) -> Counts {
    let mut sum = Counts::new();
    for (customer, count) in all.flatten() {
        *sum.entry(customer.clone()).or_default() += count;
    }
    sum
}
