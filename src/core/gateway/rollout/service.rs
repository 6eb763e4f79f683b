//! The rollout of one service, as one node knows it.

use std::time::Duration;

use super::Surroundings;
use super::candidates::{
    Candidates, Plan, Versions, canary_backends, has_other_version, has_version, other_versions,
};
use super::evidence::{Evidence, Group};
use super::exposure::{Credit, Exposure, canary_fraction};
use super::lifecycle::{
    Phase, PublishedRollout, RolloutId, RolloutOrder, RolloutRecord, RolloutState,
};
use super::verdict::{Judge, LoadLevel, Verdict};
use crate::core::gateway::backends::Backends;
use crate::core::gateway::routes::ServiceName;
use crate::core::gateway::software::{AllowedSoftware, SoftwareVersion, software_id};
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

/// A record to be written to the store, together with the status for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteTask {
    /// The service.
    pub service: ServiceName,
    /// The record.
    pub record: RolloutRecord,
    /// Revision of the record to be replaced; [`Revision::NONE`] if there is none.
    pub revision: Revision,
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
    order: RolloutOrder,
    at: UnixMillis,
    exposure: Exposure,
    max_exposure: f64,
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
    verdict: Option<Verdict>,
    /// When the new version first answered a call of any node.
    answered_since: Option<Moment>,
    held: Option<HoldReason>,
}

