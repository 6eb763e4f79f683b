//! Distributed rate limits of customers, without communication between nodes per call.
//!
//! Designed for a customer that suddenly sends several times its limit to many nodes at once, most of which
//! see only an occasional call of it.
//!
//! Every node reports to the others the units that it has admitted for each customer since its start. From
//! these totals each node maintains its view of one global token bucket. Units that others have admitted since
//! their last report are estimated from their rate. Units admitted before the reports arrive take the level
//! below zero, and all nodes refuse calls until it is positive again. To keep this debt small, each node also
//! limits itself to its own share of the rate, with some allowance for bursts. A node that receives no reports
//! uses less than an equal share, which the other nodes reserve for it.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::decay::DecayingSum;
use super::origin::{Origin, ZoneName};
use super::routes::{CustomerName, Quota};
use crate::core::time::Moment;

/// Time without a report after which a node is considered cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(2);
/// Fraction of an equal share of the rate that a node uses while it is cut off.
const CUT_OFF_SHARE: f64 = 0.4;
/// Longest time for which units are extrapolated from a node's last reported rate.
const MAX_ESTIMATE: Duration = CUT_OFF_AFTER;
/// Weight of the newest report in the moving average of a node's rate.
const REPORT_WEIGHT: f64 = 0.7;
/// Largest debt, as a multiple of the burst. A larger debt could not be repaid within a few seconds.
const MAX_DEBT: f64 = 4.0;
/// Decay window of the nodes' recent units, from which shares are computed. It is much longer than the delay of
/// reports.
const SHARE_WINDOW: Duration = Duration::from_secs(8);
/// Factors on a node's share of the rate while the global level is high and while it is low.
const SHARE_FACTORS: (f64, f64) = (2.0, 1.2);
/// Global level, as a fraction of the burst, below which it is low.
const LOW_LEVEL: f64 = 0.3;
/// Calls that may arrive at one node at once beyond its share of the burst.
const BURST_CALLS: f64 = 3.0;
/// Time for which a customer's rate may be overdrawn by calls that go on with charged work.
const MAX_OVERDRAFT: Duration = Duration::from_secs(2);
/// Bounds of the retry delay that a refused caller is given.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(4));

/// A customer's admitted units as reported by one node or availability zone.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    total: f64,
    per_second: f64,
    /// Units of the last [`SHARE_WINDOW`].
    recent: DecayingSum,
    received_at: Moment,
}

/// This node's view of one customer's token buckets.
#[derive(Debug, Default)]
struct Bucket {
    own_total: f64,
    /// Units of the last [`SHARE_WINDOW`].
    own_recent: DecayingSum,
    /// Level of this node's own bucket, which is refilled with its share of the rate.
    part_level: f64,
    /// Moving average of the units of a call.
    mean_call_units: f64,
    /// When the first call arrived.
    first_call: Moment,
    level: f64,
    refilled_at: Moment,
    quota: Option<Quota>,
    others: HashMap<Origin, Report>,
    /// Totals of nodes that were removed and may come back.
    departed: HashMap<Origin, f64>,
    /// Sum of the totals of ended processes.
    ended_total: f64,
}

/// State of the reports of one node or availability zone.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    incarnation: u64,
    received_at: Moment,
    /// Number of nodes that the reports cover.
    nodes: usize,
    /// Whether it was removed since its last report.
    is_gone: bool,
}

/// Sums over an availability zone, reported by one of its nodes.
#[derive(Clone, Debug)]
pub struct ZoneTotals {
    /// The zone.
    pub zone: ZoneName,
    /// Incarnation of the process that sent them.
    pub sender_incarnation: u64,
    /// Number of nodes in the zone.
    pub nodes: usize,
    /// Units that they have admitted for each customer.
    pub totals: Vec<(CustomerName, f64)>,
}

/// Reachability of the other nodes.
#[derive(Clone, Copy, Debug)]
struct Peers {
    /// Equal share of one node: 1 divided by the number of nodes.
    equal_share: f64,
    /// Number of nodes whose reports have stopped.
    cut_off: usize,
    /// Whether reports of all other nodes have stopped, so that this node may be the one that is cut off.
    is_alone: bool,
}

