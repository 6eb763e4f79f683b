//! Sends orders to the engines of a keeper's zone.

use std::time::Duration;

use futures::stream::{self, StreamExt};

use super::keeper_state::KeeperState;
use super::{Held, ZoneKeeper};
use crate::core::document::Document;
use crate::core::fleet::orders::{EngineState, Permit, Versioned, reconcile};
use crate::core::fleet::{Backend, BackendKind, FleetView};
use crate::core::id::{ModelName, VmId};
use crate::core::time::Moment;
use crate::sources::engine::OrderOutcome;

/// Maximum number of engines that are reconciled concurrently.
const CONCURRENT_ENGINES: usize = 16;
/// Interval between checks of an engine that is in its desired state.
const LOOK_INTERVAL: Duration = Duration::from_secs(10);

/// Outcome of the reconciliation of one engine.
enum Left {
    /// The engine is in its desired state, or has accepted all orders to get there.
    InOrder,
    /// The engine did not answer, or no order may be sent at present; to be retried next round.
    Later,
    /// The engine has seen a newer fencing number.
    Fenced,
}

/// An engine and its desired model.
struct Task {
    engine: Backend,
    model: ModelName,
    checks_fencing: bool,
}

impl ZoneKeeper {
    /// Compares the zone's engines with their desired state, and orders the difference.
    pub(super) async fn order(
        &self,
        state: &mut KeeperState,
        held: &Held,
        fleet: &FleetView,
        document: &Document,
    ) {
        let now = self.clock.now();
        let engines = fleet
            .backends
            .iter()
            .filter(|b| b.kind == BackendKind::Engine && b.zone == self.zone && !b.is_leaving);
        let mut tasks = Vec::new();
        for engine in engines {
            if !state.retiring.contains_key(&engine.vm)
                && state.is_due(engine, now)
                && let Some(model) = state.assign(engine)
            {
                let class = document.machine_class(&engine.class);
                tasks.push(Task {
                    engine: engine.clone(),
                    model,
                    // Engines of a class missing in the document are assumed not to check fencing
                    // numbers.
                    checks_fencing: class.is_some_and(|class| class.checks_fencing),
                });
            }
        }
        let left = stream::iter(tasks)
            .map(|task| self.look(task, held))
            .buffer_unordered(CONCURRENT_ENGINES);
        let left: Vec<_> = left.collect().await;
        for (vm, left) in left {
            match left {
                Left::InOrder => state.looked(vm, now + LOOK_INTERVAL),
                Left::Later => {}
                Left::Fenced => {
                    tracing::warn!(zone = &*self.zone, vm = &*vm, "a newer keeper gives orders");
                    held.end();
                }
            }
        }
    }

    async fn look(&self, task: Task, held: &Held) -> (VmId, Left) {
        let left = self.bring(&task, held).await;
        (task.engine.vm, left)
    }

    /// Reconciles one engine with its desired model.
    async fn bring(&self, task: &Task, held: &Held) -> Left {
        if !self.may_order(task, held) {
            return Left::Later;
        }
        let address = task.engine.address;
        let observed = match self.setup.engines.state(address).await {
            Ok(observed) => observed,
            Err(e) => {
                tracing::debug!(vm = &*task.engine.vm, error = %e, "cannot read the engine's state");
                return Left::Later;
            }
        };
        let wanted = EngineState {
            models: [Versioned {
                name: task.model.clone(),
                version: Box::default(),
            }]
            .into_iter()
            .collect(),
            adapters: observed.adapters.clone(),
            role: Box::default(),
        };
        for order in reconcile(&wanted, &observed) {
            // The lease is checked again before each order, since each order takes time.
            if !self.may_order(task, held) {
                return Left::Later;
            }
            let fence = held.tenure().fence;
            let deadline = self.setup.rules.longest_order;
            let outcome = self.setup.engines.order(address, fence, order, deadline);
            match outcome.await {
                Ok(OrderOutcome::Taken) => {
                    metrics::counter!("jayhall_keeper_orders_total").increment(1);
                }
                Ok(OrderOutcome::Fenced { .. }) => return Left::Fenced,
                Err(e) => {
                    tracing::debug!(vm = &*task.engine.vm, error = %e, "order not confirmed");
                    return Left::Later;
                }
            }
        }
        Left::InOrder
    }

    fn may_order(&self, task: &Task, held: &Held) -> bool {
        let rules = &self.setup.rules;
        let permit = held
            .tenure()
            .permit(task.checks_fencing, self.clock.now(), rules);
        permit == Permit::Send
    }
}

impl KeeperState {
    /// Returns whether an engine is due for a check.
    fn is_due(&self, engine: &Backend, now: Moment) -> bool {
        self.looks.get(&engine.vm).is_none_or(|due| *due <= now)
    }

    fn looked(&mut self, vm: VmId, next: Moment) {
        self.looks.insert(vm, next);
    }

    /// Returns the model assigned to an engine. An unassigned engine that serves a single model is
    /// assigned that model.
    fn assign(&mut self, engine: &Backend) -> Option<ModelName> {
        if let ([served], None) = (&engine.serves[..], self.assigned.get(&engine.vm)) {
            self.assigned.insert(engine.vm.clone(), served.clone());
        }
        self.assigned.get(&engine.vm).cloned()
    }
}
