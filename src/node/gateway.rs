//! Starts a gateway from its settings and shuts it down gracefully.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::ops::gateway::active::Stage;
use crate::ops::gateway::attempt::GatewayContext;
use crate::ops::gateway::dialect::{Dialect, Duties};
use crate::ops::gateway::duties::DutyRunner;
use crate::ops::gateway::listen::{self, Listening, Purpose};
use crate::ops::gateway::mesh::Mesh;
use crate::ops::gateway::origin_archive::{OriginArchive, OriginWriter};
use crate::ops::gateway::pool::BackendPool;
use crate::ops::gateway::register::Registration;
use crate::ops::gateway::state::{GatewayState, Phase};
use crate::ops::gateway::{
    concurrency, follow_store, install, origin_hand_over, origin_keepers, quarantine, quota_lend,
    reach, rollout, settled_era, snapshot, software,
};
use crate::sources::http::{ConnectOptions, HttpClient};
use crate::sources::store::Store;
use crate::util::settings::GatewaySettings;

/// Interval between two removals of expired state and idle connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two maintenance runs of the metrics recorder.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a leaving node still accepts calls, because callers learn late that it leaves.
const LEAVING_ACCEPT_PERIOD: Duration = Duration::from_millis(2500);
/// Fraction of the stop time after which the node no longer waits for running calls.
const DRAIN_DEADLINE_FRACTION: f64 = 0.92;
/// Time before that at which calls that still run are answered, so that the answers reach their callers.
const STOP_RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Fraction of the stop time after which the node no longer waits for callers to receive their responses.
const SEND_DEADLINE_FRACTION: f64 = 0.97;
/// Interval at which a leaving node checks whether all calls have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How connections for requests to other nodes are opened.
const PEER_CONNECT_OPTIONS: ConnectOptions = ConnectOptions {
    timeout: Duration::from_millis(1000),
    user_timeout: Duration::from_millis(1500),
};

/// Platform-specific dependencies of a gateway.
pub struct Platform {
    /// Header, key and field names that the platform uses on the wire.
    pub dialect: Arc<dyn Dialect>,
    /// Key-value store of the platform.
    pub store: Arc<dyn Store>,
    /// Singleton duties, which only the node with the lease performs; `None` if the platform has none.
    pub duties: Option<Arc<dyn Duties>>,
}

/// A running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    registration: Arc<Registration>,
    /// Task that maintains the registration.
    registration_task: JoinHandle<()>,
    mesh: Arc<Mesh>,
    listening: watch::Sender<Listening>,
}