/// This node's view of the rate limits of all customers.
#[derive(Debug, Default)]
pub struct QuotaShares {
    customers: HashMap<CustomerName, Bucket>,
    reporters: HashMap<Origin, Reporter>,
}

/// Result of checking a call against its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The call is within the limit and has been charged.
    Within,
    /// The call exceeds the limit.
    Over(Shortage),
}

/// State of the limit at the refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
    /// Level of the global bucket, in units.
    pub level: f64,
    /// Level of this node's own bucket, in units.
    pub part_level: f64,
    /// Refill rate of the global bucket that this node assumes, in units a second.
    pub rate: f64,
    /// Number of nodes that share the limit.
    pub nodes: usize,
}

impl QuotaShares {
    /// Charges a call of `units` if it is within the limit. `nodes` is the number of nodes that accept
    /// callers.
    pub fn try_charge(
        &mut self,
        customer: &str,
        quota: &Quota,
        units: f64,
        nodes: usize,
        now: Moment,
    ) -> QuotaDecision {
        self.charge_above(0.0, customer, quota, units, nodes, now)
    }

    /// Charges a call that goes on with work which was charged before. It may overdraw the limit, so that the work is
    /// not lost; later calls wait for longer then.
    pub fn try_charge_continued(
        &mut self,
        customer: &str,
        quota: &Quota,
        units: f64,
        nodes: usize,
        now: Moment,
    ) -> QuotaDecision {
        let lowest = -quota.per_second * MAX_OVERDRAFT.as_secs_f64();
        self.charge_above(lowest, customer, quota, units, nodes, now)
    }

    /// Charges a call if the levels of both buckets are above `lowest`.
    fn charge_above(
        &mut self,
        lowest: f64,
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
        bucket.refill_own(quota, units, peers, now);
        bucket.refilled_at = now;
        let level = bucket.level - bucket.estimate_unreported(now);
        if level > lowest && bucket.part_level > lowest {
            // The level may become negative, so that a call larger than the current level is served, too.
            bucket.level -= units;
            bucket.part_level -= units;
            bucket.own_total += units;
            bucket.own_recent.add(units, SHARE_WINDOW, now);
            return QuotaDecision::Within;
        }
        let lower = level.min(bucket.part_level);
        let (min, max) = RETRY_AFTER_BOUNDS;
        let wait = Duration::try_from_secs_f64((units * 0.1 - lower) / rate.max(1e-9));
        QuotaDecision::Over(Shortage {
            retry_after: wait.unwrap_or(max).clamp(min, max),
            level,
            part_level: bucket.part_level,
            rate,
            nodes,
        })
    }

    /// Refunds the units of a call that was not run.
    pub fn refund(&mut self, customer: &str, units: f64) {
        if let Some(bucket) = self.customers.get_mut(customer) {
            bucket.level += units;
            bucket.part_level += units;
            bucket.own_total -= units;
        }
    }

    /// Applies a report of another node: the units that it has admitted for each customer since its process
    /// `incarnation` started.
    pub fn apply_report(
        &mut self,
        node: &str,
        incarnation: u64,
        totals: &[(CustomerName, f64)],
        now: Moment,
    ) {
        let from = Origin::from(node);
        let reporter = Reporter {
            incarnation,
            received_at: now,
            nodes: 1,
            is_gone: false,
        };
        let before = self.reporters.insert(from.clone(), reporter);
        if before.is_some_and(|before| before.incarnation != incarnation) {
            for bucket in self.customers.values_mut() {
                bucket.forget(&from);
                bucket.ended_total += bucket.departed.remove(&from).unwrap_or(0.0);
            }
        }
        for (customer, total) in totals {
            self.bucket(customer).apply_report(&from, *total, now);
        }
    }

