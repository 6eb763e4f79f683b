//! Keeps a node's membership: connects the state machine to other nodes and to the blackboard.
//!
//! One task owns the state machine. What others ask comes through a channel, what the machine wants
//! done runs in short tasks with deadlines of their own, so that no peer can hold up another.

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

/// Commands that wait for the task; more than these are refused.
const QUEUE_LEN: usize = 1024;

/// Why an exchange that another node started was not answered.
#[derive(Debug, Error)]
pub enum GossipError {
    /// The message makes no sense.
    #[error(transparent)]
    Convert(#[from] ConvertError),
    /// The node stops or is overrun.
    #[error("membership takes no messages now")]
    Busy,
}

/// The module's result.
pub type Result<T> = std::result::Result<T, GossipError>;

/// The documents that a node has, for those who spread them.
pub trait Documents: Send + Sync {
    /// Returns the revisions that the node has.
    fn revisions(&self) -> DocumentRevisions;

    /// Notes that the node at an address has newer revisions. Must not wait.
    fn heard(&self, from: Address, newer: &[DocumentRevision]);
}

/// For nodes that spread no documents.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoDocuments;

impl Documents for NoDocuments {
    fn revisions(&self) -> DocumentRevisions {
        DocumentRevisions::new()
    }

    fn heard(&self, _: Address, _: &[DocumentRevision]) {}
}

/// Values that nodes have reported, as last published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportsView {
    /// Loads of homes in the node's region.
    pub loads: Vec<HomeLoad>,
    /// Use by customers: by node in the node's region, as sums for the regions.
    pub uses: Vec<CustomerUse>,
    /// Leaving back ends in the node's region.
    pub notices: Vec<BackendNotice>,
}

/// What a node needs to keep its membership.
pub struct GossipSetup {
    /// Where the members are published.
    pub blackboard: Arc<Blackboard>,
    /// Connections for gossip.
    pub pool: Arc<Pool>,
    /// Addresses at which other nodes may be found.
    pub seeds: Vec<Address>,
    /// The documents that are spread.
    pub documents: Arc<dyn Documents>,
    /// Seed of all random choices.
    pub rng_seed: u64,
}

/// Something for the task to do.
#[derive(Debug)]
enum Command {
    Event(Event),
    Answer(Message, oneshot::Sender<Message>),
    CheckDocuments,
}

/// A running membership. Clones refer to the same one; it ends with the last of them.
#[derive(Clone, Debug)]
pub struct Gossip {
    tx: mpsc::Sender<Command>,
    node: Box<str>,
    pool: Arc<Pool>,
    reports: Arc<WatchCell<ReportsView>>,
}

impl Gossip {
    /// Starts to keep the membership on the current runtime, which should be that of control.
    pub fn spawn(setup: GossipSetup) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
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

    /// Answers an exchange that another node started.
    ///
    /// # Errors
    ///
    /// Fails for a message that makes no sense, and while the node is overrun or stops.
    pub async fn handle_gossip(&self, req: GossipRequest) -> Result<GossipReply> {
        let message = Message::try_from(req)?;
        let (tx, rx) = oneshot::channel();
        self.tx
            .try_send(Command::Answer(message, tx))
            .map_err(|_| GossipError::Busy)?;
        let reply = rx.await.map_err(|_| GossipError::Busy)?;
        Ok(reply.into())
    }

    /// Answers a probe. Probes the third node first where one is named.
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

    /// Announces that this node leaves.
    pub async fn leave(&self) {
        self.send(Event::Leave).await;
    }

    /// Replaces the addresses at which other nodes may be found.
    pub async fn set_seeds(&self, seeds: Vec<Address>) {
        self.send(Event::Seeds(seeds)).await;
    }

    /// Reports the load of this node's queue for a model; node and sequence are filled in. The value
    /// is told at a bounded rate, the last one of several.
    pub async fn report_load(&self, load: HomeLoad) {
        self.send(Event::LoadReported(load)).await;
    }

    /// Reports a customer's use on this node since it started, like a load.
    pub async fn report_use(&self, customer: CustomerId, tokens: u64, in_flight: u32) {
        let used = CustomerUse {
            customer,
            tokens,
            in_flight,
            ..CustomerUse::default()
        };
        self.send(Event::UseReported(used)).await;
    }

    /// Tells the region at once that a back end is leaving.
    pub async fn report_notice(&self, notice: BackendNotice) {
        self.send(Event::NoticeReported(notice)).await;
    }

    /// Tells others at once that this node has another revision of a document.
    pub async fn documents_changed(&self) {
        // An ended task needs no news.
        let _ = self.tx.send(Command::CheckDocuments).await;
    }

    /// Returns the values that nodes have reported, this node among them.
    pub fn reports(&self) -> Arc<ReportsView> {
        self.reports.read()
    }

    /// Returns a receiver that can wait for changes of the reported values.
    pub fn watch_reports(&self) -> watch::Receiver<Arc<ReportsView>> {
        self.reports.watch()
    }

    async fn send(&self, event: Event) {
        // An ended task needs no news.
        let _ = self.tx.send(Command::Event(event)).await;
    }
}

/// Returns the record of a node that has just started.
fn own_member(identity: &Identity) -> Member {
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
