//! Limits of customers over all nodes, without a call for each request.
//!
//! Load it answers: a customer that suddenly asks several times its limit of many nodes at once, most of
//! which see a call of it only now and then.
//!
//! Every node tells the others how much it has let through for each customer since its start. From that
//! each node keeps the level of one common token bucket. What others have let through since they last
//! told is estimated from their rate. What nodes let through before they hear of each other takes the
//! level below zero, and all wait until it has risen again. So that this stays small, each node also keeps
//! to its own part of the rate with some room for calls that come together. A node that hears from nobody
//! keeps to less than an equal part, which the others leave to it.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::decay::Decaying;
use super::origin::{Origin, ZoneName};
use super::routes::{CustomerName, Quota};
use crate::core::time::Moment;

/// Silence after which a node counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(2);
/// Part of an equal share of the rate that a node uses while it is cut off.
const CUT_OFF_PART: f64 = 0.4;
/// Longest time for which a node is taken to go on as it last told.
const MAX_ESTIMATE: Duration = CUT_OFF_AFTER;
/// Weight of the newest message in a node's rate.
const RATE_WEIGHT: f64 = 0.7;
/// Deepest debt, as a multiple of the burst. What is beyond cannot be made good within a few seconds.
const MAX_DEBT: f64 = 4.0;
/// Time over which the parts of nodes are averaged: much longer than what others told is old.
const PART_WINDOW: Duration = Duration::from_secs(8);
/// Room of a node beyond its part of the rate, while the common level is high and while it is low.
const PART_ROOM: (f64, f64) = (2.0, 1.2);
/// Level, as a part of the burst, below which it is low.
const LOW_LEVEL: f64 = 0.3;
/// Calls that may come together at one node beyond its part of the burst.
const CALLS_TOGETHER: f64 = 3.0;
/// Shortest and longest time after which a refused caller may come back.
const RETURN_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

/// What one node has let through for a customer, as it told.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    total: f64,
    per_second: f64,
    /// Units of the last seconds.
    recent: Decaying,
    at: Moment,
}

/// One customer's bucket, as this node sees it.
#[derive(Debug, Default)]
struct Bucket {
    own_total: f64,
    /// Units of the last seconds.
    own_recent: Decaying,
    /// Level of this node's own part.
    part_level: f64,
    /// Average units of a call.
    call: f64,
    /// When the first call came.
    first_call: Moment,
    level: f64,
    filled: Moment,
    quota: Option<Quota>,
    others: HashMap<Origin, Told>,
    /// Units of nodes that were forgotten, and may return.
    departed: HashMap<Origin, f64>,
    /// Units of processes that have ended.
    ended: f64,
}

/// A node that was heard of, or an availability zone.
#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: u64,
    at: Moment,
    /// Nodes for which it speaks.
    nodes: usize,
    /// Whether it was forgotten since.
    is_gone: bool,
}

/// Sums over an availability zone, as one of its nodes told them.
#[derive(Clone, Debug)]
pub struct ZoneTotals {
    /// The zone.
    pub zone: ZoneName,
    /// Start of the process that told them.
    pub told_by: u64,
    /// Nodes of the zone.
    pub nodes: usize,
    /// Units that they have let through for each customer.
    pub totals: Vec<(CustomerName, f64)>,
}

/// The other nodes, as one node sees them.
#[derive(Clone, Copy, Debug)]
struct Peers {
    /// Part of the rate that each node has if all have the same.
    equal: f64,
    /// Nodes that were heard of before and fell silent.
    cut_off: usize,
    /// Whether all others are silent.
    is_alone: bool,
}

/// Every customer's limit, as one node sees it.
#[derive(Debug, Default)]
pub struct QuotaShares {
    customers: HashMap<CustomerName, Bucket>,
    heard: HashMap<Origin, Heard>,
}

/// Whether a call is within its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is.
    Within,
    /// It is not.
    Over(Shortage),
}

/// Why a call is not within its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// When the caller may come back.
    pub retry_after: Duration,
    /// Level of the common bucket, in units.
    pub level: f64,
    /// Level of this node's own part, in units.
    pub part_level: f64,
    /// Units a second on which this node counts.
    pub rate: f64,
    /// Nodes among which the limit is shared.
    pub nodes: usize,
}