    /// Applies a report of the sums over an availability zone. The sums only grow while the same process sends
    /// them.
    pub fn apply_zone_report(&mut self, report: &ZoneTotals, now: Moment) {
        let from = Origin::Zone(report.zone.clone());
        let reporter = Reporter {
            incarnation: report.sender_incarnation,
            received_at: now,
            nodes: report.nodes,
            is_gone: false,
        };
        let before = self.reporters.insert(from.clone(), reporter);
        let is_same_sender =
            before.is_some_and(|before| before.incarnation == report.sender_incarnation);
        for (customer, total) in &report.totals {
            let bucket = self.bucket(customer);
            match is_same_sender {
                true => bucket.apply_report(&from, *total, now),
                false => bucket.apply_new_sender(&from, *total, now),
            }
        }
    }

    /// Removes a node or availability zone that is gone.
    pub fn forget(&mut self, from: &Origin) {
        if let Some(reporter) = self.reporters.get_mut(from) {
            reporter.is_gone = true;
        }
        for bucket in self.customers.values_mut() {
            bucket.forget(from);
        }
    }

    /// Removes the availability zones that are not in `zones`.
    pub fn retain_zones(&mut self, zones: &BTreeSet<ZoneName>) {
        let is_gone = |from: &&Origin| matches!(from, Origin::Zone(zone) if !zones.contains(zone));
        let gone: Vec<Origin> = self.reporters.keys().filter(is_gone).cloned().collect();
        for from in gone {
            self.forget(&from);
        }
    }

    /// Returns the units admitted for each customer by this node and by the nodes that report for
    /// themselves, without zone sums. They never shrink.
    pub fn node_totals(&self) -> Vec<(CustomerName, f64)> {
        let totals = self.customers.iter();
        totals
            .map(|(customer, bucket)| (customer.clone(), bucket.node_total()))
            .filter(|(_, total)| *total > 0.0)
            .collect()
    }

    /// Returns the units that this node has admitted for each customer.
    pub fn totals(&self) -> Vec<(CustomerName, f64)> {
        self.customers
            .iter()
            .filter(|(_, bucket)| bucket.own_total > 0.0)
            .map(|(customer, bucket)| (customer.clone(), bucket.own_total))
            .collect()
    }

    fn peers(&self, nodes: usize, now: Moment) -> Peers {
        let is_silent =
            |reporter: &&Reporter| now.saturating_sub(reporter.received_at) > CUT_OFF_AFTER;
        let mut active = self.reporters.values().filter(|reporter| !reporter.is_gone);
        let silent = active.clone().filter(is_silent);
        Peers {
            equal_share: 1.0 / nodes.max(1) as f64,
            cut_off: silent.map(|reporter| reporter.nodes).sum(),
            is_alone: nodes > 1 && active.all(|reporter| is_silent(&reporter)),
        }
    }

    fn bucket(&mut self, customer: &str) -> &mut Bucket {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.into(), Bucket::default());
        }
        self.customers
            .get_mut(customer)
            .expect("the customer was inserted above")
    }
}

impl Peers {
    /// Returns the refill rate of the global bucket in units a second, less the reserve for nodes that are
    /// cut off.
    fn rate(&self, quota: &Quota) -> f64 {
        let cut_off_share = self.equal_share * CUT_OFF_SHARE;
        let share = match self.is_alone {
            true => cut_off_share,
            false => (1.0 - cut_off_share * self.cut_off as f64).max(self.equal_share),
        };
        quota.per_second * share
    }

    /// Returns the size of the global bucket in units.
    fn burst(&self, quota: &Quota) -> f64 {
        match self.is_alone {
            true => quota.burst * self.equal_share,
            false => quota.burst,
        }
    }
}

impl Bucket {
    fn refill(&mut self, quota: &Quota, rate: f64, peers: Peers, now: Moment) {
        let full = peers.burst(quota);
        if self.quota.is_none() {
            // Units that others admitted before the first call on this node are not counted.
            self.level = full;
            self.part_level = full;
            self.first_call = now;
        }
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let level = self.level + rate * elapsed;
        self.level = level.clamp(-quota.burst * MAX_DEBT, full);
        self.quota = Some(*quota);
    }

