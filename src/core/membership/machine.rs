//! The membership state machine of one node: events in, actions out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use super::budget::ByteBudget;
use super::message::{DocumentRevisions, MemberRecord, Message, StateChange};
use super::outbox::Outbox;
use super::reports::{BackendNotice, CustomerUse, HomeLoad, Reports};
use super::table::{DeadMember, Table};
use super::targets::Targets;
use super::updates::{Priority, UpdateKey, UpdateQueue};
use super::{Member, MemberState, MemberView, tuning};
use crate::core::id::{Address, NodeId};
use crate::core::time::Moment;

/// Incarnation of a leaving member that has never refuted a suspicion.
const LEAVING_INCARNATION: u64 = 2;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Another node started an exchange; causes an [`Action::Reply`].
    Received(Message),
    /// The reply to an exchange arrived.
    Answered {
        /// The member contacted; `None` where only its address was known.
        node: Option<NodeId>,
        /// The reply.
        message: Message,
    },
    /// An exchange got no reply, neither on the pooled connection nor on a new one.
    Unanswered {
        /// The member contacted; `None` where only its address was known.
        node: Option<NodeId>,
    },
    /// An indirect probe of a member has ended.
    IndirectProbeEnded {
        /// The member.
        node: NodeId,
        /// Whether the member answered any of the nodes that probed it.
        is_answered: bool,
    },
    /// Addresses at which nodes may be found.
    Seeds(Vec<Address>),
    /// This node is leaving.
    Leave,
    /// A home's queue has changed. The state machine sets the sequence number.
    LoadReported(HomeLoad),
    /// This node's count of a customer's use has changed. The state machine sets the node and the
    /// sequence number.
    UseReported(CustomerUse),
    /// A back end is leaving.
    NoticeReported(BackendNotice),
    /// The revisions of this node's documents have changed.
    DocumentsChanged(DocumentRevisions),
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reply to the received exchange.
    Reply(Message),
    /// Start an exchange.
    Exchange {
        /// The member to contact; `None` where only its address is known.
        node: Option<NodeId>,
        /// Address of the member.
        address: Address,
        /// The request.
        message: Message,
    },
    /// Ask other members to probe a member that did not answer.
    ProbeIndirectly {
        /// The member to probe.
        node: NodeId,
        /// Address of the member to probe.
        address: Address,
        /// Addresses of the members that are asked.
        via: SmallVec<[Address; 3]>,
    },
    /// Publish the changed member view.
    MembersChanged,
    /// A node has newer documents.
    NewerDocuments {
        /// Address of the node.
        address: Address,
        /// Revisions of the node's documents that are newer than this node's.
        documents: DocumentRevisions,
    },
    /// A new reclaim notice for a back end was received.
    NoticeReceived(BackendNotice),
}

/// Actions in the order of execution.
pub type Actions = Vec<Action>;

/// The membership state of one node.
#[derive(Debug)]
pub struct Membership {
    pub(super) this_node: Member,
    pub(super) table: Table,
    pub(super) targets: Targets,
    pub(super) updates: UpdateQueue,
    pub(super) reports: Reports,
    pub(super) outbox: Outbox,
    pub(super) budget: ByteBudget,
    pub(super) documents: DocumentRevisions,
    pub(super) seeds: Vec<Address>,
    pub(super) rng: ChaCha8Rng,
    /// When each suspect member is declared dead.
    pub(super) suspicions: BTreeMap<NodeId, Moment>,
    /// Suspects and members that others report dead; probed before all other targets.
    pub(super) priority_probes: VecDeque<NodeId>,
    /// Incarnations of live members that others report dead, until the members refute it.
    pub(super) reported_deaths: BTreeMap<NodeId, u64>,
    /// Members with an indirect probe in progress.
    pub(super) pending_indirect_probes: BTreeSet<NodeId>,
    pub(super) next_probe: Moment,
    pub(super) next_push: Moment,
    pub(super) next_sync: Moment,
    pub(super) next_sum: Moment,
    pub(super) next_reconnect: Moment,
    pub(super) is_push_due: bool,
    pub(super) is_joined: bool,
    pub(super) is_complete: bool,
    pub(super) digest_mismatches: u32,
    pub(super) published_version: u64,
    pub(super) changed_at: Moment,
    pub(super) join_sync_interval: Duration,
    pub(super) sum_rounds: u32,
}

