//! What the holder of the duties writes to the store for a service's rollout.

use super::Surroundings;
use super::candidates::{has_version, other_versions};
use super::lifecycle::{Phase, PublishedRollout, RolloutRecord, RolloutState};
use super::service::ServiceRollout;
use super::verdict::Verdict;
use crate::core::gateway::backends::Backends;
use crate::core::gateway::routes::ServiceName;
use crate::sources::store::Revision;

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

impl ServiceRollout {
    /// Returns what is to be written now, if the store does not have it.
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
