//! Test environment: gateway processes, store, cloud, back ends, and the links that faults act on.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use jayhall::sources::store::{KeyRange, Op, Store, StoreCopy, Transaction};
use jayhall::util::time::unix_now;
use jayhall_harness::{GatewaySettingsText, Link, PlatformStoreStandin, Process, bin_dir};
use parking_lot::Mutex;

use crate::backend::Backend;
use crate::cloud::Cloud;
use crate::config;
use crate::history::{History, Target, Version};

/// Availability zones of the nodes. The third zone is in another region.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// Initial number of back ends per service.
const BACKENDS_PER_SERVICE: usize = 3;
/// Concurrent calls that a back end executes.
const BACKEND_SLOTS: u32 = 16;
/// Timeout for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the liveness check of processes.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the back ends' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// A gateway node.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) number: usize,
    pub(crate) settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    /// Listen address for callers.
    pub(crate) callers: SocketAddr,
    pub(crate) directory: SocketAddr,
    readiness: SocketAddr,
    /// Link from callers to the node.
    pub(crate) caller_link: Link,
    pub(crate) store_link: Link,
    pub(crate) cloud_link: Link,
    pub(crate) process: Mutex<Option<Process>>,
    /// Whether the process is stopping gracefully.
    pub(crate) is_stopping: AtomicBool,
}

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

/// Returns the loopback address of a component of a run. Concurrent runs use different addresses, none of
/// which is a default of other programs.
fn address(run: u8, party: usize) -> IpAddr {
    let pid = std::process::id();
    let [.., high, low] = pid.to_be_bytes();
    let first = 64 + (high & 31);
    let party = u8::try_from(party).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, first, low, run.wrapping_mul(8).wrapping_add(party)).into()
}

/// Returns the version of the configuration that is written after `count` others.
pub(crate) fn config_version(count: u64) -> u64 {
    count * 3 + 1
}

impl World {
    /// Starts all components. `run` is unique among the concurrent runs of a process and less than 32.
    pub(crate) async fn spawn(run: u8, nodes: usize, dir: &Path) -> Result<Arc<Self>> {
        let history = History::new(unix_now());
        let ip = address(run, 0);
        let store = PlatformStoreStandin::spawn(ip).await?;
        let cloud = Cloud::spawn(ip, history.clone()).await?;
        let mut all = Vec::new();
        for number in 0..nodes {
            let ip = address(run, number + 1);
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

    /// Returns the ready back end selected by a number in `0.0..1.0`.
    pub(crate) fn pick_backend(&self, draw: f64) -> Option<Arc<Backend>> {
        let backends = self.backends.lock();
        let ready: Vec<_> = backends
            .iter()
            .filter(|e| e.listed == ListingState::Ready)
            .collect();
        let at = (draw * ready.len() as f64) as usize;
        ready.get(at).map(|entry| Arc::clone(&entry.backend))
    }
}

impl Node {
    async fn new(
        number: usize,
        ip: IpAddr,
        store: &PlatformStoreStandin,
        cloud: &Cloud,
        dir: &Path,
    ) -> Result<Self> {
        let at = |port: u16| SocketAddr::new(ip, port);
        let (callers, readiness, directory) = (at(7101), at(7102), at(7103));
        let caller_link = Link::spawn(ip, callers).await?;
        let store_link = Link::spawn(ip, store.address()).await?;
        let cloud_link = Link::spawn(ip, cloud.address).await?;
        let zone = ZONES[number % ZONES.len()];
        let region = if zone == "z3" { "r2" } else { "r1" };
        let text = GatewaySettingsText {
            name: &format!("n{number}"),
            region,
            zone,
            listen: [callers, readiness, directory, at(7104), at(7105)],
            regions: "z1:r1,z2:r1,z3:r2",
            store: store_link.address(),
            cloud: cloud_link.address(),
            bounds: &config::render_bounds(),
        };
        let text = text.render();
        let settings = dir.join(format!("n{number}.ini"));
        std::fs::write(&settings, text).wrap_err("writing the node settings file")?;
        Ok(Self {
            number,
            settings,
            log: dir.join(format!("n{number}.log")),
            program: bin_dir()?.join("jayhalld"),
            callers,
            directory,
            readiness,
            caller_link,
            store_link,
            cloud_link,
            process: Mutex::default(),
            is_stopping: AtomicBool::new(false),
        })
    }

    pub(crate) fn start(&self) -> Result<()> {
        let settings = self.settings.display().to_string();
        let args = ["--gateway".into(), "--settings".into(), settings];
        let name = format!("n{}", self.number);
        let process = Process::spawn_logging(&name, &self.program, &args, &self.log)?;
        *self.process.lock() = Some(process);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<()> {
        let url = format!("http://{}/readyz", self.readiness);
        let client = reqwest::Client::new();
        let ready = async {
            loop {
                let res = client.get(&url).send().await;
                if res.is_ok_and(|res| res.status().is_success()) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
            bail!(
                "n{} did not become ready in time; see {}",
                self.number,
                self.log.display()
            );
        }
        Ok(())
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
        let ready: Vec<_> = {
            let backends = world.backends.lock();
            let ready = backends.iter().filter(|e| e.listed == ListingState::Ready);
            ready.map(|entry| Arc::clone(&entry.backend)).collect()
        };
        for backend in ready {
            world.renew(&backend, seq).await;
        }
    }
}
