//! Steps that bring the running fleet to the planned one.

use super::counts::EngineCounts;
use super::plan::{EngineVm, FleetPlan, ModelPlan};
use super::refusals::Supply;
use crate::core::id::{ModelName, VmId};

/// Cause of a step, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepCause {
    /// Fewer engines run than the urgent work needs.
    FloorIsShort,
    /// Fewer engines run than the total work needs.
    DemandIsShort,
    /// The loss of a zone would leave fewer engines than the urgent work needs.
    FloorIsAtRisk,
    /// More engines run than the plan has.
    Surplus,
}

/// One step towards the planned fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Load a model on an engine that has none.
    Load {
        /// The engine's VM.
        vm: VmId,
        /// Supply of the VM.
        supply: Supply,
        /// Model to load.
        model: ModelName,
        /// Cause of the step.
        cause: StepCause,
    },
    /// Start a VM for an engine.
    Start {
        /// Supply of the VM.
        supply: Supply,
        /// Model that the engine will serve.
        model: ModelName,
        /// Cause of the step.
        cause: StepCause,
    },
    /// Drain an engine and stop its VM.
    Retire {
        /// The engine's VM.
        vm: VmId,
        /// Supply of the VM.
        supply: Supply,
    },
}

impl Step {
    /// Returns the capacity pool of the cloud whose VMs the step changes. A keeper executes only the steps
    /// in its own zone.
    pub fn supply(&self) -> &Supply {
        match self {
            Self::Load { supply, .. } | Self::Start { supply, .. } => supply,
            Self::Retire { supply, .. } => supply,
        }
    }
}

/// A planned engine that does not run yet.
#[derive(Clone, Debug)]
struct MissingEngine {
    cause: StepCause,
    supply: Supply,
    model: ModelName,
}

/// Returns the next steps, most urgent first. Limits the engines that start or load at the same time to
/// `max_loads`, including `starting` and those of `engines` that have no model.
///
/// An engine is retired only if enough others serve its model, so replacements come first.
pub fn next_steps(
    plan: &FleetPlan,
    engines: &[EngineVm],
    starting: &[Supply],
    max_loads: usize,
) -> Vec<Step> {
    let mut idle: Vec<&EngineVm> = engines.iter().filter(|e| e.model.is_none()).collect();
    idle.sort_by(|a, b| a.vm.cmp(&b.vm));
    let mut starting = starting.to_vec();
    let loading = engines.iter().filter(|e| e.is_loading()).count();
    let mut loads_left = max_loads.saturating_sub(loading);
    let mut starts_left = loads_left.saturating_sub(idle.len() + starting.len());
    let mut steps = Vec::new();
    for missing in missing_engines(plan, engines) {
        if let Some(at) = idle.iter().position(|e| e.supply == missing.supply) {
            let engine = idle.remove(at);
            if loads_left > 0 {
                loads_left -= 1;
                steps.push(load(engine, missing));
            }
        } else if let Some(at) = starting.iter().position(|s| *s == missing.supply) {
            starting.remove(at);
        } else if starts_left > 0 {
            starts_left -= 1;
            steps.push(Step::Start {
                supply: missing.supply,
                model: missing.model,
                cause: missing.cause,
            });
        }
    }
    steps.extend(idle.into_iter().map(retire));
    steps.extend(surplus_engines(plan, engines).into_iter().map(retire));
    steps
}

fn load(engine: &EngineVm, missing: MissingEngine) -> Step {
    Step::Load {
        vm: engine.vm.clone(),
        supply: missing.supply,
        model: missing.model,
        cause: missing.cause,
    }
}

fn retire(engine: &EngineVm) -> Step {
    Step::Retire {
        vm: engine.vm.clone(),
        supply: engine.supply.clone(),
    }
}

fn engines_of_model<'a>(
    engines: &'a [EngineVm],
    model: &'a str,
) -> impl Iterator<Item = &'a EngineVm> {
    let serves = move |e: &&EngineVm| e.model.as_deref() == Some(model);
    engines.iter().filter(serves)
}

/// Returns the missing engines, most urgent first.
fn missing_engines(plan: &FleetPlan, engines: &[EngineVm]) -> Vec<MissingEngine> {
    let counts = EngineCounts::new(engines);
    let mut missing = Vec::new();
    for model in &plan.models {
        let count = counts.of_model(&model.model);
        let supplies = missing_supplies(model, &counts);
        missing.extend(
            (count..)
                .zip(supplies)
                .map(|(count, supply)| MissingEngine {
                    cause: cause_of_next_engine(model, count),
                    supply,
                    model: model.model.clone(),
                }),
        );
    }
    // The sort is stable, so the plan's order of models is kept within a cause.
    missing.sort_by_key(|engine| engine.cause);
    missing
}

/// Returns why a model with `count` running engines needs one more.
fn cause_of_next_engine(model: &ModelPlan, count: u32) -> StepCause {
    if count < model.need.floor {
        StepCause::FloorIsShort
    } else if count < model.need.wanted {
        StepCause::DemandIsShort
    } else {
        StepCause::FloorIsAtRisk
    }
}

/// Returns the supply of each missing engine of a model, round-robin over the places, so that the
/// first engines are spread over the zones.
fn missing_supplies(model: &ModelPlan, counts: &EngineCounts<'_>) -> Vec<Supply> {
    let placed = model.placement.placed.iter();
    let mut by_place: Vec<(Supply, u32)> = placed
        .map(|placed| {
            let supply = model.supply(placed);
            let running = counts.get(&supply, Some(&model.model));
            (supply, placed.count.saturating_sub(running))
        })
        .collect();
    let mut supplies = Vec::new();
    while by_place.iter().any(|(_, missing)| *missing > 0) {
        for (supply, missing) in &mut by_place {
            if *missing > 0 {
                *missing -= 1;
                supplies.push(supply.clone());
            }
        }
    }
    supplies
}

/// Returns the engines outside the plan that can be retired.
fn surplus_engines<'a>(plan: &'a FleetPlan, engines: &'a [EngineVm]) -> Vec<&'a EngineVm> {
    let is_unplanned = |e: &&EngineVm| e.model.as_ref().is_some_and(|m| plan.model(m).is_none());
    let mut surplus: Vec<&EngineVm> = engines.iter().filter(is_unplanned).collect();
    for model in &plan.models {
        surplus.extend(surplus_engines_of_model(model, engines));
    }
    surplus.sort_by(|a, b| a.vm.cmp(&b.vm));
    surplus
}

/// Returns a model's engines outside the plan, as many as can be retired while enough others serve.
///
/// Returns none while the plan has a shortfall.
fn surplus_engines_of_model<'a>(
    model: &'a ModelPlan,
    engines: &'a [EngineVm],
) -> Vec<&'a EngineVm> {
    if model.placement.shortfall > 0 || model.placement.floor_shortfall > 0 {
        return Vec::new();
    }
    let mut unfilled_places = model.placement.placed.clone();
    let mut ready = 0;
    let mut outside_plan = Vec::new();
    for engine in engines_of_model(engines, &model.model) {
        ready += u32::from(engine.is_ready);
        match unfilled_places
            .iter_mut()
            .find(|p| p.count > 0 && model.contains_engine(p, engine))
        {
            Some(placed) => placed.count -= 1,
            None => outside_plan.push(engine),
        }
    }
    let required = model.need.wanted.max(model.placement.total());
    let retirable = ready.saturating_sub(required) as usize;
    outside_plan.into_iter().take(retirable).collect()
}
