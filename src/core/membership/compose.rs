//! Composition of messages within the byte budget.

use std::collections::BTreeSet;

use rand::RngExt;

use super::machine::Membership;
use super::message::{MemberRecord, Message, StateChange};
use super::reports::ReportKey;
use super::tuning::{
    DIGEST_BUCKETS, MAX_MESSAGE_BYTES, MAX_PAGE_BYTES, MEMBER_RESERVE_BYTES, URGENT_RESERVE_BYTES,
};
use super::updates::{Priority, UpdateKey};
use super::{Member, MemberState};
use crate::core::id::NodeId;
use crate::core::time::Moment;

/// A message under construction, with the bytes that are still free.
struct Draft {
    message: Message,
    bytes_left: usize,
}

impl Draft {
    fn reserve(&mut self, size: usize) -> bool {
        let fits = size <= self.bytes_left;
        if fits {
            self.bytes_left -= size;
        }
        fits
    }

    fn push_member(&mut self, record: MemberRecord) -> bool {
        let fits = self.reserve(record.size());
        if fits {
            self.message.members.push(record);
        }
        fits
    }
}

impl Membership {
    /// Composes a message for node `to`, `None` for an unknown one. Leaves out the updates in `excluded`,
    /// which the receiver has just sent itself.
    pub(super) fn compose(
        &mut self,
        now: Moment,
        to: Option<&NodeId>,
        excluded: &BTreeSet<UpdateKey>,
        corrections: &[NodeId],
    ) -> Message {
        let available = self.budget.available(now);
        let lowest_priority = match available {
            0..URGENT_RESERVE_BYTES => Priority::Urgent,
            URGENT_RESERVE_BYTES..MEMBER_RESERVE_BYTES => Priority::Member,
            _ => Priority::Report,
        };
        // Messages to other regions are rare, and each of them carries the updates for a whole region, so
        // the budget does not shrink them.
        let limit = match to.is_some_and(|node| self.is_other_region(node)) {
            true => MAX_MESSAGE_BYTES,
            false => available.clamp(URGENT_RESERVE_BYTES, MAX_MESSAGE_BYTES),
        };
        let mut draft = self.draft(to, limit);
        for node in corrections {
            self.add_member(&mut draft, node);
        }
        self.add_updates(&mut draft, to, excluded, lowest_priority);
        self.finish(draft)
    }

    /// Composes a request for the members that this node lacks.
    pub(super) fn compose_sync(&mut self, now: Moment, to: Option<&NodeId>) -> Message {
        let mut message = self.compose(now, to, &BTreeSet::new(), &[]);
        message.buckets = self.table.bucket_digests().to_vec();
        self.budget.charge(8 * DIGEST_BUCKETS);
        message
    }

    /// Composes the reply to a request for missing members: up to a page of the members of those
    /// buckets whose digests differ.
    pub(super) fn compose_page(
        &mut self,
        now: Moment,
        to: &NodeId,
        sender_digests: &[u64],
        corrections: &[NodeId],
    ) -> Message {
        self.budget.available(now);
        let mut draft = self.draft(Some(to), MAX_PAGE_BYTES);
        for node in corrections {
            self.add_member(&mut draft, node);
        }
        // A random first bucket makes pages from several nodes cover different members.
        let first = self.rng.random_range(0..DIGEST_BUCKETS);
        for bucket in (first..DIGEST_BUCKETS).chain(0..first) {
            if sender_digests.get(bucket) != Some(&self.table.bucket_digests()[bucket]) {
                self.add_bucket(&mut draft, bucket);
            }
        }
        self.finish(draft)
    }

    fn is_other_region(&self, node: &NodeId) -> bool {
        let member = self.table.get(node);
        member.is_some_and(|member| member.region != self.this_node.region)
    }

