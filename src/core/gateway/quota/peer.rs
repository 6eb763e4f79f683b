//! Messages of a lender to one holder, and their acknowledgements.

use std::time::Duration;

use smallvec::SmallVec;

use super::{LEASE, LendAck, Stamp};
use crate::core::gateway::usage::Incarnation;
use crate::core::time::Moment;

/// Age of an unacknowledged message after which its receiver is not chosen as a holder.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(2500);
/// Time within which a node that was not chosen acknowledges a message in order to be chosen again.
const RESPONSIVE_WITHIN: Duration = Duration::from_secs(1);
/// Number of unacknowledged messages that are remembered for a holder.
const MAX_UNACKNOWLEDGED: usize = 8;
/// Time for which a part stays unused after its holder has started anew. The earlier process may have been overdrawn.
const REPAYMENT_TIME: Duration = Duration::from_secs(1);

/// Newest stamp that a holder has sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Echo {
    pub(super) stamp: Stamp,
    pub(super) received_at: Moment,
}

/// State of the messages to a holder.
#[derive(Debug, Default)]
pub(super) struct Peer {
    pub(super) echo: Option<Echo>,
    /// Number of the newest message, and of the newest acknowledged one.
    sent: u64,
    acknowledged: u64,
    sent_at: Option<Moment>,
    /// Numbers of unacknowledged messages, and when they were sent.
    unacknowledged: SmallVec<[(u64, Moment); 4]>,
    /// Whether it did not acknowledge in time, and has not responded since.
    is_unresponsive: bool,
    /// Whether the next message is due before the interval has passed.
    pub(super) is_urgent: bool,
    /// When another process of it was first heard from.
    replaced_at: Option<Moment>,
}

impl Peer {
    /// Returns whether it has not acknowledged messages for so long that it is not chosen as a holder.
    pub(super) fn is_unresponsive(&self, now: Moment) -> bool {
        self.is_unresponsive || self.is_overdue(now)
    }

    /// Remembers that it is unresponsive until it responds in time.
    pub(super) fn note_overdue(&mut self, now: Moment) {
        self.is_unresponsive |= self.is_overdue(now);
    }

    fn is_overdue(&self, now: Moment) -> bool {
        let oldest = self.unacknowledged.first();
        oldest.is_some_and(|(_, at)| now.saturating_sub(*at) > UNRESPONSIVE_AFTER)
    }

    /// Returns whether a lease that echoes the newest stamp would still run.
    pub(super) fn can_renew(&self, now: Moment) -> bool {
        self.echo.is_some_and(|echo| echo.received_at + LEASE > now)
    }

    /// Returns whether `incarnation` is its newest known process.
    pub(super) fn is_process(&self, incarnation: Incarnation) -> bool {
        self.echo
            .is_some_and(|echo| echo.stamp.incarnation == incarnation)
    }

    /// Returns whether its process `incarnation` has ended, and the debt of that process has been repaid.
    pub(super) fn has_repaid(&self, incarnation: Incarnation, now: Moment) -> bool {
        let is_replaced = self.echo.is_some() && !self.is_process(incarnation);
        let since = self.replaced_at.map(|at| now.saturating_sub(at));
        is_replaced && since.is_some_and(|since| since >= REPAYMENT_TIME)
    }

    /// Returns whether a message is due at the end of an interval.
    pub(super) fn is_due(&self, interval: Duration, now: Moment) -> bool {
        let since = self.sent_at.map(|at| now.saturating_sub(at));
        since.is_none_or(|since| since >= interval)
    }

    /// Records that a message was sent.
    pub(super) fn note_sent(&mut self, number: u64, now: Moment) {
        self.sent = number;
        self.sent_at = Some(now);
        if self.unacknowledged.len() < MAX_UNACKNOWLEDGED {
            self.unacknowledged.push((number, now));
        }
        self.is_urgent = false;
    }

    /// Records that the lender itself is the holder, and has applied the message `number` at once.
    pub(super) fn note_applied(&mut self, number: u64) {
        self.acknowledged = number;
        self.unacknowledged.clear();
    }

    /// Applies an acknowledgement. Returns whether it is newer than those before.
    pub(super) fn apply_ack(&mut self, ack: &LendAck, now: Moment) -> bool {
        if !(self.acknowledged + 1..=self.sent).contains(&ack.number) {
            return false;
        }
        self.acknowledged = ack.number;
        self.is_urgent |= !self.can_renew(now);
        if self.echo.is_some() && !self.is_process(ack.stamp.incarnation) {
            self.replaced_at = Some(now);
        }
        self.echo = Some(Echo {
            stamp: ack.stamp,
            received_at: now,
        });
        let sent = self.unacknowledged.iter().find(|(n, _)| *n == ack.number);
        if sent.is_some_and(|(_, at)| now.saturating_sub(*at) <= RESPONSIVE_WITHIN) {
            self.is_unresponsive = false;
        }
        self.unacknowledged
            .retain(|(number, _)| *number > ack.number);
        true
    }
}
