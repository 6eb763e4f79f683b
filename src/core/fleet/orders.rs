//! Orders to engines: who may give them when, and which ones an engine needs.
//!
//! A keeper holds a lease on its zone; the revision at which it won the lease is the fencing number of
//! its orders. Most engines refuse an order with a lower number than they have seen. Those of some
//! classes do not, and a keeper that was frozen may wake with an order in hand. Three rules bound the
//! harm: a keeper sends nothing that could arrive after its lease has ended; its successor waits until
//! everything that was sent in time has arrived; and orders follow from what is observed, again and
//! again, so that a late order is undone.

use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::{FencingNumber, ModelName};
use crate::core::time::Moment;

/// Times that all keepers agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenureRules {
    /// Time to live of the lease on a zone.
    pub lease: Duration,
    /// Longest time from the last check of the lease to the arrival of an order.
    pub longest_order: Duration,
}

impl Default for TenureRules {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            longest_order: Duration::from_secs(2),
        }
    }
}

/// Whether an order may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may.
    Send,
    /// An order of the former keeper may still arrive; not before this moment.
    WaitUntil(Moment),
    /// The lease has ended, or ends before the order would have arrived.
    Lapsed,
}

/// The time in which one keeper holds the lease on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing number of its orders.
    pub fence: FencingNumber,
    /// When the lease was won.
    pub won_at: Moment,
    /// When the lease ends unless it is kept alive; counted from before the last call that did so.
    pub holds_until: Moment,
}

impl Tenure {
    /// Returns whether an order may be sent to an engine that checks fencing numbers, or does not.
    pub fn permit(&self, checks_fencing: bool, now: Moment, rules: &TenureRules) -> Permit {
        if now + rules.longest_order >= self.holds_until {
            return Permit::Lapsed;
        }
        let quiet_until = self.won_at + rules.lease + rules.longest_order;
        if !checks_fencing && now < quiet_until {
            return Permit::WaitUntil(quiet_until);
        }
        Permit::Send
    }

    /// Returns the tenure after the lease was kept alive by a call that began at `sent_at`.
    #[must_use]
    pub fn kept_alive(self, sent_at: Moment, rules: &TenureRules) -> Self {
        Self {
            holds_until: self.holds_until.max(sent_at + rules.lease),
            ..self
        }
    }
}

/// A model or adapter in one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Versioned {
    /// Name that requests ask for.
    pub name: ModelName,
    /// Version; empty where any will do.
    pub version: Box<str>,
}

impl Versioned {
    /// Returns whether what is loaded will do for what is wanted.
    fn is_met_by(&self, loaded: &Self) -> bool {
        self.name == loaded.name && (self.version.is_empty() || self.version == loaded.version)
    }
}

/// What an engine has loaded, or shall have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Models.
    pub models: SmallVec<[Versioned; 2]>,
    /// Adapters.
    pub adapters: SmallVec<[Versioned; 2]>,
    /// Role; empty where it does not matter.
    pub role: Box<str>,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Unloads a model or an adapter.
    Unload(Versioned),
    /// Loads a model, or another version of one.
    LoadModel(Versioned),
    /// Loads an adapter, or another version of one.
    LoadAdapter(Versioned),
    /// Changes the role.
    SetRole(Box<str>),
}

/// Returns the orders that bring an engine from the observed state to the wanted one, in order. What has
/// to go goes first, so that its memory is free.
pub fn reconcile(wanted: &EngineState, observed: &EngineState) -> SmallVec<[EngineOrder; 4]> {
    let mut orders = SmallVec::new();
    let loaded = observed.models.iter().chain(&observed.adapters);
    let is_wanted = |name: &str| {
        let mut all = wanted.models.iter().chain(&wanted.adapters);
        all.any(|v| &*v.name == name)
    };
    let goes = loaded.filter(|v| !is_wanted(&v.name));
    orders.extend(goes.cloned().map(EngineOrder::Unload));
    let missing = |wanted: &[Versioned], observed: &[Versioned]| -> SmallVec<[Versioned; 2]> {
        let missing = wanted
            .iter()
            .filter(|v| !observed.iter().any(|o| v.is_met_by(o)));
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
