//! Limits of customers over all nodes, without a call for each request.
//!
//! Every node tells the others how much each customer asks of it. A node lets through the part of the
//! customer's rate that corresponds to its part of what is asked, so that the parts add up to the
//! limit. What others told is some hundred milliseconds old; a node compares it with its own demand of
//! that age, so that demand which rises everywhere at once does not look like a part of this node's only.
//! A node that hears from nobody falls back to less than an equal part.

use std::collections::{HashMap, VecDeque};
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

/// The other nodes, as one node sees them.
#[derive(Clone, Copy, Debug)]
struct Company {
    nodes: usize,
    unheard: usize,
    is_alone: bool,
    /// Age of the oldest of their messages.
    lag: Duration,
}

/// Time between two samples of the own demand.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Samples that are kept: as far back as what others told may be.
const MAX_SAMPLES: usize = 30;

/// The own demand of the last seconds.
#[derive(Debug, Default)]
struct Samples(VecDeque<(Moment, f64)>);

impl Samples {
    fn add(&mut self, demand: f64, now: Moment) {
        let last = self.0.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now.saturating_sub(at) >= SAMPLE_INTERVAL) {
            self.0.push_back((now, demand));
            if self.0.len() > MAX_SAMPLES {
                self.0.pop_front();
            }
        }
    }

    /// Returns the demand as it was at a moment.
    fn at(&self, moment: Moment) -> f64 {
        let earlier = self.0.iter().rev().find(|(at, _)| *at <= moment);
        earlier.map_or(0.0, |(at, demand)| {
            let age = moment.saturating_sub(*at).as_secs_f64();
            demand * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
        })
    }
}

#[derive(Debug, Default)]
struct CustomerState {
    demand: Average,
    samples: Samples,
    level: f64,
    filled: Moment,
    quota: Option<Quota>,
    peers: HashMap<NodeName, f64>,
}

/// One node's part of every customer's limit.
#[derive(Debug, Default)]
pub struct QuotaShares {
    customers: HashMap<CustomerName, CustomerState>,
    heard: HashMap<NodeName, Moment>,
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
        let company = Company {
            nodes,
            unheard: nodes.saturating_sub(1 + self.heard.len()),
            is_alone: self.is_alone(nodes, now),
            lag: self.lag(now),
        };
        let state = self.customer(customer);
        let before = state.demand.decayed(now);
        state.samples.add(before, now);
        state.demand.add(units, now);
        let share = state.share(company, now);
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
        self.forget_node(node);
        self.heard.insert(node.into(), now);
        for (customer, per_second) in demand {
            self.customer(customer)
                .peers
                .insert(node.into(), *per_second);
        }
    }

    /// Forgets a node that is gone.
    pub fn forget_node(&mut self, node: &str) {
        self.heard.remove(node);
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
            && !self
                .heard
                .values()
                .any(|heard| now.saturating_sub(*heard) <= ALONE_AFTER)
    }

    /// Returns the age of the oldest message of a node that is still heard of.
    fn lag(&self, now: Moment) -> Duration {
        let ages = self.heard.values().map(|heard| now.saturating_sub(*heard));
        ages.filter(|age| *age <= ALONE_AFTER)
            .max()
            .unwrap_or_default()
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
    fn share(&self, company: Company, now: Moment) -> f64 {
        let equal = 1.0 / company.nodes.max(1) as f64;
        let own = self.samples.at(now.saturating_sub(company.lag));
        // A node that was not heard of yet is taken to be asked as much as this one.
        let others = self.peers.values().sum::<f64>() + own * company.unheard as f64;
        let part = if own + others > 0.0 {
            (own / (own + others)).max(equal * LEAST_OF_EQUAL)
        } else {
            equal
        };
        if company.is_alone {
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
