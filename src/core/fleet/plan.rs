//! The wanted fleet: how many engines each model has, of which class, where and in which market.

use std::time::Duration;

use super::placement::{Placed, Placement, place};
use super::places::Planner;
use super::refusals::{Refusals, Supply};
use super::{EngineBounds, Market, ModelDemand, Need, Offer, size};
use crate::core::id::{MachineClass, ModelName, ZoneId};
use crate::core::time::Moment;

/// How much cheaper a VM that runs counts than one that would have to start, in percent.
const RUNNING_BONUS_PERCENT: u64 = 10;

/// What one engine of a class makes of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassCapacity {
    /// Class of VM.
    pub class: MachineClass,
    /// Tokens a second of one engine.
    pub tokens_per_second: u64,
}

/// A model and what it is to be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelInput {
    /// Work that callers ask for.
    pub demand: ModelDemand,
    /// Fewest and most engines.
    pub bounds: EngineBounds,
    /// Classes that can run the model.
    pub classes: Vec<ClassCapacity>,
}

/// How often a zone takes VMs back, as observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRisk {
    /// Availability zone.
    pub zone: ZoneId,
    /// Reclaims of one VM in a thousand hours.
    pub reclaims_per_thousand_hours: u64,
}

/// An engine VM that is not leaving, as observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineVm {
    /// Name in the platform's list.
    pub vm: Box<str>,
    /// Where and how it was had.
    pub supply: Supply,
    /// Model that it serves or loads; none where it was ordered none yet.
    pub model: Option<ModelName>,
    /// Whether it serves the model.
    pub is_ready: bool,
}

impl EngineVm {
    /// Returns whether it loads a model.
    pub fn is_loading(&self) -> bool {
        self.model.is_some() && !self.is_ready
    }
}

/// Everything that the wanted fleet follows from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Models, in any order.
    pub models: &'a [ModelInput],
    /// What the cloud offers.
    pub offers: &'a [Offer],
    /// How often zones take VMs back; none for those without a reclaim.
    pub risks: &'a [ZoneRisk],
    /// Engines that run.
    pub engines: &'a [EngineVm],
    /// Starts refused lately.
    pub refusals: &'a Refusals,
    /// Zones in which VMs may be started; empty for all.
    pub zones: &'a [ZoneId],
    /// Time between the loss of a VM and the first token of its replacement.
    pub replacement_time: Duration,
}

/// What one model is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlan {
    /// The model.
    pub model: ModelName,
    /// Class of its VMs.
    pub class: MachineClass,
    /// Engines that it needs.
    pub need: Need,
    /// Where they run.
    pub placement: Placement,
}

impl ModelPlan {
    /// Returns whether an engine is in a place of the plan.
    pub fn has(&self, placed: &Placed, engine: &EngineVm) -> bool {
        engine.supply.zone == placed.zone
            && engine.supply.market == placed.market
            && engine.supply.class == self.class
    }

    /// Returns the supply of a place.
    pub fn supply(&self, placed: &Placed) -> Supply {
        Supply {
            zone: placed.zone.clone(),
            class: self.class.clone(),
            market: placed.market,
        }
    }

    /// Returns the plan of a model that no offered class can run: its engines are left alone.
    fn unplaced(model: &ModelInput) -> Self {
        let need = Need {
            wanted: model.bounds.max,
            floor: model.bounds.min,
            max: model.bounds.max,
        };
        Self {
            model: model.demand.model.clone(),
            class: MachineClass::default(),
            need,
            placement: place(need, &[], RUNNING_BONUS_PERCENT),
        }
    }
}

/// The wanted fleet, with the models of the most urgent work first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetPlan {
    /// What each model is given.
    pub models: Vec<ModelPlan>,
}

impl FleetPlan {
    /// Returns what a model is given.
    pub fn model(&self, name: &str) -> Option<&ModelPlan> {
        self.models.iter().find(|plan| &*plan.model == name)
    }
}

/// Returns the wanted fleet. Needs are passed through `smooth`, which may remember earlier ones.
pub fn plan(
    input: &PlanInput<'_>,
    now: Moment,
    mut smooth: impl FnMut(&ModelName, &MachineClass, Need) -> Need,
) -> FleetPlan {
    let mut planner = Planner::new(input, now);
    let mut models: Vec<&ModelInput> = input.models.iter().collect();
    // Models with more urgent work choose first among supplies that are short.
    models.sort_by(|a, b| {
        let urgency = b.demand.urgent().cmp(&a.demand.urgent());
        urgency.then_with(|| a.demand.model.cmp(&b.demand.model))
    });
    let mut plans = Vec::with_capacity(models.len());
    for model in models {
        let candidates = model.classes.iter().map(|class| {
            let need = size(&model.demand, model.bounds, class.tokens_per_second);
            let need = smooth(&model.demand.model, &class.class, need);
            let places = planner.places(&model.demand.model, &class.class);
            ModelPlan {
                model: model.demand.model.clone(),
                class: class.class.clone(),
                need,
                placement: place(need, &places, RUNNING_BONUS_PERCENT),
            }
        });
        let best = candidates.min_by_key(|plan| (plan.placement.rank(), plan.class.clone()));
        let best = best.unwrap_or_else(|| ModelPlan::unplaced(model));
        planner.take(&best);
        plans.push(best);
    }
    FleetPlan { models: plans }
}

impl Offer {
    /// Returns the supply that the offer is about.
    pub fn supply(&self, market: Market) -> Supply {
        Supply {
            zone: self.zone.clone(),
            class: self.class.clone(),
            market,
        }
    }
}
