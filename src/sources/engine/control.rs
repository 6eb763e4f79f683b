//! Control interface of engines: state, load, and orders with fencing tokens.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{EngineClient, EngineError, Result, check_response, lost};
use crate::core::fleet::orders::{EngineOrder, EngineState, Versioned};
use crate::core::id::{Address, FencingNumber};

/// Timeout for queries of an engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of an order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and carries it out.
    Taken,
    /// The engine has seen a higher fencing token and ignores the order.
    Fenced {
        /// Highest token that the engine has seen, if it names one.
        highest: Option<FencingNumber>,
    },
}

/// Requests at an engine; the values may be a few hundred milliseconds old.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// Requests that are being processed.
    pub running: u32,
    /// Requests that wait in the engine's queue.
    pub waiting: u32,
}

impl EngineLoad {
    /// Returns whether the engine has no requests.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting == 0
    }
}

/// Control of engines. Implementations bound each call by a deadline.
pub trait EngineControl: Send + Sync {
    /// Returns the models and adapters that an engine has loaded, and its role.
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no usable response.
    fn state(&self, engine: Address) -> BoxFuture<'_, Result<EngineState>>;

    /// Returns the load of an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no usable response.
    fn load(&self, engine: Address) -> BoxFuture<'_, Result<EngineLoad>>;

    /// Sends an order. It is not sent after `deadline` has passed.
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no usable response; the verdict of the error says whether the engine
    /// may have accepted the order.
    fn order(
        &self,
        engine: Address,
        fence: FencingNumber,
        order: EngineOrder,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<OrderOutcome>>;
}

#[derive(Debug, Deserialize)]
struct ModelsWire {
    data: Vec<ModelWire>,
    #[serde(default)]
    role: Box<str>,
}

#[derive(Debug, Deserialize)]
struct ModelWire {
    id: Box<str>,
    #[serde(default)]
    version: Box<str>,
    #[serde(default)]
    is_adapter: bool,
}

impl From<ModelsWire> for EngineState {
    fn from(wire: ModelsWire) -> Self {
        let (adapters, models): (Vec<_>, Vec<_>) =
            wire.data.into_iter().partition(|m| m.is_adapter);
        let versioned = |m: ModelWire| Versioned {
            name: m.id,
            version: m.version,
        };
        Self {
            models: models.into_iter().map(versioned).collect(),
            adapters: adapters.into_iter().map(versioned).collect(),
            role: wire.role,
        }
    }
}

#[derive(Debug, Serialize)]
struct OrderWire {
    fence: FencingNumber,
    order: &'static str,
    name: Box<str>,
    version: Box<str>,
}

impl OrderWire {
    fn new(fence: FencingNumber, order: EngineOrder) -> Self {
        let (order, target) = match order {
            EngineOrder::Unload(target) => ("unload_model", target),
            EngineOrder::LoadModel(target) => ("load_model", target),
            EngineOrder::LoadAdapter(target) => ("load_adapter", target),
            EngineOrder::SetRole(name) => {
                let version = Box::default();
                ("set_role", Versioned { name, version })
            }
        };
        Self {
            fence,
            order,
            name: target.name,
            version: target.version,
        }
    }
}

#[derive(Debug, Deserialize)]
struct FencedWire {
    highest_fence: FencingNumber,
}

impl EngineClient {
    async fn get_json<T: DeserializeOwned>(&self, engine: Address, path: &str) -> Result<T> {
        let req = self.http.get(format!("http://{engine}{path}"));
        let exchange = async {
            let res = check_response(engine, Ok(req.send().await))?;
            res.json().await.map_err(|e| lost(engine, &e))
        };
        match timeout(STATE_TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(elapsed) => Err(lost(engine, &elapsed)),
        }
    }

    async fn send_order(&self, engine: Address, req: RequestBuilder) -> Result<OrderOutcome> {
        let res = match req.send().await {
            Ok(res) if res.status() == StatusCode::CONFLICT => return Ok(fenced(res).await),
            sent => check_response(engine, Ok(sent)),
        };
        res.map(|_| OrderOutcome::Taken)
    }
}

async fn fenced(res: Response) -> OrderOutcome {
    let wire = res.json::<FencedWire>().await.ok();
    OrderOutcome::Fenced {
        highest: wire.map(|wire| wire.highest_fence),
    }
}

impl EngineControl for EngineClient {
    fn state(&self, engine: Address) -> BoxFuture<'_, Result<EngineState>> {
        async move {
            let models: ModelsWire = self.get_json(engine, "/v1/models").await?;
            Ok(models.into())
        }
        .boxed()
    }

    fn load(&self, engine: Address) -> BoxFuture<'_, Result<EngineLoad>> {
        async move { self.get_json(engine, "/v1/load").await }.boxed()
    }

    fn order(
        &self,
        engine: Address,
        fence: FencingNumber,
        order: EngineOrder,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<OrderOutcome>> {
        let url = format!("http://{engine}/v1/orders");
        let req = self.http.post(url).json(&OrderWire::new(fence, order));
        async move {
            // The deadline is polled first, so that a process that was suspended past it sends nothing.
            tokio::select! {
                biased;
                () = tokio::time::sleep(deadline) => Err(EngineError::Lost {
                    address: engine,
                    detail: "no answer to an order in time".into(),
                }),
                outcome = self.send_order(engine, req) => outcome,
            }
        }
        .boxed()
    }
}
