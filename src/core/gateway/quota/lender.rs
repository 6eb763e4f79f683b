//! What a node lends of its part in the limits, and to which holders.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use super::choice::{HOLDERS, Pools};
use super::node_count::NodeCount;
use super::peer::{Echo, Peer};
use super::start::{Phase, Start};
use super::{LEASE, Lend, LendAck, Stamp};
use crate::core::gateway::members::NodeName;
use crate::core::gateway::routes::{CustomerName, Quota};
use crate::core::gateway::usage::Incarnation;
use crate::core::time::Moment;

/// Interval between two messages to a holder.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two messages to a node that is not chosen because it does not acknowledge.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two messages to a node that has not acknowledged the first one of this process.
const FIRST_MESSAGE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two messages by which a part is withdrawn.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a part stays at a holder before it moves to another one, unless its lease ends.
const MIN_TENURE: Duration = LEASE;
/// Age of the process to which a part moves before its lease has ended.
const MIN_TARGET_AGE: Duration = Duration::from_secs(4);

/// Parts of the limits that are lent to one holder.
type Parts = Vec<(CustomerName, f64)>;
/// Leases of the two halves of a part.
type Slots = [Option<Lent>; HOLDERS];
/// Lend messages and their receivers.
pub(super) type Lends = Vec<(NodeName, Lend)>;

/// Lease of half of this node's part in a customer's limit.
#[derive(Clone, Debug)]
struct Lent {
    holder: NodeName,
    /// Process of the holder.
    incarnation: Incarnation,
    /// When it was first lent to this process.
    since: Moment,
    /// When the holder has stopped to count it, whichever messages it receives.
    until: Moment,
    /// Number of the first message that withdraws it.
    withdrawn_from: Option<u64>,
}

/// Next step for half of this node's part in a customer's limit.
enum Step {
    /// It is lent to this holder, or its lease there is renewed.
    Lend(NodeName),
    /// Its holder is asked to stop counting it, so that it can move.
    Withdraw,
    /// Nothing, until its lease ends or a message arrives.
    Wait,
}

/// When leases are next to be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRenewal {
    /// At once: a part can move, or begin to be lent.
    AtOnce,
    /// At the end of the interval.
    Usual,
}

/// What a node lends of its part in the limits.
#[derive(Debug)]
pub struct Lender {
    own: NodeName,
    incarnation: Incarnation,
    start: Start,
    last_number: u64,
    counts: NodeCount,
    peers: HashMap<NodeName, Peer>,
    lent: HashMap<CustomerName, Slots>,
}

impl Lender {
    /// Creates the state of a process that has just started. It lends nothing until the leases of an earlier process
    /// must have ended.
    pub fn new(own: NodeName, incarnation: Incarnation, started: Moment) -> Self {
        Self {
            own,
            incarnation,
            start: Start::new(started),
            last_number: 0,
            counts: NodeCount::default(),
            peers: HashMap::new(),
            lent: HashMap::new(),
        }
    }

    /// Records the number of nodes that are known.
    pub fn note_node_count(&mut self, count: usize, now: Moment) {
        self.counts.record(count, now);
    }

    /// Removes the state of nodes for which `is_known` is false.
    pub fn retain_peers(&mut self, is_known: impl Fn(&str) -> bool) {
        self.peers.retain(|name, _| is_known(name));
    }

