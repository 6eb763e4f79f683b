//! Autoscaling: the desired number of a service's back ends in each availability zone.
//!
//! Designed for load that doubles within seconds, faster than a back end boots, while the cloud may reclaim
//! all reclaimable back ends of a zone at once and then offer none in any zone for a while. Reclaimable back
//! ends are cheap, so the zones keep enough of them to survive the loss of one zone. Regular ones are ordered
//! only for demand that reclaimable ones cannot cover, and are released once these can.

mod fill;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::routes::ScalingRules;
use crate::core::time::Moment;
use fill::{Demand, RegularOrders};

/// Window over which the peak load is taken. It is much longer than the boot time of a back end, because a back
/// end that is released and ordered again has lost its cache.
const PEAK_WINDOW: Duration = Duration::from_secs(30);
/// Minimum number of reclaimable back ends in each zone, as a fraction of the operators' upper limit.
const MIN_SPOT_PART: f64 = 0.6;
/// Target utilization of reclaimable back ends.
const SPOT_UTILIZATION: f64 = 0.4;
/// Target utilization of all back ends while reclaimable ones are not available.
const SCARCE_UTILIZATION: f64 = 0.65;
/// Time after a refused order for which reclaimable back ends count as scarce.
const SCARCE_PERIOD: Duration = Duration::from_secs(3);
/// Interval at which an unfulfilled order is repeated, in case it was lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a refused order is repeated.
const REFUSED_REPEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// Back ends and work of one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneState {
    /// Reclaimable back ends that accept calls.
    pub spot: u32,
    /// Other back ends that accept calls.
    pub regular: u32,
    /// Back ends of both kinds that take few calls only: they name a limit.
    pub limited: u32,
    /// Incoming work in milliseconds of back end time a second.
    pub work_ms_per_s: f64,
}

/// An order to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Availability zone.
    pub zone: Box<str>,
    /// Whether it is for reclaimable back ends.
    pub spot: bool,
    /// Desired number of back ends.
    pub desired: u32,
}

#[derive(Debug, Default)]
struct LastOrder {
    desired: Option<u32>,
    at: Moment,
    refused: bool,
}

/// Scaling state of one service during one tenure of the leader.
#[derive(Debug, Default)]
pub struct ServiceScaling {
    load_history: VecDeque<(Moment, f64)>,
    last_orders: BTreeMap<(Box<str>, bool), LastOrder>,
    regular_orders: RegularOrders,
}

impl ServiceScaling {
    /// Returns the orders to send now.
    pub fn plan(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        now: Moment,
    ) -> Vec<Order> {
        if zones.is_empty() {
            return Vec::new();
        }
        let busy = zones.values().map(|zone| zone.work_ms_per_s).sum::<f64>() / 1000.0;
        let peak = self.peak(busy, now);
        let has_spot = rules.spot_price.is_some();
        let count = zones.len() as u32;
        let min_spot = (f64::from(rules.max) * MIN_SPOT_PART).ceil() as u32;
        let limited: u32 = zones.values().map(|zone| zone.limited).sum();
        let replacements = limited.div_ceil(count);
        // The other zones must carry the peak load after the loss of one zone.
        let other_zones = f64::from(count.saturating_sub(1).max(1));
        let spot_each = min_spot
            .max((peak / SPOT_UTILIZATION / other_zones).ceil() as u32 + replacements)
            .clamp(rules.min, rules.max);
        let regular_each = match has_spot {
            true => {
                let demand = Demand {
                    all: ((busy / SCARCE_UTILIZATION).ceil() as u32).max(count * rules.min.max(1))
                        + limited,
                    is_scarce: self.is_scarce(now),
                    spot_each,
                };
                self.regular_orders.plan(rules, zones, demand, now)
            }
            false => all_regular(rules, zones, peak, replacements),
        };
        let mut orders = Vec::new();
        for (zone, state) in zones {
            if has_spot {
                let order = Order {
                    zone: zone.clone(),
                    spot: true,
                    desired: spot_each,
                };
                self.push_if_due(&mut orders, order, state.spot, now);
            }
            if let Some(regular) = regular_each.get(zone) {
                let order = Order {
                    zone: zone.clone(),
                    spot: false,
                    desired: *regular,
                };
                self.push_if_due(&mut orders, order, state.regular, now);
            }
        }
        orders
    }

    /// Records whether the cloud accepted an order.
    pub fn record_reply(&mut self, order: &Order, accepted: bool, now: Moment) {
        let last = self
            .last_orders
            .entry((order.zone.clone(), order.spot))
            .or_default();
        last.desired = Some(order.desired);
        last.at = now;
        last.refused = !accepted;
    }

    /// Records the current load and returns the peak over [`PEAK_WINDOW`], both in fully busy back ends.
    fn peak(&mut self, busy: f64, now: Moment) -> f64 {
        self.load_history.push_back((now, busy));
        while self
            .load_history
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > PEAK_WINDOW)
        {
            self.load_history.pop_front();
        }
        self.load_history
            .iter()
            .map(|(_, busy)| *busy)
            .fold(0.0, f64::max)
    }

    /// Returns whether the cloud recently refused an order for reclaimable back ends.
    fn is_scarce(&self, now: Moment) -> bool {
        self.last_orders.iter().any(|((_, spot), last)| {
            *spot && last.refused && now.saturating_sub(last.at) <= SCARCE_PERIOD
        })
    }

    /// Adds an order unless the same one is in progress. It is repeated after a refusal, and while the number of
    /// back ends differs from the order.
    fn push_if_due(&self, orders: &mut Vec<Order>, order: Order, running: u32, now: Moment) {
        let last = self.last_orders.get(&(order.zone.clone(), order.spot));
        let is_due = match last {
            None => true,
            Some(last) if last.refused => now.saturating_sub(last.at) >= REFUSED_REPEAT_INTERVAL,
            Some(last) if last.desired != Some(order.desired) => true,
            Some(last) => {
                running != order.desired && now.saturating_sub(last.at) >= REPEAT_INTERVAL
            }
        };
        if is_due {
            orders.push(order);
        }
    }
}

/// Returns the numbers of back ends of a service without reclaimable ones: enough for the peak load after the
/// loss of any one zone, and `replacements` of limited ones, within the operators' limits.
fn all_regular(
    rules: &ScalingRules,
    zones: &BTreeMap<Box<str>, ZoneState>,
    peak: f64,
    replacements: u32,
) -> BTreeMap<Box<str>, u32> {
    let other_zones = zones.len().saturating_sub(1).max(1) as f64;
    let each = (peak / SCARCE_UTILIZATION / other_zones).ceil() as u32 + replacements;
    let each = each.clamp(rules.min.max(1), rules.max.max(1));
    zones.keys().map(|zone| (zone.clone(), each)).collect()
}