    /// Refills this node's own bucket. Its share of the rate is its share of the units that all nodes
    /// admitted recently, but at least an equal share.
    fn refill_own(&mut self, quota: &Quota, units: f64, peers: Peers, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.mean_call_units +=
            (units - self.mean_call_units) * if self.mean_call_units > 0.0 { 0.1 } else { 1.0 };
        let own = self.own_recent.value(SHARE_WINDOW, now);
        let others: f64 = self
            .others
            .values()
            .map(|report| report.recent.value(SHARE_WINDOW, now))
            .sum();
        let all = own + others;
        // Shortly after the first call, reports of other nodes may still be under way.
        let has_reports = now.saturating_sub(self.first_call) > CUT_OFF_AFTER;
        let share = match has_reports && all > 0.0 {
            true => (own / all).max(peers.equal_share),
            false => peers.equal_share,
        };
        let (high, low) = SHARE_FACTORS;
        let is_low = self.level < quota.burst * LOW_LEVEL;
        let rate = quota.per_second * share * if is_low { low } else { high };
        // While the global level is low, nodes with unused allowance must not all use it at once.
        let full = match is_low {
            true => self.mean_call_units,
            false => quota.burst * share + self.burst_allowance(quota, peers),
        };
        self.part_level = (self.part_level + rate * elapsed).min(full);
    }

    /// Returns the allowance for calls that arrive at this node at once. The allowances of all nodes add up to
    /// little more than the burst for any number of nodes; each allows at least one call.
    fn burst_allowance(&self, quota: &Quota, peers: Peers) -> f64 {
        let allowance = self.mean_call_units * BURST_CALLS;
        allowance
            .min(quota.burst * peers.equal_share)
            .max(self.mean_call_units)
    }

    /// Returns the units of this node and of the nodes that report for themselves.
    fn node_total(&self) -> f64 {
        let nodes = self.others.iter().filter(|(from, _)| from.is_node());
        let nodes: f64 = nodes.map(|(_, report)| report.total).sum();
        self.own_total + nodes + self.departed.values().sum::<f64>() + self.ended_total
    }

    /// Removes the state of a node or zone. The total of a node is kept, as its units were admitted.
    fn forget(&mut self, from: &Origin) {
        if let Some(report) = self.others.remove(from).filter(|_| from.is_node()) {
            self.departed.insert(from.clone(), report.total);
        }
    }

    /// Applies the first total of a zone that comes from a new sender. Usually it continues the total of the
    /// previous sender. Where it does not, because the new sender has received fewer or more reports, the units
    /// admitted since are estimated.
    fn apply_new_sender(&mut self, from: &Origin, total: f64, now: Moment) {
        let report = self.others.entry(from.clone()).or_default();
        let gap = now.saturating_sub(report.received_at).min(MAX_ESTIMATE);
        let expected = report.per_second * gap.as_secs_f64();
        let increase = total - report.total;
        let units = match (0.0..=expected * 2.0).contains(&increase) {
            true => increase,
            false => expected,
        };
        report.recent.add(units, SHARE_WINDOW, now);
        report.total = total;
        report.received_at = now;
        self.level -= units;
    }

    /// Applies a reported total of a node or of an availability zone.
    fn apply_report(&mut self, from: &Origin, total: f64, now: Moment) {
        let report = match self.others.get_mut(from) {
            Some(report) => report,
            None => self.others.entry(from.clone()).or_insert(Report {
                total: self.departed.remove(from).unwrap_or(0.0),
                ..Report::default()
            }),
        };
        let units = total - report.total;
        let elapsed = now
            .saturating_sub(report.received_at)
            .as_secs_f64()
            .max(0.05);
        let per_second = (units / elapsed).max(0.0);
        report.per_second += (per_second - report.per_second) * REPORT_WEIGHT;
        report.recent.add(units, SHARE_WINDOW, now);
        report.total = total;
        report.received_at = now;
        self.level -= units;
    }

    /// Returns the estimated units that others have admitted since their last reports.
    fn estimate_unreported(&self, now: Moment) -> f64 {
        self.others
            .values()
            .map(|report| {
                let age = now.saturating_sub(report.received_at).min(MAX_ESTIMATE);
                report.per_second * age.as_secs_f64()
            })
            .sum()
    }
}
