//! Orders to load models and adapters and to change role, with or without a check of the fencing number.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::EngineSettings;

/// Orders kept for audits.
const MAX_LOGGED_ORDERS: usize = 1000;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model, or another version of a loaded one.
    LoadModel,
    /// Unloads a model or an adapter.
    UnloadModel,
    /// Loads an adapter.
    LoadAdapter,
    /// Changes the role.
    SetRole,
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the one who orders.
    pub fence: u64,
    /// What is asked for.
    pub order: OrderKind,
    /// Model, adapter or role.
    pub name: Box<str>,
    /// Version; empty for roles.
    #[serde(default)]
    pub version: Box<str>,
}

/// A model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Loaded {
    /// Name that requests ask for.
    pub id: Box<str>,
    /// Always `model`.
    pub object: &'static str,
    /// Version.
    pub version: Box<str>,
    /// Whether it is an adapter.
    pub is_adapter: bool,
    #[serde(skip)]
    pub(crate) ready_at: Instant,
}

/// What orders have made of the engine.
#[derive(Debug)]
pub(crate) struct Orders {
    pub(crate) loaded: Vec<Loaded>,
    pub(crate) role: Box<str>,
    pub(crate) highest_fence: u64,
    pub(crate) log: Vec<Order>,
}

impl Orders {
    pub(crate) fn new(settings: &EngineSettings, now: Instant) -> Self {
        let models = settings.models.iter();
        Self {
            loaded: models
                .map(|name| Loaded::new(name, "1", false, now))
                .collect(),
            role: "mixed".into(),
            highest_fence: 0,
            log: Vec::new(),
        }
    }

    /// Returns what requests may ask for.
    pub(crate) fn ready(&self, now: Instant) -> Vec<Loaded> {
        let ready = self.loaded.iter().filter(|m| m.ready_at <= now);
        ready.cloned().collect()
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// Returns the highest number seen where the engine checks it and the order's is lower.
    pub(crate) fn carry_out(
        &mut self,
        order: Order,
        settings: &EngineSettings,
        now: Instant,
    ) -> Result<(), u64> {
        if settings.checks_fencing && order.fence < self.highest_fence {
            return Err(self.highest_fence);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        let ready_at = now + settings.load_time;
        match order.order {
            OrderKind::LoadModel => self.load(&order, false, ready_at),
            OrderKind::LoadAdapter => self.load(&order, true, ready_at),
            OrderKind::UnloadModel => self.loaded.retain(|m| m.id != order.name),
            OrderKind::SetRole => self.role = order.name.clone(),
        }
        self.log.push(order);
        if self.log.len() > MAX_LOGGED_ORDERS {
            self.log.remove(0);
        }
        Ok(())
    }

    fn load(&mut self, order: &Order, is_adapter: bool, ready_at: Instant) {
        let same = |m: &Loaded| m.id == order.name && m.version == order.version;
        if self.loaded.iter().any(same) {
            return;
        }
        self.loaded.retain(|m| m.id != order.name);
        let loaded = Loaded::new(&order.name, &order.version, is_adapter, ready_at);
        self.loaded.push(loaded);
    }
}

impl Loaded {
    fn new(id: &str, version: &str, is_adapter: bool, ready_at: Instant) -> Self {
        Self {
            id: id.into(),
            object: "model",
            version: version.into(),
            is_adapter,
            ready_at,
        }
    }
}
