//! Limits of a customer over all nodes, without a call to the store per request.
//!
//! Every node keeps its own view of each customer's token bucket: it takes out what it spends at once
//! and what others spent when their counters arrive. Until they arrive, a node spends at most its
//! share of what it believes is left. Overuse leaves a debt in every view, so that the long-run rate
//! holds whatever the delay.

use std::collections::BTreeMap;
use std::time::Duration;

use super::meter::Meter;
use super::{Cause, Refusal, Result};
use crate::core::document::CustomerRule;
use crate::core::id::{CustomerId, NodeId};
use crate::core::membership::CustomerUse;
use crate::core::time::Moment;

/// Time in which a counter reaches all nodes; the unit of the error of a limit.
pub const SPREAD_DELAY: Duration = Duration::from_secs(2);
/// Age from which a node has heard of all that the others had counted before it started.
const JOIN_GRACE: Duration = Duration::from_secs(10);
/// Time after which a caller may find a free place among its unfinished requests.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(2);

/// Limits of one customer, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRule {
    /// Tokens a second, prompt and answer together.
    pub tokens_per_second: u32,
    /// Tokens that may be used at once after a quiet time.
    pub burst_tokens: u32,
    /// Accepted and unfinished requests.
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

/// A node's counters of a customer, as spread to the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UseReport {
    /// Node that counted, or a name for the sum over another region.
    pub node: NodeId,
    /// The customer.
    pub customer: CustomerId,
    /// Tokens used since the node started.
    pub tokens: u64,
    /// Accepted and unfinished requests.
    pub in_flight: u32,
    /// Grows with every report of the node.
    pub sequence: u64,
}

impl From<CustomerUse> for UseReport {
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

impl From<UseReport> for CustomerUse {
    fn from(report: UseReport) -> Self {
        Self {
            node: report.node,
            customer: report.customer,
            tokens: report.tokens,
            in_flight: report.in_flight,
            sequence: report.sequence,
        }
    }
}

/// One node's view of what every customer may still use.
#[derive(Debug)]
pub struct CustomerLimits {
    node: NodeId,
    nodes: u32,
    started_at: Moment,
    meters: BTreeMap<CustomerId, Meter>,
    sequence: u64,
}

impl CustomerLimits {
    /// Creates the view of a node that starts at `now`.
    pub fn new(node: NodeId, now: Moment) -> Self {
        Self {
            node,
            nodes: 1,
            started_at: now,
            meters: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Sets how many nodes take requests of callers, this one among them.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Admits a request of an estimated cost and charges it, or refuses it.
    ///
    /// Every admitted request has to be given to [`Self::finish`] once.
    ///
    /// # Errors
    ///
    /// Refuses if the customer has as many unfinished requests as it may, or has used up its tokens,
    /// or this node has spent its share of them and has yet to hear what others spent.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        rule: &LimitRule,
        cost_tokens: u32,
        now: Moment,
    ) -> Result<()> {
        let nodes = self.nodes;
        let meter = self.meter(customer, rule, now);
        meter.refill(rule, now);
        if !meter.has_room(rule.max_in_flight, nodes, now) {
            return Err(Refusal {
                cause: Cause::InFlightLimit {
                    max_in_flight: rule.max_in_flight,
                },
                retry_after: IN_FLIGHT_RETRY,
            });
        }
        if !meter.has_tokens(nodes, now) {
            return Err(Refusal {
                cause: Cause::TokenLimit {
                    tokens_per_second: rule.tokens_per_second,
                },
                retry_after: meter.until_tokens(rule).max(SPREAD_DELAY / 2),
            });
        }
        meter.start(cost_tokens, now);
        Ok(())
    }

    /// Settles a request that was admitted: 0 actual tokens for one that never ran.
    pub fn finish(&mut self, customer: &str, estimated: u32, actual: u32, now: Moment) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.finish(estimated, actual, now);
        }
    }

    /// Takes in another node's counters. Old and repeated reports and the node's own are ignored.
    pub fn merge(&mut self, report: &UseReport, rule: &LimitRule, now: Moment) {
        if report.node == self.node {
            return;
        }
        let is_whole = now.saturating_sub(self.started_at) >= JOIN_GRACE;
        let meter = self.meter(&report.customer, rule, now);
        meter.refill(rule, now);
        meter.merge(report, is_whole, rule, now);
    }

    /// Returns this node's counters that changed since the last call.
    pub fn take_reports(&mut self) -> Vec<UseReport> {
        let mut reports = Vec::new();
        for (customer, meter) in &mut self.meters {
            let Some((tokens, in_flight)) = meter.take_change() else {
                continue;
            };
            self.sequence += 1;
            reports.push(UseReport {
                node: self.node.clone(),
                customer: customer.clone(),
                tokens,
                in_flight,
                sequence: self.sequence,
            });
        }
        reports
    }

    /// Drops a node that has gone: its unfinished requests count no longer.
    pub fn forget_node(&mut self, node: &str) {
        for meter in self.meters.values_mut() {
            meter.forget_node(node);
        }
    }

    /// Drops customers that the document no longer has.
    pub fn retain_customers(&mut self, is_known: impl Fn(&str) -> bool) {
        self.meters.retain(|customer, _| is_known(customer));
    }

    fn meter(&mut self, customer: &CustomerId, rule: &LimitRule, now: Moment) -> &mut Meter {
        self.meters
            .entry(customer.clone())
            .or_insert_with(|| Meter::new(rule, now))
    }
}
