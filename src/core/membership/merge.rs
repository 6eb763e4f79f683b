//! Merging of received messages into a node's view.

use super::machine::{Action, Actions, Membership};
use super::message::{DocumentRevision, MemberRecord, Message};
use super::reports::{BackendNotice, CustomerUse, HomeLoad, ReportKey};
use super::table::DeadMember;
use super::updates::{Priority, UpdateKey};
use super::{Member, MemberState};
use crate::core::id::NodeId;
use crate::core::time::Moment;

/// Maximum number of members that others report dead and that this node has yet to probe.
const MAX_REPORTED_DEATHS: usize = 256;

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Merged {
    /// The record was new and has been applied.
    Applied,
    /// The record was known already.
    Known,
    /// The record is older than this node's own.
    Stale,
    /// The record was not applied.
    Ignored,
}

impl Membership {
    /// Merges a message. Returns the members for which the sender has outdated records.
    pub(super) fn merge(
        &mut self,
        now: Moment,
        message: Message,
        actions: &mut Actions,
    ) -> Vec<NodeId> {
        let mut corrections = Vec::new();
        for record in message.members {
            let node: NodeId = record.node().into();
            match self.merge_member(now, record) {
                Merged::Known => self.updates.record_duplicate(&UpdateKey::Member(node)),
                Merged::Stale => corrections.push(node),
                Merged::Applied | Merged::Ignored => {}
            }
        }
        for load in message.loads {
            self.merge_load(load);
        }
        for usage in message.uses {
            self.merge_use(usage);
        }
        for notice in message.notices {
            self.merge_notice(now, notice, actions);
        }
        self.merge_documents(&message.from, &message.documents, actions);
        corrections
    }

    fn merge_member(&mut self, now: Moment, record: MemberRecord) -> Merged {
        if record.node() == &*self.this_node.node {
            return self.merge_this_node(&record);
        }
        let node: NodeId = record.node().into();
        if self.table.get(&node).is_some() {
            return self.merge_known(now, &node, record);
        }
        match (self.table.dead(&node), record) {
            (Some(dead), record) if record.incarnation() <= dead.incarnation => {
                match record.state() {
                    MemberState::Dead => Merged::Known,
                    _ => Merged::Stale,
                }
            }
            (_, MemberRecord::Full(member)) if member.state != MemberState::Dead => {
                self.apply_member(member)
            }
            (None, record) if record.state() == MemberState::Dead => {
                let dead = DeadMember {
                    incarnation: record.incarnation(),
                    died_at: now,
                    retry_address: None,
                };
                self.table.mark_dead(&node, dead);
                Merged::Applied
            }
            _ => Merged::Ignored,
        }
    }

    /// Merges a record of this node itself. Refutes a wrong record by raising the incarnation, which no
    /// other node may do.
    fn merge_this_node(&mut self, record: &MemberRecord) -> Merged {
        let is_contradicted =
            record.state() != self.this_node.state && record.state() > MemberState::Alive;
        if record.incarnation() < self.this_node.incarnation {
            return Merged::Stale;
        }
        if is_contradicted || record.incarnation() > self.this_node.incarnation {
            let state = self.this_node.state;
            self.set_this_node(state, record.incarnation() + 1, Priority::Urgent);
            return Merged::Stale;
        }
        Merged::Known
    }

    fn merge_known(&mut self, now: Moment, node: &NodeId, record: MemberRecord) -> Merged {
        let Some(known) = self.table.get(node) else {
            return Merged::Ignored;
        };
        let (known_state, known_incarnation) = (known.state, known.incarnation);
        if record.incarnation() < known_incarnation {
            return Merged::Stale;
        }
        let is_newer = record.incarnation() > known_incarnation;
        match (record.state(), known_state) {
            (state, known) if state == known && !is_newer => Merged::Known,
            (MemberState::Alive, _) if is_newer => self.apply_record(node, record),
            (MemberState::Alive, _) => Merged::Stale,
            (MemberState::Leaving, known) if is_newer || known < MemberState::Leaving => {
                self.apply_record(node, record)
            }
            (MemberState::Suspect, MemberState::Alive) => {
                self.suspect(now, node);
                Merged::Applied
            }
            (MemberState::Dead, MemberState::Alive) => {
                self.schedule_death_check(node, record.incarnation())
            }
            (MemberState::Dead, _) => {
                self.declare_dead(now, node);
                Merged::Applied
            }
            _ => Merged::Known,
        }
    }

