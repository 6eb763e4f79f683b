//! Orders to engines: fencing, and reconciliation of an engine's state.
//!
//! A keeper holds a lease on its zone. The revision at which it acquired the lease is the fencing
//! token of its orders. Most engines reject an order with a lower token than they have seen, but
//! engines of some classes do not, and a keeper may send a stale order after a process pause. Three
//! rules limit the damage: a keeper sends no order that could arrive after the end of its lease; its
//! successor waits until every order that was sent in time has arrived; and a control loop derives
//! orders from the observed state again and again, which reverts the effect of a late order.

use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::{FencingNumber, ModelName};
use crate::core::time::Moment;

/// Timing parameters, which must be equal for all keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenureRules {
    /// Time to live of the lease on a zone, without renewal.
    pub lease: Duration,
    /// Maximum time from the last check of the lease to the arrival of an order.
    pub max_order_delay: Duration,
}

impl Default for TenureRules {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            max_order_delay: Duration::from_secs(2),
        }
    }
}

/// Whether an order may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The order may be sent.
    Send,
    /// The order may be sent from this moment on; until then an order of the previous keeper may arrive.
    WaitUntil(Moment),
    /// The lease has ended, or may end before the order arrives.
    Lapsed,
}

/// Period in which one keeper holds the lease on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token of the keeper's orders.
    pub fence: FencingNumber,
    /// When the lease was acquired.
    pub acquired_at: Moment,
    /// When the lease ends without further renewal, counted from before the last renewal call was sent.
    pub lease_ends_at: Moment,
}

impl Tenure {
    /// Returns whether an order may be sent to an engine. `checks_fencing` tells whether the engine
    /// rejects orders with an old fencing token.
    pub fn permit(&self, checks_fencing: bool, now: Moment, rules: &TenureRules) -> Permit {
        if now + rules.max_order_delay >= self.lease_ends_at {
            return Permit::Lapsed;
        }
        let previous_orders_end = self.acquired_at + rules.lease + rules.max_order_delay;
        if !checks_fencing && now < previous_orders_end {
            return Permit::WaitUntil(previous_orders_end);
        }
        Permit::Send
    }

    /// Returns the tenure after a successful lease renewal whose call was sent at `sent_at`.
    #[must_use]
    pub fn renewed(self, sent_at: Moment, rules: &TenureRules) -> Self {
        Self {
            lease_ends_at: self.lease_ends_at.max(sent_at + rules.lease),
            ..self
        }
    }
}

/// A version of a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Versioned {
    /// Name used in requests.
    pub name: ModelName,
    /// Version; empty for any version.
    pub version: Box<str>,
}

impl Versioned {
    /// Returns whether a loaded version satisfies this wanted one.
    fn is_satisfied_by(&self, loaded: &Self) -> bool {
        self.name == loaded.name && (self.version.is_empty() || self.version == loaded.version)
    }
}

/// Observed or wanted state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Loaded models.
    pub models: SmallVec<[Versioned; 2]>,
    /// Loaded adapters.
    pub adapters: SmallVec<[Versioned; 2]>,
    /// Role; empty for any role.
    pub role: Box<str>,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Unload a model or an adapter.
    Unload(Versioned),
    /// Load a model, or another version of a loaded one.
    LoadModel(Versioned),
    /// Load an adapter, or another version of a loaded one.
    LoadAdapter(Versioned),
    /// Change the role.
    SetRole(Box<str>),
}

/// Returns the orders that bring an engine from the observed state to the wanted one, in order of
/// execution. Unloads come first, so that their memory is free for the loads.
pub fn reconcile(wanted: &EngineState, observed: &EngineState) -> SmallVec<[EngineOrder; 4]> {
    let mut orders = SmallVec::new();
    let loaded = observed.models.iter().chain(&observed.adapters);
    let is_wanted = |name: &str| {
        let mut all = wanted.models.iter().chain(&wanted.adapters);
        all.any(|v| &*v.name == name)
    };
    let unwanted = loaded.filter(|v| !is_wanted(&v.name));
    orders.extend(unwanted.cloned().map(EngineOrder::Unload));
    let missing = |wanted: &[Versioned], observed: &[Versioned]| -> SmallVec<[Versioned; 2]> {
        let missing = wanted
            .iter()
            .filter(|v| !observed.iter().any(|o| v.is_satisfied_by(o)));
        missing.cloned().collect()
    };
    let models = missing(&wanted.models, &observed.models);
    orders.extend(models.into_iter().map(EngineOrder::LoadModel));
    let adapters = missing(&wanted.adapters, &observed.adapters);
    orders.extend(adapters.into_iter().map(EngineOrder::LoadAdapter));
    if !wanted.role.is_empty() && wanted.role != observed.role {
        orders.push(EngineOrder::SetRole(wanted.role.clone()));
    }
    orders
}
