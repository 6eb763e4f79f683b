//! Rate limits of customers over all nodes, by leases of allowance.
//!
//! Each of the N nodes owns the fraction 1/N of every customer's limit and lends it, for a short lease, to two quota
//! holders of its own region. Only holders admit calls: each has a token bucket for a customer whose rate and size are
//! the customer's, times the sum of the fractions that are lent to it at the moment. A node with a call asks the
//! holders of the customer.
//!
//! The fractions that are lent add up to at most 1 at any moment, whichever messages are lost or late: a lender lends
//! a part again only after its previous lease must have ended, and a process that starts lends nothing until the
//! leases of its predecessor must have ended, or all nodes of its region have acknowledged that they have. Messages
//! move allowance and never create it, and the choice of holders
//! needs no agreement: nodes that don't hear each other lend to different holders.
//!
//! Messages a second, for C customers with a limit and R nodes in a region: a node sends a lend message to each of
//! the R/14 holders of its region and receives as many acknowledgements; a holder receives R and sends R. A lend
//! message has about 60 bytes and 10 for each of its share of the 2 x C names. For 100 customers and two regions, that
//! is 11 messages and 3 KB a second sent by each of 295 nodes, and 40 messages and 5 KB by each of 1,100; a holder
//! receives 147 messages and 40 KB, or 550 messages and 60 KB. A call costs two messages of about 50 bytes for each
//! holder that is asked.

mod bucket;
mod choice;
mod holder;
mod lender;
mod node_count;
mod peer;
mod silences;
mod start;
mod totals;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

pub use self::bucket::{Bucket, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Shortage};
pub use self::choice::{FleetNode, HOLDERS, Pools};
pub use self::holder::{Holder, Reply};
pub use self::lender::{Lender, NextRenewal};
pub use self::node_count::NodeCount;
pub use self::silences::Silences;
pub use self::totals::Totals;

use super::members::NodeName;
use super::precedence::Priority;
use super::routes::{CustomerName, Quota};
use super::usage::Incarnation;
use crate::core::time::Moment;

/// Time for which allowance is lent.
pub const LEASE: Duration = Duration::from_secs(4);

/// Quotas of all customers that have one.
pub type Quotas = Arc<HashMap<CustomerName, Quota>>;
/// Names of holders, in the order in which they are asked.
pub type AskOrder = SmallVec<[NodeName; 6]>;
/// Number that identifies a charge at its holder, so that it is refunded once.
pub type ChargeId = u64;

/// Whether the work of a call was charged before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// It is new, as far as is known.
    New,
    /// It goes on with a stream that a node has recorded.
    Continued,
}

/// A call to be charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge<'a> {
    /// Identifies the charge.
    pub id: ChargeId,
    /// Customer of the call.
    pub customer: &'a str,
    /// Units of the call.
    pub units: f64,
    /// Whether its work was charged before.
    pub work: Work,
    /// Its priority among the customer's calls.
    pub priority: Priority,
}

/// Reading of a holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Process of the holder.
    pub incarnation: Incarnation,
    /// Its monotonic time.
    pub at: Moment,
}

/// Message by which a node lends parts of its allowance to a holder. It replaces the earlier ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Lend {
    /// Node that lends.
    pub lender: NodeName,
    /// Process of the lender.
    pub incarnation: Incarnation,
    /// Number that grows with each message of the process.
    pub number: u64,
    /// Newest stamp of the holder that the lender has received. Without one, nothing is lent.
    pub echo: Option<Stamp>,
    /// Customers, and the fraction of each one's limit.
    pub parts: Vec<(CustomerName, f64)>,
}

/// Acknowledgement of a [`Lend`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LendAck {
    /// Process of the lender.
    pub lender_incarnation: Incarnation,
    /// Number of the message.
    pub number: u64,
    /// The holder's clock.
    pub stamp: Stamp,
    /// Time since the holder's process started.
    pub age: Duration,
}

