//! The rollout of one service, as one node knows it.

use std::time::Duration;

use super::Surroundings;
use super::evidence::{Evidence, Group};
use super::exposure::Exposure;
use super::lifecycle::{Phase, RolloutId, RolloutOrder, RolloutRecord};
use super::verdict::{Judge, LoadLevel, Verdict};
use crate::core::gateway::routes::ServiceName;
use crate::core::gateway::software::SoftwareVersion;
use crate::core::time::{Moment, UnixMillis};
use crate::sources::store::Revision;

/// Why a node sends nothing to the new version, although the phase would allow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The store has no record of the order yet.
    NoRecord,
    /// The operators have withdrawn the order.
    OrderWithdrawn,
    /// The evidence shows that the version is bad.
    BadEvidence,
    /// The node has no view of the store.
    NoView,
    /// No other node has sent a report lately.
    NoReports,
    /// The deadline has passed.
    DeadlinePassed,
}

/// State of a rollout, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The target.
    pub target: SoftwareVersion,
    /// Phase; `None` without a record.
    pub phase: Option<Phase>,
    /// Why this node does not use the new version, if so.
    pub held: Option<HoldReason>,
    /// Verdict on the evidence.
    pub verdict: Verdict,
    /// Calls that this node has sent since the order.
    pub sent: u64,
    /// Those to the new version.
    pub exposed: u64,
    /// Answers and failures of the old versions at all nodes.
    pub old: (u32, u32),
    /// Answers and failures of the new version at all nodes.
    pub new: (u32, u32),
    /// Time since the last report of any other node, if asked for.
    pub report_age: Option<Duration>,
}

/// What the store has of a rollout.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stored {
    /// Revision of the record.
    pub(super) revision: Revision,
    /// Whether it is the record that is in force.
    pub(super) is_current: bool,
}

/// An order, and when it was first seen.
#[derive(Debug)]
pub(super) struct SeenOrder {
    pub(super) order: RolloutOrder,
    pub(super) at: UnixMillis,
    pub(super) exposure: Exposure,
}

/// The rollout of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    pub(super) order: Option<SeenOrder>,
    /// The record in force.
    pub(super) record: Option<RolloutRecord>,
    pub(super) stored: Option<Stored>,
    pub(super) evidence: Evidence,
    pub(super) judge: Judge,
    pub(super) verdict: Option<Verdict>,
    /// When the new version first answered a call of any node.
    pub(super) answered_since: Option<Moment>,
    pub(super) held: Option<HoldReason>,
}

impl ServiceRollout {
    pub(super) fn put_order(
        &mut self,
        order: RolloutOrder,
        exposure: Exposure,
        wall: UnixMillis,
    ) -> bool {
        let is_known = |seen: &SeenOrder| seen.order.target == order.target;
        if self.order.as_ref().is_some_and(is_known) {
            return false;
        }
        self.order = Some(SeenOrder {
            order,
            at: wall,
            exposure,
        });
        self.held = self.hold_without_record();
        true
    }

    pub(super) fn put_record(&mut self, record: RolloutRecord, revision: Revision) -> bool {
        let known = self.record.as_ref();
        // A restored store may come back with an earlier phase, or with the record of an earlier rollout.
        let is_older = known.is_some_and(|known| {
            record != *known
                && (known.supersedes(&record) || self.is_earlier_rollout(known, &record))
        });
        self.stored = Some(Stored {
            revision,
            is_current: !is_older,
        });
        if is_older || known == Some(&record) {
            return false;
        }
        let is_other = known.is_none_or(|known| {
            known.target != record.target || known.ordered_at != record.ordered_at
        });
        if is_other {
            self.evidence = Evidence::default();
            self.judge = Judge::default();
            self.verdict = None;
            self.answered_since = None;
        }
        self.record = Some(record);
        let before = self.held.filter(|_| !is_other);
        let before = before.filter(|reason| *reason != HoldReason::NoRecord);
        self.held = self.hold_without_record().or(before);
        true
    }