    /// Returns whether a node has not acknowledged messages for so long that it is not chosen as a holder.
    pub fn is_unresponsive(&self, name: &str, now: Moment) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.is_unresponsive(now))
    }

    /// Returns the holders to which this node's part in a customer's limit is lent.
    pub fn current_holders(&self, customer: &str, now: Moment) -> impl Iterator<Item = &NodeName> {
        let slots = self.lent.get(customer).into_iter().flatten().flatten();
        slots
            .filter(move |lent| lent.until > now)
            .map(|lent| &lent.holder)
    }

    /// Renews the leases of this node's part in each limit, moves those that have ended to the holders that are chosen
    /// now, and returns the messages that are due.
    pub fn renew(
        &mut self,
        pools: &Pools,
        quotas: &HashMap<CustomerName, Quota>,
        now: Moment,
    ) -> Lends {
        let own_stamp = Stamp {
            incarnation: self.incarnation,
            at: now,
        };
        for peer in self.peers.values_mut() {
            peer.note_overdue(now);
        }
        let own = self.peers.entry(self.own.clone()).or_default();
        own.echo = Some(Echo {
            stamp: own_stamp,
            received_at: now,
            age: self.start.age(now),
        });
        self.lent
            .retain(|name, slots| quotas.contains_key(name) || is_any_lent(slots, now));
        let phase = self.start.advance(pools.neighbours(), now);
        let mut parts: BTreeMap<NodeName, Parts> = BTreeMap::new();
        if phase == Phase::Lending {
            for customer in quotas.keys() {
                self.lend_part(customer, pools, now, &mut parts);
            }
        }
        self.add_peers(pools, phase);
        self.messages(pools, phase, parts, now)
    }

    /// Records that the store lists an earlier process of this node.
    pub fn note_predecessor(&mut self) {
        self.start.note_predecessor();
    }

    /// Returns whether nodes that have started together with this one are expected to lend within the time `wait`.
    pub fn expects_leases(&self, wait: Duration, now: Moment) -> bool {
        self.start.expects_leases(wait, now)
    }

    /// Returns whether messages are due before the usual interval has passed.
    pub fn is_urgent(&self, now: Moment) -> bool {
        self.start.phase(now) == Phase::Starting || self.peers.values().any(|peer| peer.is_urgent)
    }

    /// Applies the acknowledgement of a message to a holder. Returns when leases are next to be renewed.
    pub fn apply_ack(&mut self, holder: &str, ack: &LendAck, now: Moment) -> NextRenewal {
        let Some(peer) = self.peers.get_mut(holder) else {
            return NextRenewal::Usual;
        };
        if ack.lender_incarnation != self.incarnation || !peer.apply_ack(ack, now) {
            return NextRenewal::Usual;
        }
        self.start.note_ack(holder, ack.age);
        match peer.is_urgent && self.start.phase(now) == Phase::Lending {
            true => NextRenewal::AtOnce,
            false => NextRenewal::Usual,
        }
    }

    /// Lends this node's part in the limit of a customer, as two halves.
    fn lend_part(
        &mut self,
        customer: &CustomerName,
        pools: &Pools,
        now: Moment,
        parts: &mut BTreeMap<NodeName, Parts>,
    ) {
        let mut slots = self.lent.remove(customer).unwrap_or_default();
        let fraction = 1.0 / (HOLDERS * self.counts.largest()) as f64;
        let targets = targets(&slots, pools, customer);
        for (slot, target) in slots.iter_mut().zip(targets) {
            match self.next_step(slot.as_ref(), target.as_ref(), now) {
                Step::Lend(holder) => {
                    *slot = self.lease(slot.take(), &holder, now);
                    if slot.as_ref().is_some_and(|lent| lent.since == now) {
                        tracing::debug!(
                            customer = &**customer,
                            holder = &*holder,
                            "allowance lent"
                        );
                    }
                    add_part(parts.entry(holder).or_default(), customer, fraction);
                }
                Step::Withdraw => self.withdraw(slot),
                Step::Wait => {}
            }
        }
        self.lent.insert(customer.clone(), slots);
    }

    /// Decides what to do with a half whose lease is `lent`, and which is to be lent to `target`.
    fn next_step(&self, lent: Option<&Lent>, target: Option<&NodeName>, now: Moment) -> Step {
        let Some(lent) = lent.filter(|lent| self.is_held(lent, now)) else {
            let target = target.filter(|name| self.can_lend_to(name, now));
            return target.map_or(Step::Wait, |name| Step::Lend(name.clone()));
        };
        let is_withdrawn = lent.withdrawn_from.is_some();
        match target {
            Some(name) if *name == lent.holder => self.renewal(lent, now),
            _ if is_withdrawn => Step::Wait,
            Some(name) if self.may_move(lent, name, now) => Step::Withdraw,
            _ => self.renewal(lent, now),
        }
    }

    fn renewal(&self, lent: &Lent, now: Moment) -> Step {
        let is_same_process = |peer: &Peer| peer.is_process(lent.incarnation);
        let is_possible = self.peers.get(&lent.holder).is_some_and(is_same_process)
            && self.can_lend_to(&lent.holder, now);
        match is_possible {
            true => Step::Lend(lent.holder.clone()),
            false => Step::Wait,
        }
    }

    /// Returns whether a holder has sent a stamp that a lease can begin with.
    fn can_lend_to(&self, holder: &str, now: Moment) -> bool {
        self.peers
            .get(holder)
            .is_some_and(|peer| peer.can_renew(now))
    }

    /// Returns whether the holder of a lease may still count it.
    fn is_held(&self, lent: &Lent, now: Moment) -> bool {
        let has_stopped = |peer: &Peer| {
            let withdrawn = lent.withdrawn_from;
            peer.has_repaid(lent.incarnation, now)
                || withdrawn.is_some_and(|first| peer.has_acknowledged(first, lent.incarnation))
        };
        lent.until > now && !self.peers.get(&lent.holder).is_some_and(has_stopped)
    }

    /// Returns whether a lease may move to `target` before it ends. A bucket that loses its part may be overdrawn, and
    /// one of a process that has just started begins with some allowance, so neither may happen often.
    fn may_move(&self, lent: &Lent, target: &str, now: Moment) -> bool {
        let is_old = |peer: &Peer| peer.is_older_than(MIN_TARGET_AGE, now);
        now.saturating_sub(lent.since) >= MIN_TENURE
            && self.can_lend_to(target, now)
            && self.peers.get(target).is_some_and(is_old)
    }

    /// Returns the lease that replaces `before` and echoes the newest stamp of the holder.
    fn lease(&mut self, before: Option<Lent>, holder: &NodeName, now: Moment) -> Option<Lent> {
        let peer = self.peers.get_mut(holder)?;
        let echo = peer.echo?;
        let incarnation = echo.stamp.incarnation;
        let is_same = |lent: &Lent| lent.holder == *holder && lent.incarnation == incarnation;
        let since = before.filter(is_same).map(|lent| lent.since);
        peer.is_urgent |= since.is_none();
        Some(Lent {
            holder: holder.clone(),
            incarnation,
            since: since.unwrap_or(now),
            until: echo.received_at + LEASE,
            withdrawn_from: None,
        })
    }

    /// Asks the holder of a lease to stop counting it.
    fn withdraw(&mut self, slot: &mut Option<Lent>) {
        let Some(lent) = slot else { return };
        // All messages to the holder from the next one on lack the part.
        let first = self.last_number + 1;
        lent.withdrawn_from = Some(first);
        if let Some(peer) = self.peers.get_mut(&lent.holder) {
            peer.withdraw(first, lent.until);
        }
    }

    /// Adds the nodes to which messages are sent.
    fn add_peers(&mut self, pools: &Pools, phase: Phase) {
        let neighbours = match phase {
            Phase::Starting => pools.neighbours(),
            Phase::Lending => &[],
        };
        for name in pools.own_pool().iter().chain(neighbours) {
            if !self.peers.contains_key(name) {
                self.peers.insert(name.clone(), Peer::default());
            }
        }
    }

    /// Returns the messages that are due: those with parts, and those that ask holders for a stamp.
    fn messages(
        &mut self,
        pools: &Pools,
        phase: Phase,
        mut parts: BTreeMap<NodeName, Parts>,
        now: Moment,
    ) -> Lends {
        let mut lends = Lends::new();
        for (name, peer) in &mut self.peers {
            let parts = parts.remove(name).unwrap_or_default();
            let is_chosen = !parts.is_empty() || pools.own_pool().contains(name);
            let has_echo = !parts.is_empty() || peer.is_withdrawing(now);
            let is_first = phase == Phase::Starting && !self.start.is_cleared(name);
            let Some(interval) = message_interval(peer, is_first, is_chosen, now) else {
                peer.is_urgent = false;
                continue;
            };
            let is_own = *name == self.own;
            if !is_own && !peer.is_urgent && !peer.is_due(interval, now) {
                continue;
            }
            self.last_number += 1;
            peer.note_sent(self.last_number, now);
            if is_own {
                peer.note_applied(self.last_number);
            }
            let lend = Lend {
                lender: self.own.clone(),
                incarnation: self.incarnation,
                number: self.last_number,
                // Without an echo, the message only asks for a stamp, and leases of an earlier process go on.
                echo: peer.echo.map(|e| e.stamp).filter(|_| has_echo),
                parts,
            };
            lends.push((name.clone(), lend));
        }
        lends
    }
}

