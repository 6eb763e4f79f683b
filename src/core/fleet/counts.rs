//! Engine counts by supply and model.

use std::collections::HashMap;

use super::EngineVm;
use super::refusals::Supply;
use crate::core::id::ModelName;

/// Number of engines by supply and model.
#[derive(Debug)]
pub(super) struct EngineCounts<'a> {
    counts: HashMap<(&'a Supply, Option<&'a ModelName>), u32>,
}

impl<'a> EngineCounts<'a> {
    /// Counts engines.
    pub(super) fn new(engines: &'a [EngineVm]) -> Self {
        let mut counts = HashMap::new();
        for engine in engines {
            *counts
                .entry((&engine.supply, engine.model.as_ref()))
                .or_default() += 1;
        }
        Self { counts }
    }

    /// Returns the number of engines of a supply that have `model`, or no model for `None`.
    pub(super) fn get(&self, supply: &Supply, model: Option<&ModelName>) -> u32 {
        self.counts.get(&(supply, model)).copied().unwrap_or(0)
    }

    /// Returns the number of engines that have `model`, over all supplies.
    pub(super) fn of_model(&self, model: &ModelName) -> u32 {
        let counts = self.counts.iter();
        let of_model = counts.filter(|((_, served), _)| *served == Some(model));
        of_model.map(|(_, count)| count).sum()
    }
}
