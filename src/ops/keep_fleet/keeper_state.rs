//! State of a keeper between rounds: actions in progress and observations.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::report::{KeeperReport, RefusedSupply};
use crate::core::document::Document;
use crate::core::fleet::{
    Backend, BackendKind, ClassCapacity, EngineBounds, EngineVm, FleetPlan, FleetView, ModelDemand,
    ModelInput, Need, NeedWindow, Offer, PlanInput, Refusals, RiskMeter, Supply, plan,
};
use crate::core::id::{MachineClass, ModelName, VmId};
use crate::core::time::{Moment, UnixMillis};

/// Length of the window over which needs are smoothed, so that a short dip in demand stops no engine.
const NEED_WINDOW: Duration = Duration::from_secs(300);
/// Time between the loss of a VM and the first token of its replacement.
const REPLACEMENT_TIME: Duration = Duration::from_secs(180);
/// Time within which a started VM must appear in the platform's list; after that it counts as lost.
const START_TIMEOUT: Duration = Duration::from_secs(180);

/// A VM start whose VM is not yet in the platform's list.
#[derive(Clone, Debug)]
pub(super) struct PendingStart {
    pub(super) supply: Supply,
    pub(super) token: Box<str>,
    pub(super) requested_at: Moment,
    /// ID of the VM, once the cloud has confirmed the start.
    pub(super) vm: Option<VmId>,
    /// Whether the start has definitely failed, so that it must not be retried.
    pub(super) has_failed: bool,
}

/// The retirement of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retirement {
    pub(super) since: Moment,
    /// The announcement to the nodes, if this keeper began the retirement.
    pub(super) notice: Option<RetirementNotice>,
}

/// The announcement of a retirement to the nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetirementNotice {
    pub(super) stops_at: UnixMillis,
    /// When to repeat the announcement.
    pub(super) repeat_at: Moment,
}

/// State of a keeper between rounds.
#[derive(Debug, Default)]
pub(super) struct KeeperState {
    pub(super) offers: Vec<Offer>,
    pub(super) offers_read_at: Option<Moment>,
    pub(super) refusals: Refusals,
    pub(super) pending_starts: Vec<PendingStart>,
    pub(super) retirements: HashMap<VmId, Retirement>,
    /// Model assigned to each engine.
    pub(super) assigned: HashMap<VmId, ModelName>,
    pub(super) start_count: u64,
    /// When to check each engine's state next.
    pub(super) next_checks: HashMap<VmId, Moment>,
    /// When to exchange reports with the other keepers next.
    pub(super) next_report: Moment,
    /// Latest reports of the keepers of other zones.
    pub(super) reports: Vec<KeeperReport>,
    pub(super) last_plan: FleetPlan,
    windows: HashMap<(ModelName, MachineClass), NeedWindow>,
    risks: RiskMeter,
    vms_with_notice: HashSet<VmId>,
    last_observed: Moment,
}

impl KeeperState {
    /// Updates the state from the fleet view: counts reclaims, and drops entries that the view has
    /// settled.
    pub(super) fn observe(&mut self, fleet: &FleetView, now: Moment) {
        self.count_reclaims(fleet, now);
        self.pending_starts.retain(|start| {
            let is_listed = start.vm.as_ref().is_some_and(|vm| fleet.get(vm).is_some());
            !is_listed && now < start.requested_at + START_TIMEOUT
        });
        self.assigned.retain(|vm, _| fleet.get(vm).is_some());
        self.retirements.retain(|vm, _| fleet.get(vm).is_some());
        self.next_checks.retain(|vm, _| fleet.get(vm).is_some());
    }

    /// Returns the engines that accept work, with the models that they serve or load.
    pub(super) fn engines(&self, fleet: &FleetView) -> Vec<EngineVm> {
        let engines = fleet.backends.iter();
        let engines = engines.filter(|b| b.kind == BackendKind::Engine && !b.is_leaving);
        let staying = engines.filter(|b| !self.retirements.contains_key(&b.vm));
        staying.map(|b| self.engine(b)).collect()
    }

