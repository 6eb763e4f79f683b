//! Rollouts of software versions: a service moves to back ends of a new version wholly or not at all.
//!
//! While a rollout runs, each node bounds by its own counts which part of its calls goes to the new version
//! ([`exposure`]). All nodes exchange counts of answers ([`evidence`]) and judge them ([`verdict`]). Only phases that are
//! read from the store widen the use of the new version ([`lifecycle`]); a node stops using it on its own.

pub mod candidates;
pub mod evidence;
pub mod exposure;
pub mod lifecycle;
mod plan;
mod service;
pub mod verdict;
mod writes;

use std::collections::HashMap;
use std::time::Duration;

use self::candidates::{Candidates, Plan};
use self::evidence::{CountsByRoute, Group, RouteCounts, RouteId};
use self::exposure::{Exposure, ExposureBound};
use self::lifecycle::{PublishedRollout, RolloutId, RolloutOrder, RolloutRecord};
use self::service::ServiceRollout;
use super::backends::Backends;
use super::observed::Observer;
use super::origin::Origin;
use super::routes::ServiceName;
use super::software::AllowedSoftware;
use crate::core::time::{Moment, UnixMillis};
use crate::sources::store::{Era, Revision};

pub use service::{HoldReason, RolloutStatus};
pub use writes::WriteTask;

/// Age of the last report of any other node above which a node does not use the new version.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Bounds on rollouts, as operators configure them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Bound on the calls that a new version gets before its rollout has succeeded.
    pub exposure: ExposureBound,
    /// Time after which a version that has shown to be bad gets no call.
    pub stop_within: Duration,
}

/// What a node needs to know beside its counts to use a new version.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings {
    /// Whether the node has a view of the store.
    pub has_view: bool,
    /// Whether there are other nodes.
    pub has_others: bool,
    /// Time of the monotonic clock.
    pub now: Moment,
    /// Wall-clock time.
    pub wall: UnixMillis,
}

/// Rollouts of all services, as one node knows them.
#[derive(Debug)]
pub struct Rollouts {
    bounds: RolloutBounds,
    services: HashMap<ServiceName, ServiceRollout>,
    /// When another node or zone last reported.
    last_report: Option<Moment>,
}

impl Rollouts {
    /// Creates the state of a node that knows of no order.
    pub fn new(bounds: RolloutBounds) -> Self {
        Self {
            bounds,
            services: HashMap::new(),
            last_report: None,
        }
    }

    /// Applies an order of the operators at one of `nodes` nodes. `draw` is uniform between 0 and 1. Returns whether it
    /// is a new one.
    pub fn put_order(
        &mut self,
        order: RolloutOrder,
        nodes: usize,
        wall: UnixMillis,
        draw: f64,
    ) -> bool {
        if self.bounds.exposure.max_part <= 0.0 {
            return false;
        }
        let exposure = Exposure::new(self.bounds.exposure, nodes, draw);
        let service = order.service.clone();
        let rollout = self.services.entry(service).or_default();
        rollout.put_order(order, exposure, wall)
    }

