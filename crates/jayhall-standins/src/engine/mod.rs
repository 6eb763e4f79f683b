//! A model engine that batches continuously, caches prefixes and answers deterministically.

mod batch;
mod cache;
mod calls;
mod job;
mod orders;
mod stream;
mod text;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use self::batch::{Batch, Step};
use self::job::JobKey;
use self::orders::Orders;
use crate::faults::{CommonFaults, FaultBoard, impl_fault_set};
use crate::server::{Answer, Call, Result, Running, Standin};

pub use self::batch::LoadReport;
pub use self::cache::{CacheEvent, CacheEventKind};
pub use self::job::{JobState, Record};
pub use self::orders::{Loaded, Order, OrderKind};
pub use self::text::{
    BLOCK_TOKENS, Message, block_hashes, expected_answer, prompt_tokens, split_tokens,
};

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Models loaded at the start, in version `1`.
    pub models: Vec<Box<str>>,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub waiting_places: usize,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_second: f64,
    /// Time of a decode step with an empty batch.
    pub decode_base: Duration,
    /// What each running request adds to a decode step.
    pub decode_slope: Duration,
    /// Tokens that running requests and the prefix cache hold at most.
    pub kv_limit_tokens: u64,
    /// Bytes of exported KV cache for each token.
    pub kv_bytes_per_token: u64,
    /// Tokens of an imported KV cache taken in a second.
    pub kv_import_tokens_per_second: f64,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Time until a cache event is visible.
    pub event_lag: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_gap_probability: f64,
    /// Seed of what is left to chance.
    pub seed: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Whether KV cache can be exported.
    pub exports_kv: bool,
    /// Time to load a model.
    pub load_time: Duration,
    /// How long a request goes on without a reader.
    pub linger: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            models: vec!["assistant".into()],
            slots: 8,
            waiting_places: 8,
            prefill_tokens_per_second: 8000.0,
            decode_base: Duration::from_millis(10),
            decode_slope: Duration::from_micros(500),
            kv_limit_tokens: 65_536,
            kv_bytes_per_token: 32_768,
            kv_import_tokens_per_second: 80_000.0,
            load_lag: Duration::from_millis(300),
            event_lag: Duration::from_millis(500),
            event_gap_probability: 0.0,
            seed: 1,
            checks_fencing: true,
            exports_kv: true,
            load_time: Duration::from_millis(500),
            linger: Duration::from_secs(10),
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Faults that every stand-in has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Dies in mid-stream once this many more tokens are made.
    pub stop_after_tokens: Option<u64>,
    /// Multiplies the time of each step.
    pub slow_factor: f64,
    /// Answers 503 to new requests and goes on with those that run.
    pub leaving: bool,
    /// Streams each token twice.
    pub duplicate_tokens: bool,
    /// Streams tokens that are ready together in reverse order.
    pub reorder_tokens: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            common: CommonFaults::default(),
            stop_after_tokens: None,
            slow_factor: 1.0,
            leaving: false,
            duplicate_tokens: false,
            reorder_tokens: false,
        }
    }
}

impl_fault_set!(EngineFaults);

/// What the batch loop and the calls share.
pub(crate) struct Shared {
    settings: EngineSettings,
    faults: FaultBoard<EngineFaults>,
    batch: Mutex<Batch>,
    orders: Mutex<Orders>,
    wake: Notify,
}

impl Shared {
    /// Counts a reader out.
    fn detach(&self, key: &JobKey) {
        let mut batch = self.batch.lock();
        if let Some(job) = batch.job_mut(key) {
            job.readers -= 1;
            if job.readers == 0 {
                job.unread_since = Some(Instant::now());
            }
        }
    }

    /// Runs the batch until the engine dies by a fault.
    async fn run(&self) {
        loop {
            self.faults.unfrozen().await;
            let slow_factor = self.faults.get().slow_factor;
            let step = self.batch.lock().plan_step(slow_factor, Instant::now());
            let Step::Work(time, works) = step else {
                self.wake.notified().await;
                continue;
            };
            tokio::time::sleep(time).await;
            self.faults.unfrozen().await;
            let mut batch = self.batch.lock();
            let before = batch.made;
            batch.apply_step(&works, Instant::now());
            if self.dies_after(batch.made - before) {
                batch.end_all(Instant::now());
                return;
            }
        }
    }

    /// Counts made tokens against the fault `stop_after_tokens`.
    fn dies_after(&self, made: u64) -> bool {
        let mut faults = self.faults.get();
        let Some(left) = faults.stop_after_tokens else {
            return false;
        };
        if made > 0 {
            faults.stop_after_tokens = Some(left.saturating_sub(made));
            self.faults.set(faults);
        }
        left <= made
    }
}

impl Standin for Shared {
    type Faults = EngineFaults;

    fn faults(&self) -> &FaultBoard<EngineFaults> {
        &self.faults
    }

    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Answer> {
        async move { calls::answer(&self, call).await }.boxed()
    }
}

/// A running engine; stops when dropped.
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Running,
    batch_loop: JoinHandle<()>,
}

/// Starts an engine.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn spawn(settings: EngineSettings) -> Result<Engine> {
    let shared = Arc::new(Shared {
        faults: FaultBoard::new(),
        batch: Mutex::new(Batch::new(settings.clone())),
        orders: Mutex::new(Orders::new(&settings, Instant::now())),
        wake: Notify::new(),
        settings,
    });
    let server = Running::spawn(shared.settings.listen, shared.clone()).await?;
    let stopper = server.stopper();
    let run = shared.clone();
    let batch_loop = tokio::spawn(async move {
        run.run().await;
        stopper.stop_forcible();
    });
    Ok(Engine {
        address: server.address,
        shared,
        server,
        batch_loop,
    })
}

impl Engine {
    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.faults.set(faults);
    }

    /// Returns what ran, in order of arrival.
    pub fn records(&self) -> Vec<Record> {
        self.shared.batch.lock().records()
    }

    /// Returns the orders that were carried out, in order.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.orders.lock().log.clone()
    }

    /// Waits until the engine has stopped, as it does when a fault kills it.
    pub async fn wait(mut self) {
        self.server.wait().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.batch_loop.abort();
    }
}