impl Gateway {
    /// Starts a gateway. Controllers run on `control`, calls run on the current runtime.
    ///
    /// Returns once all listeners are bound. Calls are served after a configuration is installed.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn spawn(
        settings: GatewaySettings,
        platform: Platform,
        control: &tokio::runtime::Handle,
        metrics: PrometheusHandle,
    ) -> Result<Self> {
        let state = GatewayState::new(settings, platform.dialect);
        let peers = HttpClient::new(PEER_CONNECT_OPTIONS);
        let (new_origins, origin_queue) = origin_keepers::origin_queue();
        let cx = Arc::new(GatewayContext {
            state: Arc::clone(&state),
            pool: BackendPool::default(),
            peers: peers.clone(),
            archive: OriginArchive::new(Arc::clone(&state), Arc::clone(&platform.store)),
            new_origins,
        });
        let (listening, _) = watch::channel(Listening::Open);
        let addresses = state.settings.listen;
        let purposes = [
            (addresses.callers, Purpose::Calls(Arc::clone(&cx))),
            (addresses.readiness, Purpose::Readiness(Arc::clone(&state))),
            (addresses.directory, Purpose::Directory(Arc::clone(&state))),
            (
                addresses.control,
                Purpose::Control(Arc::clone(&cx), metrics.clone()),
            ),
        ];
        for (address, purpose) in purposes {
            let listener = listen::bind(address)
                .await
                .wrap_err_with(|| format!("listening on {address}; see [gateway]"))?;
            tokio::spawn(listen::run(listener, purpose, listening.subscribe()));
        }
        let own_member = state.own_member();
        state.members.lock().put(own_member, state.now());
        let registration = Registration::new(Arc::clone(&state), Arc::clone(&platform.store));
        let (registration_task, mesh) = {
            let _control_guard = control.enter();
            let mesh = Mesh::bind(Arc::clone(&state)).await.wrap_err_with(|| {
                format!("listening on {}; see [gateway] peers", addresses.peers)
            })?;
            if let Some(duties) = platform.duties {
                let keeper =
                    DutyRunner::new(Arc::clone(&state), Arc::clone(&platform.store), duties);
                tokio::spawn(keeper.run());
            }
            tokio::spawn(quarantine::run(
                Arc::clone(&state),
                Arc::clone(&platform.store),
            ));
            tokio::spawn(software::run(
                Arc::clone(&state),
                Arc::clone(&platform.store),
            ));
            tokio::spawn(settled_era::run(
                Arc::clone(&state),
                Arc::clone(&platform.store),
            ));
            tokio::spawn(rollout::run(
                Arc::clone(&state),
                Arc::clone(&platform.store),
            ));
            let origin_writer = OriginWriter::new(
                Arc::clone(&state),
                Arc::clone(&platform.store),
                Arc::clone(&mesh),
            );
            tokio::spawn(origin_writer.run());
            tokio::spawn(origin_hand_over::run(Arc::clone(&state), Arc::clone(&mesh)));
            tokio::spawn(follow_store::run(
                Arc::clone(&state),
                platform.store,
                peers.clone(),
            ));
            let registration_task = tokio::spawn(Arc::clone(&registration).run());
            tokio::spawn(Arc::clone(&mesh).send());
            tokio::spawn(Arc::clone(&mesh).receive());
            tokio::spawn(quota_lend::run(Arc::clone(&state)));
            if state.settings.learns_limits {
                tokio::spawn(concurrency::run(Arc::clone(&state)));
            }
            tokio::spawn(origin_keepers::send_origins(
                Arc::clone(&state),
                Arc::clone(&mesh),
                origin_queue,
            ));
            tokio::spawn(snapshot::run(Arc::clone(&state), Arc::clone(&mesh), peers));
            (registration_task, mesh)
        };
        tokio::spawn(reach::probe(Arc::clone(&cx)));
        tokio::spawn(run_maintenance(cx, metrics));
        tracing::info!(
            node = &*state.settings.name,
            zone = &*state.settings.zone,
            incarnation = state.incarnation,
            callers = %addresses.callers,
            "started"
        );
        Ok(Self {
            state,
            registration,
            registration_task,
            mesh,
            listening,
        })
    }

    /// Shuts down gracefully: announces the departure to callers and nodes, closes persistent
    /// connections, closes the listeners, and waits for running calls, and for callers that are still receiving
    /// their responses, up to a deadline each.
    pub async fn leave(self) {
        let started = Instant::now();
        let stop_time = self.state.settings.bounds.stop;
        let drain_deadline = started + stop_time.mul_f64(DRAIN_DEADLINE_FRACTION);
        let send_deadline = started + stop_time.mul_f64(SEND_DEADLINE_FRACTION);
        let stop_by = drain_deadline - STOP_RESPONSE_MARGIN;
        self.state.stop_by.send_replace(Some(stop_by));
        tracing::info!(active = self.active(), "leaving");
        self.state.phase.send_replace(Phase::Leaving);
        let own_member = self.state.own_member();
        self.state.members.lock().put(own_member, self.state.now());
        self.mesh.send_now().await;
        self.listening.send_replace(Listening::Finishing);
        tokio::time::sleep(LEAVING_ACCEPT_PERIOD).await;
        self.listening.send_replace(Listening::Closed);
        wait_for_none(|| self.active(), stop_by - DRAIN_POLL_INTERVAL).await;
        self.log_outlasting_calls();
        wait_for_none(|| self.active(), drain_deadline).await;
        // The task would write the entry again.
        self.registration_task.abort();
        let (deregistered, ()) = tokio::join!(
            tokio::time::timeout_at(send_deadline, self.registration.deregister()),
            wait_for_none(|| self.connections(), send_deadline),
        );
        if deregistered.is_err() {
            tracing::warn!(
                "the store did not answer in time; the node's entry stays there until the lease expires"
            );
        }
        tracing::info!(
            active = self.active(),
            connections = self.connections(),
            took_ms = started.elapsed().as_millis() as u64,
            "stopped"
        );
    }

    fn active(&self) -> u64 {
        self.state.active.total()
    }

    fn connections(&self) -> u64 {
        self.state.call_connections.load(Ordering::Relaxed)
    }

    /// Logs the calls that still run shortly before they are ended because the node stops.
    fn log_outlasting_calls(&self) {
        let calls = &self.state.active;
        if calls.total() > 0 {
            tracing::warn!(
                reading = calls.at(Stage::Reading),
                serving = calls.at(Stage::Serving),
                streaming = calls.at(Stage::Streaming),
                forwarded = calls.forwarded(),
                "calls outlast the time to stop"
            );
        }
    }
}

/// Waits until a count is 0, or until a deadline.
async fn wait_for_none(count: impl Fn() -> u64, deadline: Instant) {
    while count() > 0 && Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Periodically removes expired state, closes old connections and maintains the metrics recorder.
async fn run_maintenance(cx: Arc<GatewayContext>, metrics: PrometheusHandle) {
    let mut collected = Instant::now();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        install::expire(&cx.state);
        install::assign_limit_shares(&cx.state);
        cx.state.origins.lock().expire(cx.state.now());
        cx.pool.close_expired();
        if collected.elapsed() >= METRICS_INTERVAL {
            collected = Instant::now();
            metrics.run_upkeep();
        }
    }
}
