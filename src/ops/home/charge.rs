//! The engines that a node is home of.

use std::collections::BTreeMap;

use crate::core::cells;
use crate::core::fleet::{Backend, BackendKind};
use crate::core::id::{ModelName, NodeId};
use crate::core::membership::MemberView;
use crate::node::Blackboard;

/// The engines that a node is home of, by model, without those that leave.
#[derive(Clone, Debug, Default)]
pub(super) struct Charge {
    models: BTreeMap<ModelName, ModelCharge>,
}

#[derive(Clone, Debug, Default)]
struct ModelCharge {
    slots_per_engine: u32,
    engines: Vec<Backend>,
}

/// Returns the node that is home of an engine: one of the engine's zone, else one of its region.
pub fn home_of(engine: &Backend, view: &MemberView) -> Option<NodeId> {
    let job = format!("engine/{}", engine.vm);
    let in_zone = view
        .working_in_region(&engine.region)
        .filter(|member| member.zone == engine.zone)
        .map(|member| &*member.node);
    let in_region = view
        .working_in_region(&engine.region)
        .map(|member| &*member.node);
    cells::owner(&job, in_zone)
        .or_else(|| cells::owner(&job, in_region))
        .map(NodeId::from)
}

impl Charge {
    /// Computes the engines that this node is home of now.
    pub(super) fn of(board: &Blackboard) -> Self {
        let members = board.members.read();
        let fleet = board.fleet.read();
        let config = board.config.read();
        let own =
            |engine: &Backend| home_of(engine, &members).as_ref() == Some(&board.identity.node);
        let mut models = BTreeMap::new();
        for rule in &config.document.models {
            let engines: Vec<_> = fleet
                .serving(BackendKind::Engine, &rule.name)
                .filter(|engine| own(engine))
                .cloned()
                .collect();
            if !engines.is_empty() {
                let slots_per_engine = u32::from(rule.slots_per_engine);
                models.insert(
                    rule.name.clone(),
                    ModelCharge {
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

    pub(super) fn has(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    pub(super) fn engines(&self, model: &str) -> &[Backend] {
        self.models.get(model).map_or(&[], |charge| &charge.engines)
    }

    pub(super) fn slots(&self, model: &str) -> u32 {
        self.models
            .get(model)
            .map_or(0, |charge| charge.slots_per_engine)
    }

    /// Returns the slots of all engines of a model.
    pub(super) fn total_slots(&self, model: &str) -> u32 {
        let engines = u32::try_from(self.engines(model).len()).unwrap_or(u32::MAX);
        self.slots(model).saturating_mul(engines)
    }
}