impl Membership {
    /// Creates the membership of a node that knows only itself. The actions are a deterministic
    /// function of the seed and the events.
    pub fn new(this_node: Member, seed: u64, now: Moment) -> Self {
        let mut table = Table::default();
        table.set(this_node.clone());
        Self {
            this_node,
            table,
            targets: Targets::default(),
            updates: UpdateQueue::default(),
            reports: Reports::default(),
            outbox: Outbox::default(),
            budget: ByteBudget::new(now),
            documents: DocumentRevisions::new(),
            seeds: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            suspicions: BTreeMap::new(),
            priority_probes: VecDeque::new(),
            reported_deaths: BTreeMap::new(),
            pending_indirect_probes: BTreeSet::new(),
            next_probe: now,
            next_push: now,
            next_sync: now,
            next_sum: now,
            next_reconnect: now,
            is_push_due: false,
            is_joined: false,
            is_complete: false,
            digest_mismatches: 0,
            published_version: 0,
            changed_at: now,
            join_sync_interval: tuning::JOIN_SYNC_INTERVAL,
            sum_rounds: 0,
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Moment, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received(message) => self.receive(now, message, &mut actions),
            Event::Answered { node, message } => self.on_reply(now, node, message, &mut actions),
            Event::Unanswered { node } => self.on_failure(now, node, &mut actions),
            Event::IndirectProbeEnded { node, is_answered } => {
                self.on_indirect_probe_result(now, &node, is_answered);
            }
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Leave => self.leave(),
            Event::LoadReported(load) => self.outbox.put_load(load),
            Event::UseReported(usage) => self.outbox.put_use(usage),
            Event::NoticeReported(notice) => self.merge_notice(now, notice, &mut actions),
            Event::DocumentsChanged(documents) => self.set_documents(documents),
        }
        self.publish(now, &mut actions);
        actions
    }

    /// Returns the members that are not dead, including this node.
    pub fn view(&self) -> MemberView {
        MemberView {
            members: self.table.members().cloned().collect(),
        }
    }

    /// Returns this node's own record.
    pub fn this_node(&self) -> &Member {
        &self.this_node
    }

    /// Returns the table of members.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the values that nodes have reported.
    pub fn reports(&self) -> &Reports {
        &self.reports
    }

    /// Returns the revisions of this node's documents.
    pub fn documents(&self) -> &DocumentRevisions {
        &self.documents
    }

    /// Returns the number of changes that are still to be sent.
    pub fn pending_updates(&self) -> usize {
        self.updates.len()
    }

