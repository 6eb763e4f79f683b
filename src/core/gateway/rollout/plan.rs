//! Where the calls of a service may be placed during its rollout, and after it.

use super::candidates::{
    Candidates, Plan, Versions, canary_backends, has_other_version, has_version,
};
use super::exposure::Credit;
use super::lifecycle::{Phase, RolloutRecord};
use super::service::{HoldReason, ServiceRollout};
use crate::core::gateway::backends::Backends;
use crate::core::gateway::software::{AllowedSoftware, software_id};
use crate::core::time::Moment;

impl ServiceRollout {
    /// Returns where a call may be placed, or `None` if nothing restricts it.
    pub(super) fn plan(
        &self,
        service: &str,
        allowed: AllowedSoftware,
        backends: &Backends,
        now: Moment,
    ) -> Option<Plan> {
        let Some(record) = self.record_of_order() else {
            return self.plan_before_record(service, backends, now);
        };
        match record.phase {
            Phase::RolledBack => Some(Plan::only(self.in_use())),
            Phase::Succeeded => {
                let has_target = has_version(backends, service, &record.target, now);
                has_target.then(|| Plan::only(self.in_use()))
            }
            Phase::Canary | Phase::Promoted => {
                self.plan_of_running(record, service, allowed, backends, now)
            }
        }
    }

    /// Returns where calls are placed while the order is not on record: at the old versions, if there are any.
    fn plan_before_record(&self, service: &str, backends: &Backends, now: Moment) -> Option<Plan> {
        let target = &self.order.as_ref()?.order.target;
        let has_old = has_other_version(backends, service, target, now);
        has_old.then(|| Plan::only(self.in_use()))
    }

    fn plan_of_running(
        &self,
        record: &RolloutRecord,
        service: &str,
        allowed: AllowedSoftware,
        backends: &Backends,
        now: Moment,
    ) -> Option<Plan> {
        let target = &record.target;
        let is_bad = self.held == Some(HoldReason::BadEvidence);
        if !is_bad && !has_other_version(backends, service, target, now) {
            return None;
        }
        let old = self.in_use();
        let only = allowed.only();
        let needs_target = only == Some(software_id(service, target));
        if self.held.is_some() || (only.is_some() && !needs_target) {
            return Some(Plan::only(old));
        }
        let new = match record.phase {
            Phase::Canary if !needs_target => self
                .has_credit(Credit::Canary)
                .then(|| self.canaries(service, target, backends, now)),
            _ => self
                .has_credit(Credit::Full)
                .then(|| Candidates::Of(target.clone())),
        };
        Some(match new {
            Some(new) => Plan {
                first: new,
                otherwise: Some(old),
            },
            None => Plan::only(old),
        })
    }

    /// Returns the back ends in use besides those that get canary calls. Versions get no calls for good after a rollout,
    /// or while they wait for one to begin or succeed.
    pub(super) fn in_use(&self) -> Candidates {
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

    fn canaries(
        &self,
        service: &str,
        target: &str,
        backends: &Backends,
        now: Moment,
    ) -> Candidates {
        let seen = self.order.as_ref();
        let part = seen.map_or(0.0, |seen| seen.exposure.bound().canary_part());
        Candidates::Among(canary_backends(backends, service, target, part, now))
    }

    fn has_credit(&self, credit: Credit) -> bool {
        let seen = self.order.as_ref();
        seen.is_some_and(|seen| seen.exposure.has_credit(credit))
    }

    /// Returns whether a call that was placed at a version may still be sent there.
    pub(super) fn may_send(&self, version: &str) -> bool {
        let record = self.record.as_ref();
        let of_target = record.filter(|record| *record.target == *version);
        match of_target.map(|record| record.phase) {
            Some(Phase::RolledBack) => false,
            Some(Phase::Canary | Phase::Promoted) => self.held.is_none(),
            Some(Phase::Succeeded) | None => true,
        }
    }
}
