//! A plain service that counts how often each key took effect.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use salvo::http::{Method, StatusCode};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::faults::{CommonFaults, FaultBoard};
use crate::server::{Answer, Call, Result, Running, Standin};

/// Settings of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Time that a call takes after its effect.
    pub delay: Duration,
    /// Whether a repeated key has no second effect.
    pub deduplicates: bool,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            delay: Duration::ZERO,
            deduplicates: false,
        }
    }
}

struct Shared {
    settings: ServiceSettings,
    faults: FaultBoard<CommonFaults>,
    effects: Mutex<BTreeMap<Box<str>, u64>>,
}

impl Shared {
    async fn answer_call(&self, call: Call) -> Answer {
        match (&call.method, call.segments().as_slice()) {
            (&Method::POST, ["call", ..]) => self.take_effect(&call).await,
            (&Method::GET, ["lookup"]) => self.look_up(&call).await,
            (&Method::GET, ["effects"]) => Answer::ok(&*self.effects.lock()),
            _ => Answer::not_found(),
        }
    }

    async fn take_effect(&self, call: &Call) -> Answer {
        let key = call.headers.get("idempotency-key");
        let Some(key) = key.and_then(|key| key.to_str().ok()) else {
            return Answer::error(StatusCode::BAD_REQUEST, "Idempotency-Key is missing");
        };
        let count = self.count(key);
        tokio::time::sleep(self.settings.delay).await;
        let digest = format!("{:016x}", xxh3_64(&call.body));
        Answer::ok(&json!({"key": key, "effects": count, "body_digest": digest}))
    }

    fn count(&self, key: &str) -> u64 {
        let mut effects = self.effects.lock();
        let count = effects.entry(key.into()).or_default();
        if *count == 0 || !self.settings.deduplicates {
            *count += 1;
        }
        *count
    }

    async fn look_up(&self, call: &Call) -> Answer {
        tokio::time::sleep(self.settings.delay).await;
        let q = call.query("q").unwrap_or_default();
        let price = xxh3_64(q.as_bytes()) % 1000;
        Answer::ok(&json!({"q": q, "price": price}))
    }
}

impl Standin for Shared {
    type Faults = CommonFaults;

    fn faults(&self) -> &FaultBoard<CommonFaults> {
        &self.faults
    }

    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Answer> {
        async move { self.answer_call(call).await }.boxed()
    }
}

/// A running service; stops when dropped.
pub struct Service {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Running,
}

/// Starts a plain service.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn spawn(settings: ServiceSettings) -> Result<Service> {
    let shared = Arc::new(Shared {
        faults: FaultBoard::new(),
        effects: Mutex::new(BTreeMap::new()),
        settings,
    });
    let server = Running::spawn(shared.settings.listen, shared.clone()).await?;
    Ok(Service {
        address: server.address,
        shared,
        server,
    })
}

impl Service {
    /// Sets the faults.
    pub fn set_faults(&self, faults: CommonFaults) {
        self.shared.faults.set(faults);
    }

    /// Returns how often a key took effect.
    pub fn effects(&self, key: &str) -> u64 {
        self.shared.effects.lock().get(key).copied().unwrap_or(0)
    }

    /// Returns the effects of all keys as JSON.
    pub fn all_effects(&self) -> Value {
        json!(*self.shared.effects.lock())
    }

    /// Waits until the service has stopped.
    pub async fn wait(mut self) {
        self.server.wait().await;
    }
}
