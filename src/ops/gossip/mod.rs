//! Runs the membership protocol of a node: connects the state machine to other nodes and to the
//! blackboard.
//!
//! One task owns the state machine and receives commands through a channel. The actions that the state
//! machine returns run in separate short tasks, each with a deadline, so that a slow peer delays no
//! other.

mod driver;
mod exchange;

use std::sync::Arc;

use jayhall_wire::{GossipReply, GossipRequest, ProbeReply, ProbeRequest};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

use crate::core::id::{Address, CustomerId};
use crate::core::membership::{
    BackendNotice, CustomerUse, DocumentRevision, DocumentRevisions, Event, HomeLoad, Member,
    MemberState, Message,
};
use crate::node::{Blackboard, Identity, WatchCell};
use crate::peers::{ConvertError, Pool};

/// Capacity of the command queue; exchanges from other nodes are refused while it is full.
const COMMAND_QUEUE_CAPACITY: usize = 1024;

/// Why an exchange that another node started was not answered.
#[derive(Debug, Error)]
pub enum GossipError {
    /// The message is malformed.
    #[error(transparent)]
    Convert(#[from] ConvertError),
    /// The command queue is full, or the node is shutting down.
    #[error("membership takes no messages now")]
    Busy,
}

/// Result type of this module.
pub type Result<T> = std::result::Result<T, GossipError>;

/// Source of the document revisions that gossip announces.
pub trait Documents: Send + Sync {
    /// Returns the revisions available on this node.
    fn revisions(&self) -> DocumentRevisions;

    /// Records that the node at `from` announced newer revisions. Must not block.
    fn record_announcement(&self, from: Address, newer: &[DocumentRevision]);
}

/// Implementation of [`Documents`] for nodes that distribute no documents.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoDocuments;

impl Documents for NoDocuments {
    fn revisions(&self) -> DocumentRevisions {
        DocumentRevisions::new()
    }

    fn record_announcement(&self, _: Address, _: &[DocumentRevision]) {}
}

/// Snapshot of the values reported by nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportsView {
    /// Loads of the homes in this node's region.
    pub loads: Vec<HomeLoad>,
    /// Usage of customers: one entry per node in this node's region, and one sum per region.
    pub uses: Vec<CustomerUse>,
    /// Notices of back ends in this node's region that are leaving.
    pub notices: Vec<BackendNotice>,
}

/// Dependencies and settings of [`Gossip`].
pub struct GossipSetup {
    /// Blackboard to which the member view is published.
    pub blackboard: Arc<Blackboard>,
    /// Connection pool for gossip.
    pub pool: Arc<Pool>,
    /// Initial addresses for discovery of other nodes.
    pub seeds: Vec<Address>,
    /// Source of the announced document revisions.
    pub documents: Arc<dyn Documents>,
    /// Seed of the state machine's random number generator.
    pub rng_seed: u64,
}

/// Command for the driver task.
#[derive(Debug)]
enum Command {
    Event(Event),
    HandleGossip(Message, oneshot::Sender<Message>),
    CheckDocuments,
}

/// Handle to a running membership task. Clones share the task, which ends with the last of them.
#[derive(Clone, Debug)]
pub struct Gossip {
    tx: mpsc::Sender<Command>,
    node: Box<str>,
    pool: Arc<Pool>,
    reports: Arc<WatchCell<ReportsView>>,
}

impl Gossip {
    /// Starts the membership task on the current runtime, which should be the control runtime.
    pub fn spawn(setup: GossipSetup) -> Self {
        let (tx, rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let reports = Arc::new(WatchCell::new(ReportsView::default()));
        let handle = Self {
            node: setup.blackboard.identity.node.clone(),
            pool: Arc::clone(&setup.pool),
            reports: Arc::clone(&reports),
            tx,
        };
        let driver = driver::Driver::new(setup, reports, handle.tx.downgrade());
        tokio::spawn(driver.run(rx));
        handle
    }

    /// Handles a gossip exchange started by another node.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed, the command queue is full or the node is shutting down.
    pub async fn handle_gossip(&self, req: GossipRequest) -> Result<GossipReply> {
        let message = Message::try_from(req)?;
        let (tx, rx) = oneshot::channel();
        self.tx
            .try_send(Command::HandleGossip(message, tx))
            .map_err(|_| GossipError::Busy)?;
        let reply = rx.await.map_err(|_| GossipError::Busy)?;
        Ok(reply.into())
    }

    /// Answers a probe. For an indirect probe, probes the target node first.
    pub async fn handle_probe(&self, req: ProbeRequest) -> ProbeReply {
        let target_answered = match req.target_address.parse() {
            Ok(address) => exchange::probe(&self.pool, &self.node, &req.target, address).await,
            Err(_) => false,
        };
        ProbeReply {
            node: self.node.to_string(),
            target_answered,
        }
    }

    /// Announces that this node is leaving.
    pub async fn leave(&self) {
        self.send(Event::Leave).await;
    }

    /// Replaces the addresses for discovery of other nodes.
    pub async fn set_seeds(&self, seeds: Vec<Address>) {
        self.send(Event::Seeds(seeds)).await;
    }

    /// Reports the load of this node's queue for a model; the state machine fills in node and sequence.
    /// Reports are sent at a bounded rate, and only the latest value is sent.
    pub async fn report_load(&self, load: HomeLoad) {
        self.send(Event::LoadReported(load)).await;
    }

    /// Reports a customer's usage on this node since the node started. Sent at a bounded rate, like
    /// loads.
    pub async fn report_use(&self, customer: CustomerId, tokens: u64, in_flight: u32) {
        let used = CustomerUse {
            customer,
            tokens,
            in_flight,
            ..CustomerUse::default()
        };
        self.send(Event::UseReported(used)).await;
    }

    /// Announces in the region that a back end is leaving. Unlike loads, notices are not rate-limited.
    pub async fn report_notice(&self, notice: BackendNotice) {
        self.send(Event::NoticeReported(notice)).await;
    }

    /// Announces a changed document revision without waiting for the next tick.
    pub async fn documents_changed(&self) {
        // Sending fails only after the task has ended, when nothing is left to announce.
        let _ = self.tx.send(Command::CheckDocuments).await;
    }

    /// Returns the values reported by all nodes, including this one.
    pub fn reports(&self) -> Arc<ReportsView> {
        self.reports.read()
    }

    /// Returns a receiver that is notified of changes to the reported values.
    pub fn watch_reports(&self) -> watch::Receiver<Arc<ReportsView>> {
        self.reports.watch()
    }

    async fn send(&self, event: Event) {
        // Sending fails only after the task has ended.
        let _ = self.tx.send(Command::Event(event)).await;
    }
}

/// Returns the initial member record of this node.
fn initial_member(identity: &Identity) -> Member {
    Member {
        node: identity.node.clone(),
        vm: identity.vm.clone(),
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        peer_address: identity.peer_address,
        caller_address: identity.caller_address,
        operator_address: identity.operator_address,
        state: MemberState::Alive,
        incarnation: 1,
    }
}
