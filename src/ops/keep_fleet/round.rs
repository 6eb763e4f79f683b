//! One reconciliation round of a keeper: observes the fleet, plans, and performs the steps of its own
//! zone.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::keeper_state::{Announced, KeeperState, PendingStart, Retiring};
use super::report::{KeeperReport, exchange, total};
use super::{Held, ZoneKeeper};
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
const QUIET_TIME: Duration = Duration::from_secs(5);
/// Time for a retired engine to finish its work; its home then moves unfinished requests elsewhere.
const RETIREMENT_TIME: Duration = Duration::from_secs(600);
/// Interval between repetitions of an announcement that an engine leaves, since notices expire on nodes.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(60);

impl ZoneKeeper {
    /// Runs rounds until cancelled.
    pub(super) async fn rounds(&self, held: &Held) {
        let mut state = KeeperState::default();
        let mut ticks = interval(self.setup.round_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.round(&mut state, held).await;
        }
    }

    async fn round(&self, state: &mut KeeperState, held: &Held) {
        self.read_offers(state).await;
        let installed = self.setup.board.config.read();
        if state.offers.is_empty() || installed.revision == 0 || !self.holds(held) {
            return;
        }
        let document = &installed.document;
        let fleet = self.setup.board.fleet.read();
        let now = self.clock.now();
        state.observe(&fleet, now);
        let demand = self.demand(state, held).await;
        let engines = state.engines(&fleet);
        let plan = state.plan(document, &demand, &engines, now);
        self.tell(state, &plan);
        let starting: Vec<Supply> = state.starts.iter().map(|s| s.supply.clone()).collect();
        let steps = next_steps(&plan, &engines, &starting, self.setup.max_loads);
        let own = steps.into_iter().filter(|s| s.supply().zone == self.zone);
        for step in own {
            self.take(step, state, held).await;
        }
        self.repeat_starts(state, held).await;
        self.order(state, held, &fleet, document).await;
        self.retire(state, held, &fleet).await;
    }

    /// Returns whether the lease stays valid long enough for an action.
    fn holds(&self, held: &Held) -> bool {
        let rules = &self.setup.rules;
        held.tenure().permit(true, self.clock.now(), rules) == Permit::Send
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
    async fn demand(&self, state: &mut KeeperState, held: &Held) -> Vec<ModelDemand> {
        let now = self.clock.now();
        let own = KeeperReport {
            zone: self.zone.clone(),
            region: self.setup.board.identity.region.clone(),
            models: self.setup.host.demand(),
            refused: state.refused(now),
        };
        if now >= state.report_at {
            state.report_at = now + REPORT_INTERVAL;
            match exchange(&*self.setup.store, held.lease, &own).await {
                Ok(told) => state.hear(told, now),
                Err(e) => tracing::debug!(error = %e, "cannot exchange reports"),
            }
        }
        total(own, &state.told)
    }

    /// Logs the plan if it has changed, and updates the metric of the shortfall.
    fn tell(&self, state: &mut KeeperState, plan: &FleetPlan) {
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

    async fn take(&self, step: Step, state: &mut KeeperState, held: &Held) {
        tracing::info!(zone = &*self.zone, "{step}");
        match step {
            Step::Load { vm, model, .. } => {
                state.assigned.insert(vm, model);
            }
            Step::Retire { vm, .. } => self.begin_retirement(vm, state).await,
            Step::Start { supply, .. } => {
                state.starts_begun += 1;
                let fence = held.tenure().fence;
                let token = format!("{}-{fence}-{}", self.zone, state.starts_begun);
                state.starts.push(PendingStart {
                    supply,
                    token: token.into(),
                    begun_at: self.clock.now(),
                    vm: None,
                    is_void: false,
                });
            }
        }
    }

    /// Sends the start calls that the cloud has not confirmed yet. A call whose reply was lost is
    /// repeated with the same idempotency token, so that it starts no second VM.
    async fn repeat_starts(&self, state: &mut KeeperState, held: &Held) {
        let mut starts = std::mem::take(&mut state.starts);
        for start in &mut starts {
            if start.vm.is_none() && self.holds(held) {
                self.start(start, state).await;
            }
        }
        starts.retain(|start| !start.is_void);
        state.starts = starts;
    }

    async fn start(&self, start: &mut PendingStart, state: &mut KeeperState) {
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
                start.is_void = true;
            }
            Err(e) => {
                tracing::debug!(error = %e, "VM start not confirmed");
                start.is_void = e.verdict() == Verdict::NotRun;
            }
        }
    }

    async fn begin_retirement(&self, vm: VmId, state: &mut KeeperState) {
        let stops_at = unix_now() + RETIREMENT_TIME.as_millis() as UnixMillis;
        let retiring = Retiring {
            since: self.clock.now(),
            announced: Some(Announced {
                stops_at,
                repeat_at: Moment::ZERO,
            }),
        };
        state.retiring.insert(vm, retiring);
        self.announce(state).await;
    }

    /// Announces the retirements begun by this keeper, and repeats the announcements when due.
    async fn announce(&self, state: &mut KeeperState) {
        let now = self.clock.now();
        for (vm, retiring) in &mut state.retiring {
            if let Some(announced) = &mut retiring.announced
                && announced.repeat_at <= now
            {
                announced.repeat_at = now + ANNOUNCE_INTERVAL;
                let host = &self.setup.host;
                host.announce_leaving(vm.clone(), announced.stops_at).await;
            }
        }
    }

    /// Stops the VMs of leaving engines that are idle.
    async fn retire(&self, state: &mut KeeperState, held: &Held, fleet: &FleetView) {
        self.announce(state).await;
        let now = self.clock.now();
        let engines = fleet.backends.iter();
        let engines = engines.filter(|b| b.kind == BackendKind::Engine && b.zone == self.zone);
        for engine in engines {
            if engine.is_leaving {
                // The retirement may have been started by a former keeper or by the cloud.
                let known = state.retiring.entry(engine.vm.clone());
                known.or_insert(Retiring {
                    since: now,
                    announced: None,
                });
            }
            let Some(retiring) = state.retiring.get(&engine.vm).copied() else {
                continue;
            };
            if now < retiring.since + QUIET_TIME || !self.holds(held) {
                continue;
            }
            let may_stop = match self.setup.engines.load(engine.address).await {
                Ok(load) => load.is_idle(),
                Err(_) => now >= retiring.since + RETIREMENT_TIME,
            };
            if may_stop && let Err(e) = self.setup.cloud.stop_vm(engine.vm.clone()).await {
                tracing::debug!(vm = &*engine.vm, error = %e, "cannot stop the VM; will retry");
            }
        }
    }
}
