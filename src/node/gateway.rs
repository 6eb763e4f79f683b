//! Starts a gateway from its settings, and stops it gracefully.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::ops::gateway::attempt::GatewayContext;
use crate::ops::gateway::dialect::{Dialect, Duties};
use crate::ops::gateway::duties::DutyRunner;
use crate::ops::gateway::listen::{self, Listening, Purpose};
use crate::ops::gateway::mesh::Mesh;
use crate::ops::gateway::pool::BackendPool;
use crate::ops::gateway::register::Registration;
use crate::ops::gateway::state::{GatewayState, Phase};
use crate::ops::gateway::{follow_store, install, snapshot};
use crate::sources::store::Store;
use crate::util::settings::GatewaySettings;

/// Time between two looks at what has run out.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two collections of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a node that leaves takes calls of callers that do not know yet.
const ACCEPT_WHILE_LEAVING: Duration = Duration::from_millis(2500);
/// Part of the time to stop after which calls that still run are given up.
const STOP_SHARE: f64 = 0.92;
/// Time between two looks whether all calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// What a gateway needs from the adapter of its platform.
pub struct Platform {
    /// Names on the wire.
    pub dialect: Arc<dyn Dialect>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Calls that one node at a time makes; `None` where the platform takes none.
    pub duties: Option<Arc<dyn Duties>>,
}

/// A running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    registration: Arc<Registration>,
    mesh: Arc<Mesh>,
    listening: watch::Sender<Listening>,
}

impl Gateway {
    /// Starts a gateway: controllers on `control`, calls on the current runtime. Returns once all
    /// listeners are bound; calls are served as soon as there is a configuration.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound.
    pub async fn spawn(
        settings: GatewaySettings,
        platform: Platform,
        control: &tokio::runtime::Handle,
        metrics: PrometheusHandle,
    ) -> Result<Self> {
        let state = GatewayState::new(settings, platform.dialect);
        let cx = Arc::new(GatewayContext {
            state: Arc::clone(&state),
            pool: BackendPool::default(),
        });
        let (listening, _) = watch::channel(Listening::Open);
        let at = state.settings.listen;
        let purposes = [
            (at.callers, Purpose::Calls(Arc::clone(&cx))),
            (at.readiness, Purpose::Readiness(Arc::clone(&state))),
            (at.directory, Purpose::Directory(Arc::clone(&state))),
            (
                at.control,
                Purpose::Control(Arc::clone(&state), metrics.clone()),
            ),
        ];
        for (address, purpose) in purposes {
            let listener = listen::bind(address)
                .await
                .wrap_err_with(|| format!("listening on {address}; see [gateway]"))?;
            tokio::spawn(listen::run(listener, purpose, listening.subscribe()));
        }
        let own = state.own_member();
        state.members.lock().put(own, state.now());
        let peers = reqwest::Client::builder()
            .tcp_nodelay(true)
            .build()
            .wrap_err("setting up the client for other nodes")?;
        let registration = Registration::new(Arc::clone(&state), Arc::clone(&platform.store));
        let mesh = {
            let _on_control = control.enter();
            let mesh = Mesh::bind(Arc::clone(&state))
                .await
                .wrap_err_with(|| format!("listening on {}; see [gateway] peers", at.peers))?;
            if let Some(duties) = platform.duties {
                let keeper =
                    DutyRunner::new(Arc::clone(&state), Arc::clone(&platform.store), duties);
                tokio::spawn(keeper.run());
            }
            tokio::spawn(follow_store::run(
                Arc::clone(&state),
                platform.store,
                peers.clone(),
            ));
            tokio::spawn(Arc::clone(&registration).run());
            tokio::spawn(Arc::clone(&mesh).send());
            tokio::spawn(Arc::clone(&mesh).receive());
            tokio::spawn(snapshot::run(Arc::clone(&state), Arc::clone(&mesh), peers));
            mesh
        };
        tokio::spawn(upkeep(cx, metrics));
        tracing::info!(
            node = &*state.settings.name,
            zone = &*state.settings.zone,
            incarnation = state.incarnation,
            callers = %at.callers,
            "started"
        );
        Ok(Self {
            state,
            registration,
            mesh,
            listening,
        })
    }

    /// Finishes calls and leaves: callers are sent elsewhere, then kept connections close, then the
    /// listeners.
    pub async fn leave(self) {
        let started = Instant::now();
        let give_up = started + self.state.settings.bounds.stop.mul_f64(STOP_SHARE);
        tracing::info!(active = self.active(), "leaving");
        self.state.phase.send_replace(Phase::Leaving);
        let own = self.state.own_member();
        self.state.members.lock().put(own, self.state.now());
        self.mesh.send_now().await;
        self.listening.send_replace(Listening::Finishing);
        tokio::time::sleep(ACCEPT_WHILE_LEAVING).await;
        self.listening.send_replace(Listening::Closed);
        while self.active() > 0 && Instant::now() < give_up {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
        self.registration.deregister().await;
        tracing::info!(
            active = self.active(),
            took_ms = started.elapsed().as_millis() as u64,
            "stopped"
        );
    }

    fn active(&self) -> u64 {
        self.state.active.load(Ordering::Relaxed)
    }
}

/// Forgets what has run out, until the process ends.
async fn upkeep(cx: Arc<GatewayContext>, metrics: PrometheusHandle) {
    let mut collected = Instant::now();
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        install::expire(&cx.state);
        cx.pool.close_expired();
        if collected.elapsed() >= METRICS_INTERVAL {
            collected = Instant::now();
            metrics.run_upkeep();
        }
    }
}
