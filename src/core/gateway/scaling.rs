//! How many back ends of a service each availability zone gets.
//!
//! Load it answers: work that doubles within seconds, faster than a back end starts, on back ends of
//! which the cloud takes back a whole zone's reclaimable ones at once and then offers none anywhere for
//! a while. Reclaimable ones are cheap, so that every zone keeps enough of them for the loss of another
//! zone. Others are ordered only for what reclaimable ones cannot cover, and given back once they can.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::routes::ScalingRules;
use crate::core::time::Moment;

/// Time over which the highest need counts. It is long against a back end's start: one that is given
/// back and ordered again has lost what it held.
const NEED_WINDOW: Duration = Duration::from_secs(30);
/// Part of the most that operators allow which each zone keeps as reclaimable back ends.
const SPOT_BASE: f64 = 0.75;
/// Part of its time for which a reclaimable back end is to be busy at most.
const SPOT_BUSY: f64 = 0.4;
/// Part of its time for which any back end is to be busy while reclaimable ones cannot be had.
const SCARCE_BUSY: f64 = 0.75;
/// Time after the cloud had no reclaimable back ends for which they count as scarce.
const SCARCE_FOR: Duration = Duration::from_secs(3);
/// Time between two orders of the same number, in case the first was lost.
const REPEAT_ORDER: Duration = Duration::from_secs(2);
/// Time between two orders after the cloud had none.
const REPEAT_REFUSED: Duration = Duration::from_millis(1200);
/// Time that enough reclaimable back ends have to be there before the others are given back.
const RELEASE_AFTER: Duration = Duration::from_millis(800);
/// The same where others were ordered for lack of reclaimable ones. It is long, since the need goes up and
/// down from round to round and a back end that starts is lost when its order is lowered.
const RELEASE_ORDERED_AFTER: Duration = Duration::from_secs(4);

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
    enough_since: Option<Moment>,
    /// Numbers of other back ends that were ordered for lack of reclaimable ones.
    added: BTreeMap<Box<str>, u32>,
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
        let spot_there: u32 = zones.values().map(|zone| zone.spot).sum();
        let needed = ((busy / SCARCE_BUSY).ceil() as u32).max(count * rules.min.max(1));
        let covered = has_spot && spot_there >= needed;
        self.note_cover(covered, now);
        let regular_each = if !has_spot {
            all_regular(rules, zones, peak)
        } else if covered {
            self.release(zones, now)
        } else if self.is_scarce(now) {
            self.add(rules, zones, needed - spot_there)
        } else {
            BTreeMap::new()
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

    fn note_cover(&mut self, covered: bool, now: Moment) {
        self.enough_since = match (covered, self.enough_since) {
            (true, since) => since.or(Some(now)),
            (false, _) => None,
        };
    }

    /// Gives back all but reclaimable back ends once those have been enough for a while.
    fn release(
        &mut self,
        zones: &BTreeMap<Box<str>, ZoneState>,
        now: Moment,
    ) -> BTreeMap<Box<str>, u32> {
        let wait = match self.added.is_empty() {
            true => RELEASE_AFTER,
            false => RELEASE_ORDERED_AFTER,
        };
        let is_over = self
            .enough_since
            .is_some_and(|since| now.saturating_sub(since) >= wait);
        if !is_over {
            return BTreeMap::new();
        }
        self.added.clear();
        zones.keys().map(|zone| (zone.clone(), 0)).collect()
    }

    /// Returns the numbers of other back ends so that `missing` are added; none is lower than before, as
    /// those that start would be lost.
    fn add(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        missing: u32,
    ) -> BTreeMap<Box<str>, u32> {
        for (zone, wanted) in spread(rules, zones, missing) {
            let added = self.added.entry(zone).or_default();
            *added = (*added).max(wanted);
        }
        let more = self.added.iter();
        let more =
            more.filter(|(zone, wanted)| **wanted > zones.get(*zone).map_or(0, |z| z.regular));
        more.map(|(zone, wanted)| (zone.clone(), *wanted)).collect()
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

/// Returns the numbers of back ends that are not reclaimable, so that there are `missing` in all: in the
/// cheapest availability zones first, half of them at most in one.
fn spread(
    rules: &ScalingRules,
    zones: &BTreeMap<Box<str>, ZoneState>,
    missing: u32,
) -> BTreeMap<Box<str>, u32> {
    let price = |zone: &str| rules.zone_prices.get(zone).copied().unwrap_or(1.0);
    let mut by_price: Vec<&Box<str>> = zones.keys().collect();
    by_price.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let most = missing.div_ceil(2).min(rules.max);
    let mut left = missing;
    let mut wanted = BTreeMap::new();
    for zone in by_price {
        let here = left.min(most);
        left -= here;
        if here > 0 {
            wanted.insert(zone.clone(), here);
        }
    }
    wanted
}