impl QuotaShares {
    /// Counts a call of `units` and decides whether it is within the limit. `nodes` is the number of
    /// nodes that take callers.
    pub fn take(
        &mut self,
        customer: &str,
        quota: &Quota,
        units: f64,
        nodes: usize,
        now: Moment,
    ) -> QuotaDecision {
        let peers = self.peers(nodes, now);
        let bucket = self.bucket(customer);
        let rate = peers.rate(quota);
        bucket.refill(quota, rate, peers, now);
        bucket.refill_part(quota, units, peers, now);
        bucket.filled = now;
        let level = bucket.level - bucket.unheard(now);
        if level > 0.0 && bucket.part_level > 0.0 {
            // A call may leave a debt, so that one larger than the level is served, too.
            bucket.level -= units;
            bucket.part_level -= units;
            bucket.own_total += units;
            bucket.own_recent.add(units, PART_WINDOW, now);
            return QuotaDecision::Within;
        }
        let lower = level.min(bucket.part_level);
        let (least, most) = RETURN_BOUNDS;
        let wait = Duration::try_from_secs_f64((units * 0.1 - lower) / rate.max(1e-9));
        QuotaDecision::Over(Shortage {
            retry_after: wait.unwrap_or(most).clamp(least, most),
            level,
            part_level: bucket.part_level,
            rate,
            nodes,
        })
    }

    /// Returns units to a customer whose call was not run.
    pub fn give_back(&mut self, customer: &str, units: f64) {
        if let Some(bucket) = self.customers.get_mut(customer) {
            bucket.level += units;
            bucket.part_level += units;
            bucket.own_total -= units;
        }
    }

    /// Takes what another node told: the units that it has let through for each customer since the start
    /// `incarnation` of its process.
    pub fn heard(
        &mut self,
        node: &str,
        incarnation: u64,
        totals: &[(CustomerName, f64)],
        now: Moment,
    ) {
        let from = Origin::from(node);
        let heard = Heard {
            incarnation,
            at: now,
            nodes: 1,
            is_gone: false,
        };
        let before = self.heard.insert(from.clone(), heard);
        if before.is_some_and(|before| before.incarnation != incarnation) {
            for bucket in self.customers.values_mut() {
                bucket.forget(&from);
                bucket.ended += bucket.departed.remove(&from).unwrap_or(0.0);
            }
        }
        for (customer, total) in totals {
            self.bucket(customer).hear(&from, *total, now);
        }
    }

    /// Takes the sums over an availability zone. They go on growing while the same process tells them.
    pub fn heard_zone(&mut self, told: &ZoneTotals, now: Moment) {
        let from = Origin::Zone(told.zone.clone());
        let heard = Heard {
            incarnation: told.told_by,
            at: now,
            nodes: told.nodes,
            is_gone: false,
        };
        let before = self.heard.insert(from.clone(), heard);
        let goes_on = before.is_some_and(|before| before.incarnation == told.told_by);
        for (customer, total) in &told.totals {
            let bucket = self.bucket(customer);
            match goes_on {
                true => bucket.hear(&from, *total, now),
                false => bucket.start_from(&from, *total, now),
            }
        }
    }

    /// Forgets a node that is gone.
    pub fn forget(&mut self, from: &Origin) {
        if let Some(heard) = self.heard.get_mut(from) {
            heard.is_gone = true;
        }
        for bucket in self.customers.values_mut() {
            bucket.forget(from);
        }
    }

    /// Forgets availability zones that have no nodes.
    pub fn keep_zones(&mut self, zones: &BTreeSet<ZoneName>) {
        let is_gone = |from: &&Origin| matches!(from, Origin::Zone(zone) if !zones.contains(zone));
        let gone: Vec<Origin> = self.heard.keys().filter(is_gone).cloned().collect();
        for from in gone {
            self.forget(&from);
        }
    }

    /// Returns the units that this node and those that told of themselves have let through for each
    /// customer. They never shrink.
    pub fn totals_of_nodes(&self) -> Vec<(CustomerName, f64)> {
        let totals = self.customers.iter();
        totals
            .map(|(customer, bucket)| (customer.clone(), bucket.total_of_nodes()))
            .filter(|(_, total)| *total > 0.0)
            .collect()
    }

    /// Returns the units that this node has let through for each customer.
    pub fn totals(&self) -> Vec<(CustomerName, f64)> {
        self.customers
            .iter()
            .filter(|(_, bucket)| bucket.own_total > 0.0)
            .map(|(customer, bucket)| (customer.clone(), bucket.own_total))
            .collect()
    }

    fn peers(&self, nodes: usize, now: Moment) -> Peers {
        let is_silent = |heard: &&Heard| now.saturating_sub(heard.at) > CUT_OFF_AFTER;
        let mut known = self.heard.values().filter(|heard| !heard.is_gone);
        let silent = known.clone().filter(is_silent);
        Peers {
            equal: 1.0 / nodes.max(1) as f64,
            cut_off: silent.map(|heard| heard.nodes).sum(),
            is_alone: nodes > 1 && known.all(|heard| is_silent(&heard)),
        }
    }

    fn bucket(&mut self, customer: &str) -> &mut Bucket {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.into(), Bucket::default());
        }
        self.customers
            .get_mut(customer)
            .expect("the customer was just put in")
    }
}

