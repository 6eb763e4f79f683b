//! Orders for regular back ends, which cover the demand that reclaimable ones cannot.
//!
//! Designed for growing load while the cloud reclaims the back ends of one zone after another and offers no
//! new reclaimable ones for a while. The limit of a zone applies to both kinds together, so regular back ends
//! occupy the places of reclaimable ones later: they are released step by step once reclaimable ones are
//! available again. After a peak in the load, the surplus is released also while there are none.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{ScalingRules, ZoneState};
use crate::core::time::Moment;

/// Time for which reclaimable back ends must cover the demand before regular ones are released.
const RELEASE_AFTER: Duration = Duration::from_millis(800);
/// Time for which reclaimable back ends must cover the demand before regular ones are released that were
/// ordered for lack of reclaimable ones. It is longer than [`RELEASE_AFTER`], because the demand fluctuates
/// from round to round and lowering an order cancels back ends that are starting.
const RELEASE_ORDERED_AFTER: Duration = Duration::from_secs(4);
/// Minimum number of regular back ends that one exchange may release, as a fraction of a zone's limit.
const EXCHANGE_PART: f64 = 0.2;
/// Time between two exchanges beyond the boot time of a back end.
const EXCHANGE_SLACK: Duration = Duration::from_secs(1);

/// Number of back ends in each availability zone.
pub(super) type ZoneCounts = BTreeMap<Box<str>, u32>;

/// Demand for back ends in one round.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Number of back ends needed in all zones.
    pub(super) all: u32,
    /// Whether the cloud recently refused an order for reclaimable ones.
    pub(super) is_scarce: bool,
    /// Desired number of reclaimable ones in each zone.
    pub(super) spot_each: u32,
}

/// State of the orders for regular back ends of a service that also has reclaimable ones.
#[derive(Debug, Default)]
pub(super) struct RegularOrders {
    /// Regular back ends ordered for lack of reclaimable ones.
    ordered: ZoneCounts,
    /// Availability zones whose order was lowered since.
    lowered: BTreeSet<Box<str>>,
    /// Back ends that the reclaimable ones lacked in the rounds of the last [`RELEASE_ORDERED_AFTER`].
    missing: VecDeque<(Moment, u32)>,
    covered_since: Option<Moment>,
    exchanged_at: Option<Moment>,
}

impl RegularOrders {
    /// Returns the desired numbers of regular back ends, for the zones whose number changes.
    pub(super) fn plan(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        demand: Demand,
        now: Moment,
    ) -> ZoneCounts {
        let spot: u32 = zones.values().map(|zone| zone.spot).sum();
        if spot >= demand.all {
            return self.release(zones, now);
        }
        self.covered_since = None;
        match demand.is_scarce {
            true => self.follow(rules, zones, demand.all - spot, now),
            false => self.exchange(rules, zones, demand, now),
        }
    }

    /// Releases all regular back ends once reclaimable ones have covered the demand for long enough.
    fn release(&mut self, zones: &BTreeMap<Box<str>, ZoneState>, now: Moment) -> ZoneCounts {
        let wait = match self.ordered.is_empty() {
            true => RELEASE_AFTER,
            false => RELEASE_ORDERED_AFTER,
        };
        let since = *self.covered_since.get_or_insert(now);
        if now.saturating_sub(since) < wait {
            return ZoneCounts::new();
        }
        self.ordered.clear();
        self.lowered.clear();
        self.missing.clear();
        zones.keys().map(|zone| (zone.clone(), 0)).collect()
    }

    /// Orders as many regular back ends in total as were missing at most within [`RELEASE_ORDERED_AFTER`], so that
    /// fluctuations cancel none that are starting.
    fn follow(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        missing: u32,
        now: Moment,
    ) -> ZoneCounts {
        let is_observed = self.record_missing(missing, now);
        self.raise(rules, zones, missing);
        if is_observed {
            self.lower(rules, zones);
        }
        let running = |zone: &str| zones.get(zone).map_or(0, |state| state.regular);
        let is_due =
            |zone: &str, desired: u32| desired > running(zone) || self.lowered.contains(zone);
        let due = self.ordered.iter();
        let due = due.filter(|(zone, desired)| is_due(zone, **desired));
        due.map(|(zone, desired)| (zone.clone(), *desired))
            .collect()
    }

