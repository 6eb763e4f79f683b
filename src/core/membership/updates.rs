//! Queue of changes that are still to be sent to other nodes.

use std::collections::BTreeMap;

use super::reports::ReportKey;
use crate::core::id::NodeId;

/// Identifies a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum UpdateKey {
    /// State of a member.
    Member(NodeId),
    /// A reported value.
    Report(ReportKey),
}

/// Order in which changes are sent when a message has no room for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// Suspicions, refutations, leaving members and leaving back ends.
    Urgent,
    /// Other member changes.
    Member,
    /// Reported values.
    Report,
}

#[derive(Debug)]
struct PendingUpdate {
    priority: Priority,
    transmissions_made: u32,
    transmissions_left: u32,
    sequence: u64,
}

/// Changes that are still to be sent, each a bounded number of times.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    pending: BTreeMap<UpdateKey, PendingUpdate>,
    last_sequence: u64,
}

impl UpdateQueue {
    /// Queues a change for `transmissions` sends. Replaces an older change of the same key.
    pub(super) fn push(&mut self, key: UpdateKey, priority: Priority, transmissions: u32) {
        self.last_sequence += 1;
        let pending = PendingUpdate {
            priority,
            transmissions_made: 0,
            transmissions_left: transmissions,
            sequence: self.last_sequence,
        };
        self.pending.insert(key, pending);
    }

    /// Records that another node sent the same change, so that fewer transmissions are needed. Changes
    /// that were never sent are kept, and urgent ones keep all their transmissions, for nodes that the
    /// first push has missed.
    pub(super) fn record_duplicate(&mut self, key: &UpdateKey) {
        let pending = self.pending.get_mut(key);
        if let Some(pending) =
            pending.filter(|p| p.priority != Priority::Urgent && p.transmissions_made > 0)
        {
            pending.transmissions_left = pending.transmissions_left.saturating_sub(1);
            if pending.transmissions_left == 0 {
                self.pending.remove(key);
            }
        }
    }

    /// Returns the changes in sending order: by priority, then those sent least often, then the newest.
    pub(super) fn in_order(&self) -> Vec<(UpdateKey, Priority)> {
        let mut keys: Vec<_> = self.pending.iter().collect();
        keys.sort_unstable_by_key(|(_, p)| {
            (p.priority, p.transmissions_made, u64::MAX - p.sequence)
        });
        keys.into_iter()
            .map(|(key, p)| (key.clone(), p.priority))
            .collect()
    }

    /// Records one transmission of a change.
    pub(super) fn record_transmission(&mut self, key: &UpdateKey) {
        if let Some(pending) = self.pending.get_mut(key) {
            pending.transmissions_made += 1;
            pending.transmissions_left -= 1;
            if pending.transmissions_left == 0 {
                self.pending.remove(key);
            }
        }
    }

    /// Removes a change from the queue.
    pub(super) fn remove(&mut self, key: &UpdateKey) {
        self.pending.remove(key);
    }

    /// Returns the number of queued changes.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}
