//! Test environment: gateway processes, store, cloud, back ends, and the links that faults act on.

use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::Result;
use jayhall::sources::store::{KeyRange, Op, Store, StoreCopy, Transaction};
use jayhall::util::time::unix_now;
use jayhall_harness::PlatformStoreStandin;
use parking_lot::Mutex;

use crate::backend::Backend;
use crate::cloud::Cloud;
use crate::config;
use crate::history::{History, Target, Version};
use crate::node::{Node, ZONES};

/// Initial number of back ends per service.
const BACKENDS_PER_SERVICE: usize = 3;
/// Concurrent calls that a back end executes.
const BACKEND_SLOTS: u32 = 16;
/// Interval of the liveness check of processes.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the back ends' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// State of a back end's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingState {
    Ready,
    Draining,
    Gone,
}

/// A back end and the state of its entry in the store.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) backend: Arc<Backend>,
    pub(crate) listed: ListingState,
}

/// All components of a run.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) history: History,
    pub(crate) nodes: Vec<Node>,
    pub(crate) backends: Mutex<Vec<Entry>>,
    pub(crate) store: PlatformStoreStandin,
    /// Serializes writes of back end entries, so that a heartbeat cannot restore the entry of a back end
    /// that has just left, and no two back ends get the same number.
    listing_lock: tokio::sync::Mutex<()>,
    ip: IpAddr,
    _cloud: Cloud,
}

/// Numbers of the loopback addresses of a run, which concurrent runs do not share.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    /// Number of the first address.
    first: usize,
}

impl Addresses {
    /// Returns the loopback address of a component. None is a default of other programs.
    fn get(self, party: usize) -> IpAddr {
        let pid = std::process::id();
        let [.., high, low] = pid.to_be_bytes();
        let last = u8::try_from(self.first + party).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, 64 + (high & 31), low, last).into()
    }
}

/// Returns the version of the configuration that is written after `count` others.
pub(crate) fn config_version(count: u64) -> u64 {
    count * 3 + 1
}

impl World {
    /// Starts all components. `run` is unique among the concurrent runs of a process; together these have less than
    /// 256 nodes and runs.
    pub(crate) async fn spawn(run: u8, nodes: usize, dir: &Path) -> Result<Arc<Self>> {
        let history = History::new(unix_now());
        let addresses = Addresses {
            first: usize::from(run) * (nodes + 1),
        };
        let ip = addresses.get(0);
        let store = PlatformStoreStandin::spawn(ip).await?;
        let cloud = Cloud::spawn(ip, history.clone()).await?;
        let mut all = Vec::new();
        for number in 0..nodes {
            let ip = addresses.get(number + 1);
            all.push(Node::new(number, ip, &store, &cloud, dir).await?);
        }
        let world = Arc::new(Self {
            history,
            nodes: all,
            backends: Mutex::default(),
            store,
            listing_lock: tokio::sync::Mutex::default(),
            ip,
            _cloud: cloud,
        });
        world.configure(1, config::PLAIN_SERVICES[0]).await?;
        for service in [
            config::PLAIN_SERVICES[0],
            config::PLAIN_SERVICES[1],
            config::STREAM_SERVICE,
        ] {
            for at in 0..BACKENDS_PER_SERVICE {
                world.add_backend(service, ZONES[at % ZONES.len()]).await?;
            }
        }
        for node in &world.nodes {
            node.start()?;
        }
        for node in &world.nodes {
            node.wait_ready().await?;
        }
        tokio::spawn(watch_processes(Arc::downgrade(&world)));
        tokio::spawn(heartbeats(Arc::downgrade(&world)));
        Ok(world)
    }

    async fn put(&self, key: &str, value: String) -> Result<()> {
        let put = Transaction {
            then: vec![Op::Put {
                key: key.into(),
                value: value.into(),
                lease: None,
            }],
            ..Transaction::default()
        };
        self.store.store().transact(put).await?;
        Ok(())
    }

    /// Writes a new configuration version to the store.
    pub(crate) async fn configure(&self, version: u64, moving_route: &'static str) -> Result<()> {
        let text = config::document(version, moving_route);
        self.put("op/config", text).await?;
        let at = self.history.now();
        self.history
            .lock()
            .versions
            .push(Version { at, moving_route });
        Ok(())
    }