impl Peers {
    /// Returns the units a second that this node may count on.
    fn rate(&self, quota: &Quota) -> f64 {
        let cut_off_part = self.equal * CUT_OFF_PART;
        let part = match self.is_alone {
            true => cut_off_part,
            false => (1.0 - cut_off_part * self.cut_off as f64).max(self.equal),
        };
        quota.per_second * part
    }

    /// Returns the units that may come at once.
    fn burst(&self, quota: &Quota) -> f64 {
        match self.is_alone {
            true => quota.burst * self.equal,
            false => quota.burst,
        }
    }
}

impl Bucket {
    fn refill(&mut self, quota: &Quota, rate: f64, peers: Peers, now: Moment) {
        let full = peers.burst(quota);
        if self.quota.is_none() {
            // What others let through before the first call here is not counted.
            self.level = full;
            self.part_level = full;
            self.first_call = now;
        }
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        let level = self.level + rate * elapsed;
        self.level = level.clamp(-quota.burst * MAX_DEBT, full);
        self.quota = Some(*quota);
    }

    /// Refills this node's own part: what it lets through of all that nodes let through, at least an
    /// equal one.
    fn refill_part(&mut self, quota: &Quota, units: f64, peers: Peers, now: Moment) {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.call += (units - self.call) * if self.call > 0.0 { 0.1 } else { 1.0 };
        let own = self.own_recent.value(PART_WINDOW, now);
        let others: f64 = self
            .others
            .values()
            .map(|told| told.recent.value(PART_WINDOW, now))
            .sum();
        let all = own + others;
        // At first, that others have told nothing may only mean that it is on its way.
        let has_heard = now.saturating_sub(self.first_call) > CUT_OFF_AFTER;
        let part = match has_heard && all > 0.0 {
            true => (own / all).max(peers.equal),
            false => peers.equal,
        };
        let (high, low) = PART_ROOM;
        let is_low = self.level < quota.burst * LOW_LEVEL;
        let rate = quota.per_second * part * if is_low { low } else { high };
        // While the level is low, nodes that have waited must not all catch up at once.
        let full = match is_low {
            true => self.call,
            false => quota.burst * part + self.room_for_calls(quota, peers),
        };
        self.part_level = (self.part_level + rate * elapsed).min(full);
    }

    /// Returns the room for calls that come together at this node. The rooms of all nodes add up to little
    /// more than the burst, however many nodes there are; one call always has room.
    fn room_for_calls(&self, quota: &Quota, peers: Peers) -> f64 {
        let room = self.call * CALLS_TOGETHER;
        room.min(quota.burst * peers.equal).max(self.call)
    }

    /// Returns the units of this node and of those that told of themselves.
    fn total_of_nodes(&self) -> f64 {
        let nodes = self.others.iter().filter(|(from, _)| from.is_node());
        let nodes: f64 = nodes.map(|(_, told)| told.total).sum();
        self.own_total + nodes + self.departed.values().sum::<f64>() + self.ended
    }

    /// Forgets what others told, but not what they have let through.
    fn forget(&mut self, from: &Origin) {
        if let Some(told) = self.others.remove(from).filter(|_| from.is_node()) {
            self.departed.insert(from.clone(), told.total);
        }
    }

    /// Takes the total from which sums start that another process tells now. It mostly goes on from what the
    /// process before it told. Where it does not, as it has heard of less or more, what was let through since
    /// is estimated.
    fn start_from(&mut self, from: &Origin, total: f64, now: Moment) {
        let told = self.others.entry(from.clone()).or_default();
        let gap = now.saturating_sub(told.at).min(MAX_ESTIMATE);
        let expected = told.per_second * gap.as_secs_f64();
        let more = total - told.total;
        let units = match (0.0..=expected * 2.0).contains(&more) {
            true => more,
            false => expected,
        };
        told.recent.add(units, PART_WINDOW, now);
        told.total = total;
        told.at = now;
        self.level -= units;
    }

    /// Takes the total of a node or of an availability zone.
    fn hear(&mut self, from: &Origin, total: f64, now: Moment) {
        let told = match self.others.get_mut(from) {
            Some(told) => told,
            None => self.others.entry(from.clone()).or_insert(Told {
                total: self.departed.remove(from).unwrap_or(0.0),
                ..Told::default()
            }),
        };
        let units = total - told.total;
        let elapsed = now.saturating_sub(told.at).as_secs_f64().max(0.05);
        let per_second = (units / elapsed).max(0.0);
        told.per_second += (per_second - told.per_second) * RATE_WEIGHT;
        told.recent.add(units, PART_WINDOW, now);
        told.total = total;
        told.at = now;
        self.level -= units;
    }

    /// Returns an estimate of what others have let through since they last told.
    fn unheard(&self, now: Moment) -> f64 {
        self.others
            .values()
            .map(|told| {
                let age = now.saturating_sub(told.at).min(MAX_ESTIMATE);
                told.per_second * age.as_secs_f64()
            })
            .sum()
    }
}