    /// Records how many back ends are missing in this round. Returns whether the rounds of [`RELEASE_ORDERED_AFTER`] are
    /// known.
    fn record_missing(&mut self, missing: u32, now: Moment) -> bool {
        self.missing.push_back((now, missing));
        let is_old = |at: Moment| now.saturating_sub(at) > RELEASE_ORDERED_AFTER;
        let mut is_observed = false;
        while self.missing.front().is_some_and(|(at, _)| is_old(*at)) {
            self.missing.pop_front();
            is_observed = true;
        }
        is_observed
    }

    fn raise(&mut self, rules: &ScalingRules, zones: &BTreeMap<Box<str>, ZoneState>, missing: u32) {
        for (zone, desired) in distribute(rules, zones, missing) {
            let ordered = self.ordered.entry(zone.clone()).or_default();
            if desired > *ordered {
                *ordered = desired;
                self.lowered.remove(&zone);
            }
        }
    }

    /// Lowers the orders to the number that was missing at most, in the most expensive zones first.
    fn lower(&mut self, rules: &ScalingRules, zones: &BTreeMap<Box<str>, ZoneState>) {
        let peak = self.missing.iter().map(|(_, missing)| *missing).max();
        let ordered: u32 = self.ordered.values().sum();
        let mut surplus = ordered.saturating_sub(peak.unwrap_or(0));
        for zone in by_price(rules, zones).into_iter().rev() {
            let Some(ordered) = self.ordered.get_mut(zone) else {
                continue;
            };
            let released = surplus.min(*ordered);
            if released > 0 {
                *ordered -= released;
                surplus -= released;
                self.lowered.insert(zone.into());
            }
        }
    }

    /// Releases regular back ends in zones where they take the places of reclaimable ones, in the most
    /// expensive zones first. At most the surplus over the demand is released until the reclaimable ones have
    /// started, or the minimum of [`EXCHANGE_PART`] if that is more.
    fn exchange(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        demand: Demand,
        now: Moment,
    ) -> ZoneCounts {
        let wait = rules.boot + EXCHANGE_SLACK;
        let is_due = |at: Moment| now.saturating_sub(at) >= wait;
        if !self.exchanged_at.is_none_or(is_due) {
            return ZoneCounts::new();
        }
        let running: u32 = zones.values().map(|zone| zone.spot + zone.regular).sum();
        let min_release = (f64::from(rules.max) * EXCHANGE_PART).ceil() as u32;
        let mut left = running.saturating_sub(demand.all).max(min_release);
        let mut counts = ZoneCounts::new();
        for zone in by_price(rules, zones).into_iter().rev() {
            let state = zones[zone];
            let is_full = state.spot + state.regular >= rules.max;
            if !is_full || state.spot >= demand.spot_each {
                continue;
            }
            let released = left.min(state.regular);
            left -= released;
            if released > 0 {
                counts.insert(zone.into(), state.regular - released);
            }
        }
        if !counts.is_empty() {
            self.exchanged_at = Some(now);
            self.ordered.extend(counts.clone());
        }
        counts
    }
}

/// Returns the availability zones by price, the cheapest first.
fn by_price<'a>(rules: &ScalingRules, zones: &'a BTreeMap<Box<str>, ZoneState>) -> Vec<&'a str> {
    let price = |zone: &str| rules.zone_prices.get(zone).copied().unwrap_or(1.0);
    let mut by_price: Vec<&str> = zones.keys().map(|zone| &**zone).collect();
    by_price.sort_by(|a, b| price(a).total_cmp(&price(b)));
    by_price
}

/// Distributes `missing` back ends over the availability zones with free places, the cheapest first. No zone
/// gets more than half of them while others have free places.
fn distribute(
    rules: &ScalingRules,
    zones: &BTreeMap<Box<str>, ZoneState>,
    missing: u32,
) -> ZoneCounts {
    let mut left = missing;
    let mut desired = ZoneCounts::new();
    for most in [missing.div_ceil(2), rules.max] {
        for zone in by_price(rules, zones) {
            let here = desired.entry(zone.into()).or_default();
            let room = rules.max.saturating_sub(zones[zone].spot).min(most);
            let more = left.min(room.saturating_sub(*here));
            *here += more;
            left -= more;
        }
    }
    desired.retain(|_, count| *count > 0);
    desired
}
