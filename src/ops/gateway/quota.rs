//! Charges calls against their customers' quotas, at the nodes that hold them.
//!
//! A node asks the holders of a customer one after the other, by datagrams, until one has charged the call. A holder
//! that does not answer in time is not asked for a while. An answer that comes later is ignored: its allowance is lost.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::Mutex;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::mesh_wire::DatagramWire;
use super::quota_wire::{ChargeReplyWire, ChargeWire, LendAckWire};
use super::state::GatewayState;
use crate::core::gateway::members::NodeName;
use crate::core::gateway::precedence::Priority;
use crate::core::gateway::quota::{
    Charge, ChargeId, NextRenewal, QuotaNode, Reply, Shortage, Work,
};
use crate::core::gateway::routes::{CustomerName, RouteTable};
use crate::core::gateway::usage::Incarnation;
use crate::core::time::Moment;

/// Time within which a holder answers; long enough for a VM that is short of CPU time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval between two attempts to charge a call while leases are expected.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, ChargeError>;

/// Why a call was not charged.
#[derive(Clone, Debug, PartialEq)]
pub enum ChargeError {
    /// All holders that answered refused it; the state of the one with the shortest delay.
    Over {
        /// The holder.
        holder: NodeName,
        /// State of its bucket.
        shortage: Shortage,
    },
    /// No holder answered, or nothing is lent to those that did.
    NoHolder {
        /// Number of nodes that were asked.
        asked: usize,
    },
}

/// Charge of a call, by which it can be refunded.
#[derive(Clone, Debug, PartialEq)]
pub struct Charged {
    id: ChargeId,
    units: f64,
    holder: NodeName,
    incarnation: Incarnation,
}

/// An answer of a holder and the process that sent it.
type Answer = (Reply, Incarnation);

/// Quotas of customers: this node's decisions, and its charges that are under way.
pub struct Quotas {
    incarnation: Incarnation,
    pub(super) node: Mutex<QuotaNode>,
    pending: Mutex<HashMap<ChargeId, oneshot::Sender<Answer>>>,
    /// Notified when leases are to be renewed at once.
    pub(super) renewal: Notify,
    /// Set once the socket for datagrams is bound.
    socket: OnceLock<Arc<UdpSocket>>,
}

/// Removes a charge from the pending ones when its call no longer waits for it.
struct Pending<'a> {
    quotas: &'a Quotas,
    id: ChargeId,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.quotas.pending.lock().remove(&self.id);
    }
}

impl Quotas {
    /// Creates the state of a process that has just started.
    pub fn new(own: NodeName, incarnation: Incarnation, started: Moment) -> Self {
        Self {
            incarnation,
            node: Mutex::new(QuotaNode::new(own, incarnation, started)),
            pending: Mutex::default(),
            renewal: Notify::new(),
            socket: OnceLock::new(),
        }
    }

    /// Sets the socket through which messages are sent.
    pub fn set_socket(&self, socket: &Arc<UdpSocket>) {
        if self.socket.set(Arc::clone(socket)).is_err() {
            tracing::warn!("the socket for quota messages is set already");
        }
    }

    /// Sets the quotas of a configuration.
    pub fn set_table(&self, table: &RouteTable) {
        let quotas = Arc::new(table.quotas());
        self.node.lock().set_quotas(quotas);
    }

    /// Records that the store lists an earlier process of this node.
    pub fn note_predecessor(&self) {
        self.node.lock().lender.note_predecessor();
    }

    fn expects_leases(&self, wait: Duration, now: Moment) -> bool {
        self.node.lock().lender.expects_leases(wait, now)
    }

    /// Returns the units that this node has admitted for each customer.
    pub fn totals(&self) -> Vec<(CustomerName, f64)> {
        self.node.lock().totals.totals()
    }

    /// Returns the units that this node, and the others that report for themselves, have admitted.
    pub fn node_totals(&self) -> Vec<(CustomerName, f64)> {
        self.node.lock().totals.node_totals()
    }

