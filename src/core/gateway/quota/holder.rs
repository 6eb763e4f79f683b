//! What is lent to a node, and the calls that it charges against it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::bucket::{Bucket, Shortage};
use super::{Charge, ChargeId, LEASE, Lend, LendAck, Stamp};
use crate::core::gateway::members::NodeName;
use crate::core::gateway::routes::{CustomerName, Quota};
use crate::core::gateway::usage::Incarnation;
use crate::core::time::Moment;

/// Time after which the state of a lender that no longer lends is removed.
const LENDER_TTL: Duration = Duration::from_secs(60);
/// Time after the start of a process in which the leases that begin count as unused before: the process that held them
/// has ended, or their lenders have just started.
const START_CREDIT_PERIOD: Duration = Duration::from_secs(3);
/// Number of refunds that are remembered, so that a duplicate of one is ignored.
const MAX_REFUNDS: usize = 512;

/// Answer of a holder to a node with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// The call is within the limit and has been charged.
    Granted,
    /// The call exceeds what is lent to the holder.
    Refused(Shortage),
    /// Nothing is lent to the node.
    NotHolder,
}

/// Newest message of a lender.
#[derive(Debug)]
struct NewestLend {
    incarnation: Incarnation,
    number: u64,
    received_at: Moment,
    customers: Vec<CustomerName>,
    /// Earlier processes of the lender, whose messages may still arrive.
    ended: SmallVec<[Incarnation; 2]>,
}

/// What is lent to a node.
#[derive(Debug)]
pub struct Holder {
    incarnation: Incarnation,
    started: Moment,
    buckets: HashMap<CustomerName, Bucket>,
    lenders: HashMap<NodeName, NewestLend>,
    refunds: VecDeque<ChargeId>,
}

impl Holder {
    /// Creates the state of a process that has just started.
    pub fn new(incarnation: Incarnation, started: Moment) -> Self {
        Self {
            incarnation,
            started,
            buckets: HashMap::new(),
            lenders: HashMap::new(),
            refunds: VecDeque::new(),
        }
    }

    /// Applies a message of a lender. Its leases end [`LEASE`] after the stamp that it echoes, so that a message that
    /// is late, or was meant for another process of this node, lends nothing. The first message of a process ends the
    /// leases of the lender's earlier process. Returns `None` if a later process of the lender has sent a message.
    pub fn apply_lend(
        &mut self,
        lend: &Lend,
        quotas: &HashMap<CustomerName, Quota>,
        now: Moment,
    ) -> Option<LendAck> {
        if !self.accept_process(lend, now) {
            return None;
        }
        let echo = lend
            .echo
            .filter(|echo| echo.incarnation == self.incarnation);
        let until = echo.map(|echo| echo.at.min(now) + LEASE);
        let known = self.lenders.get(&lend.lender);
        let is_newer = known.is_none_or(|known| known.number < lend.number);
        if let Some(until) = until.filter(|until| *until > now && is_newer) {
            self.replace_leases(lend, quotas, until, now);
        }
        Some(LendAck {
            lender_incarnation: lend.incarnation,
            number: lend.number,
            stamp: Stamp {
                incarnation: self.incarnation,
                at: now,
            },
            age: now.saturating_sub(self.started),
        })
    }

    /// Returns whether a message is from the newest process of its lender. If that process is new, the leases of the
    /// one before end.
    fn accept_process(&mut self, lend: &Lend, now: Moment) -> bool {
        let mut ended = SmallVec::new();
        if let Some(known) = self.lenders.get_mut(&lend.lender) {
            if known.incarnation == lend.incarnation {
                return true;
            }
            if known.ended.contains(&lend.incarnation) {
                return false;
            }
            ended = std::mem::take(&mut known.ended);
            ended.push(known.incarnation);
            let customers = std::mem::take(&mut known.customers);
            self.withdraw(&lend.lender, &customers, now);
        }
        let newest = NewestLend {
            incarnation: lend.incarnation,
            number: 0,
            received_at: now,
            customers: Vec::new(),
            ended,
        };
        self.lenders.insert(lend.lender.clone(), newest);
        true
    }

    fn withdraw(&mut self, lender: &NodeName, customers: &[CustomerName], now: Moment) {
        for customer in customers {
            if let Some(bucket) = self.buckets.get_mut(customer) {
                bucket.withdraw(lender, now);
            }
        }
    }

    fn replace_leases(
        &mut self,
        lend: &Lend,
        quotas: &HashMap<CustomerName, Quota>,
        until: Moment,
        now: Moment,
    ) {
        let lent: Vec<CustomerName> = lend.parts.iter().map(|(name, _)| name.clone()).collect();
        if let Some(newest) = self.lenders.get_mut(&lend.lender) {
            newest.number = lend.number;
            newest.received_at = now;
            let mut before = std::mem::replace(&mut newest.customers, lent.clone());
            before.retain(|customer| !lent.contains(customer));
            self.withdraw(&lend.lender, &before, now);
        }
        for (customer, fraction) in &lend.parts {
            let Some(quota) = quotas.get(customer) else {
                continue;
            };
            let bucket = match self.buckets.get_mut(customer) {
                Some(bucket) => bucket,
                None => {
                    tracing::debug!(customer = &**customer, "quota holder of a customer");
                    let bucket = Bucket::new(*quota, now);
                    self.buckets.entry(customer.clone()).or_insert(bucket)
                }
            };
            let is_new = bucket.lend(&lend.lender, *fraction, until, now);
            if is_new && now.saturating_sub(self.started) <= START_CREDIT_PERIOD {
                bucket.credit_start(*fraction);
            }
        }
    }

    /// Charges a call against what is lent to this node.
    pub fn charge(&mut self, charge: &Charge<'_>, quota: &Quota, now: Moment) -> Reply {
        let Some(bucket) = self.buckets.get_mut(charge.customer) else {
            return Reply::NotHolder;
        };
        if bucket.fraction(now) <= 0.0 {
            return Reply::NotHolder;
        }
        match bucket.charge(charge, quota, now) {
            Ok(()) => Reply::Granted,
            Err(shortage) => Reply::Refused(shortage),
        }
    }

    /// Refunds the units of a call that this process has charged and that was not run. Each charge is refunded once.
    pub fn refund(&mut self, incarnation: Incarnation, charge: &Charge<'_>, now: Moment) {
        if incarnation != self.incarnation || self.refunds.contains(&charge.id) {
            return;
        }
        self.refunds.push_back(charge.id);
        if self.refunds.len() > MAX_REFUNDS {
            self.refunds.pop_front();
        }
        if let Some(bucket) = self.buckets.get_mut(charge.customer) {
            bucket.refund(charge.units, now);
        }
    }

    /// Removes the state of lenders that have stopped, and empty buckets.
    pub fn forget_unused(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.saturating_sub(at) <= LENDER_TTL;
        let before = self.lenders.len();
        self.lenders
            .retain(|_, newest| is_recent(newest.received_at));
        if self.lenders.len() < before {
            self.buckets.retain(|_, bucket| bucket.is_used(now));
        }
    }
}
