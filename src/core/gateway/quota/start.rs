//! When a process that has just started begins to lend.
//!
//! Leases of its earlier process may still run, so it waits until they must have ended, or until all nodes of the
//! region have acknowledged a message of the new process, which ends them.

use std::collections::HashSet;
use std::time::Duration;

use super::LEASE;
use crate::core::gateway::members::NodeName;
use crate::core::time::Moment;

/// Time after its start before a process lends anything. Until then it may not know all other nodes, which may have
/// started at the same time.
const SETTLING_TIME: Duration = Duration::from_millis(1000);
/// The same where the store lists an earlier process of the node, and so all nodes of the fleet. Buckets begin with the
/// allowance of this time, as it was not used.
const RESTART_SETTLING_TIME: Duration = Duration::from_millis(500);
/// Age of another process from which the fleet is known to run.
const MIN_RUNNING_AGE: Duration = Duration::from_secs(10);

/// Time after the start of a process within which all nodes have normally started that start together.
const FLEET_START_TIME: Duration = Duration::from_millis(1500);

/// Whether a process lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It lends nothing yet, and asks all nodes of its region to end the leases of its earlier process.
    Starting,
    /// It lends.
    Lending,
}

/// Start of a process that lends.
#[derive(Debug)]
pub(super) struct Start {
    started: Moment,
    /// When the leases of earlier processes of this node have ended.
    lends_from: Moment,
    /// Whether the store lists an earlier process of this node.
    has_predecessor: bool,
    /// Whether another process has been running for long.
    has_old_peer: bool,
    /// Nodes that have acknowledged a message of this process, and so hold no lease of earlier ones.
    cleared: HashSet<NodeName>,
}

impl Start {
    pub(super) fn new(started: Moment) -> Self {
        Self {
            started,
            lends_from: started + LEASE,
            has_predecessor: false,
            has_old_peer: false,
            cleared: HashSet::new(),
        }
    }

    /// Records that the store lists an earlier process of this node. The list of nodes is that of a running fleet then;
    /// where all nodes start for the first time, it grows only as they register.
    pub(super) fn note_predecessor(&mut self) {
        self.has_predecessor = true;
    }

    /// Records that a process of another node, which started `age` ago, has acknowledged a message.
    pub(super) fn note_ack(&mut self, node: &str, age: Duration) {
        self.cleared.insert(node.into());
        self.has_old_peer |= age >= MIN_RUNNING_AGE;
    }

    /// Returns whether a node holds no lease of an earlier process.
    pub(super) fn is_cleared(&self, node: &str) -> bool {
        self.cleared.contains(node)
    }

    /// Returns the age of the process.
    pub(super) fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Returns the phase at `now`.
    pub(super) fn phase(&self, now: Moment) -> Phase {
        match now < self.lends_from {
            true => Phase::Starting,
            false => Phase::Lending,
        }
    }

    /// Lets the process lend if none of `neighbours`, the other nodes of its region, holds a lease of an earlier process.
    /// In a fleet that has just started for the first time, it is not known which nodes may.
    pub(super) fn advance(&mut self, neighbours: &[NodeName], now: Moment) -> Phase {
        let is_fleet_running = self.has_predecessor || self.has_old_peer;
        let is_settled = now >= self.settled_at();
        if self.phase(now) == Phase::Starting
            && is_fleet_running
            && is_settled
            && neighbours.iter().all(|name| self.is_cleared(name))
        {
            self.lends_from = now;
        }
        self.phase(now)
    }

    /// Returns whether nodes that have started together with this one are expected to lend within the time `wait`.
    pub(super) fn expects_leases(&self, wait: Duration, now: Moment) -> bool {
        let may_begin =
            |at: Moment| (at.saturating_sub(wait)..at + FLEET_START_TIME).contains(&now);
        may_begin(self.lends_from) || self.has_predecessor && may_begin(self.settled_at())
    }

    fn settled_at(&self) -> Moment {
        self.started
            + match self.has_predecessor {
                true => RESTART_SETTLING_TIME,
                false => SETTLING_TIME,
            }
    }
}
