//! What to do next to bring the fleet that runs to the wanted one.

use super::counts::EngineCounts;
use super::plan::{EngineVm, FleetPlan, ModelPlan};
use super::refusals::Supply;
use crate::core::id::{ModelName, VmId};

/// Why a step is taken, the most pressing first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepCause {
    /// Fewer engines run than urgent work needs.
    FloorIsShort,
    /// Fewer engines run than all work needs.
    DemandIsShort,
    /// More engines would be missing than urgent work can bear if a zone were lost.
    FloorIsAtRisk,
    /// More engines run than are needed here.
    Surplus,
}

/// One step towards the wanted fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Loads a model on an engine that has none.
    Load {
        /// The engine's VM.
        vm: VmId,
        /// Where it was had.
        supply: Supply,
        /// Model to load.
        model: ModelName,
        /// Why.
        cause: StepCause,
    },
    /// Starts a VM for an engine.
    Start {
        /// Where and how.
        supply: Supply,
        /// Model that it shall serve.
        model: ModelName,
        /// Why.
        cause: StepCause,
    },
    /// Gives an engine no new work, waits until it is idle and stops its VM.
    Retire {
        /// The engine's VM.
        vm: VmId,
        /// Where it was had.
        supply: Supply,
    },
}

impl Step {
    /// Returns the supply that the step is about; a keeper takes the steps of its own zone.
    pub fn supply(&self) -> &Supply {
        match self {
            Self::Load { supply, .. } | Self::Start { supply, .. } => supply,
            Self::Retire { supply, .. } => supply,
        }
    }
}

/// A missing engine.
#[derive(Clone, Debug)]
struct Gap {
    cause: StepCause,
    supply: Supply,
    model: ModelName,
}

/// Returns the next steps, the most pressing first, with at most `max_loads` engines that are starting
/// or loading at once, those without a model among `engines` and `starting` counted in.
///
/// An engine is retired only where enough others serve its model: replacements come first.
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
    for gap in gaps(plan, engines) {
        if let Some(at) = idle.iter().position(|e| e.supply == gap.supply) {
            let engine = idle.remove(at);
            if loads_left > 0 {
                loads_left -= 1;
                steps.push(load(engine, gap));
            }
        } else if let Some(at) = starting.iter().position(|s| *s == gap.supply) {
            starting.remove(at);
        } else if starts_left > 0 {
            starts_left -= 1;
            steps.push(Step::Start {
                supply: gap.supply,
                model: gap.model,
                cause: gap.cause,
            });
        }
    }
    steps.extend(idle.into_iter().map(retire));
    steps.extend(surplus(plan, engines).into_iter().map(retire));
    steps
}

fn load(engine: &EngineVm, gap: Gap) -> Step {
    Step::Load {
        vm: engine.vm.clone(),
        supply: gap.supply,
        model: gap.model,
        cause: gap.cause,
    }
}

fn retire(engine: &EngineVm) -> Step {
    Step::Retire {
        vm: engine.vm.clone(),
        supply: engine.supply.clone(),
    }
}

fn serving<'a>(engines: &'a [EngineVm], model: &'a str) -> impl Iterator<Item = &'a EngineVm> {
    let serves = move |e: &&EngineVm| e.model.as_deref() == Some(model);
    engines.iter().filter(serves)
}

/// Returns the missing engines, the most pressing first.
fn gaps(plan: &FleetPlan, engines: &[EngineVm]) -> Vec<Gap> {
    let counts = EngineCounts::new(engines);
    let mut gaps = Vec::new();
    for model in &plan.models {
        let count = counts.of_model(&model.model);
        let missing = missing_supplies(model, &counts);
        gaps.extend((count..).zip(missing).map(|(count, supply)| Gap {
            cause: cause(model, count),
            supply,
            model: model.model.clone(),
        }));
    }
    // The sort keeps the plan's order of models within a cause.
    gaps.sort_by_key(|gap| gap.cause);
    gaps
}

/// Returns why one more engine is needed where `count` run.
fn cause(model: &ModelPlan, count: u32) -> StepCause {
    if count < model.need.floor {
        StepCause::FloorIsShort
    } else if count < model.need.wanted {
        StepCause::DemandIsShort
    } else {
        StepCause::FloorIsAtRisk
    }
}

/// Returns the supplies of a model's missing engines, one entry each, in turn over the places, so that
/// the first engines are spread over the zones.
fn missing_supplies(model: &ModelPlan, counts: &EngineCounts<'_>) -> Vec<Supply> {
    let placed = model.placement.placed.iter();
    let mut by_place: Vec<(Supply, u32)> = placed
        .map(|placed| {
            let supply = model.supply(placed);
            let here = counts.get(&supply, Some(&model.model));
            (supply, placed.count.saturating_sub(here))
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

/// Returns the engines that are not needed where they run and can be spared.
fn surplus<'a>(plan: &'a FleetPlan, engines: &'a [EngineVm]) -> Vec<&'a EngineVm> {
    let is_unknown = |e: &&EngineVm| e.model.as_ref().is_some_and(|m| plan.model(m).is_none());
    let mut surplus: Vec<&EngineVm> = engines.iter().filter(is_unknown).collect();
    for model in &plan.models {
        surplus.extend(model_surplus(model, engines));
    }
    surplus.sort_by(|a, b| a.vm.cmp(&b.vm));
    surplus
}

/// Returns a model's engines outside the plan, as many as can go while enough others serve.
///
/// While something is missing that cannot be had, nothing is given back.
fn model_surplus<'a>(model: &'a ModelPlan, engines: &'a [EngineVm]) -> Vec<&'a EngineVm> {
    if model.placement.shortfall > 0 || model.placement.floor_shortfall > 0 {
        return Vec::new();
    }
    let mut room = model.placement.placed.clone();
    let mut ready = 0;
    let mut extra = Vec::new();
    for engine in serving(engines, &model.model) {
        ready += u32::from(engine.is_ready);
        match room
            .iter_mut()
            .find(|p| p.count > 0 && model.has(p, engine))
        {
            Some(placed) => placed.count -= 1,
            None => extra.push(engine),
        }
    }
    let needed = model.need.wanted.max(model.placement.total());
    let spare = ready.saturating_sub(needed) as usize;
    extra.into_iter().take(spare).collect()
}
