//! One reconciliation round of a keeper: observes the fleet, plans, and performs the steps of its own
//! zone.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::keeper_state::{KeeperState, PendingStart, Retirement, RetirementNotice};
use super::report::{KeeperReport, exchange, total_demand};
use super::{HeldLease, ZoneKeeper};
use crate::core::fleet::orders::Permit;
use crate::core::fleet::{
    BackendKind, FleetPlan, FleetView, ModelDemand, Step, Supply, next_steps,
};
use crate::core::id::VmId;
use crate::core::time::{Moment, UnixMillis};
use crate::core::verdict::Verdict;
use crate::sources::cloud::{StartOutcome, StartVm, VmRole};
use crate::util::time::unix_now;

/// Interval between reads of the cloud's offers and prices.
const OFFERS_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between exchanges of reports with the other keepers.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time after the announcement that an engine leaves until no node sends it work, including the lag of
/// the engine's load report.
const ANNOUNCE_PROPAGATION_TIME: Duration = Duration::from_secs(5);
/// Time for a retired engine to finish its work; its home then moves unfinished requests elsewhere.
const RETIREMENT_TIMEOUT: Duration = Duration::from_secs(600);
/// Interval between repetitions of an announcement that an engine leaves, since notices expire on nodes.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(60);

impl ZoneKeeper {
    /// Runs rounds until cancelled.
    pub(super) async fn run_rounds(&self, lease: &HeldLease) {
        let mut state = KeeperState::default();
        let mut ticks = interval(self.setup.round_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.run_round(&mut state, lease).await;
        }
    }

    async fn run_round(&self, state: &mut KeeperState, lease: &HeldLease) {
        self.read_offers(state).await;
        let installed = self.setup.board.config.read();
        if state.offers.is_empty() || installed.revision == 0 || !self.is_lease_valid(lease) {
            return;
        }
        let document = &installed.document;
        let fleet = self.setup.board.fleet.read();
        let now = self.clock.now();
        state.observe(&fleet, now);
        let demand = self.update_demand(state, lease).await;
        let engines = state.engines(&fleet);
        let plan = state.plan(document, &demand, &engines, now);
        self.log_plan(state, &plan);
        let starting: Vec<Supply> = state
            .pending_starts
            .iter()
            .map(|s| s.supply.clone())
            .collect();
        let steps = next_steps(&plan, &engines, &starting, self.setup.max_loads);
        let own_steps = steps.into_iter().filter(|s| s.supply().zone == self.zone);
        for step in own_steps {
            self.perform(step, state, lease).await;
        }
        self.send_starts(state, lease).await;
        self.order_engines(state, lease, &fleet, document).await;
        self.stop_idle_engines(state, lease, &fleet).await;
    }

    /// Returns whether the lease stays valid long enough for an action.
    fn is_lease_valid(&self, lease: &HeldLease) -> bool {
        let rules = &self.setup.rules;
        lease.tenure().permit(true, self.clock.now(), rules) == Permit::Send
    }

    async fn read_offers(&self, state: &mut KeeperState) {
        let now = self.clock.now();
        if state
            .offers_read_at
            .is_some_and(|at| now < at + OFFERS_INTERVAL)
        {
            return;
        }
        match self.setup.cloud.offers().await {
            Ok(offers) => {
                state.offers = offers;
                state.offers_read_at = Some(now);
            }
            // Uses the previous prices until the cloud replies.
            Err(e) => tracing::debug!(error = %e, "cannot read prices"),
        }
    }

    /// Returns the demand of all regions. That of other regions comes from their latest reports.
    async fn update_demand(&self, state: &mut KeeperState, lease: &HeldLease) -> Vec<ModelDemand> {
        let now = self.clock.now();
        let own_report = KeeperReport {
            zone: self.zone.clone(),
            region: self.setup.board.identity.region.clone(),
            models: self.setup.host.demand(),
            refused: state.refused_starts(now),
        };
        if now >= state.next_report {
            state.next_report = now + REPORT_INTERVAL;
            match exchange(&*self.setup.store, lease.id, &own_report).await {
                Ok(reports) => state.store_reports(reports, now),
                Err(e) => tracing::debug!(error = %e, "cannot exchange reports"),
            }
        }
        total_demand(own_report, &state.reports)
    }

    /// Logs the plan if it has changed, and updates the metric of the shortfall.
    fn log_plan(&self, state: &mut KeeperState, plan: &FleetPlan) {
        if state.last_plan != *plan {
            for model in &plan.models {
                tracing::info!(zone = &*self.zone, "{model}");
            }
            state.last_plan = plan.clone();
        }
        let short: u32 = plan
            .models
            .iter()
            .map(|m| m.placement.floor_shortfall)
            .sum();
        metrics::gauge!("jayhall_keeper_floor_shortfall").set(f64::from(short));
    }

