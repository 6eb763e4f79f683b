//! When the leader, the node that holds the duties, may call the cloud.
//!
//! The platform does not check fencing tokens, so calls of two leaders are kept apart by time: a leader
//! acts only while its lease is certain to be valid, and a new leader waits until any call of its
//! predecessor must have ended.

use std::time::Duration;

use crate::core::time::Moment;
use crate::sources::store::Revision;

/// Time before the end of a lease during which the leader no longer acts. It allows for clock drift between
/// the store and the node, and for the time that a call takes to arrive.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(900);

/// Time after which a call of the leader to the cloud has arrived or never will: its connection is reset then, by the
/// process or, if that is suspended, by the kernel.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time beyond a lease for which a new leader waits: calls of the previous one may begin until shortly before the end of
/// its lease.
pub const SETTLE_BEYOND_LEASE: Duration = CALL_TIMEOUT.saturating_sub(LEASE_SAFETY_MARGIN);
/// Time for which a leader waits that takes over from an earlier process of the same node.
pub const SETTLE_AFTER_RESTART: Duration = CALL_TIMEOUT.saturating_add(NETWORK_DELAY);
/// Time for which bytes may be under way after the end of the process that sent them.
const NETWORK_DELAY: Duration = Duration::from_millis(300);

/// A period during which one node holds the duties. Its moments come from a clock that keeps running while
/// the VM is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Revision of the store's write that made the node the leader.
    pub claim: Revision,
    /// When the node became the leader.
    pub since: Moment,
    /// Time that a new leader waits before its first call.
    pub settle: Duration,
}

/// Whether the leader may make a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MayAct {
    /// It may.
    Yes,
    /// Not yet: calls of the previous leader may still be running.
    Settling,
    /// No: its lease may have expired.
    LeaseInDoubt,
}

impl Tenure {
    /// Returns the fencing token.
    pub fn fence(&self) -> u64 {
        self.claim.fencing_token()
    }

    /// Returns whether a call may be made now. `renewed` is when the last lease renewal that the store
    /// confirmed was sent.
    pub fn may_act(&self, now: Moment, renewed: Moment, ttl: Duration) -> MayAct {
        if now + LEASE_SAFETY_MARGIN >= renewed + ttl {
            MayAct::LeaseInDoubt
        } else if now < self.since + self.settle {
            MayAct::Settling
        } else {
            MayAct::Yes
        }
    }
}
