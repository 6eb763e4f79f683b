//! A small key-value store with compare-and-swap, leases, watches and rate limits.

mod calls;
mod data;
mod limits;
mod watch;
mod wire;

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

use self::data::Data;
use self::limits::Bucket;
use crate::faults::{CommonFaults, FaultBoard, impl_fault_set};
use crate::server::{Answer, Call, Result, Running, Standin};

pub use self::limits::Counters;

/// Settings of a store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Writes and leases granted or revoked a second.
    pub writes_per_second: f64,
    /// Reads and keepalives a second; each open watch takes one.
    pub reads_per_second: f64,
    /// Longest value in bytes.
    pub max_value_bytes: usize,
    /// Time between two progress messages of a watch that asks for them.
    pub progress_interval: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_second: 500.0,
            reads_per_second: 2000.0,
            max_value_bytes: 1024 * 1024,
            progress_interval: Duration::from_secs(5),
        }
    }
}

/// Faults of a store. A slow store is `delay_ms`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Faults that every stand-in has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Answers 503 to everything and cuts open watches.
    pub outage: bool,
    /// Number of watch messages that are lost while the watch stays open.
    pub drop_watch_events: u32,
    /// Number of requests that are carried out twice; the second answer is given.
    pub duplicate_next: u32,
}

impl_fault_set!(StoreFaults);

pub(crate) struct Shared {
    settings: StoreSettings,
    faults: FaultBoard<StoreFaults>,
    data: Mutex<Data>,
    revision: tokio::sync::watch::Sender<i64>,
    counters: Mutex<Counters>,
    reads: Mutex<Bucket>,
    writes: Mutex<Bucket>,
    leases_changed: Notify,
}

impl Shared {
    /// Wakes watches after a change.
    fn publish(&self) {
        let revision = self.data.lock().revision;
        self.revision.send_replace(revision);
    }

    fn drops_event(&self) -> bool {
        self.faults
            .count_down(|faults| &mut faults.drop_watch_events)
    }

    /// Ends leases as they run out.
    async fn expire_leases(&self) {
        loop {
            self.faults.unfrozen().await;
            let next = self.data.lock().expire(Instant::now());
            self.publish();
            let until_next = async {
                match next {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = until_next => {}
                () = self.leases_changed.notified() => {}
            }
        }
    }
}

impl Standin for Shared {
    type Faults = StoreFaults;

    fn faults(&self) -> &FaultBoard<StoreFaults> {
        &self.faults
    }

    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Answer> {
        async move {
            if self.faults.count_down(|faults| &mut faults.duplicate_next) {
                drop(calls::answer(&self, &call));
            }
            calls::answer(&self, &call)
        }
        .boxed()
    }
}

/// A running store; stops when dropped.
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Running,
    expiry: JoinHandle<()>,
}

/// Starts a store.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn spawn(settings: StoreSettings) -> Result<Store> {
    let now = Instant::now();
    let shared = Arc::new(Shared {
        faults: FaultBoard::new(),
        data: Mutex::new(Data::new(settings.max_value_bytes)),
        revision: tokio::sync::watch::Sender::new(0),
        counters: Mutex::new(Counters::default()),
        reads: Mutex::new(Bucket::new(settings.reads_per_second, now)),
        writes: Mutex::new(Bucket::new(settings.writes_per_second, now)),
        leases_changed: Notify::new(),
        settings,
    });
    let server = Running::spawn(shared.settings.listen, shared.clone()).await?;
    let expiry = shared.clone();
    Ok(Store {
        address: server.address,
        shared,
        server,
        expiry: tokio::spawn(async move { expiry.expire_leases().await }),
    })
}

impl Store {
    /// Sets the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.faults.set(faults);
    }

    /// Returns what was called since the start.
    pub fn counters(&self) -> Counters {
        *self.shared.counters.lock()
    }

    /// Waits until the store has stopped.
    pub async fn wait(mut self) {
        self.server.wait().await;
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}
