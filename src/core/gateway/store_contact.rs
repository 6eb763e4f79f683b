//! Contact with the platform's store, and how its outages are detected.
//!
//! The registry entry of a back end may be deleted for three reasons: the back end has left, its lease
//! expired because it could not reach the store during an outage, or the store has come back from a copy that
//! is older than the entry. Only an outage of the store itself makes the second reason possible. A node that
//! alone could not reach the store must not take departures for expired leases, so an outage is detected from the
//! contact of all nodes, and so is the begin of an era.

use std::time::Duration;

use crate::core::time::Moment;
use crate::sources::store::Era;

/// Time without an answer of the store to any node that counts as an outage. Leases of back ends last a little
/// longer.
const MIN_OUTAGE: Duration = Duration::from_millis(3500);
/// Time after an outage in which back ends whose lease expired meanwhile register again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Time within which the store answers a node that waits for changes: the longest wait for a change, the pause after
/// changes, and the way there and back.
pub const MAX_ANSWER_TIME: Duration = Duration::from_millis(1600);

/// When the store was last in contact with this node and with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreContact {
    /// Last answer of the store to this node.
    answered_at: Option<Moment>,
    /// Time up to which this node's view of the store is known to be complete.
    confirmed_at: Option<Moment>,
    /// Last answer of the store to this node or another one of its availability zone.
    zone_answered_at: Option<Moment>,
    /// Last answer of the store to any node, or the start of this node if that is later.
    any_answered_at: Moment,
    /// End of the last outage.
    outage_ended_at: Option<Moment>,
    /// The last known era of the store.
    era: Option<KnownEra>,
}

/// An era of the store, as nodes know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownEra {
    era: Era,
    /// First answer of the store in this era to any node, as far as known.
    began_at: Moment,
    /// Whether this node knew an earlier era, so that the store was restored while it observed it.
    is_restored: bool,
}

impl StoreContact {
    /// Creates the state of a node that begins to observe the store now.
    pub fn new(now: Moment) -> Self {
        Self {
            answered_at: None,
            confirmed_at: None,
            zone_answered_at: None,
            any_answered_at: now,
            outage_ended_at: None,
            era: None,
        }
    }

    /// Records that an answer of the store to this node, which completes its view, was handled at the time `now`. The
    /// node began to wait for it at `asked`. The store answers within [`MAX_ANSWER_TIME`]: an answer that is handled
    /// later has waited, as this node or its VM was suspended.
    pub fn record_answer(&mut self, asked: Moment, now: Moment) {
        let at = now.min(asked + MAX_ANSWER_TIME);
        self.answered_at = self.answered_at.max(Some(at));
        self.zone_answered_at = self.zone_answered_at.max(Some(at));
        self.record_copy(at);
    }

    /// Records that this node has copied the view of another node, which was complete at the time `at`.
    pub fn record_copy(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.record_any_answer(at);
    }

    /// Records an answer of the store to another node of the same availability zone.
    pub fn record_zone_answer(&mut self, at: Moment) {
        self.zone_answered_at = self.zone_answered_at.max(Some(at));
        self.record_any_answer(at);
    }

    /// Records an answer of the store to any other node.
    pub fn record_any_answer(&mut self, at: Moment) {
        if at.saturating_sub(self.any_answered_at) > MIN_OUTAGE {
            self.outage_ended_at = Some(at);
        }
        self.any_answered_at = self.any_answered_at.max(at);
    }

    /// Records an answer of the store in an era, to this node or to another one.
    pub fn record_era(&mut self, era: Era, at: Moment) {
        match &mut self.era {
            Some(known) if known.era > era => {}
            Some(known) if known.era == era => known.began_at = known.began_at.min(at),
            known => {
                *known = Some(KnownEra {
                    era,
                    began_at: at,
                    is_restored: known.is_some(),
                });
            }
        }
    }

    /// Returns when an era began at the latest, as far as known: at the store's first answer in it to any node. Returns
    /// `None` if it is not the last known one.
    pub fn era_began_at(&self, era: Era) -> Option<Moment> {
        let known = self.era.filter(|known| known.era == era)?;
        Some(known.began_at)
    }

    /// Returns the time since an era began, for other nodes; `None` if it is not the last known one.
    pub fn era_age(&self, era: Era, now: Moment) -> Option<Duration> {
        let began_at = self.era_began_at(era)?;
        Some(now.saturating_sub(began_at))
    }

    /// Returns the time for which this node's view has not been confirmed, or `None` if it never was.
    pub fn view_age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the time since the store last answered this node, for other nodes.
    pub fn answer_age(&self, now: Moment) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the time since the store last answered a node of the own availability zone, for other zones.
    pub fn zone_answer_age(&self, now: Moment) -> Option<Duration> {
        self.zone_answered_at.map(|at| now.saturating_sub(at))
    }

    /// Returns until when back ends whose entry is deleted now may still register again, because their
    /// lease may have expired in an outage or the store may have lost the entry in a restore; `None` if there
    /// was neither lately.
    pub fn reregistration_deadline(&self, now: Moment) -> Option<Moment> {
        let restored_at = self.era.filter(|era| era.is_restored);
        let restored_at = restored_at.map(|era| era.began_at);
        let deadline = self.outage_ended_at.max(restored_at)? + REREGISTRATION_GRACE;
        (now < deadline).then_some(deadline)
    }
}
