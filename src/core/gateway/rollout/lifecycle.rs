//! Life cycle of a rollout, from the operators' order to a final state.
//!
//! The phases are `Canary`, `Promoted` and `Succeeded`; each of the first two may turn into `RolledBack`.
//! [`RolloutRecord::next`] is the only transition. The record is kept in the store and changed there by conditional
//! writes, so that all nodes see the same sequence of phases.

use std::time::Duration;

use crate::core::gateway::routes::ServiceName;
use crate::core::gateway::software::SoftwareVersion;
use crate::core::time::UnixMillis;
use crate::util::time::as_millis_u64;

use super::verdict::Verdict;

/// Identifies a rollout in messages between nodes: a hash of service, target and time of the order.
pub type RolloutId = u64;

/// Time before the deadline at which the new version is promoted.
const PROMOTE_BEFORE: Duration = Duration::from_millis(2000);
/// Time before the deadline at which the final state is written, so that it is in the store and at all nodes in time.
const FINISH_BEFORE: Duration = Duration::from_millis(1000);
/// Upper bounds of these times as fractions of the time between order and deadline.
const MAX_PROMOTE_FRACTION: f64 = 0.25;
const MAX_FINISH_FRACTION: f64 = 0.12;
/// Shortest time in `Promoted`, in which evidence under full load arrives from all nodes and calls at the old version
/// end.
const MIN_PROMOTED: Duration = Duration::from_millis(700);
/// Part of the time between order and deadline over which the new version must have answered before it is promoted.
const MIN_OBSERVED_FRACTION: f64 = 1.0 / 3.0;

/// Operators' order to move a service to back ends of another software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// Version to which its calls are moved.
    pub target: SoftwareVersion,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// Phase of a rollout. The order of the variants is the order in which they follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// A small part of the calls goes to few back ends of the new version.
    Canary,
    /// All calls go to the new version as long as the bound on its exposure allows it.
    Promoted,
    /// The old version is no longer used. Final.
    Succeeded,
    /// The new version is no longer used. Final.
    RolledBack,
}

impl Phase {
    /// Returns whether no other phase follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }

    /// Returns the state that operators see.
    pub fn state(self) -> RolloutState {
        match self {
            Self::Canary | Self::Promoted => RolloutState::Running,
            Self::Succeeded => RolloutState::Succeeded,
            Self::RolledBack => RolloutState::RolledBack,
        }
    }

    /// Returns the name for logs, metrics and the store.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Promoted => "promoted",
            Self::Succeeded => "succeeded",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// State of a rollout as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It is not decided yet.
    Running,
    /// The service has moved to the target.
    Succeeded,
    /// The service stays at the old versions.
    RolledBack,
}

/// What operators read of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedRollout {
    /// State.
    pub state: RolloutState,
    /// Version to which the calls are moved.
    pub target: SoftwareVersion,
}

/// A rollout as it is on record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Version to which the calls are moved.
    pub target: SoftwareVersion,
    /// Phase.
    pub phase: Phase,
    /// Wall-clock time at which the order was first seen.
    pub ordered_at: UnixMillis,
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Wall-clock time at which the phase began.
    pub changed_at: UnixMillis,
    /// Versions that the target replaces; the empty name stands for back ends without one.
    pub replaced: Vec<SoftwareVersion>,
}

impl RolloutRecord {
    /// Returns the record of an order that was first seen at `ordered_at`.
    pub fn begin(
        order: &RolloutOrder,
        ordered_at: UnixMillis,
        replaced: Vec<SoftwareVersion>,
        now: UnixMillis,
    ) -> Self {
        Self {
            target: order.target.clone(),
            phase: Phase::Canary,
            ordered_at,
            duration: order.duration,
            changed_at: now,
            replaced,
        }
    }

    /// Returns the record in another phase.
    pub fn in_phase(&self, phase: Phase, now: UnixMillis) -> Self {
        Self {
            phase,
            changed_at: now,
            ..self.clone()
        }
    }

    /// Returns what operators are to read.
    pub fn published(&self) -> PublishedRollout {
        PublishedRollout {
            state: self.phase.state(),
            target: self.target.clone(),
        }
    }

    /// Returns the identifier of the rollout of a service. All nodes compute the same one.
    pub fn id(&self, service: &str) -> RolloutId {
        let service = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
        xxhash_rust::xxh3::xxh3_64_with_seed(self.target.as_bytes(), service ^ self.ordered_at)
    }

    /// Returns the deadline of the order.
    pub fn deadline(&self) -> UnixMillis {
        self.ordered_at.saturating_add(as_millis_u64(self.duration))
    }

    /// Returns the phase that follows now, if another one does. `observed` is the time for which the new version has
    /// answered calls.
    pub fn next(&self, verdict: Verdict, observed: Duration, now: UnixMillis) -> Option<Phase> {
        if self.phase.is_final() {
            return None;
        }
        if verdict == Verdict::Bad {
            return Some(Phase::RolledBack);
        }
        let lasted = Duration::from_millis(now.saturating_sub(self.changed_at));
        let is_past = |before: Duration, fraction: f64| now >= self.time_before(before, fraction);
        let is_late = is_past(FINISH_BEFORE, MAX_FINISH_FRACTION);
        match self.phase {
            Phase::Promoted if is_late && verdict == Verdict::Good && lasted >= MIN_PROMOTED => {
                Some(Phase::Succeeded)
            }
            Phase::Promoted if is_late && verdict != Verdict::Good => Some(Phase::RolledBack),
            Phase::Promoted if now >= self.deadline() => Some(Phase::RolledBack),
            Phase::Canary if is_late => Some(Phase::RolledBack),
            Phase::Canary
                if verdict == Verdict::Good
                    && observed >= self.duration.mul_f64(MIN_OBSERVED_FRACTION)
                    && is_past(PROMOTE_BEFORE, MAX_PROMOTE_FRACTION) =>
            {
                Some(Phase::Promoted)
            }
            _ => None,
        }
    }

    /// Returns whether this record is a later one of the same rollout, or as late. A final phase is never left.
    pub fn supersedes(&self, other: &Self) -> bool {
        let is_same = self.target == other.target && self.ordered_at == other.ordered_at;
        is_same && !other.phase.is_final() && self.phase >= other.phase
    }

    /// Returns the time that lies `before` the deadline, or a fraction of the whole time if that is shorter.
    fn time_before(&self, before: Duration, max_fraction: f64) -> UnixMillis {
        let before = before.min(self.duration.mul_f64(max_fraction));
        self.deadline().saturating_sub(as_millis_u64(before))
    }
}