    /// Returns the desired fleet.
    pub(super) fn plan(
        &mut self,
        document: &Document,
        demand: &[ModelDemand],
        engines: &[EngineVm],
        now: Moment,
    ) -> FleetPlan {
        let models: Vec<ModelInput> = model_inputs(document, demand);
        let risks = self.risks.risks();
        let input = PlanInput {
            models: &models,
            offers: &self.offers,
            risks: &risks,
            engines,
            refusals: &self.refusals,
            zones: &document.rules.zones,
            replacement_time: REPLACEMENT_TIME,
        };
        let windows = &mut self.windows;
        plan(&input, now, |model, class, need: Need| {
            let window = windows.entry((model.clone(), class.clone()));
            let window = window.or_insert_with(|| NeedWindow::new(NEED_WINDOW));
            window.update(need, now)
        })
    }

    /// Stores the reports of the other keepers, with the refused starts in them.
    pub(super) fn store_reports(&mut self, reports: Vec<KeeperReport>, now: Moment) {
        let refused = reports.iter().flat_map(|report| report.refused.iter());
        let refused = refused.map(|refused| (refused.supply.clone(), now + refused.remaining));
        self.refusals.set_remote_refusals(refused);
        self.reports = reports;
    }

    /// Returns the starts that the cloud refused to this keeper, with their remaining backoff.
    pub(super) fn refused_starts(&self, now: Moment) -> Vec<RefusedSupply> {
        let local_refusals = self.refusals.local_refusals(now);
        local_refusals
            .map(|(supply, until)| RefusedSupply {
                supply: supply.clone(),
                remaining: until.saturating_sub(now),
            })
            .collect()
    }

    fn engine(&self, backend: &Backend) -> EngineVm {
        let served = backend.serves.first().cloned();
        let assigned = self.assigned.get(&backend.vm).cloned();
        EngineVm {
            vm: backend.vm.clone(),
            supply: Supply {
                zone: backend.zone.clone(),
                class: backend.class.clone(),
                market: backend.market,
            },
            is_ready: served.is_some()
                && assigned.as_ref().is_none_or(|a| Some(a) == served.as_ref()),
            model: assigned.or(served),
        }
    }

    fn count_reclaims(&mut self, fleet: &FleetView, now: Moment) {
        let elapsed = now.saturating_sub(self.last_observed);
        self.last_observed = now;
        for backend in &fleet.backends {
            let is_new =
                backend.reclaim_at.is_some() && self.vms_with_notice.insert(backend.vm.clone());
            self.risks.observe(&backend.zone, elapsed, is_new);
        }
        self.vms_with_notice.retain(|vm| fleet.get(vm).is_some());
    }
}

/// Combines the configured model rules with the demand.
fn model_inputs(document: &Document, demand: &[ModelDemand]) -> Vec<ModelInput> {
    let rules = document.models.iter();
    let inputs = rules.map(|rule| {
        let model_demand = demand.iter().find(|d| d.model == rule.name);
        let tokens_per_second = model_demand.map(|d| d.tokens_per_second.clone());
        ModelInput {
            demand: ModelDemand {
                model: rule.name.clone(),
                tokens_per_second: tokens_per_second.unwrap_or_default(),
            },
            bounds: EngineBounds {
                min: rule.min_engines.into(),
                max: rule.max_engines.into(),
            },
            classes: capacities(document, rule.slots_per_engine.into()),
        }
    });
    inputs.collect()
}

/// Returns the throughput of an engine of each class that has accelerators, with all slots busy at the
/// configured target token interval of the first rank.
fn capacities(document: &Document, slots: u64) -> Vec<ClassCapacity> {
    let interval = document
        .ranks
        .first()
        .map(|rank| rank.token_interval_target);
    let interval_ms = interval.map_or(0, |interval| interval.as_millis() as u64);
    let tokens_per_second = slots * 1000 / interval_ms.max(1);
    let classes = document.machine_classes.iter();
    let classes = classes.filter(|class| class.accelerators > 0);
    let capacity = |class: &MachineClass| ClassCapacity {
        class: class.clone(),
        tokens_per_second: tokens_per_second.max(1),
    };
    classes.map(|class| capacity(&class.name)).collect()
}