/// Returns the interval between two messages to a holder, or `None` if it needs none.
fn message_interval(peer: &Peer, is_first: bool, is_chosen: bool, now: Moment) -> Option<Duration> {
    match (is_chosen, peer.is_unresponsive(now)) {
        _ if is_first => Some(FIRST_MESSAGE_INTERVAL),
        _ if peer.is_withdrawing(now) => Some(WITHDRAWAL_INTERVAL),
        (true, _) => Some(RENEWAL_INTERVAL),
        (false, true) => Some(PROBE_INTERVAL),
        (false, false) => None,
    }
}

/// Returns for each half of a part the holder to which it is to be lent. A half stays where it is as long as its holder
/// is one of those chosen.
fn targets(slots: &Slots, pools: &Pools, customer: &str) -> [Option<NodeName>; HOLDERS] {
    let mut wanted: SmallVec<[&NodeName; HOLDERS]> = pools.own_holders(customer).collect();
    if let [only] = wanted[..] {
        wanted.push(only);
    }
    let mut targets = [const { None }; HOLDERS];
    for (slot, target) in slots.iter().zip(&mut targets) {
        let holder = slot.as_ref().map(|lent| &lent.holder);
        if let Some(at) = wanted.iter().position(|name| Some(*name) == holder) {
            *target = Some(wanted.remove(at).clone());
        }
    }
    for target in targets.iter_mut().filter(|target| target.is_none()) {
        *target = wanted.pop().cloned();
    }
    targets
}

fn is_any_lent(slots: &Slots, now: Moment) -> bool {
    slots.iter().flatten().any(|lent| lent.until > now)
}

/// Adds a fraction of a customer's limit, which comes after the other halves of the same customer.
fn add_part(parts: &mut Parts, customer: &CustomerName, fraction: f64) {
    match parts.last_mut() {
        Some((name, sum)) if name == customer => *sum += fraction,
        _ => parts.push((customer.clone(), fraction)),
    }
}
