//! Limits of customers over all nodes, without a call for each request.
//!
//! Every node tells the others how much each customer asks of it. A node lets through the part of the
//! customer's rate that corresponds to its part of what is asked, so that the parts add up to the
//! limit. A node that hears from nobody falls back to less than an equal part.

use std::collections::HashMap;
use std::time::Duration;

use super::members::NodeName;
use super::routes::{CustomerName, Quota};
use crate::core::time::Moment;

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(1500);
/// Silence of all other nodes after which a node takes itself for cut off.
const ALONE_AFTER: Duration = Duration::from_secs(3);
/// Smallest part of an equal share that a node keeps, so that a first call is served.
const LEAST_OF_EQUAL: f64 = 0.3;
/// Part of its former share that a node uses while it is cut off.
const ALONE_PART: f64 = 0.6;
/// Shortest and longest time after which a refused caller may come back.
const RETURN_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

/// An average of units a second that forgets with time.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    per_second: f64,
    at: Moment,
}

impl Average {
    fn decayed(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_second * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn add(&mut self, units: f64, now: Moment) {
        self.per_second = self.decayed(now) + units / DEMAND_WINDOW.as_secs_f64();
        self.at = now;
    }
}

#[derive(Debug, Default)]
struct CustomerState {
    demand: Average,
    level: f64,
    filled: Moment,
    quota: Option<Quota>,
    peers: HashMap<NodeName, f64>,
}

/// One node's part of every customer's limit.
#[derive(Debug, Default)]
pub struct QuotaShares {
    customers: HashMap<CustomerName, CustomerState>,
    heard: Option<Moment>,
}

/// Whether a call is within its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It is.
    Within,
    /// It is not; the caller may come back after this time.
    Over(Duration),
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
        let alone = self.is_alone(nodes, now);
        let state = self.customer(customer);
        state.demand.add(units, now);
        let share = state.share(nodes, alone, now);
        let rate = quota.per_second * share;
        state.refill(quota, share, now);
        if state.level > 0.0 {
            // A call may leave a debt: the limit is above any call, a node's part may be below.
            state.level -= units;
            return QuotaDecision::Within;
        }
        let wait = Duration::try_from_secs_f64((-state.level + units * 0.1) / rate.max(1e-9));
        let (least, most) = RETURN_BOUNDS;
        QuotaDecision::Over(wait.unwrap_or(most).clamp(least, most))
    }

    /// Returns units to a customer whose call was not run.
    pub fn give_back(&mut self, customer: &str, units: f64) {
        if let Some(state) = self.customers.get_mut(customer) {
            state.level += units;
        }
    }

    /// Takes what another node said of the units a second that customers ask of it.
    pub fn heard(&mut self, node: &str, demand: &[(CustomerName, f64)], now: Moment) {
        self.heard = Some(now);
        self.forget_node(node);
        for (customer, per_second) in demand {
            self.customer(customer)
                .peers
                .insert(node.into(), *per_second);
        }
    }

    /// Forgets a node that is gone.
    pub fn forget_node(&mut self, node: &str) {
        for state in self.customers.values_mut() {
            state.peers.remove(node);
        }
    }

    /// Returns the units a second that customers ask of this node.
    pub fn demand(&self, now: Moment) -> Vec<(CustomerName, f64)> {
        self.customers
            .iter()
            .map(|(customer, state)| (customer.clone(), state.demand.decayed(now)))
            .filter(|(_, per_second)| *per_second >= 1.0)
            .collect()
    }

    fn is_alone(&self, nodes: usize, now: Moment) -> bool {
        nodes > 1
            && self
                .heard
                .is_none_or(|heard| now.saturating_sub(heard) > ALONE_AFTER)
    }

    fn customer(&mut self, customer: &str) -> &mut CustomerState {
        if !self.customers.contains_key(customer) {
            self.customers
                .insert(customer.into(), CustomerState::default());
        }
        self.customers
            .get_mut(customer)
            .expect("the customer was just put in")
    }
}

impl CustomerState {
    /// Returns this node's part of the limit.
    fn share(&self, nodes: usize, alone: bool, now: Moment) -> f64 {
        let equal = 1.0 / nodes.max(1) as f64;
        let own = self.demand.decayed(now);
        let others: f64 = self.peers.values().sum();
        let part = if own + others > 0.0 {
            (own / (own + others)).max(equal * LEAST_OF_EQUAL)
        } else {
            equal
        };
        if alone {
            part.min(equal) * ALONE_PART
        } else {
            part
        }
    }

    fn refill(&mut self, quota: &Quota, share: f64, now: Moment) {
        let full = quota.burst * share;
        if self.quota.is_none() {
            self.level = full;
        }
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.level = (self.level + quota.per_second * share * elapsed).min(full);
        self.filled = now;
        self.quota = Some(*quota);
    }
}
