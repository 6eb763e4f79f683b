//! A weight store with a limited rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use salvo::http::Method;
use serde_json::json;
use tokio::time::Instant;

use crate::faults::{CommonFaults, FaultBoard};
use crate::server::{Answer, Call, Result, Running, Standin};

/// Settings of a weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightsSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Size of all weights in bytes.
    pub bytes: u64,
    /// Bytes given out a second, over all downloads.
    pub bytes_per_second: u64,
    /// Longest time a download may have to wait for its turn; beyond it the answer is 429.
    pub max_wait: Duration,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            bytes: 16_000_000_000,
            bytes_per_second: 2_000_000_000,
            max_wait: Duration::from_secs(30),
        }
    }
}

struct Shared {
    settings: WeightsSettings,
    faults: FaultBoard<CommonFaults>,
    /// When the downloads taken so far are through.
    busy_until: Mutex<Instant>,
}

impl Shared {
    async fn download(&self) -> Answer {
        let seconds = self.settings.bytes as f64 / self.settings.bytes_per_second.max(1) as f64;
        let done = {
            let mut busy_until = self.busy_until.lock();
            let now = Instant::now();
            let start = (*busy_until).max(now);
            let wait = start.duration_since(now);
            if wait > self.settings.max_wait {
                let retry = wait.saturating_sub(self.settings.max_wait).as_secs() + 1;
                return Answer::RetryAfter(retry, json!({"error": {"code": 429}}));
            }
            *busy_until = start + Duration::from_secs_f64(seconds);
            *busy_until
        };
        tokio::time::sleep_until(done).await;
        Answer::ok(&json!({"bytes": self.settings.bytes}))
    }
}

impl Standin for Shared {
    type Faults = CommonFaults;

    fn faults(&self) -> &FaultBoard<CommonFaults> {
        &self.faults
    }

    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Answer> {
        async move {
            match (&call.method, call.segments().as_slice()) {
                (&Method::GET, ["v1", "weights", _, _]) => self.download().await,
                _ => Answer::not_found(),
            }
        }
        .boxed()
    }
}

/// A running weight store; stops when dropped.
pub struct Weights {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Running,
}

/// Starts a weight store.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn spawn(settings: WeightsSettings) -> Result<Weights> {
    let shared = Arc::new(Shared {
        faults: FaultBoard::new(),
        busy_until: Mutex::new(Instant::now()),
        settings,
    });
    let server = Running::spawn(shared.settings.listen, shared.clone()).await?;
    Ok(Weights {
        address: server.address,
        shared,
        server,
    })
}

impl Weights {
    /// Sets the faults.
    pub fn set_faults(&self, faults: CommonFaults) {
        self.shared.faults.set(faults);
    }

    /// Waits until the weight store has stopped.
    pub async fn wait(mut self) {
        self.server.wait().await;
    }
}
