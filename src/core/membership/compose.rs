//! Composition of messages within the byte budget.

use std::collections::BTreeSet;

use rand::RngExt;

use super::machine::Membership;
use super::message::{MemberRecord, Message, StateChange};
use super::reports::ReportKey;
use super::tuning::{BUCKETS, MESSAGE_BYTES, PAGE_BYTES, REPORT_RESERVE_BYTES, RESERVED_BYTES};
use super::updates::{Priority, UpdateKey};
use super::{Member, MemberState};
use crate::core::id::NodeId;
use crate::core::time::Moment;

/// A message under construction, with the bytes that are still free.
struct Draft {
    message: Message,
    free: usize,
}

impl Draft {
    fn has_room(&mut self, size: usize) -> bool {
        let fits = size <= self.free;
        if fits {
            self.free -= size;
        }
        fits
    }

    fn push_member(&mut self, record: MemberRecord) -> bool {
        let fits = self.has_room(record.size());
        if fits {
            self.message.members.push(record);
        }
        fits
    }
}

impl Membership {
    /// Composes a message for node `to`, `None` for an unknown one. Leaves out the updates in `told`,
    /// which the receiver has just sent itself.
    pub(super) fn compose(
        &mut self,
        now: Moment,
        to: Option<&NodeId>,
        told: &BTreeSet<UpdateKey>,
        corrections: &[NodeId],
    ) -> Message {
        let available = self.budget.available(now);
        let least = match available {
            0..RESERVED_BYTES => Priority::Urgent,
            RESERVED_BYTES..REPORT_RESERVE_BYTES => Priority::Member,
            _ => Priority::Report,
        };
        // Messages to other regions are rare, and each of them carries the updates for a whole region, so
        // the budget does not shrink them.
        let limit = match to.is_some_and(|node| self.is_far(node)) {
            true => MESSAGE_BYTES,
            false => available.clamp(RESERVED_BYTES, MESSAGE_BYTES),
        };
        let mut draft = self.draft(to, limit);
        for node in corrections {
            self.add_member(&mut draft, node);
        }
        self.add_updates(&mut draft, to, told, least);
        self.finish(draft)
    }

    /// Composes a request for the members that this node lacks.
    pub(super) fn compose_sync(&mut self, now: Moment, to: Option<&NodeId>) -> Message {
        let mut message = self.compose(now, to, &BTreeSet::new(), &[]);
        message.buckets = self.table.bucket_digests().to_vec();
        self.budget.take(8 * BUCKETS);
        message
    }

    /// Composes the reply to a request for missing members: up to a page of the members of those
    /// buckets whose digests differ.
    pub(super) fn compose_page(
        &mut self,
        now: Moment,
        to: &NodeId,
        asked: &[u64],
        corrections: &[NodeId],
    ) -> Message {
        self.budget.available(now);
        let mut draft = self.draft(Some(to), PAGE_BYTES);
        for node in corrections {
            self.add_member(&mut draft, node);
        }
        // A random first bucket makes pages from several nodes cover different members.
        let first = self.rng.random_range(0..BUCKETS);
        for bucket in (first..BUCKETS).chain(0..first) {
            if asked.get(bucket) != Some(&self.table.bucket_digests()[bucket]) {
                self.add_bucket(&mut draft, bucket);
            }
        }
        self.finish(draft)
    }

    fn is_far(&self, node: &NodeId) -> bool {
        let member = self.table.get(node);
        member.is_some_and(|member| member.region != self.own.region)
    }

    fn draft(&self, to: Option<&NodeId>, limit: usize) -> Draft {
        let message = Message {
            from: self.own.node.clone(),
            documents: self.documents.clone(),
            members_digest: self.table.digest(),
            ..Message::default()
        };
        let free = limit.saturating_sub(message.size());
        let mut draft = Draft { message, free };
        let receiver = to.and_then(|node| self.table.get(node));
        if receiver.is_none() || !self.is_complete {
            draft.push_member(MemberRecord::Full(self.own.clone()));
        }
        if let Some(node) = to {
            self.add_doubts(&mut draft, node, receiver);
        }
        draft
    }

    /// Adds the suspicion or death that is known about the receiver, so that it can refute it.
    fn add_doubts(&self, draft: &mut Draft, node: &NodeId, receiver: Option<&Member>) {
        let change = match receiver {
            Some(member) if member.state == MemberState::Suspect => Some(StateChange {
                node: node.clone(),
                state: MemberState::Suspect,
                incarnation: member.incarnation,
            }),
            Some(_) => self.doubts.get(node).map(|incarnation| StateChange {
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
        for member in self.table.in_bucket(bucket) {
            if !draft.push_member(MemberRecord::Full(member.clone())) {
                return;
            }
        }
    }

    fn add_updates(
        &mut self,
        draft: &mut Draft,
        to: Option<&NodeId>,
        told: &BTreeSet<UpdateKey>,
        least: Priority,
    ) {
        let region = to
            .and_then(|node| self.table.get(node))
            .map(|m| m.region.clone());
        let is_near = region.as_ref() == Some(&self.own.region);
        for (key, priority) in self.updates.in_order() {
            if priority > least {
                break;
            }
            if told.contains(&key) {
                continue;
            }
            if self.add_update(draft, &key, is_near) {
                self.updates.sent(&key);
            }
        }
    }

    fn add_update(&mut self, draft: &mut Draft, key: &UpdateKey, is_near: bool) -> bool {
        match key {
            UpdateKey::Member(node) => match self.record(node) {
                Some(record) => draft.push_member(record),
                None => self.forget_update(key),
            },
            UpdateKey::Report(report) if self.reports.contains(report) => {
                self.add_report(draft, report, is_near)
            }
            UpdateKey::Report(_) => self.forget_update(key),
        }
    }

    fn forget_update(&mut self, key: &UpdateKey) -> bool {
        self.updates.remove(key);
        false
    }

    /// Adds a reported value. Other regions get only sums.
    fn add_report(&self, draft: &mut Draft, key: &ReportKey, is_near: bool) -> bool {
        match key {
            ReportKey::Load(node, model) => match self.reports.load(node, model) {
                Some(load) if is_near && draft.has_room(load.size()) => {
                    draft.message.loads.push(load.clone());
                    true
                }
                _ => false,
            },
            ReportKey::Use(node, customer) => match self.reports.used(node, customer) {
                Some(used) if (is_near || used.is_sum()) && draft.has_room(used.size()) => {
                    draft.message.uses.push(used.clone());
                    true
                }
                _ => false,
            },
            ReportKey::Notice(vm) => match self.reports.notice(vm) {
                Some(notice) if is_near && draft.has_room(notice.size()) => {
                    draft.message.notices.push(notice.clone());
                    true
                }
                _ => false,
            },
        }
    }

    fn finish(&mut self, draft: Draft) -> Message {
        self.budget.take(draft.message.size());
        draft.message
    }
}
