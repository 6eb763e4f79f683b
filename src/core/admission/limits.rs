//! Customer limits enforced over all nodes without a call to the store per request.
//!
//! Every node keeps a local replica of each customer's token bucket. It debits its own use
//! immediately and the use of other nodes when their counters arrive by gossip. Until then, a node
//! spends at most its share of the tokens that its replica shows as left. Overuse leaves a debt in
//! every replica, so that the long-run rate holds regardless of the gossip delay.

use std::collections::BTreeMap;
use std::time::Duration;

use super::meter::Meter;
use super::{Cause, Refusal, Result};
use crate::core::document::CustomerRule;
use crate::core::id::{CustomerId, NodeId};
use crate::core::membership::CustomerUse;
use crate::core::time::Moment;

/// Time in which a counter reaches all nodes. The error of a limit is stated in units of this time.
pub const GOSSIP_DELAY: Duration = Duration::from_secs(2);
/// Time after start by which a node has received all counts that other nodes made before its start.
const FIRST_REPORT_GRACE: Duration = Duration::from_secs(10);
/// Retry time given to a caller at its limit of unfinished requests.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Limits of one customer over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRule {
    /// Refill rate of the token bucket, prompt and answer tokens together.
    pub tokens_per_second: u32,
    /// Capacity of the token bucket.
    pub burst_tokens: u32,
    /// Maximum number of accepted and unfinished requests.
    pub max_in_flight: u32,
}

impl From<&CustomerRule> for LimitRule {
    fn from(rule: &CustomerRule) -> Self {
        Self {
            tokens_per_second: rule.tokens_per_second,
            burst_tokens: rule.burst_tokens,
            max_in_flight: rule.max_in_flight,
        }
    }
}

/// A node's counters for a customer, as sent to the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Node that counted, or a name that stands for the sum over another region.
    pub node: NodeId,
    /// The customer.
    pub customer: CustomerId,
    /// Tokens used since the node started.
    pub tokens: u64,
    /// Accepted and unfinished requests on the node.
    pub in_flight: u32,
    /// Increases with every report of the node.
    pub sequence: u64,
}

impl From<CustomerUse> for UsageReport {
    fn from(used: CustomerUse) -> Self {
        Self {
            node: used.node,
            customer: used.customer,
            tokens: used.tokens,
            in_flight: used.in_flight,
            sequence: used.sequence,
        }
    }
}

impl From<UsageReport> for CustomerUse {
    fn from(report: UsageReport) -> Self {
        Self {
            node: report.node,
            customer: report.customer,
            tokens: report.tokens,
            in_flight: report.in_flight,
            sequence: report.sequence,
        }
    }
}

/// One node's replica of the limits and the use of every customer.
#[derive(Debug)]
pub struct CustomerLimits {
    node: NodeId,
    nodes: u32,
    started_at: Moment,
    meters: BTreeMap<CustomerId, Meter>,
    sequence: u64,
}

impl CustomerLimits {
    /// Creates the limits of a node that starts at `now`.
    pub fn new(node: NodeId, now: Moment) -> Self {
        Self {
            node,
            nodes: 1,
            started_at: now,
            meters: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Sets the number of nodes that accept requests from callers, including this node.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Admits a request and charges its estimated cost, or refuses it.
    ///
    /// [`Self::finish`] must be called exactly once for every admitted request.
    ///
    /// # Errors
    ///
    /// Refuses if the customer has reached its limit of unfinished requests or used up its tokens,
    /// or if this node has spent its share and the use of the other nodes is not known yet.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        rule: &LimitRule,
        cost_tokens: u32,
        now: Moment,
    ) -> Result<()> {
        let nodes = self.nodes;
        let meter = self.meter(customer, rule, now);
        meter.apply_rule(rule, now);
        if !meter.can_start(rule.max_in_flight, nodes, now) {
            return Err(Refusal {
                cause: Cause::InFlightLimit {
                    max_in_flight: rule.max_in_flight,
                },
                retry_after: IN_FLIGHT_RETRY_AFTER,
            });
        }
        if !meter.can_spend(nodes, now) {
            return Err(Refusal {
                cause: Cause::TokenLimit {
                    tokens_per_second: rule.tokens_per_second,
                },
                retry_after: meter.time_until_tokens(rule).max(GOSSIP_DELAY / 2),
            });
        }
        meter.start(cost_tokens, now);
        Ok(())
    }

    /// Replaces the estimated charge of an admitted request by its actual tokens, 0 if it never
    /// ran.
    pub fn finish(&mut self, customer: &str, estimated: u32, actual: u32, now: Moment) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.finish(estimated, actual, now);
        }
    }

    /// Merges another node's counters. Old and duplicate reports and this node's own are ignored.
    pub fn merge(&mut self, report: &UsageReport, rule: &LimitRule, now: Moment) {
        if report.node == self.node {
            return;
        }
        let debits_first_report = now.saturating_sub(self.started_at) >= FIRST_REPORT_GRACE;
        let meter = self.meter(&report.customer, rule, now);
        meter.apply_rule(rule, now);
        meter.merge(report, debits_first_report, rule, now);
    }

    /// Returns those of this node's counters that have changed since the last call.
    pub fn take_changed_reports(&mut self) -> Vec<UsageReport> {
        let mut reports = Vec::new();
        for (customer, meter) in &mut self.meters {
            let Some((tokens, in_flight)) = meter.take_changed_counters() else {
                continue;
            };
            self.sequence += 1;
            reports.push(UsageReport {
                node: self.node.clone(),
                customer: customer.clone(),
                tokens,
                in_flight,
                sequence: self.sequence,
            });
        }
        reports
    }

    /// Removes a dead node, so that its unfinished requests no longer count.
    pub fn remove_node(&mut self, node: &str) {
        for meter in self.meters.values_mut() {
            meter.remove_node(node);
        }
    }

    /// Removes customers that the operators' document no longer contains.
    pub fn retain_customers(&mut self, is_known: impl Fn(&str) -> bool) {
        self.meters.retain(|customer, _| is_known(customer));
    }

    fn meter(&mut self, customer: &CustomerId, rule: &LimitRule, now: Moment) -> &mut Meter {
        self.meters
            .entry(customer.clone())
            .or_insert_with(|| Meter::new(rule, now))
    }
}
