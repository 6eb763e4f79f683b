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
    /// Age of the holder's process at that time.
    pub(super) age: Duration,
}

/// A part that the holder is asked to stop using.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    /// Number of the first message without the part.
    number: u64,
    /// End of its lease.
    until: Moment,
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
    /// The newest withdrawal.
    withdrawal: Option<Withdrawal>,
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

    /// Returns whether its process has been running for the time `age` at least.
    pub(super) fn is_older_than(&self, age: Duration, now: Moment) -> bool {
        let known = self.echo;
        known.is_some_and(|echo| echo.age + now.saturating_sub(echo.received_at) >= age)
    }

    /// Asks it to stop using a part, by the messages from `number` on, whose lease ends at `until`.
    pub(super) fn withdraw(&mut self, number: u64, until: Moment) {
        self.withdrawal = Some(Withdrawal { number, until });
        self.is_urgent = true;
    }

    /// Returns whether the process `incarnation` has acknowledged a message whose number is `number` or larger.
    pub(super) fn has_acknowledged(&self, number: u64, incarnation: Incarnation) -> bool {
        self.acknowledged >= number && self.is_process(incarnation)
    }

    /// Returns whether a withdrawal is not acknowledged yet.
    pub(super) fn is_withdrawing(&self, now: Moment) -> bool {
        let newest = self.withdrawal;
        newest.is_some_and(|newest| newest.number > self.acknowledged && newest.until > now)
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
        self.is_urgent |= self
            .withdrawal
            .is_some_and(|newest| (self.acknowledged + 1..=number).contains(&newest.number));
        self.acknowledged = number;
        self.unacknowledged.clear();
    }

    /// Applies an acknowledgement. Returns whether it is newer than those before.
    pub(super) fn apply_ack(&mut self, ack: &LendAck, now: Moment) -> bool {
        if !(self.acknowledged + 1..=self.sent).contains(&ack.number) {
            return false;
        }
        let was_withdrawing = self.is_withdrawing(now);
        self.acknowledged = ack.number;
        self.is_urgent |= !self.can_renew(now) || was_withdrawing && !self.is_withdrawing(now);
        let mut stamp = ack.stamp;
        if let Some(before) = self.echo {
            match before.stamp.incarnation == stamp.incarnation {
                // Acknowledgements may arrive in another order than that in which they were sent.
                true => stamp.at = stamp.at.max(before.stamp.at),
                false => self.replaced_at = Some(now),
            }
        }
        self.echo = Some(Echo {
            stamp,
            received_at: now,
            age: ack.age,
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