    fn draft(&self, to: Option<&NodeId>, limit: usize) -> Draft {
        let message = Message {
            from: self.this_node.node.clone(),
            documents: self.documents.clone(),
            members_digest: self.table.digest(),
            ..Message::default()
        };
        let bytes_left = limit.saturating_sub(message.size());
        let mut draft = Draft {
            message,
            bytes_left,
        };
        let receiver = to.and_then(|node| self.table.get(node));
        if receiver.is_none() || !self.is_complete {
            draft.push_member(MemberRecord::Full(self.this_node.clone()));
        }
        if let Some(node) = to {
            self.add_claims_about_receiver(&mut draft, node, receiver);
        }
        draft
    }

    /// Adds the suspicion or death that is known about the receiver, so that it can refute it.
    fn add_claims_about_receiver(
        &self,
        draft: &mut Draft,
        node: &NodeId,
        receiver: Option<&Member>,
    ) {
        let change = match receiver {
            Some(member) if member.state == MemberState::Suspect => Some(StateChange {
                node: node.clone(),
                state: MemberState::Suspect,
                incarnation: member.incarnation,
            }),
            Some(_) => self
                .reported_deaths
                .get(node)
                .map(|incarnation| StateChange {
                    node: node.clone(),
                    state: MemberState::Dead,
                    incarnation: *incarnation,
                }),
            None => self.table.dead(node).map(|dead| StateChange {
                node: node.clone(),
                state: MemberState::Dead,
                incarnation: dead.incarnation,
            }),
        };
        if let Some(change) = change {
            draft.push_member(MemberRecord::Change(change));
        }
    }

    fn add_member(&self, draft: &mut Draft, node: &NodeId) {
        if let Some(record) = self.record(node) {
            draft.push_member(record);
        }
    }

    fn add_bucket(&self, draft: &mut Draft, bucket: usize) {
        for member in self.table.members_in_bucket(bucket) {
            if !draft.push_member(MemberRecord::Full(member.clone())) {
                return;
            }
        }
    }

    fn add_updates(
        &mut self,
        draft: &mut Draft,
        to: Option<&NodeId>,
        excluded: &BTreeSet<UpdateKey>,
        lowest_priority: Priority,
    ) {
        let region = to
            .and_then(|node| self.table.get(node))
            .map(|m| m.region.clone());
        let is_same_region = region.as_ref() == Some(&self.this_node.region);
        for (key, priority) in self.updates.in_order() {
            if priority > lowest_priority {
                break;
            }
            if excluded.contains(&key) {
                continue;
            }
            if self.add_update(draft, &key, is_same_region) {
                self.updates.record_transmission(&key);
            }
        }
    }

    fn add_update(&mut self, draft: &mut Draft, key: &UpdateKey, is_same_region: bool) -> bool {
        match key {
            UpdateKey::Member(node) => match self.record(node) {
                Some(record) => draft.push_member(record),
                None => self.remove_update(key),
            },
            UpdateKey::Report(report) if self.reports.contains(report) => {
                self.add_report(draft, report, is_same_region)
            }
            UpdateKey::Report(_) => self.remove_update(key),
        }
    }

    fn remove_update(&mut self, key: &UpdateKey) -> bool {
        self.updates.remove(key);
        false
    }

    /// Adds a reported value. Other regions get only sums.
    fn add_report(&self, draft: &mut Draft, key: &ReportKey, is_same_region: bool) -> bool {
        match key {
            ReportKey::Load(node, model) => match self.reports.load(node, model) {
                Some(load) if is_same_region && draft.reserve(load.size()) => {
                    draft.message.loads.push(load.clone());
                    true
                }
                _ => false,
            },
            ReportKey::Use(node, customer) => match self.reports.usage(node, customer) {
                Some(usage)
                    if (is_same_region || usage.is_sum()) && draft.reserve(usage.size()) =>
                {
                    draft.message.uses.push(usage.clone());
                    true
                }
                _ => false,
            },
            ReportKey::Notice(vm) => match self.reports.notice(vm) {
                Some(notice) if is_same_region && draft.reserve(notice.size()) => {
                    draft.message.notices.push(notice.clone());
                    true
                }
                _ => false,
            },
        }
    }

    fn finish(&mut self, draft: Draft) -> Message {
        self.budget.charge(draft.message.size());
        draft.message
    }
}
