//! Selects the back end with the fewest calls in flight from this node and limits the calls in
//! flight per back end.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::core::document::ServiceRule;
use crate::core::fleet::{Backend, BackendKind};
use crate::core::id::{Address, VmId};
use crate::node::Blackboard;

/// Calls of this node in flight, by back end.
#[derive(Debug)]
pub(super) struct Backends {
    board: Arc<Blackboard>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    in_flight: Mutex<HashMap<VmId, u16>>,
    slot_released: Notify,
}

/// Result of waiting for a slot on a back end.
pub(super) enum Acquired {
    /// A free slot was reserved.
    Slot(Slot),
    /// The service has no usable back end, or no slot became free in time.
    Unavailable,
}

/// Reservation to send one call to a back end; released on drop.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) vm: VmId,
    pub(super) address: Address,
    shared: Arc<Shared>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut in_flight = self.shared.in_flight.lock();
        if let Some(count) = in_flight.get_mut(&self.vm) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.vm);
            }
        }
        drop(in_flight);
        self.shared.slot_released.notify_waiters();
    }
}

enum SlotChoice {
    Slot(Slot),
    /// All back ends are at their limit of calls in flight.
    Full,
    NoBackend,
}

impl Backends {
    pub(super) fn new(board: Arc<Blackboard>) -> Self {
        Self {
            board,
            shared: Arc::default(),
        }
    }

    /// Waits until `until` for a free slot on a back end that is not leaving and not in `tried`.
    pub(super) async fn acquire(
        &self,
        rule: &ServiceRule,
        tried: &[VmId],
        until: Instant,
    ) -> Acquired {
        loop {
            let slot_released = self.shared.slot_released.notified();
            match self.choose(rule, tried) {
                SlotChoice::Slot(slot) => return Acquired::Slot(slot),
                SlotChoice::NoBackend => return Acquired::Unavailable,
                SlotChoice::Full => {}
            }
            if tokio::time::timeout_at(until, slot_released).await.is_err() {
                return Acquired::Unavailable;
            }
        }
    }

    fn choose(&self, rule: &ServiceRule, tried: &[VmId]) -> SlotChoice {
        let fleet = self.board.fleet.read();
        let mut in_flight = self.shared.in_flight.lock();
        let count_of = |backend: &Backend| in_flight.get(&backend.vm).copied().unwrap_or(0);
        let least = fleet
            .serving(BackendKind::Service, &rule.name)
            .filter(|backend| !tried.contains(&backend.vm))
            .map(|backend| (count_of(backend), backend))
            .min_by_key(|(count, backend)| (*count, backend.vm.clone()));
        match least {
            None => SlotChoice::NoBackend,
            Some((count, _)) if count >= rule.slots_per_backend => SlotChoice::Full,
            Some((_, backend)) => {
                *in_flight.entry(backend.vm.clone()).or_default() += 1;
                SlotChoice::Slot(Slot {
                    vm: backend.vm.clone(),
                    address: backend.address,
                    shared: self.shared.clone(),
                })
            }
        }
    }
}
