//! How many back ends of a service each availability zone gets.
//!
//! Load it answers: work that doubles within seconds, faster than a back end starts, on back ends of
//! which the cloud takes back a whole zone's reclaimable ones at once and then offers none anywhere for
//! a while. Reclaimable ones are cheap, so that every zone keeps enough of them for the loss of another
//! zone. Others are ordered only for what reclaimable ones cannot cover, and given back once they can.

mod fill;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::routes::ScalingRules;
use crate::core::time::Moment;
use fill::{Fill, Need};

/// Time over which the highest need counts. It is long against a back end's start: one that is given
/// back and ordered again has lost what it held.
const NEED_WINDOW: Duration = Duration::from_secs(30);
/// Part of the most that operators allow which each zone keeps as reclaimable back ends.
const SPOT_BASE: f64 = 0.6;
/// Part of its time for which a reclaimable back end is to be busy at most.
const SPOT_BUSY: f64 = 0.4;
/// Part of its time for which any back end is to be busy while reclaimable ones cannot be had.
const SCARCE_BUSY: f64 = 0.65;
/// Time after the cloud had no reclaimable back ends for which they count as scarce.
const SCARCE_FOR: Duration = Duration::from_secs(3);
/// Time between two orders of the same number, in case the first was lost.
const REPEAT_ORDER: Duration = Duration::from_secs(2);
/// Time between two orders after the cloud had none.
const REPEAT_REFUSED: Duration = Duration::from_millis(1200);
/// Back ends and work of one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneState {
    /// Reclaimable back ends that take calls.
    pub spot: u32,
    /// Other back ends that take calls.
    pub regular: u32,
    /// Milliseconds of work that came in a second.
    pub work_ms_per_s: f64,
}

/// An order to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Availability zone.
    pub zone: Box<str>,
    /// Whether it is for reclaimable back ends.
    pub spot: bool,
    /// Number that is wanted.
    pub desired: u32,
}

#[derive(Debug, Default)]
struct Sent {
    desired: Option<u32>,
    at: Moment,
    refused: bool,
}

/// Orders for one service, as one holder of the duty gives them.
#[derive(Debug, Default)]
pub struct ServiceScaling {
    needs: VecDeque<(Moment, f64)>,
    sent: BTreeMap<(Box<str>, bool), Sent>,
    fill: Fill,
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
        let base = (f64::from(rules.max) * SPOT_BASE).ceil() as u32;
        // One zone's loss leaves the others with enough.
        let others = f64::from(count.saturating_sub(1).max(1));
        let spot_each = base
            .max((peak / SPOT_BUSY / others).ceil() as u32)
            .clamp(rules.min, rules.max);
        let regular_each = match has_spot {
            true => {
                let need = Need {
                    all: ((busy / SCARCE_BUSY).ceil() as u32).max(count * rules.min.max(1)),
                    is_scarce: self.is_scarce(now),
                    spot_each,
                };
                self.fill.plan(rules, zones, need, now)
            }
            false => all_regular(rules, zones, peak),
        };
        let mut orders = Vec::new();
        for (zone, state) in zones {
            if has_spot {
                let order = Order {
                    zone: zone.clone(),
                    spot: true,
                    desired: spot_each,
                };
                self.order(&mut orders, order, state.spot, now);
            }
            if let Some(regular) = regular_each.get(zone) {
                let order = Order {
                    zone: zone.clone(),
                    spot: false,
                    desired: *regular,
                };
                self.order(&mut orders, order, state.regular, now);
            }
        }
        orders
    }

    /// Notes the cloud's reply to an order: whether it was taken.
    pub fn replied(&mut self, order: &Order, taken: bool, now: Moment) {
        let sent = self
            .sent
            .entry((order.zone.clone(), order.spot))
            .or_default();
        sent.desired = Some(order.desired);
        sent.at = now;
        sent.refused = !taken;
    }

    /// Returns the most work of the last seconds, as back ends that are busy all the time.
    fn peak(&mut self, busy: f64, now: Moment) -> f64 {
        self.needs.push_back((now, busy));
        while self
            .needs
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > NEED_WINDOW)
        {
            self.needs.pop_front();
        }
        self.needs.iter().map(|(_, busy)| *busy).fold(0.0, f64::max)
    }

    /// Returns whether the cloud had no reclaimable back ends of late.
    fn is_scarce(&self, now: Moment) -> bool {
        self.sent.iter().any(|((_, spot), sent)| {
            *spot && sent.refused && now.saturating_sub(sent.at) <= SCARCE_FOR
        })
    }

    /// Adds an order unless the same one is under way: one is sent again where the cloud had none, and
    /// where fewer back ends are there than were ordered.
    fn order(&self, orders: &mut Vec<Order>, order: Order, there: u32, now: Moment) {
        let sent = self.sent.get(&(order.zone.clone(), order.spot));
        let is_due = match sent {
            None => true,
            Some(sent) if sent.refused => now.saturating_sub(sent.at) >= REPEAT_REFUSED,
            Some(sent) if sent.desired != Some(order.desired) => true,
            Some(sent) => there != order.desired && now.saturating_sub(sent.at) >= REPEAT_ORDER,
        };
        if is_due {
            orders.push(order);
        }
    }
}

/// Returns the numbers of back ends where none are reclaimable: enough for the most work of late without
/// any one zone, and no fewer than operators want.
fn all_regular(
    rules: &ScalingRules,
    zones: &BTreeMap<Box<str>, ZoneState>,
    peak: f64,
) -> BTreeMap<Box<str>, u32> {
    let others = zones.len().saturating_sub(1).max(1) as f64;
    let each = (peak / SCARCE_BUSY / others).ceil() as u32;
    let each = each.clamp(rules.min.max(1), rules.max.max(1));
    zones.keys().map(|zone| (zone.clone(), each)).collect()
}