    /// Schedules a probe of a member that another node reports dead, before the report is applied.
    /// Otherwise the first contact after a healed network partition would declare all members of the
    /// other side dead.
    fn schedule_death_check(&mut self, node: &NodeId, incarnation: u64) -> Merged {
        if self.reported_deaths.len() < MAX_REPORTED_DEATHS
            && !self.reported_deaths.contains_key(node)
        {
            self.reported_deaths.insert(node.clone(), incarnation);
            self.priority_probes.push_back(node.clone());
        }
        Merged::Ignored
    }

    fn apply_record(&mut self, node: &NodeId, record: MemberRecord) -> Merged {
        let member = match record {
            MemberRecord::Full(member) => member,
            MemberRecord::Change(change) => {
                let Some(known) = self.table.get(node) else {
                    return Merged::Ignored;
                };
                Member {
                    state: change.state,
                    incarnation: change.incarnation,
                    ..known.clone()
                }
            }
        };
        self.apply_member(member)
    }

    fn apply_member(&mut self, mut member: Member) -> Merged {
        let node = member.node.clone();
        self.suspicions.remove(&node);
        self.reported_deaths.remove(&node);
        if member.state == MemberState::Suspect {
            // Ignores the sender's suspicion of a member that this node did not know yet.
            member.state = MemberState::Alive;
        }
        let state = member.state;
        self.table.set(member);
        match state {
            MemberState::Leaving => self.queue_member_update(&node, Priority::Urgent),
            // The other nodes already know the members that a starting node learns about.
            _ if self.is_complete => self.queue_member_update(&node, Priority::Member),
            _ => {}
        }
        Merged::Applied
    }

    fn is_in_region(&self, node: &str) -> bool {
        let member = self.table.get(node);
        member.is_some_and(|member| member.region == self.this_node.region)
    }

    fn merge_load(&mut self, load: HomeLoad) {
        if !self.is_in_region(&load.node) || load.node == self.this_node.node {
            return;
        }
        let key = UpdateKey::Report(ReportKey::Load(load.node.clone(), load.model.clone()));
        match self.reports.insert_load(load) {
            Some(new_key) => self.queue_report_update(Some(new_key)),
            None => self.updates.record_duplicate(&key),
        }
    }

    fn merge_use(&mut self, usage: CustomerUse) {
        let is_own = usage.node == self.this_node.node;
        if is_own || !(usage.is_sum() || self.is_in_region(&usage.node)) {
            return;
        }
        let key = UpdateKey::Report(ReportKey::Use(usage.node.clone(), usage.customer.clone()));
        match self.reports.insert_use(usage) {
            Some(new_key) => self.queue_report_update(Some(new_key)),
            None => self.updates.record_duplicate(&key),
        }
    }

    pub(super) fn merge_notice(
        &mut self,
        now: Moment,
        notice: BackendNotice,
        actions: &mut Actions,
    ) {
        let key = UpdateKey::Report(ReportKey::Notice(notice.vm.clone()));
        match self.reports.insert_notice(notice.clone(), now) {
            Some(new_key) => {
                self.queue_report_update(Some(new_key));
                actions.push(Action::NoticeReceived(notice));
            }
            None => self.updates.record_duplicate(&key),
        }
    }

    fn merge_documents(
        &mut self,
        from: &NodeId,
        documents: &[DocumentRevision],
        actions: &mut Actions,
    ) {
        let newer = documents.iter().filter(|remote| {
            let local = self
                .documents
                .iter()
                .find(|local| local.document == remote.document);
            local.is_none_or(|local| local.revision < remote.revision)
        });
        let documents: super::message::DocumentRevisions = newer.cloned().collect();
        let address = self.table.get(from).map(|member| member.peer_address);
        if let (false, Some(address)) = (documents.is_empty(), address) {
            actions.push(Action::NewerDocuments { address, documents });
        }
    }
}