    async fn perform(&self, step: Step, state: &mut KeeperState, lease: &HeldLease) {
        tracing::info!(zone = &*self.zone, "{step}");
        match step {
            Step::Load { vm, model, .. } => {
                state.assigned.insert(vm, model);
            }
            Step::Retire { vm, .. } => self.begin_retirement(vm, state).await,
            Step::Start { supply, .. } => {
                state.start_count += 1;
                let fence = lease.tenure().fence;
                let token = format!("{}-{fence}-{}", self.zone, state.start_count);
                state.pending_starts.push(PendingStart {
                    supply,
                    token: token.into(),
                    requested_at: self.clock.now(),
                    vm: None,
                    has_failed: false,
                });
            }
        }
    }

    /// Sends the start calls that the cloud has not confirmed yet. A call whose reply was lost is
    /// repeated with the same idempotency token, so that it starts no second VM.
    async fn send_starts(&self, state: &mut KeeperState, lease: &HeldLease) {
        let mut pending_starts = std::mem::take(&mut state.pending_starts);
        for start in &mut pending_starts {
            if start.vm.is_none() && self.is_lease_valid(lease) {
                self.start_vm(start, state).await;
            }
        }
        pending_starts.retain(|start| !start.has_failed);
        state.pending_starts = pending_starts;
    }

    async fn start_vm(&self, start: &mut PendingStart, state: &mut KeeperState) {
        let req = StartVm {
            zone: start.supply.zone.clone(),
            class: start.supply.class.clone(),
            role: VmRole::Engine,
            market: start.supply.market,
            token: start.token.clone(),
        };
        match self.setup.cloud.start_vm(req).await {
            Ok(StartOutcome::Started(vm)) => {
                metrics::counter!("jayhall_keeper_starts_total").increment(1);
                state.refusals.started(&start.supply);
                start.vm = Some(vm);
            }
            Ok(StartOutcome::NoCapacity) => {
                metrics::counter!("jayhall_keeper_refused_starts_total").increment(1);
                state
                    .refusals
                    .refused(start.supply.clone(), self.clock.now());
                start.has_failed = true;
            }
            Err(e) => {
                tracing::debug!(error = %e, "VM start not confirmed");
                start.has_failed = e.verdict() == Verdict::NotRun;
            }
        }
    }

    async fn begin_retirement(&self, vm: VmId, state: &mut KeeperState) {
        let stops_at = unix_now() + RETIREMENT_TIMEOUT.as_millis() as UnixMillis;
        let retirement = Retirement {
            since: self.clock.now(),
            notice: Some(RetirementNotice {
                stops_at,
                repeat_at: Moment::ZERO,
            }),
        };
        state.retirements.insert(vm, retirement);
        self.announce_retirements(state).await;
    }

    /// Announces the retirements begun by this keeper, and repeats the announcements when due.
    async fn announce_retirements(&self, state: &mut KeeperState) {
        let now = self.clock.now();
        for (vm, retirement) in &mut state.retirements {
            if let Some(notice) = &mut retirement.notice
                && notice.repeat_at <= now
            {
                notice.repeat_at = now + REANNOUNCE_INTERVAL;
                let host = &self.setup.host;
                host.announce_leaving(vm.clone(), notice.stops_at).await;
            }
        }
    }

    /// Stops the VMs of leaving engines that are idle.
    async fn stop_idle_engines(
        &self,
        state: &mut KeeperState,
        lease: &HeldLease,
        fleet: &FleetView,
    ) {
        self.announce_retirements(state).await;
        let now = self.clock.now();
        let engines = fleet.backends.iter();
        let engines = engines.filter(|b| b.kind == BackendKind::Engine && b.zone == self.zone);
        for engine in engines {
            if engine.is_leaving {
                // The retirement may have been started by a former keeper or by the cloud.
                let entry = state.retirements.entry(engine.vm.clone());
                entry.or_insert(Retirement {
                    since: now,
                    notice: None,
                });
            }
            let Some(retirement) = state.retirements.get(&engine.vm).copied() else {
                continue;
            };
            if now < retirement.since + ANNOUNCE_PROPAGATION_TIME || !self.is_lease_valid(lease) {
                continue;
            }
            let may_stop = match self.setup.engines.load(engine.address).await {
                Ok(load) => load.is_idle(),
                Err(_) => now >= retirement.since + RETIREMENT_TIMEOUT,
            };
            if may_stop && let Err(e) = self.setup.cloud.stop_vm(engine.vm.clone()).await {
                tracing::debug!(vm = &*engine.vm, error = %e, "cannot stop the VM; will retry");
            }
        }
    }
}