    /// Returns whether a record of the store belongs to an earlier rollout than the one that is ordered.
    fn is_earlier_rollout(&self, known: &RolloutRecord, record: &RolloutRecord) -> bool {
        let ordered = self.order.as_ref().map(|seen| &seen.order.target);
        ordered == Some(&known.target) && ordered != Some(&record.target)
    }

    /// Returns the identifier of the rollout on record.
    pub(super) fn id(&self, service: &str) -> Option<RolloutId> {
        self.record.as_ref().map(|record| record.id(service))
    }

    /// Returns whether a rollout is on record that has not ended.
    pub(super) fn is_running(&self) -> bool {
        self.record
            .as_ref()
            .is_some_and(|record| !record.phase.is_final())
    }

    /// Returns the record if it is that of the order, or if there is no order.
    pub(super) fn record_of_order(&self) -> Option<&RolloutRecord> {
        let record = self.record.as_ref()?;
        let is_ordered = |seen: &SeenOrder| seen.order.target == record.target;
        self.order.as_ref().is_none_or(is_ordered).then_some(record)
    }

    fn hold_without_record(&self) -> Option<HoldReason> {
        match (&self.order, self.record_of_order()) {
            (Some(_), None) => Some(HoldReason::NoRecord),
            (None, Some(record)) if !record.phase.is_final() => Some(HoldReason::OrderWithdrawn),
            _ => None,
        }
    }

    pub(super) fn record_send(&mut self, version: &str) {
        if let Some(seen) = &mut self.order {
            seen.exposure.record(*seen.order.target == *version);
        }
    }

    pub(super) fn group_of(&self, version: &str) -> Option<Group> {
        let record = self.record.as_ref()?;
        Some(match *record.target == *version {
            true => Group::New,
            false => Group::Old,
        })
    }

    /// Judges the evidence. Returns whether this node begins or ceases to hold back.
    pub(super) fn update(&mut self, around: &Surroundings, lacks_reports: bool) -> bool {
        let before = self.held;
        self.held = self.hold_reason(around, lacks_reports);
        self.held != before
    }

    fn hold_reason(&mut self, around: &Surroundings, lacks_reports: bool) -> Option<HoldReason> {
        let without_record = self.hold_without_record();
        if without_record.is_some() || !self.is_running() {
            return without_record;
        }
        let record = self.record.as_ref()?;
        let (phase, deadline) = (record.phase, record.deadline());
        let load = match phase {
            Phase::Canary => LoadLevel::Canary,
            _ => LoadLevel::Full,
        };
        let verdict = self.judge.update(self.evidence.fleet(), load);
        self.verdict = Some(verdict);
        let mut routes = self.evidence.fleet().values();
        if self.answered_since.is_none() && routes.any(|counts| counts.new.answers > 0) {
            self.answered_since = Some(around.now);
        }
        if verdict == Verdict::Bad {
            Some(HoldReason::BadEvidence)
        } else if !around.has_view {
            Some(HoldReason::NoView)
        } else if lacks_reports {
            Some(HoldReason::NoReports)
        } else if around.wall >= deadline {
            Some(HoldReason::DeadlinePassed)
        } else {
            None
        }
    }

    pub(super) fn status(&self, service: &str, report_age: Option<Duration>) -> RolloutStatus {
        let seen = self.order.as_ref();
        let target = seen.map(|seen| &seen.order.target);
        let target = target.or(self.record.as_ref().map(|record| &record.target));
        let counts = self.evidence.fleet().values();
        let (old, new) = counts.fold(((0, 0), (0, 0)), |(old, new), counts| {
            let add = |sum: (u32, u32), counts: &super::evidence::Counts| {
                (sum.0 + counts.answers, sum.1 + counts.failures)
            };
            (add(old, &counts.old), add(new, &counts.new))
        });
        RolloutStatus {
            service: service.into(),
            target: target.cloned().unwrap_or_default(),
            phase: self.record.as_ref().map(|record| record.phase),
            held: self.held,
            verdict: self.verdict.unwrap_or(Verdict::TooFew),
            sent: seen.map_or(0, |seen| seen.exposure.sent()),
            exposed: seen.map_or(0, |seen| seen.exposure.exposed()),
            old,
            new,
            report_age,
        }
    }
}
