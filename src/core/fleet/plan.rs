//! Fleet plan: number, machine class, zones and markets of the engines of each model.

use std::time::Duration;

use super::placement::{Placed, Placement, place};
use super::places::Planner;
use super::refusals::{Refusals, Supply};
use super::{EngineBounds, Market, ModelDemand, Need, Offer, compute_need};
use crate::core::id::{MachineClass, ModelName, ZoneId};
use crate::core::time::Moment;

/// Discount of a running VM over one that would have to be started, in percent.
const RUNNING_DISCOUNT_PERCENT: u64 = 10;

/// Throughput of one engine of a machine class for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassCapacity {
    /// Class of VM.
    pub class: MachineClass,
    /// Tokens per second of one engine.
    pub tokens_per_second: u64,
}

/// A model with its demand, limits and usable classes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelInput {
    /// Demand of callers.
    pub demand: ModelDemand,
    /// Minimum and maximum number of engines.
    pub bounds: EngineBounds,
    /// Classes that can run the model.
    pub classes: Vec<ClassCapacity>,
}

/// Observed reclaim rate of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRisk {
    /// Availability zone.
    pub zone: ZoneId,
    /// Reclaims per thousand VM hours.
    pub reclaims_per_thousand_hours: u64,
}

/// An observed engine VM that is not leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineVm {
    /// Name in the platform's VM list.
    pub vm: Box<str>,
    /// Supply of the VM.
    pub supply: Supply,
    /// Model that the engine serves or loads; `None` if no model has been ordered yet.
    pub model: Option<ModelName>,
    /// Whether the engine serves the model.
    pub is_ready: bool,
}

impl EngineVm {
    /// Returns whether the engine is loading a model.
    pub fn is_loading(&self) -> bool {
        self.model.is_some() && !self.is_ready
    }
}

/// Input of [`plan`].
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Models, in any order.
    pub models: &'a [ModelInput],
    /// Offers of the cloud.
    pub offers: &'a [Offer],
    /// Reclaim rates of the zones; zones without a reclaim are left out.
    pub risks: &'a [ZoneRisk],
    /// Running engines.
    pub engines: &'a [EngineVm],
    /// Recently refused starts.
    pub refusals: &'a Refusals,
    /// Zones in which VMs may be started; empty for all.
    pub zones: &'a [ZoneId],
    /// Time from the loss of a VM to the first token of its replacement.
    pub replacement_time: Duration,
}

/// Plan for one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlan {
    /// The model.
    pub model: ModelName,
    /// Machine class of the VMs.
    pub class: MachineClass,
    /// Number of engines that the model needs.
    pub need: Need,
    /// Placement of the engines.
    pub placement: Placement,
}

impl ModelPlan {
    /// Returns whether an engine runs in a place of the plan.
    pub fn contains_engine(&self, placed: &Placed, engine: &EngineVm) -> bool {
        engine.supply.zone == placed.zone
            && engine.supply.market == placed.market
            && engine.supply.class == self.class
    }

    /// Returns the capacity pool of the cloud that the VMs of one place of the plan come from.
    pub fn supply(&self, placed: &Placed) -> Supply {
        Supply {
            zone: placed.zone.clone(),
            class: self.class.clone(),
            market: placed.market,
        }
    }

    /// Returns the plan of a model that no offered class can run. Its shortfall prevents the retirement
    /// of its engines.
    fn without_places(model: &ModelInput) -> Self {
        let need = Need {
            wanted: model.bounds.max,
            floor: model.bounds.min,
            max: model.bounds.max,
        };
        Self {
            model: model.demand.model.clone(),
            class: MachineClass::default(),
            need,
            placement: place(need, &[], RUNNING_DISCOUNT_PERCENT),
        }
    }
}

/// The planned fleet, with the models of the highest urgent demand first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetPlan {
    /// Plan of each model.
    pub models: Vec<ModelPlan>,
}

impl FleetPlan {
    /// Returns the plan of a model.
    pub fn model(&self, name: &str) -> Option<&ModelPlan> {
        self.models.iter().find(|plan| &*plan.model == name)
    }
}

/// Computes the fleet plan. `smooth` maps each need to the one to use, and may take earlier needs into
/// account.
pub fn plan(
    input: &PlanInput<'_>,
    now: Moment,
    mut smooth: impl FnMut(&ModelName, &MachineClass, Need) -> Need,
) -> FleetPlan {
    let mut planner = Planner::new(input, now);
    let mut models: Vec<&ModelInput> = input.models.iter().collect();
    // Models with higher urgent demand get scarce supplies first.
    models.sort_by(|a, b| {
        let urgency = b.demand.urgent().cmp(&a.demand.urgent());
        urgency.then_with(|| a.demand.model.cmp(&b.demand.model))
    });
    let mut plans = Vec::with_capacity(models.len());
    for model in models {
        let candidates = model.classes.iter().map(|class| {
            let need = compute_need(&model.demand, model.bounds, class.tokens_per_second);
            let need = smooth(&model.demand.model, &class.class, need);
            let places = planner.places(&model.demand.model, &class.class);
            ModelPlan {
                model: model.demand.model.clone(),
                class: class.class.clone(),
                need,
                placement: place(need, &places, RUNNING_DISCOUNT_PERCENT),
            }
        });
        let best = candidates.min_by_key(|plan| (plan.placement.rank(), plan.class.clone()));
        let best = best.unwrap_or_else(|| ModelPlan::without_places(model));
        planner.assign_idle_engines(&best);
        plans.push(best);
    }
    FleetPlan { models: plans }
}

impl Offer {
    /// Returns the supply of the offer in a market.
    pub fn supply(&self, market: Market) -> Supply {
        Supply {
            zone: self.zone.clone(),
            class: self.class.clone(),
            market,
        }
    }
}
