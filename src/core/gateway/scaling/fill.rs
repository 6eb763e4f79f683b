//! Back ends at the full price, for what reclaimable ones cannot cover.
//!
//! Load it answers: the cloud takes back the reclaimable back ends of one zone after the other and offers
//! none for a while, as the work grows. A zone's limit holds for both kinds together, so that back ends at
//! the full price keep reclaimable ones out later: they are given back bit by bit once those can be had.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ScalingRules, ZoneState};
use crate::core::time::Moment;

/// Time that enough reclaimable back ends have to be there before the others are given back.
const RELEASE_AFTER: Duration = Duration::from_millis(800);
/// The same where others were ordered for lack of reclaimable ones. It is long, since the need goes up and
/// down from round to round and a back end that starts is lost when its order is lowered.
const RELEASE_ORDERED_AFTER: Duration = Duration::from_secs(4);
/// Part of a zone's limit that is exchanged for reclaimable back ends at a time, at least.
const EXCHANGE_PART: f64 = 0.2;
/// Time beyond a back end's start between two exchanges.
const EXCHANGE_SLACK: Duration = Duration::from_secs(1);

/// Numbers of back ends of each availability zone.
pub(super) type Numbers = BTreeMap<Box<str>, u32>;

/// What is known of the need in one round.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    /// Back ends that are needed.
    pub(super) all: u32,
    /// Whether the cloud had no reclaimable ones of late.
    pub(super) is_scarce: bool,
    /// Reclaimable ones that each zone is to have.
    pub(super) spot_each: u32,
}

/// Orders for back ends at the full price beside reclaimable ones.
#[derive(Debug, Default)]
pub(super) struct Fill {
    /// Numbers that were ordered for lack of reclaimable ones.
    ordered: Numbers,
    enough_since: Option<Moment>,
    exchanged_at: Option<Moment>,
}

impl Fill {
    /// Returns the numbers to order now, for those zones whose number changes.
    pub(super) fn plan(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        need: Need,
        now: Moment,
    ) -> Numbers {
        let spot: u32 = zones.values().map(|zone| zone.spot).sum();
        if spot >= need.all {
            return self.release(zones, now);
        }
        self.enough_since = None;
        match need.is_scarce {
            true => self.add(rules, zones, need.all - spot),
            false => self.exchange(rules, zones, need, now),
        }
    }

    /// Gives back all once reclaimable ones have been enough for a while.
    fn release(&mut self, zones: &BTreeMap<Box<str>, ZoneState>, now: Moment) -> Numbers {
        let wait = match self.ordered.is_empty() {
            true => RELEASE_AFTER,
            false => RELEASE_ORDERED_AFTER,
        };
        let since = *self.enough_since.get_or_insert(now);
        if now.saturating_sub(since) < wait {
            return Numbers::new();
        }
        self.ordered.clear();
        zones.keys().map(|zone| (zone.clone(), 0)).collect()
    }

    /// Orders more so that `missing` are there in all. No number is lower than before, as back ends that
    /// start would be lost.
    fn add(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        missing: u32,
    ) -> Numbers {
        for (zone, wanted) in spread(rules, zones, missing) {
            let ordered = self.ordered.entry(zone).or_default();
            *ordered = (*ordered).max(wanted);
        }
        let there = |zone: &str| zones.get(zone).map_or(0, |state| state.regular);
        let more = self.ordered.iter();
        let more = more.filter(|(zone, wanted)| **wanted > there(zone));
        more.map(|(zone, wanted)| (zone.clone(), *wanted)).collect()
    }

    /// Gives some back where they keep reclaimable ones out, the dearest first: as many as can be spared
    /// until those have started.
    fn exchange(
        &mut self,
        rules: &ScalingRules,
        zones: &BTreeMap<Box<str>, ZoneState>,
        need: Need,
        now: Moment,
    ) -> Numbers {
        let wait = rules.boot + EXCHANGE_SLACK;
        let is_due = |at: Moment| now.saturating_sub(at) >= wait;
        if !self.exchanged_at.is_none_or(is_due) {
            return Numbers::new();
        }
        let there: u32 = zones.values().map(|zone| zone.spot + zone.regular).sum();
        let least = (f64::from(rules.max) * EXCHANGE_PART).ceil() as u32;
        let mut left = there.saturating_sub(need.all).max(least);
        let mut numbers = Numbers::new();
        for zone in by_price(rules, zones).into_iter().rev() {
            let state = zones[zone];
            let is_full = state.spot + state.regular >= rules.max;
            if !is_full || state.spot >= need.spot_each {
                continue;
            }
            let given_back = left.min(state.regular);
            left -= given_back;
            if given_back > 0 {
                numbers.insert(zone.into(), state.regular - given_back);
            }
        }
        if !numbers.is_empty() {
            self.exchanged_at = Some(now);
            self.ordered.extend(numbers.clone());
        }
        numbers
    }
}

/// Returns the availability zones, the cheapest first.
fn by_price<'a>(rules: &ScalingRules, zones: &'a BTreeMap<Box<str>, ZoneState>) -> Vec<&'a str> {
    let price = |zone: &str| rules.zone_prices.get(zone).copied().unwrap_or(1.0);
    let mut by_price: Vec<&str> = zones.keys().map(|zone| &**zone).collect();
    by_price.sort_by(|a, b| price(a).total_cmp(&price(b)));
    by_price
}

/// Returns numbers for `missing` back ends: in the cheapest availability zones that have room first, half
/// of them at most in one while others have room.
fn spread(rules: &ScalingRules, zones: &BTreeMap<Box<str>, ZoneState>, missing: u32) -> Numbers {
    let mut left = missing;
    let mut wanted = Numbers::new();
    for most in [missing.div_ceil(2), rules.max] {
        for zone in by_price(rules, zones) {
            let here = wanted.entry(zone.into()).or_default();
            let room = rules.max.saturating_sub(zones[zone].spot).min(most);
            let more = left.min(room.saturating_sub(*here));
            *here += more;
            left -= more;
        }
    }
    wanted.retain(|_, number| *number > 0);
    wanted
}