impl ServiceRollout {
    pub(super) fn put_order(
        &mut self,
        order: RolloutOrder,
        max_exposure: f64,
        wall: UnixMillis,
        draw: f64,
    ) -> bool {
        let is_known = |seen: &SeenOrder| seen.order.target == order.target;
        if self.order.as_ref().is_some_and(is_known) {
            return false;
        }
        self.order = Some(SeenOrder {
            order,
            at: wall,
            exposure: Exposure::new(max_exposure, draw),
            max_exposure,
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
        self.held = self.hold_without_record();
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
    fn record_of_order(&self) -> Option<&RolloutRecord> {
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

    /// Returns the versions that get no calls: for good after a rollout, and those that wait for one to begin.
    fn excluded(&self) -> Candidates {
        let mut versions = Versions::new();
        if let Some(record) = &self.record {
            match record.phase {
                Phase::Succeeded => versions.extend(record.replaced.iter().cloned()),
                _ => versions.push(record.target.clone()),
            }
        }
        match (&self.order, self.record_of_order()) {
            (_, Some(record)) if record.phase.is_final() => Candidates::Except(versions),
            (Some(seen), None) => {
                versions.push(seen.order.target.clone());
                Candidates::Withheld(versions)
            }
            _ => Candidates::Withheld(versions),
        }
    }

    pub(super) fn plan(
        &self,
        service: &str,
        allowed: AllowedSoftware,
        backends: &Backends,
        now: Moment,
    ) -> Option<Plan> {
        if self.order.is_none() && self.record.is_none() {
            return None;
        }
        let excluded = self.excluded();
        let Some(record) = self.record_of_order() else {
            return self.plan_before_record(excluded, service, backends, now);
        };
        let target = &record.target;
        match record.phase {
            Phase::RolledBack => return Some(Plan::only(excluded)),
            Phase::Succeeded => {
                let has_target = has_version(backends, service, target, now);
                return has_target.then(|| Plan::only(excluded));
            }
            Phase::Canary | Phase::Promoted | Phase::Switched => {}
        }
        if self.held == Some(HoldReason::BadEvidence) {
            return Some(Plan::only(excluded));
        }
        if !has_other_version(backends, service, target, now) {
            return None;
        }
        let needs_target = allowed.only() == Some(software_id(service, target));
        if self.held.is_some() || (allowed.only().is_some() && !needs_target) {
            return Some(Plan::only(excluded));
        }
        let first = match record.phase {
            Phase::Switched => Some(Candidates::Of(target.clone())),
            _ if needs_target || record.phase == Phase::Promoted => self
                .has_credit(Credit::Full)
                .then(|| Candidates::Of(target.clone())),
            _ => self
                .has_credit(Credit::Canary)
                .then(|| self.canaries(service, target, backends, now)),
        };
        Some(match first {
            Some(first) => Plan {
                first,
                otherwise: Some(excluded),
            },
            None => Plan::only(excluded),
        })
    }

    /// Returns where calls are placed while the order is not on record: at the old versions, if there are any.
    fn plan_before_record(
        &self,
        excluded: Candidates,
        service: &str,
        backends: &Backends,
        now: Moment,
    ) -> Option<Plan> {
        let target = &self.order.as_ref()?.order.target;
        let has_old = has_other_version(backends, service, target, now);
        has_old.then(|| Plan::only(excluded))
    }

    fn canaries(
        &self,
        service: &str,
        target: &str,
        backends: &Backends,
        now: Moment,
    ) -> Candidates {
        let max_exposure = self.order.as_ref().map_or(0.0, |seen| seen.max_exposure);
        let fraction = canary_fraction(max_exposure);
        Candidates::Among(canary_backends(backends, service, target, fraction, now))
    }

    fn has_credit(&self, credit: Credit) -> bool {
        let seen = self.order.as_ref();
        seen.is_some_and(|seen| seen.exposure.has_credit(credit))
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

    pub(super) fn in_use(&self) -> Candidates {
        match self.record_of_order() {
            Some(record) if record.phase == Phase::Switched => {
                Candidates::Except(record.replaced.iter().cloned().collect())
            }
            _ => self.excluded(),
        }
    }

    pub(super) fn may_send(&self, version: &str) -> bool {
        match self.record_of_order() {
            Some(record) if *record.target == *version => {
                record.phase != Phase::RolledBack && self.held.is_none()
            }
            _ => true,
        }
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
        } else if phase == Phase::Switched {
            // The old version is about to stop.
            None
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

    pub(super) fn write_task(
        &self,
        service: &str,
        backends: &Backends,
        around: &Surroundings,
        published: Option<&PublishedRollout>,
    ) -> Option<WriteTask> {
        let record = self.next_record(service, backends, around, published)?;
        let stored = self.stored.filter(|stored| stored.is_current);
        let is_stored = stored.is_some() && self.record.as_ref() == Some(&record);
        if is_stored && published == Some(&record.published()) {
            return None;
        }
        Some(WriteTask {
            service: service.into(),
            record,
            revision: self.stored.map_or(Revision::NONE, |stored| stored.revision),
        })
    }

    /// Returns the record that is to be in force now.
    fn next_record(
        &self,
        service: &str,
        backends: &Backends,
        around: &Surroundings,
        published: Option<&PublishedRollout>,
    ) -> Option<RolloutRecord> {
        let Some(record) = self.record_of_order() else {
            return self.first_record(service, backends, around, published);
        };
        let is_withdrawn = self.order.is_none() && !record.phase.is_final();
        let next = match is_withdrawn {
            true => Some(Phase::RolledBack),
            false => {
                let since = self.answered_since.unwrap_or(around.now);
                let observed = around.now.saturating_sub(since);
                let verdict = self.verdict.unwrap_or(Verdict::TooFew);
                record.next(verdict, observed, around.wall)
            }
        };
        Some(match next {
            Some(phase) => record.in_phase(phase, around.wall),
            None => record.clone(),
        })
    }

    /// Returns the record with which the rollout of an order begins. If it was lost after its end, the published state
    /// stands. There is nothing to move if the service has only back ends of the target.
    fn first_record(
        &self,
        service: &str,
        backends: &Backends,
        around: &Surroundings,
        published: Option<&PublishedRollout>,
    ) -> Option<RolloutRecord> {
        let seen = self.order.as_ref()?;
        let target = &seen.order.target;
        let replaced = other_versions(backends, service, target, around.now).into_vec();
        let has_target = has_version(backends, service, target, around.now);
        let has_only_target = has_target && replaced.is_empty();
        let record = RolloutRecord::begin(&seen.order, seen.at, replaced, around.wall);
        let published = published.filter(|published| published.target == *target);
        let phase = match published.map(|published| published.state) {
            Some(RolloutState::RolledBack) => Phase::RolledBack,
            Some(RolloutState::Succeeded) => Phase::Succeeded,
            _ if has_only_target => Phase::Succeeded,
            _ => Phase::Canary,
        };
        Some(record.in_phase(phase, around.wall))
    }
}
