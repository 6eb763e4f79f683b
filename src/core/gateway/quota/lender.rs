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

/// Parts of the limits that are lent to one holder.
type Parts = Vec<(CustomerName, f64)>;
/// Lend messages and their receivers.
pub(super) type Lends = Vec<(NodeName, Lend)>;

/// Lease of half of this node's part in a customer's limit.
#[derive(Clone, Debug)]
struct Lent {
    holder: NodeName,
    /// Process of the holder.
    incarnation: Incarnation,
    /// When the holder has stopped to count it, whichever messages it receives.
    until: Moment,
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
    lent: HashMap<CustomerName, [Option<Lent>; HOLDERS]>,
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

    /// Applies the acknowledgement of a message to a holder.
    pub fn apply_ack(&mut self, holder: &str, ack: &LendAck, now: Moment) {
        let Some(peer) = self.peers.get_mut(holder) else {
            return;
        };
        if ack.lender_incarnation == self.incarnation && peer.apply_ack(ack, now) {
            self.start.note_ack(holder, ack.age);
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
        let mut wanted: SmallVec<[&NodeName; HOLDERS]> = pools.own_holders(customer).collect();
        if let [only] = wanted[..] {
            wanted.push(only);
        }
        if !self.lent.contains_key(customer) {
            self.lent.insert(customer.clone(), Default::default());
        }
        let slots = self
            .lent
            .get_mut(customer)
            .expect("the customer was inserted above");
        let fraction = 1.0 / (HOLDERS * self.counts.largest()) as f64;
        let mut is_kept = [false; HOLDERS];
        for (slot, is_kept) in slots.iter().zip(&mut is_kept) {
            let holder = slot.as_ref().map(|lent| &lent.holder);
            if let Some(at) = wanted.iter().position(|name| Some(*name) == holder) {
                wanted.remove(at);
                *is_kept = true;
            }
        }
        for (slot, is_kept) in slots.iter_mut().zip(is_kept) {
            let is_running = slot.as_ref().is_some_and(|lent| {
                let holder = self.peers.get(&lent.holder);
                lent.until > now
                    && !holder.is_some_and(|peer| peer.has_repaid(lent.incarnation, now))
            });
            let holder = match (&*slot, is_kept) {
                (Some(lent), true) => lent.holder.clone(),
                (Some(_), false) if is_running => continue,
                _ => match wanted.pop() {
                    Some(name) => name.clone(),
                    None => continue,
                },
            };
            let Some(peer) = self.peers.get_mut(&holder) else {
                // The first message asks for a stamp.
                continue;
            };
            let Some(echo) = peer.echo.filter(|_| peer.can_renew(now)) else {
                continue;
            };
            let lent = Lent {
                holder: holder.clone(),
                incarnation: echo.stamp.incarnation,
                until: echo.received_at + LEASE,
            };
            let is_same = slot
                .as_ref()
                .is_some_and(|known| is_kept && known.incarnation == lent.incarnation);
            if is_running && !is_same {
                continue;
            }
            if !is_same {
                peer.is_urgent = true;
                tracing::debug!(customer = &**customer, holder = &*holder, "allowance lent");
            }
            *slot = Some(lent);
            add_part(parts.entry(holder).or_default(), customer, fraction);
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
            let is_first = phase == Phase::Starting && !self.start.is_cleared(name);
            let interval = match is_first {
                true => Some(FIRST_MESSAGE_INTERVAL),
                false => message_interval(peer, is_chosen, now),
            };
            let Some(interval) = interval else {
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
                // Without parts, the message only asks for a stamp, and leases of an earlier process go on.
                echo: peer.echo.map(|e| e.stamp).filter(|_| !parts.is_empty()),
                parts,
            };
            lends.push((name.clone(), lend));
        }
        lends
    }
}

/// Returns the interval between two messages to a holder, or `None` if it needs none.
fn message_interval(peer: &Peer, is_chosen: bool, now: Moment) -> Option<Duration> {
    match (is_chosen, peer.is_unresponsive(now)) {
        (true, _) => Some(RENEWAL_INTERVAL),
        (false, true) => Some(PROBE_INTERVAL),
        (false, false) => None,
    }
}

fn is_any_lent(slots: &[Option<Lent>; HOLDERS], now: Moment) -> bool {
    slots.iter().flatten().any(|lent| lent.until > now)
}

/// Adds a fraction of a customer's limit, which comes after the other halves of the same customer.
fn add_part(parts: &mut Parts, customer: &CustomerName, fraction: f64) {
    match parts.last_mut() {
        Some((name, sum)) if name == customer => *sum += fraction,
        _ => parts.push((customer.clone(), fraction)),
    }
}