    /// Starts a back end and adds its entry to the store.
    pub(crate) async fn add_backend(
        &self,
        service: &'static str,
        zone: &'static str,
    ) -> Result<()> {
        let _guard = self.listing_lock.lock().await;
        let number = self.backends.lock().len();
        let backend = Backend::spawn(
            self.ip,
            number,
            service,
            zone,
            BACKEND_SLOTS,
            self.history.clone(),
        );
        let backend = Arc::new(backend.await?);
        self.backends.lock().push(Entry {
            backend: Arc::clone(&backend),
            listed: ListingState::Ready,
        });
        self.put(&backend.key(), backend.entry("ready", 1)).await
    }

    /// Marks a back end's entry in the store as draining, or deletes it.
    pub(crate) async fn set_listing(&self, number: usize, listed: ListingState) -> Result<()> {
        let _guard = self.listing_lock.lock().await;
        let backend = {
            let mut backends = self.backends.lock();
            backends[number].listed = listed;
            Arc::clone(&backends[number].backend)
        };
        match listed {
            ListingState::Gone => {
                let delete = Transaction {
                    then: vec![Op::Delete(KeyRange::One(backend.key().into()))],
                    ..Transaction::default()
                };
                self.store.store().transact(delete).await?;
            }
            ListingState::Draining => {
                let entry = backend.entry("draining", 2);
                self.put(&backend.key(), entry).await?;
            }
            ListingState::Ready => return Ok(()),
        }
        let now = self.history.now();
        self.history
            .lock()
            .leaving_since
            .entry(number)
            .or_insert(now);
        Ok(())
    }

    /// Replaces the store's data by an older copy. The operator writes the newest configuration again at once, and
    /// back ends do so with their entries at their next heartbeat.
    pub(crate) async fn restore_store(&self, copy: &StoreCopy) -> Result<()> {
        let _guard = self.listing_lock.lock().await;
        self.store.store().restore(copy);
        let (count, route) = {
            let events = self.history.lock();
            let newest = events.versions.last().map(|version| version.moving_route);
            (events.versions.len() as u64, newest)
        };
        let Some(route) = route else { return Ok(()) };
        let text = config::document(config_version(count - 1), route);
        self.put("op/config", text).await
    }

    /// Deletes the entries of back ends that have ended, and marks those that are leaving, as the store may have
    /// lost these changes.
    pub(crate) async fn rewrite_departures(&self) -> Result<()> {
        let entries = self.backends.lock().clone();
        for Entry { backend, listed } in entries {
            if listed != ListingState::Ready {
                self.set_listing(backend.number, listed).await?;
            }
        }
        Ok(())
    }

    /// Renews the entry of a back end if it is still listed as ready.
    async fn renew(&self, backend: &Backend, seq: u64) {
        let _guard = self.listing_lock.lock().await;
        if self.backends.lock()[backend.number].listed == ListingState::Ready {
            // Writes to the in-memory store cannot fail.
            let _ = self.put(&backend.key(), backend.entry("ready", seq)).await;
        }
    }

    /// Returns all ready back ends.
    pub(crate) fn ready_backends(&self) -> Vec<Arc<Backend>> {
        let backends = self.backends.lock();
        let ready = backends.iter().filter(|e| e.listed == ListingState::Ready);
        ready.map(|entry| Arc::clone(&entry.backend)).collect()
    }

    /// Returns the ready back end selected by a number in `0.0..1.0`.
    pub(crate) fn pick_backend(&self, draw: f64) -> Option<Arc<Backend>> {
        let ready = self.ready_backends();
        let at = (draw * ready.len() as f64) as usize;
        ready.get(at).cloned()
    }
}

/// Records node processes that exit without being stopped or killed.
async fn watch_processes(world: std::sync::Weak<World>) {
    loop {
        tokio::time::sleep(LIVENESS_INTERVAL).await;
        let Some(world) = world.upgrade() else { return };
        for node in &world.nodes {
            let mut process = node.process.lock();
            if node.is_stopping.load(Ordering::Relaxed) {
                continue;
            }
            if process
                .as_mut()
                .is_some_and(|process| process.ended().is_some())
            {
                let now = world.history.now();
                world
                    .history
                    .lock()
                    .unexpected_exits
                    .push((node.number, now));
                *process = None;
                let _down = world.history.begin_disturbance(Target::Node(node.number));
            }
        }
    }
}

/// Renews the entries of all ready back ends periodically.
async fn heartbeats(world: std::sync::Weak<World>) {
    for seq in 2.. {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        let Some(world) = world.upgrade() else { return };
        for backend in world.ready_backends() {
            world.renew(&backend, seq).await;
        }
    }
}
