//! When the holder of a duty may act.
//!
//! The platform does not check fencing tokens. What keeps calls of two holders apart is time: a holder
//! acts only while its lease surely stands, and a new holder waits until the calls of any former one
//! are over.

use std::time::Duration;

use crate::core::time::Moment;

/// Part of a lease that is not used: clocks of the store and the node may run apart by little, and a
/// call takes time to arrive.
const LEASE_MARGIN: Duration = Duration::from_millis(900);

/// One node's hold on the duties. Moments are of a clock that goes on while the VM is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token: the store's revision of the change by which the node became the holder.
    pub fence: u64,
    /// When the node became the holder.
    pub since: Moment,
    /// Time that a new holder waits before its first call.
    pub settle: Duration,
}

/// What a holder does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MayAct {
    /// It acts.
    Yes,
    /// It waits for the calls of a former holder to end.
    Settling,
    /// Its lease may have ended.
    LeaseInDoubt,
}

impl Tenure {
    /// Returns whether a call may be made now, given when the last renewal of the lease that the store
    /// confirmed was sent.
    pub fn may_act(&self, now: Moment, renewed: Moment, ttl: Duration) -> MayAct {
        if now + LEASE_MARGIN >= renewed + ttl {
            MayAct::LeaseInDoubt
        } else if now < self.since + self.settle {
            MayAct::Settling
        } else {
            MayAct::Yes
        }
    }
}