    /// Applies the totals that another node reports.
    pub fn apply_report(
        &self,
        node: &str,
        incarnation: Incarnation,
        totals: &[(CustomerName, f64)],
    ) {
        let mut own = self.node.lock();
        own.totals.apply_report(node, incarnation, totals);
    }

    /// Removes a node that is gone.
    pub fn forget(&self, node: &str) {
        self.node.lock().totals.forget(node);
    }

    /// Sends a datagram once the socket is bound.
    pub(super) fn send(&self, datagram: &DatagramWire, to: std::net::SocketAddr) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Err(e) = socket.try_send_to(&datagram.encode_to_vec(), to) {
            tracing::debug!(%to, error = %e, "failed to send a quota message");
        }
    }

    fn refund_locally(&self, charge: &Charge<'_>, incarnation: Incarnation, now: Moment) {
        self.node.lock().holder.refund(incarnation, charge, now);
    }
}

/// Charges a call at the first holder that grants it. Where there is none but leases are expected within the time
/// `lease_wait`, because this process has just started, waits for them.
///
/// # Errors
///
/// Fails if no holder grants the call until `deadline`; it has not been charged.
pub async fn charge(
    state: &GatewayState,
    customer: &str,
    units: f64,
    work: Work,
    priority: Priority,
    deadline: Instant,
    lease_wait: Duration,
) -> Result<Charged> {
    let wait_until = deadline.min(Instant::now() + lease_wait);
    loop {
        let charged = charge_at_holder(state, customer, units, work, priority, deadline).await;
        let left = wait_until.saturating_duration_since(Instant::now());
        let is_answered = !matches!(charged, Err(ChargeError::NoHolder { .. }));
        if is_answered || left.is_zero() || !state.quotas.expects_leases(left, state.now()) {
            return charged;
        }
        tokio::time::sleep(LEASE_POLL_INTERVAL.min(left)).await;
    }
}

/// Charges a call at the first holder that grants it.
async fn charge_at_holder(
    state: &GatewayState,
    customer: &str,
    units: f64,
    work: Work,
    mut priority: Priority,
    deadline: Instant,
) -> Result<Charged> {
    let quotas = &state.quotas;
    let order = quotas
        .node
        .lock()
        .ask_order(customer, rand::random::<u16>().into(), state.now());
    let mut best: Option<(NodeName, Shortage)> = None;
    let mut asked = 0;
    for holder in order {
        let charge = Charge {
            id: rand::random(),
            customer,
            units,
            work,
            priority,
        };
        asked += 1;
        match ask(state, &holder, &charge, deadline).await {
            Some((Reply::Granted, incarnation)) => {
                quotas.node.lock().totals.add(customer, units);
                return Ok(Charged {
                    id: charge.id,
                    units,
                    holder,
                    incarnation,
                });
            }
            Some((Reply::Refused(shortage), _)) => {
                // Only a holder that can grant the call earlier expects it back.
                priority.max_retry_after = priority.max_retry_after.min(shortage.retry_after);
                let is_better = best
                    .as_ref()
                    .is_none_or(|(_, known)| shortage.retry_after < known.retry_after);
                if is_better {
                    best = Some((holder, shortage));
                }
            }
            Some((Reply::NotHolder, _)) | None => {}
        }
    }
    Err(match best {
        Some((holder, shortage)) => ChargeError::Over { holder, shortage },
        None => ChargeError::NoHolder { asked },
    })
}

/// Refunds a call that was not run.
pub fn refund(state: &GatewayState, customer: &str, charged: &Charged) {
    let quotas = &state.quotas;
    quotas.node.lock().totals.add(customer, -charged.units);
    let charge = Charge {
        id: charged.id,
        customer,
        units: charged.units,
        work: Work::New,
        priority: Priority::default(),
    };
    if *charged.holder == *state.settings.name {
        quotas.refund_locally(&charge, charged.incarnation, state.now());
        return;
    }
    let Some(address) = address_of(state, &charged.holder) else {
        return;
    };
    let wire = ChargeWire {
        refunded_by: Some(charged.incarnation),
        ..ChargeWire::charge(&charge)
    };
    let datagram = DatagramWire {
        charge: Some(wire),
        ..DatagramWire::default()
    };
    quotas.send(&datagram, address);
}