/// A node's part in the rate limits of all customers: as lender, as holder, and as node with calls.
#[derive(Debug)]
pub struct QuotaNode {
    own: NodeName,
    /// What the node lends.
    pub lender: Lender,
    /// What is lent to the node.
    pub holder: Holder,
    /// Units that nodes have admitted.
    pub totals: Totals,
    /// Holders that don't answer.
    pub silences: Silences,
    pools: Pools,
    quotas: Quotas,
    /// Number of nodes at the last renewal.
    fleet_size: usize,
}

impl QuotaNode {
    /// Creates the state of a process that has just started.
    pub fn new(own: NodeName, incarnation: Incarnation, started: Moment) -> Self {
        Self {
            lender: Lender::new(own.clone(), incarnation, started),
            holder: Holder::new(incarnation, started),
            own,
            totals: Totals::default(),
            silences: Silences::default(),
            pools: Pools::default(),
            quotas: Quotas::default(),
            fleet_size: 0,
        }
    }

    /// Sets the quotas that are in force.
    pub fn set_quotas(&mut self, quotas: Quotas) {
        self.quotas = quotas;
    }

    /// Renews the leases of this node's parts, and returns the messages to be sent to other holders. `fleet` has the
    /// nodes that are known, and `count` is their number.
    pub fn renew(
        &mut self,
        fleet: &[FleetNode<'_>],
        count: usize,
        own_region: &str,
        now: Moment,
    ) -> Vec<(NodeName, Lend)> {
        self.lender.note_node_count(count, now);
        if self.fleet_size != fleet.len() {
            self.fleet_size = fleet.len();
            let is_known = |name: &str| fleet.iter().any(|node| node.name == name);
            self.lender.retain_peers(is_known);
            self.silences.retain(is_known);
        }
        let (lender, silences) = (&self.lender, &self.silences);
        let is_skipped = |node: &FleetNode<'_>| match node.region == own_region {
            true => lender.is_unresponsive(node.name, now),
            false => silences.is_silent(node.name, now),
        };
        self.pools = Pools::choose(fleet, &self.own, own_region, is_skipped);
        let mut lends = self.lender.renew(&self.pools, &self.quotas, now);
        if let Some(at) = lends.iter().position(|(holder, _)| *holder == self.own) {
            let (_, lend) = lends.swap_remove(at);
            self.holder.apply_lend(&lend, &self.quotas, now);
        }
        self.holder.forget_unused(now);
        lends
    }

    /// Applies what another node lends to this one. Returns `None` for a message of an earlier process of that node.
    pub fn apply_lend(&mut self, lend: &Lend, now: Moment) -> Option<LendAck> {
        self.holder.apply_lend(lend, &self.quotas, now)
    }

    /// Charges a call against what is lent to this node.
    pub fn charge(&mut self, charge: &Charge<'_>, now: Moment) -> Reply {
        match self.quotas.get(charge.customer) {
            Some(quota) => self.holder.charge(charge, quota, now),
            None => Reply::NotHolder,
        }
    }

    /// Returns the holders to ask about a customer's call: those of the own region first, beginning with one that
    /// `draw` decides.
    pub fn ask_order(&self, customer: &str, draw: usize, now: Moment) -> AskOrder {
        let mut order = AskOrder::new();
        let current = self.lender.current_holders(customer, now);
        let in_region = current.chain(self.pools.own_holders(customer));
        add_rotated(&mut order, in_region, draw);
        for region in self.pools.other_holders(customer) {
            add_rotated(&mut order, region, draw);
        }
        let is_silent = |name: &NodeName| self.silences.is_silent(name, now);
        match order.iter().all(is_silent) {
            true => order.truncate(HOLDERS),
            false => order.retain(|name| !is_silent(name)),
        }
        order
    }
}

/// Appends the names that an order does not have yet, beginning with one that `draw` decides.
fn add_rotated<'a>(order: &mut AskOrder, names: impl Iterator<Item = &'a NodeName>, draw: usize) {
    let begin = order.len();
    for name in names {
        if !order.contains(name) {
            order.push(name.clone());
        }
    }
    let added = order.len() - begin;
    if added > 1 {
        order[begin..].rotate_left(draw % added);
    }
}
