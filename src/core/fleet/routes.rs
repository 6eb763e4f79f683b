//! Routing table: engines with their homes, by model.

use std::collections::HashMap;

use super::{Backend, BackendKind, FleetView};
use crate::core::cells::Homes;
use crate::core::id::{ModelName, NodeId};

/// An engine with its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The engine.
    pub engine: Backend,
    /// Home node of the engine.
    pub home: NodeId,
}

/// Engines that accept work, with their homes, by model.
///
/// Computed when members or back ends change and not for each request, because finding the homes of
/// all engines takes milliseconds in a large fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    by_model: HashMap<ModelName, Vec<Route>>,
}

impl Routes {
    /// Computes the routes of a fleet.
    pub fn of(fleet: &FleetView, homes: &Homes) -> Self {
        let mut by_model: HashMap<ModelName, Vec<Route>> = HashMap::new();
        let engines = fleet.backends.iter();
        for engine in engines.filter(|b| b.kind == BackendKind::Engine && !b.is_leaving) {
            let Some(home) = homes.get(&engine.vm) else {
                continue;
            };
            for model in &engine.serves {
                by_model.entry(model.clone()).or_default().push(Route {
                    engine: engine.clone(),
                    home: home.clone(),
                });
            }
        }
        Self { by_model }
    }

    /// Returns the engines that serve a model.
    pub fn serving(&self, model: &str) -> &[Route] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }
}