    /// Returns whether this node's view has once equalled that of another node, or its initial requests
    /// for members have ended. Never becomes false again.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    fn receive(&mut self, now: Moment, message: Message, actions: &mut Actions) {
        let sender = message.from.clone();
        let sender_digests = message.buckets.clone();
        let received_keys = update_keys(&message);
        let digest = message.members_digest;
        let corrections = self.merge(now, message, actions);
        self.compare_digests(now, &sender, digest, actions);
        let reply = if sender_digests.is_empty() {
            self.compose(now, Some(&sender), &received_keys, &corrections)
        } else {
            self.compose_page(now, &sender, &sender_digests, &corrections)
        };
        actions.push(Action::Reply(reply));
    }

    fn on_reply(
        &mut self,
        now: Moment,
        node: Option<NodeId>,
        message: Message,
        actions: &mut Actions,
    ) {
        self.is_joined = true;
        let sender = message.from.clone();
        if let Some(node) = node.filter(|node| *node != sender) {
            // The process has restarted; the address now belongs to its new node name.
            self.on_indirect_probe_result(now, &node, false);
        }
        let digest = message.members_digest;
        let corrections = self.merge(now, message, actions);
        for node in corrections {
            self.queue_member_update(&node, Priority::Member);
        }
        self.compare_digests(now, &sender, digest, actions);
    }

    /// Requests missing members when digests differ: at once if this node's view has been stable for
    /// a while, and after several unequal digests in a row while changes are still spreading.
    fn compare_digests(
        &mut self,
        now: Moment,
        sender: &NodeId,
        digest: u64,
        actions: &mut Actions,
    ) {
        if digest == self.table.digest() {
            self.digest_mismatches = 0;
            self.is_complete = true;
            return;
        }
        self.digest_mismatches += 1;
        let is_stable = now >= self.changed_at + tuning::STABLE_VIEW_TIME;
        let is_due = is_stable || self.digest_mismatches >= tuning::MISMATCHES_BEFORE_SYNC;
        if self.is_complete && is_due && now >= self.next_sync {
            self.next_sync = now + tuning::MIN_SYNC_INTERVAL;
            self.request_members(now, sender, actions);
        }
    }

    /// Requests the members that this node lacks from a member.
    pub(super) fn request_members(&mut self, now: Moment, node: &NodeId, actions: &mut Actions) {
        let Some(address) = self.table.get(node).map(|m| m.peer_address) else {
            return;
        };
        let message = self.compose_sync(now, Some(node));
        actions.push(Action::Exchange {
            node: Some(node.clone()),
            address,
            message,
        });
    }

    fn on_failure(&mut self, now: Moment, node: Option<NodeId>, actions: &mut Actions) {
        let Some(node) = node else { return };
        let Some(member) = self.table.get(&node) else {
            return;
        };
        if member.state == MemberState::Suspect || self.pending_indirect_probes.contains(&node) {
            return;
        }
        let address = member.peer_address;
        let via = self.indirect_probe_addresses(&node);
        if via.is_empty() {
            self.on_indirect_probe_result(now, &node, false);
            return;
        }
        self.pending_indirect_probes.insert(node.clone());
        actions.push(Action::ProbeIndirectly { node, address, via });
    }

    fn indirect_probe_addresses(&mut self, node: &NodeId) -> SmallVec<[Address; 3]> {
        let random_targets =
            self.targets
                .random_targets(tuning::INDIRECT_PROBES, Some(node), &mut self.rng);
        random_targets
            .iter()
            .filter_map(|node| self.table.get(node))
            .map(|member| member.peer_address)
            .take(tuning::INDIRECT_PROBES)
            .collect()
    }

    fn on_indirect_probe_result(&mut self, now: Moment, node: &NodeId, is_answered: bool) {
        self.pending_indirect_probes.remove(node);
        if is_answered {
            return;
        }
        match self.table.get(node).map(|member| member.state) {
            Some(MemberState::Alive) => self.suspect(now, node),
            Some(MemberState::Leaving) => self.declare_dead(now, node),
            _ => {}
        }
    }

    /// Marks a member as suspect and starts the timeout within which it can refute the suspicion.
    pub(super) fn suspect(&mut self, now: Moment, node: &NodeId) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        if member.state != MemberState::Alive || *node == self.this_node.node {
            return;
        }
        let mut member = member.clone();
        member.state = MemberState::Suspect;
        self.table.set(member);
        let timeout = tuning::suspicion_timeout(self.table.len());
        self.suspicions.insert(node.clone(), now + timeout);
        self.queue_member_update(node, Priority::Urgent);
        self.schedule_suspect_probe(node);
    }

    /// Schedules an early probe of a suspect on a random few of the nodes that learn of the suspicion,
    /// so that the suspect is informed early enough to refute it.
    fn schedule_suspect_probe(&mut self, node: &NodeId) {
        let share = tuning::MEAN_EARLY_SUSPECT_PROBES / self.table.len() as f64;
        if self.rng.random_bool(share.min(1.0)) {
            self.priority_probes.push_back(node.clone());
        }
    }

    /// Marks a member as dead and removes its reported values.
    pub(super) fn declare_dead(&mut self, now: Moment, node: &NodeId) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        let dead = DeadMember {
            incarnation: member.incarnation,
            died_at: now,
            retry_address: (member.state != MemberState::Leaving).then_some(member.peer_address),
        };
        self.table.mark_dead(node, dead);
        self.suspicions.remove(node);
        self.reported_deaths.remove(node);
        self.reports.remove_node(node);
        self.queue_member_update(node, Priority::Member);
    }

    /// Queues the state of a member for sending to other nodes.
    pub(super) fn queue_member_update(&mut self, node: &NodeId, priority: Priority) {
        let pushed = match priority {
            Priority::Urgent => tuning::PUSH_FANOUT as u32,
            _ => 0,
        };
        let transmissions = pushed + tuning::transmissions(self.table.len());
        let key = UpdateKey::Member(node.clone());
        self.updates.push(key, priority, transmissions);
        self.is_push_due |= priority == Priority::Urgent;
    }

    /// Changes the member record of this node.
    pub(super) fn set_this_node(
        &mut self,
        state: MemberState,
        incarnation: u64,
        priority: Priority,
    ) {
        self.this_node.state = state;
        self.this_node.incarnation = incarnation;
        self.table.set(self.this_node.clone());
        let node = self.this_node.node.clone();
        self.queue_member_update(&node, priority);
    }

    fn leave(&mut self) {
        if self.this_node.state != MemberState::Leaving {
            let incarnation = self.this_node.incarnation + 1;
            self.set_this_node(MemberState::Leaving, incarnation, Priority::Urgent);
        }
    }

    fn set_documents(&mut self, documents: DocumentRevisions) {
        self.is_push_due |= documents != self.documents;
        self.documents = documents;
    }

    fn publish(&mut self, now: Moment, actions: &mut Actions) {
        if self.table.version() != self.published_version {
            self.published_version = self.table.version();
            self.changed_at = now;
            actions.push(Action::MembersChanged);
        }
    }

    /// Returns the record of a member to send to other nodes.
    pub(super) fn record(&self, node: &NodeId) -> Option<MemberRecord> {
        if let Some(member) = self.table.get(node) {
            let is_full = match member.state {
                MemberState::Alive => true,
                // Nodes that applied the death of the member have dropped it, so they need the full record
                // after it has refuted its death.
                MemberState::Leaving => member.incarnation > LEAVING_INCARNATION,
                MemberState::Suspect | MemberState::Dead => false,
            };
            return Some(if is_full {
                MemberRecord::Full(member.clone())
            } else {
                MemberRecord::Change(StateChange {
                    node: node.clone(),
                    state: member.state,
                    incarnation: member.incarnation,
                })
            });
        }
        let dead = self.table.dead(node)?;
        Some(MemberRecord::Change(StateChange {
            node: node.clone(),
            state: MemberState::Dead,
            incarnation: dead.incarnation,
        }))
    }
}

/// Returns the keys of all updates in a message.
fn update_keys(message: &Message) -> BTreeSet<UpdateKey> {
    use super::reports::ReportKey;
    let members = message
        .members
        .iter()
        .map(|r| UpdateKey::Member(r.node().into()));
    let loads = message
        .loads
        .iter()
        .map(|l| UpdateKey::Report(ReportKey::Load(l.node.clone(), l.model.clone())));
    let uses = message
        .uses
        .iter()
        .map(|u| UpdateKey::Report(ReportKey::Use(u.node.clone(), u.customer.clone())));
    let notices = message
        .notices
        .iter()
        .map(|n| UpdateKey::Report(ReportKey::Notice(n.vm.clone())));
    members.chain(loads).chain(uses).chain(notices).collect()
}
