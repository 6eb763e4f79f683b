//! The engines whose home is this node.

use std::collections::BTreeMap;

use crate::core::fleet::Backend;
use crate::core::id::ModelName;
use crate::node::Blackboard;

/// The engines whose home is this node, by model, without those that are leaving.
#[derive(Clone, Debug, Default)]
pub(super) struct AssignedEngines {
    models: BTreeMap<ModelName, ModelEngines>,
}

#[derive(Clone, Debug, Default)]
struct ModelEngines {
    slots_per_engine: u32,
    engines: Vec<Backend>,
}

impl AssignedEngines {
    /// Collects the engines whose home is this node from the current routes.
    pub(super) fn of(board: &Blackboard) -> Self {
        let routes = board.routes.read();
        let config = board.config.read();
        let own_node = &board.identity.node;
        let mut models = BTreeMap::new();
        for rule in &config.document.models {
            let engines: Vec<_> = routes
                .serving(&rule.name)
                .iter()
                .filter(|route| route.home == *own_node)
                .map(|route| route.engine.clone())
                .collect();
            if !engines.is_empty() {
                let slots_per_engine = u32::from(rule.slots_per_engine);
                models.insert(
                    rule.name.clone(),
                    ModelEngines {
                        slots_per_engine,
                        engines,
                    },
                );
            }
        }
        Self { models }
    }

    pub(super) fn models(&self) -> Vec<ModelName> {
        self.models.keys().cloned().collect()
    }

    pub(super) fn has_engines(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    pub(super) fn engines(&self, model: &str) -> &[Backend] {
        self.models.get(model).map_or(&[], |model| &model.engines)
    }

    pub(super) fn slots(&self, model: &str) -> u32 {
        self.models
            .get(model)
            .map_or(0, |model| model.slots_per_engine)
    }

    /// Returns the total slots of all engines of a model.
    pub(super) fn total_slots(&self, model: &str) -> u32 {
        let engines = u32::try_from(self.engines(model).len()).unwrap_or(u32::MAX);
        self.slots(model).saturating_mul(engines)
    }
}