/// Asks a holder to charge a call. Returns `None` if it does not answer in time.
async fn ask(
    state: &GatewayState,
    holder: &NodeName,
    charge: &Charge<'_>,
    deadline: Instant,
) -> Option<Answer> {
    let quotas = &state.quotas;
    if **holder == *state.settings.name {
        let reply = quotas.node.lock().charge(charge, state.now());
        count_answer(reply_name(reply));
        return Some((reply, quotas.incarnation));
    }
    let address = address_of(state, holder)?;
    let (tx, rx) = oneshot::channel();
    quotas.pending.lock().insert(charge.id, tx);
    let _pending = Pending {
        quotas,
        id: charge.id,
    };
    let datagram = DatagramWire {
        charge: Some(ChargeWire::charge(charge)),
        ..DatagramWire::default()
    };
    quotas.send(&datagram, address);
    let latest = Instant::now() + ANSWER_TIMEOUT;
    let answer = tokio::time::timeout_at(latest.min(deadline), rx).await;
    match answer {
        Ok(Ok(answer)) => {
            quotas.node.lock().silences.clear(holder);
            count_answer(reply_name(answer.0));
            Some(answer)
        }
        _ => {
            if latest <= deadline {
                quotas.node.lock().silences.record(holder, state.now());
                tracing::debug!(holder = &**holder, "a quota holder does not answer");
            }
            count_answer("none");
            None
        }
    }
}

fn reply_name(reply: Reply) -> &'static str {
    match reply {
        Reply::Granted => "granted",
        Reply::Refused(_) => "refused",
        Reply::NotHolder => "not_holder",
    }
}

fn count_answer(outcome: &'static str) {
    metrics::counter!("jayhall_gateway_quota_answers", "outcome" => outcome).increment(1);
}

fn address_of(state: &GatewayState, name: &str) -> Option<std::net::SocketAddr> {
    let members = state.members.lock();
    members.get(name).map(|member| member.peers)
}

/// Handles the quota messages of a datagram that came from the address `from`.
pub fn handle_datagram(
    state: &GatewayState,
    datagram: &mut DatagramWire,
    from: std::net::SocketAddr,
) {
    let now = state.now();
    let quotas = &state.quotas;
    if let Some(lend) = datagram.lend.take() {
        let ack = quotas.node.lock().apply_lend(&lend.into(), now);
        if let Some(ack) = ack {
            let datagram = DatagramWire {
                lend_ack: Some(LendAckWire::new(&state.settings.name, &ack)),
                ..DatagramWire::default()
            };
            quotas.send(&datagram, from);
        }
    }
    if let Some(wire) = &datagram.lend_ack
        && let Some(ack) = wire.ack()
    {
        let mut node = quotas.node.lock();
        if node.lender.apply_ack(&wire.holder, &ack, now) == NextRenewal::AtOnce {
            quotas.renewal.notify_one();
        }
    }
    if let Some(wire) = &datagram.charge {
        handle_charge(quotas, wire, from, now);
    }
    if let Some(wire) = &datagram.charge_reply {
        let waiting = quotas.pending.lock().remove(&wire.id);
        let is_late = waiting.is_none_or(|tx| tx.send((wire.reply(), wire.incarnation)).is_err());
        if is_late {
            count_answer("late");
        }
    }
}

fn handle_charge(quotas: &Quotas, wire: &ChargeWire, from: std::net::SocketAddr, now: Moment) {
    let charge = wire.to_charge();
    if let Some(incarnation) = wire.refunded_by {
        quotas.refund_locally(&charge, incarnation, now);
        return;
    }
    let reply = quotas.node.lock().charge(&charge, now);
    let datagram = DatagramWire {
        charge_reply: Some(ChargeReplyWire::new(wire.id, quotas.incarnation, reply)),
        ..DatagramWire::default()
    };
    quotas.send(&datagram, from);
}