    /// Applies that the operators have withdrawn their order.
    pub fn remove_order(&mut self, service: &str) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.order = None;
        }
    }

    /// Applies the record of a rollout in the store. Returns whether it is in force now and was not before.
    pub fn put_record(&mut self, service: &str, record: RolloutRecord, revision: Revision) -> bool {
        let rollout = self.services.entry(service.into()).or_default();
        rollout.put_record(record, revision)
    }

    /// Applies that the store has no record of a rollout.
    pub fn remove_record(&mut self, service: &str) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.record = None;
            rollout.stored = None;
        }
    }

    /// Records that the store has come back in a later era, and may have lost records of earlier ones.
    pub fn forget_revisions_before(&mut self, era: Era) {
        let rollouts = self.services.values_mut();
        for stored in rollouts.filter_map(|rollout| rollout.stored.as_mut()) {
            if stored.revision.era < era {
                stored.revision = Revision::NONE;
                stored.is_current = false;
            }
        }
    }

    /// Returns the services of which rollouts are on record or ordered.
    pub fn services(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Returns the state of a service's rollout, for logs.
    pub fn status(&self, service: &str) -> Option<RolloutStatus> {
        let rollout = self.services.get(service)?;
        Some(rollout.status(service, None))
    }

    /// Returns where a call may be placed, or `None` if no rollout restricts it.
    pub fn plan(
        &self,
        service: &str,
        allowed: AllowedSoftware,
        backends: &Backends,
        now: Moment,
    ) -> Option<Plan> {
        let rollout = self.services.get(service)?;
        rollout.plan(service, allowed, backends, now)
    }

    /// Counts a call that is sent to a version.
    pub fn record_send(&mut self, service: &str, version: Option<&str>) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.record_send(version.unwrap_or_default());
        }
    }

    /// Returns the group of a version while a rollout of the service runs.
    pub fn group_of(&self, service: &str, version: Option<&str>) -> Option<Group> {
        let rollout = self
            .services
            .get(service)
            .filter(|rollout| rollout.is_running())?;
        rollout.group_of(version.unwrap_or_default())
    }

    /// Returns the back ends of a service that are in use, besides those that get canary calls.
    pub fn in_use(&self, service: &str) -> Candidates {
        let rollout = self.services.get(service);
        rollout.map_or(Candidates::Any, ServiceRollout::in_use)
    }

    /// Returns whether a call that was placed at a version may still be sent there.
    pub fn may_send(&self, service: &str, version: Option<&str>) -> bool {
        let rollout = self.services.get(service);
        rollout.is_none_or(|rollout| rollout.may_send(version.unwrap_or_default()))
    }

    /// Counts an answer to a call of this node, by the bucket of its time.
    pub fn record_answer(&mut self, service: &str, route: RouteId, group: Group, bucket: usize) {
        if let Some(rollout) = self.running(service) {
            rollout.evidence.record_answer(route, group, bucket);
        }
    }

    /// Counts that an answer to a call of this node, which was counted before, is a failure.
    pub fn record_failure(&mut self, service: &str, route: RouteId, group: Group) {
        if let Some(rollout) = self.running(service) {
            rollout.evidence.record_failure(route, group);
        }
    }

    /// Counts that a call of this node ended without an answer, if an answer would have been slow by then.
    pub fn record_unanswered(
        &mut self,
        service: &str,
        route: RouteId,
        group: Group,
        bucket: usize,
    ) {
        let Some(rollout) = self.running(service) else {
            return;
        };
        let slow_from = rollout.judge.slow_from(route);
        if slow_from.is_some_and(|from| bucket >= from) {
            rollout.evidence.record_answer(route, group, bucket);
        }
    }

    /// Records that another node or zone has reported, with or without counts.
    pub fn note_report(&mut self, now: Moment) {
        self.last_report = Some(now);
    }

    /// Applies counts of another node or zone.
    pub fn apply_report(
        &mut self,
        from: &Origin,
        observer: Observer,
        counts: HashMap<RolloutId, CountsByRoute>,
    ) {
        for (id, counts) in counts {
            let mut rollouts = self.services.iter_mut();
            let known = rollouts.find(|(service, rollout)| rollout.id(service) == Some(id));
            if let Some((_, rollout)) = known {
                rollout.evidence.apply_report(from, observer, counts);
            }
        }
    }

    /// Returns the counts that this node reports for itself, or for its availability zone.
    pub fn to_report(&self, observer: Observer) -> Vec<(RolloutId, RouteId, RouteCounts)> {
        let running = self
            .services
            .iter()
            .filter(|(_, rollout)| rollout.is_running());
        let counts = running.flat_map(|(service, rollout)| {
            let id = rollout.id(service).unwrap_or_default();
            let counts = rollout.evidence.to_report(observer).into_iter();
            counts.map(move |(route, counts)| (id, route, counts))
        });
        counts.collect()
    }

    /// Judges the evidence on all running rollouts, and decides whether this node uses the new versions. Returns the
    /// services for which that has changed.
    pub fn update(&mut self, around: &Surroundings) -> Vec<RolloutStatus> {
        let max_age = MAX_REPORT_AGE.min(self.bounds.stop_within / 2);
        let last_report = self.last_report;
        let age = last_report.map(|at| around.now.saturating_sub(at));
        let lacks_reports = around.has_others && age.is_none_or(|age| age > max_age);
        let mut changed = Vec::new();
        for (service, rollout) in &mut self.services {
            if rollout.update(around, lacks_reports) {
                changed.push(rollout.status(service, age));
            }
        }
        changed
    }

    /// Returns the records that the holder of the duties writes now. `published` is what the store has for operators.
    pub fn write_tasks(
        &self,
        backends: &Backends,
        around: &Surroundings,
        published: &HashMap<ServiceName, PublishedRollout>,
    ) -> Vec<WriteTask> {
        let rollouts = self.services.iter();
        let tasks = rollouts.filter_map(|(service, rollout)| {
            rollout.write_task(service, backends, around, published.get(service))
        });
        tasks.collect()
    }

    fn running(&mut self, service: &str) -> Option<&mut ServiceRollout> {
        let rollout = self.services.get_mut(service)?;
        rollout.is_running().then_some(rollout)
    }
}
