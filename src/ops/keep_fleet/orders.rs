//! Sends orders to the engines of a keeper's zone.

use std::time::Duration;

use futures::stream::{self, StreamExt};

use super::keeper_state::KeeperState;
use super::{HeldLease, ZoneKeeper};
use crate::core::document::Document;
use crate::core::fleet::orders::{EngineState, Permit, Versioned, reconcile};
use crate::core::fleet::{Backend, BackendKind, FleetView};
use crate::core::id::{ModelName, VmId};
use crate::core::time::Moment;
use crate::sources::engine::OrderOutcome;

/// Maximum number of engines that are reconciled concurrently.
const CONCURRENT_ENGINES: usize = 16;
/// Interval between checks of an engine that is in its desired state.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Outcome of the reconciliation of one engine.
enum Reconciliation {
    /// The engine is in its desired state, or has accepted all orders to get there.
    Reconciled,
    /// The engine did not answer, or no order may be sent at present; to be retried next round.
    RetryNextRound,
    /// The engine has seen a newer fencing number.
    Fenced,
}

/// An engine and its desired model.
struct EngineTask {
    engine: Backend,
    model: ModelName,
    checks_fencing: bool,
}

impl ZoneKeeper {
    /// Compares the zone's engines with their desired state, and orders the difference.
    pub(super) async fn order_engines(
        &self,
        state: &mut KeeperState,
        lease: &HeldLease,
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
            if !state.retirements.contains_key(&engine.vm)
                && state.is_due(engine, now)
                && let Some(model) = state.assign(engine)
            {
                let class = document.machine_class(&engine.class);
                tasks.push(EngineTask {
                    engine: engine.clone(),
                    model,
                    // Engines of a class missing in the document are assumed not to check fencing
                    // numbers.
                    checks_fencing: class.is_some_and(|class| class.checks_fencing),
                });
            }
        }
        let outcomes = stream::iter(tasks)
            .map(|task| self.run_task(task, lease))
            .buffer_unordered(CONCURRENT_ENGINES);
        let outcomes: Vec<_> = outcomes.collect().await;
        for (vm, outcome) in outcomes {
            match outcome {
                Reconciliation::Reconciled => state.schedule_check(vm, now + CHECK_INTERVAL),
                Reconciliation::RetryNextRound => {}
                Reconciliation::Fenced => {
                    tracing::warn!(zone = &*self.zone, vm = &*vm, "a newer keeper gives orders");
                    lease.end_tenure();
                }
            }
        }
    }

    async fn run_task(&self, task: EngineTask, lease: &HeldLease) -> (VmId, Reconciliation) {
        let outcome = self.reconcile_engine(&task, lease).await;
        (task.engine.vm, outcome)
    }

    /// Reconciles one engine with its desired model.
    async fn reconcile_engine(&self, task: &EngineTask, lease: &HeldLease) -> Reconciliation {
        if !self.may_order(task, lease) {
            return Reconciliation::RetryNextRound;
        }
        let address = task.engine.address;
        let observed = match self.setup.engines.state(address).await {
            Ok(observed) => observed,
            Err(e) => {
                tracing::debug!(vm = &*task.engine.vm, error = %e, "cannot read the engine's state");
                return Reconciliation::RetryNextRound;
            }
        };
        let desired = EngineState {
            models: [Versioned {
                name: task.model.clone(),
                version: Box::default(),
            }]
            .into_iter()
            .collect(),
            adapters: observed.adapters.clone(),
            role: Box::default(),
        };
        for order in reconcile(&desired, &observed) {
            // The lease is checked again before each order, since each order takes time.
            if !self.may_order(task, lease) {
                return Reconciliation::RetryNextRound;
            }
            let fence = lease.tenure().fence;
            let deadline = self.setup.rules.max_order_delay;
            let outcome = self.setup.engines.order(address, fence, order, deadline);
            match outcome.await {
                Ok(OrderOutcome::Taken) => {
                    metrics::counter!("jayhall_keeper_orders_total").increment(1);
                }
                Ok(OrderOutcome::Fenced { .. }) => return Reconciliation::Fenced,
                Err(e) => {
                    tracing::debug!(vm = &*task.engine.vm, error = %e, "order not confirmed");
                    return Reconciliation::RetryNextRound;
                }
            }
        }
        Reconciliation::Reconciled
    }

    fn may_order(&self, task: &EngineTask, lease: &HeldLease) -> bool {
        let rules = &self.setup.rules;
        let permit = lease
            .tenure()
            .permit(task.checks_fencing, self.clock.now(), rules);
        permit == Permit::Send
    }
}

impl KeeperState {
    /// Returns whether an engine is due for a check.
    fn is_due(&self, engine: &Backend, now: Moment) -> bool {
        self.next_checks
            .get(&engine.vm)
            .is_none_or(|due| *due <= now)
    }

    fn schedule_check(&mut self, vm: VmId, next: Moment) {
        self.next_checks.insert(vm, next);
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
