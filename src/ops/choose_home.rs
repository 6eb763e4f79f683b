//! Which home gets the next attempt of a request.

use std::collections::HashMap;

use parking_lot::Mutex;

use crate::core::fleet::BackendKind;
use crate::core::id::{NodeId, VmId};
use crate::node::Blackboard;
use crate::ops::home::home_of;

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Home of the engine.
    pub home: NodeId,
    /// Engine that should run it.
    pub engine: VmId,
}

/// Chooses among homes by what this node has given to each engine.
#[derive(Debug, Default)]
pub struct HomeChoice {
    in_flight: Mutex<HashMap<VmId, u32>>,
}

impl HomeChoice {
    /// Returns where an attempt for a model goes, or `None` where no engine serves the model.
    ///
    /// Engines of the own zone come before those of the region, and those before the rest, where they
    /// have as little to do.
    pub fn choose(&self, board: &Blackboard, model: &str) -> Option<Target> {
        let members = board.members.read();
        let fleet = board.fleet.read();
        let in_flight = self.in_flight.lock();
        let own = &board.identity;
        fleet
            .serving(BackendKind::Engine, model)
            .filter_map(|engine| {
                let home = home_of(engine, &members)?;
                let load = in_flight.get(&engine.vm).copied().unwrap_or(0);
                let distance = if engine.zone == own.zone {
                    0
                } else if engine.region == own.region {
                    1
                } else {
                    2
                };
                let target = Target {
                    home,
                    engine: engine.vm.clone(),
                };
                Some((
                    (distance / 2, load, distance, rand::random::<u32>()),
                    target,
                ))
            })
            .min_by_key(|(key, _)| *key)
            .map(|(_, target)| target)
    }

    /// Counts an attempt that goes to an engine.
    pub fn begin(&self, engine: &VmId) {
        *self.in_flight.lock().entry(engine.clone()).or_default() += 1;
    }

    /// Counts the end of an attempt.
    pub fn end(&self, engine: &VmId) {
        let mut in_flight = self.in_flight.lock();
        if let Some(count) = in_flight.get_mut(engine) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                in_flight.remove(engine);
            }
        }
    }
}
