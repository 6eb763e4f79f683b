//! Which node's sums over an availability zone are accepted.
//!
//! One node of each zone sends the zone's sums to the other zones. While this role moves, or nodes disagree
//! on who has it, several nodes send sums. Only one sender per zone is accepted at a time; otherwise the same
//! load would be counted twice.

use std::collections::HashMap;
use std::time::Duration;

use super::origin::ZoneName;
use super::usage::Incarnation;
use crate::core::time::Moment;

/// Silence of the accepted sender after which another node's sums are accepted.
const SENDER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The node whose sums over a zone are accepted.
#[derive(Clone, Copy, Debug)]
struct Sender {
    incarnation: Incarnation,
    number: u64,
    last_message: Moment,
}

/// The accepted sender of each zone.
#[derive(Debug, Default)]
pub struct ZoneSenders {
    senders: HashMap<ZoneName, Sender>,
}

impl ZoneSenders {
    /// Returns whether to accept the sums that a process sent with sequence number `number`. Each message
    /// is accepted once.
    pub fn accept(
        &mut self,
        zone: &str,
        incarnation: Incarnation,
        number: u64,
        now: Moment,
    ) -> bool {
        let current = self.senders.get(zone);
        let is_accepted = current.is_none_or(|current| match current.incarnation == incarnation {
            true => number > current.number,
            false => now.saturating_sub(current.last_message) > SENDER_TIMEOUT,
        });
        if is_accepted {
            let sender = Sender {
                incarnation,
                number,
                last_message: now,
            };
            self.senders.insert(zone.into(), sender);
        }
        is_accepted
    }
}
