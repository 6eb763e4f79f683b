//! The task that owns the membership state machine.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use metrics::{counter, gauge};
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};
use tracing::{info, warn};

use super::exchange::{self, Outcome};
use super::{Command, Documents, GossipSetup, ReportsView, initial_member};
use crate::core::id::{Address, NodeId};
use crate::core::membership::{
    Action, DocumentRevisions, Event, Member, MemberState, MemberView, Membership, Message,
};
use crate::core::time::Moment;
use crate::node::{Blackboard, WatchCell};
use crate::peers::Pool;

/// Interval between ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The task that owns the membership state machine.
pub(super) struct Driver {
    machine: Membership,
    started_at: Instant,
    blackboard: Arc<Blackboard>,
    pool: Arc<Pool>,
    documents: Arc<dyn Documents>,
    known_documents: DocumentRevisions,
    reports: Arc<WatchCell<ReportsView>>,
    published_reports: u64,
    are_members_changed: bool,
    tx: mpsc::WeakSender<Command>,
}

impl Driver {
    pub(super) fn new(
        setup: GossipSetup,
        reports: Arc<WatchCell<ReportsView>>,
        tx: mpsc::WeakSender<Command>,
    ) -> Self {
        let own_member = initial_member(&setup.blackboard.identity);
        let mut machine = Membership::new(own_member, setup.rng_seed, Moment::ZERO);
        machine.handle(Moment::ZERO, Event::Seeds(setup.seeds));
        setup.blackboard.members.write(machine.view());
        Self {
            machine,
            started_at: Instant::now(),
            blackboard: setup.blackboard,
            pool: setup.pool,
            documents: setup.documents,
            known_documents: DocumentRevisions::new(),
            reports,
            published_reports: 0,
            are_members_changed: false,
            tx,
        }
    }

    /// Runs until all handles are dropped.
    pub(super) async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = rx.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle(event, None),
            Command::HandleGossip(message, reply) => {
                counter!("jayhall_gossip_received_total").increment(1);
                self.handle(Event::Received(message), Some(reply));
            }
            Command::CheckDocuments => self.check_documents(),
        }
    }

    fn tick(&mut self) {
        self.check_documents();
        self.handle(Event::Tick, None);
        if std::mem::take(&mut self.are_members_changed) {
            self.publish_members();
        }
        if self.machine.reports().version() != self.published_reports {
            self.publish_reports();
        }
    }

    fn check_documents(&mut self) {
        let revisions = self.documents.revisions();
        if revisions != self.known_documents {
            self.known_documents.clone_from(&revisions);
            self.handle(Event::DocumentsChanged(revisions), None);
        }
    }

    fn handle(&mut self, event: Event, mut reply: Option<oneshot::Sender<Message>>) {
        let now = self.started_at.elapsed();
        for action in self.machine.handle(now, event) {
            match action {
                Action::Reply(message) => {
                    if let Some(reply) = reply.take() {
                        // The requester may have cancelled the call.
                        let _ = reply.send(message);
                    }
                }
                Action::Exchange {
                    node,
                    address,
                    message,
                } => self.exchange(node, address, message),
                Action::ProbeIndirectly { node, address, via } => {
                    self.probe_through(node, address, via);
                }
                Action::MembersChanged => self.are_members_changed = true,
                Action::NewerDocuments { address, documents } => {
                    self.documents.record_announcement(address, &documents);
                }
                Action::NoticeReceived(_) => self.publish_reports(),
            }
        }
    }

    fn exchange(&self, node: Option<NodeId>, address: Address, message: Message) {
        let (pool, tx) = (Arc::clone(&self.pool), self.tx.clone());
        counter!("jayhall_gossip_exchanges_total").increment(1);
        tokio::spawn(async move {
            let outcome = exchange::gossip(&pool, address, message.into()).await;
            let event = outcome_event(node, outcome);
            if let (Some(event), Some(tx)) = (event, tx.upgrade()) {
                // Sending fails only after the driver task has ended.
                let _ = tx.send(Command::Event(event)).await;
            }
        });
    }

    fn probe_through(&self, node: NodeId, address: Address, via: SmallVec<[Address; 3]>) {
        let (pool, tx) = (Arc::clone(&self.pool), self.tx.clone());
        let own_node = self.blackboard.identity.node.clone();
        counter!("jayhall_gossip_indirect_probes_total").increment(1);
        tokio::spawn(async move {
            let mut probes: FuturesUnordered<_> = via
                .iter()
                .map(|helper| exchange::probe_through(&pool, *helper, &own_node, &node, address))
                .collect();
            let mut is_answered = false;
            while let (false, Some(answered)) = (is_answered, probes.next().await) {
                is_answered = answered;
            }
            drop(probes);
            if let Some(tx) = tx.upgrade() {
                let event = Event::IndirectProbeEnded { node, is_answered };
                // Sending fails only after the driver task has ended.
                let _ = tx.send(Command::Event(event)).await;
            }
        });
    }

    fn publish_members(&mut self) {
        let view = self.machine.view();
        let before = self.blackboard.members.read();
        log_changes(&before, &view);
        gauge!("jayhall_members").set(view.members.len() as f64);
        let addresses: BTreeSet<_> = view.members.iter().map(|m| m.peer_address).collect();
        self.pool.retain(|address| addresses.contains(&address));
        self.blackboard.members.write(view);
    }

    fn publish_reports(&mut self) {
        let reports = self.machine.reports();
        self.published_reports = reports.version();
        self.reports.write(ReportsView {
            loads: reports.loads().cloned().collect(),
            uses: reports.uses().cloned().collect(),
            notices: reports.notices().cloned().collect(),
        });
    }
}

/// Converts the outcome of an exchange to an event for the state machine.
fn outcome_event(node: Option<NodeId>, outcome: Outcome) -> Option<Event> {
    match outcome {
        Outcome::Answered(reply) => match Message::try_from(reply) {
            Ok(message) => Some(Event::Answered { node, message }),
            Err(e) => {
                counter!("jayhall_gossip_bad_messages_total").increment(1);
                warn!(error = %e, "malformed gossip reply from a node");
                None
            }
        },
        Outcome::Refused => {
            counter!("jayhall_gossip_refused_total").increment(1);
            None
        }
        Outcome::Silent => {
            counter!("jayhall_gossip_unanswered_total").increment(1);
            Some(Event::Unanswered { node })
        }
    }
}

fn log_changes(before: &MemberView, after: &MemberView) {
    for member in &after.members {
        let (node, zone) = (&*member.node, &*member.zone);
        match (find_member(before, node).map(|m| m.state), member.state) {
            (None, _) => info!(node, zone, "node joined"),
            (Some(MemberState::Alive), MemberState::Suspect) => {
                counter!("jayhall_members_suspected_total").increment(1);
                info!(node, zone, "node does not answer");
            }
            (Some(MemberState::Suspect), MemberState::Alive) => {
                info!(node, zone, "node answers again");
            }
            (Some(state), MemberState::Leaving) if state != MemberState::Leaving => {
                info!(node, zone, "node is leaving");
            }
            _ => {}
        }
    }
    for member in &before.members {
        if find_member(after, &member.node).is_none() {
            counter!("jayhall_members_lost_total").increment(1);
            info!(node = &*member.node, zone = &*member.zone, "node is gone");
        }
    }
}

/// Finds a member by name. Relies on the state machine sorting the members of a view by node name.
fn find_member<'a>(view: &'a MemberView, node: &str) -> Option<&'a Member> {
    let found = view.members.binary_search_by(|m| (*m.node).cmp(node));
    found.ok().and_then(|at| view.members.get(at))
}
