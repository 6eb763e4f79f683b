//! Units that nodes have admitted for customers, which they report to each other.
//!
//! Builds without leases derive their decisions from these totals, and serve beside newer ones while nodes are
//! replaced.

use std::collections::HashMap;

use crate::core::gateway::members::NodeName;
use crate::core::gateway::routes::CustomerName;
use crate::core::gateway::usage::Incarnation;

/// Units admitted for one customer.
#[derive(Debug, Default)]
struct CustomerTotals {
    own: f64,
    others: HashMap<NodeName, f64>,
    /// Totals of nodes that were removed and may come back.
    departed: HashMap<NodeName, f64>,
    /// Sum of the totals of ended processes.
    ended: f64,
}

/// Units that this node and others have admitted for each customer since their processes started.
#[derive(Debug, Default)]
pub struct Totals {
    customers: HashMap<CustomerName, CustomerTotals>,
    incarnations: HashMap<NodeName, Incarnation>,
}

impl Totals {
    /// Adds the units of a call that this node has admitted; negative ones if it was not run.
    pub fn add(&mut self, customer: &str, units: f64) {
        self.customer(customer).own += units;
    }

    /// Applies a report of another node: the units that it has admitted for each customer since its process
    /// `incarnation` started.
    pub fn apply_report(
        &mut self,
        node: &str,
        incarnation: Incarnation,
        totals: &[(CustomerName, f64)],
    ) {
        let before = self.incarnations.insert(node.into(), incarnation);
        if before.is_some_and(|before| before != incarnation) {
            for customer in self.customers.values_mut() {
                customer.end_process(node);
            }
        }
        for (name, total) in totals {
            let customer = self.customer(name);
            customer.departed.remove(node);
            customer.others.insert(node.into(), *total);
        }
    }

    /// Removes a node that is gone. Its totals are kept, as its units were admitted.
    pub fn forget(&mut self, node: &str) {
        for customer in self.customers.values_mut() {
            if let Some(total) = customer.others.remove(node) {
                customer.departed.insert(node.into(), total);
            }
        }
    }

    /// Returns the units admitted for each customer by this node and by the nodes that report for
    /// themselves. They never shrink, but for calls that were not run.
    pub fn node_totals(&self) -> Vec<(CustomerName, f64)> {
        let sums = self.customers.iter();
        sums.map(|(name, customer)| (name.clone(), customer.sum()))
            .filter(|(_, total)| *total > 0.0)
            .collect()
    }

    /// Returns the units that this node has admitted for each customer.
    pub fn totals(&self) -> Vec<(CustomerName, f64)> {
        let admitted = self.customers.iter();
        admitted
            .filter(|(_, customer)| customer.own > 0.0)
            .map(|(name, customer)| (name.clone(), customer.own))
            .collect()
    }

    fn customer(&mut self, name: &str) -> &mut CustomerTotals {
        if !self.customers.contains_key(name) {
            self.customers
                .insert(name.into(), CustomerTotals::default());
        }
        self.customers
            .get_mut(name)
            .expect("the customer was inserted above")
    }
}

impl CustomerTotals {
    fn end_process(&mut self, node: &str) {
        let total = self.others.remove(node).or(self.departed.remove(node));
        self.ended += total.unwrap_or(0.0);
    }

    fn sum(&self) -> f64 {
        let others: f64 = self.others.values().sum();
        self.own + others + self.departed.values().sum::<f64>() + self.ended
    }
}
