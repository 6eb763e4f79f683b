//! Starts a node from its settings and shuts it down gracefully.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use jayhall_wire::peer_server::PeerServer;
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use socket2::SockRef;
use tokio::sync::{Notify, oneshot};
use tonic::transport::server::TcpIncoming;
use uuid::Uuid;

use super::control::LocalNodeControl;
use super::{Blackboard, Connections, Identity, LeaveOutcome, Node, Phase, http_client};
use crate::core::fleet::orders::TenureRules;
use crate::core::id::Address;
use crate::core::membership::{DocumentRevision, DocumentRevisions};
use crate::operators::OperatorContext;
use crate::ops::gossip::{Documents, Gossip, GossipSetup};
use crate::ops::keep_fleet::{FleetKeeper, KeeperSetup};
use crate::ops::publish::Publisher;
use crate::ops::report::Reports;
use crate::ops::spread::{ConfigInstaller, Spread, SpreadConfig};
use crate::ops::watch_fleet::{FleetController, FleetControllerHandle};
use crate::peers::{PeerService, PeerTls, Pings, Pool};
use crate::sources::cloud::HttpCloud;
use crate::sources::engine::EngineClient;
use crate::sources::service::ServiceClient;
use crate::sources::store::{EtcdConfig, EtcdStore, Store};
use crate::sources::vm_list::HttpVmList;
use crate::util::settings::Settings;
use crate::util::time::unix_now;

/// Time limit for a planned shutdown that has no reclaim deadline.
const PLANNED_STOP_TIMEOUT: Duration = Duration::from_secs(25);
/// Safety margin between the end of a hand-over and the reclaim of the VM.
const RECLAIM_MARGIN: Duration = Duration::from_secs(1);
/// Longest wait for the connections of callers and operators to close after the hand-over.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two rounds of the fleet controller.
const KEEPER_ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Limit of engines in one zone that load weights at the same time.
const MAX_CONCURRENT_LOADS: usize = 2;
/// Largest message between nodes, in bytes: a long conversation with its cache state.
const MAX_PEER_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A running node.
pub struct Daemon {
    node: Arc<Node>,
    gossip: Gossip,
    fleet: FleetControllerHandle,
    callers: ServerHandle,
    operators: ServerHandle,
    drain: Arc<Notify>,
    keeper: Option<FleetKeeper>,
    peers: Option<oneshot::Sender<()>>,
}

/// Bound listeners of a node.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self> {
        let bind = |name: &str, address: SocketAddr| {
            let listener = TcpListener::bind(address).wrap_err_with(|| {
                format!("listening for {name} on {address}; set [listen] {name}")
            })?;
            listener.set_nonblocking(true)?;
            // Accepted sockets inherit TCP_NODELAY. Without it, Nagle's algorithm holds a token or an
            // acknowledgement back until the delayed ACK of the previous segment arrives.
            SockRef::from(&listener).set_tcp_nodelay(true)?;
            Ok::<_, eyre::Report>(listener)
        };
        Ok(Self {
            callers: bind("callers", settings.listen.callers)?,
            operators: bind("operators", settings.listen.operators)?,
            peers: bind("peers", settings.listen.peers)?,
        })
    }
}

/// Connects gossip to the replication of documents: reports local revisions and passes on newer ones.
struct SpreadDocuments(Arc<Spread>);

impl Documents for SpreadDocuments {
    fn revisions(&self) -> DocumentRevisions {
        self.0
            .revisions()
            .into_iter()
            .map(|revision| DocumentRevision {
                document: revision.document.into(),
                revision: revision.revision,
            })
            .collect()
    }

    fn record_announcement(&self, from: Address, newer: &[DocumentRevision]) {
        let revisions: Vec<_> = newer
            .iter()
            .map(|revision| jayhall_wire::DocumentRevision {
                document: revision.document.to_string(),
                revision: revision.revision,
            })
            .collect();
        self.0.record_announcement(from, &revisions);
    }
}

impl Daemon {
    /// Starts a node. Controllers run on `control`, request traffic runs on the current runtime.
    ///
    /// Returns once all listeners are bound. The node accepts calls after it has installed a document.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound, a TLS file cannot be used or a client cannot be set up.
    pub async fn spawn(
        settings: &Settings,
        control: &tokio::runtime::Handle,
        metrics: PrometheusHandle,
    ) -> Result<Self> {
        let listeners = Listeners::bind(settings)?;
        let board = Blackboard::new(identity(settings, &listeners)?);
        let tls = settings.tls.as_ref().map(PeerTls::open).transpose()?;
        let pool = Arc::new(Pool::open(tls.as_ref(), Pings::Always)?);
        let gossip_pool = Arc::new(Pool::open(tls.as_ref(), Pings::InUse)?);
        let http = http_client().wrap_err("setting up the HTTP client")?;
        let store: Arc<dyn Store> =
            Arc::new(EtcdStore::open(EtcdConfig::new(&settings.platform.store))?);

        let _control_guard = control.enter();
        let spread = Spread::spawn(SpreadConfig {
            blackboard: Arc::clone(&board),
            store: Arc::clone(&store),
            peers: Arc::clone(&pool) as _,
            installers: vec![Arc::new(ConfigInstaller(Arc::clone(&board)))],
        });
        let gossip = Gossip::spawn(GossipSetup {
            blackboard: Arc::clone(&board),
            pool: gossip_pool,
            seeds: Vec::new(),
            documents: Arc::new(SpreadDocuments(Arc::clone(&spread))),
            rng_seed: rand::random(),
        });
        let cloud = Arc::new(HttpCloud::new(http.clone(), &settings.platform.cloud));
        let fleet = FleetController {
            board: Arc::clone(&board),
            gossip: gossip.clone(),
            list: Arc::new(HttpVmList::new(http.clone(), &settings.platform.list)),
            cloud: Arc::clone(&cloud) as _,
        }
        .spawn();
        let keeper = settings.fleet.manages_fleet.then(|| {
            FleetKeeper::spawn(KeeperSetup {
                board: Arc::clone(&board),
                store: Arc::clone(&store),
                cloud,
                engines: Arc::new(EngineClient::new(http.clone())),
                host: Arc::new(gossip.clone()),
                rules: TenureRules::default(),
                round_interval: KEEPER_ROUND_INTERVAL,
                max_loads: MAX_CONCURRENT_LOADS,
            })
        });
        tokio::spawn(begin_serving(Arc::clone(&board), Arc::clone(&spread)));
        drop(_control_guard);

        let node = Node::spawn(
            Arc::clone(&board),
            Connections {
                pool,
                http,
                store: Arc::clone(&store),
                services: ServiceClient::open().wrap_err("setting up the client of services")?,
            },
        );
        control.spawn(
            Reports {
                board: Arc::clone(&board),
                gossip: gossip.clone(),
                home: Arc::clone(&node.home),
                engine_selector: Arc::clone(&node.engine_selector),
                admission_control: Arc::clone(&node.admission_control),
            }
            .run(),
        );
        let drain = Arc::new(Notify::new());
        let operators = serve_operators(
            listeners.operators,
            OperatorContext {
                blackboard: board,
                spread: Arc::clone(&spread),
                publisher: Publisher::open(store),
                control: Arc::new(LocalNodeControl {
                    node: Arc::clone(&node),
                    drain: Arc::clone(&drain),
                }),
                operator_keys: settings.operator_keys.iter().copied().collect(),
            },
            metrics,
        )?;
        let peers = serve_peers(
            listeners.peers,
            PeerService::new(Arc::clone(&node), gossip.clone(), spread),
            tls.as_ref(),
        )?;
        let callers = serve_callers(listeners.callers, &node)?;
        Ok(Self {
            node,
            gossip,
            fleet,
            callers,
            operators,
            drain,
            keeper,
            peers: Some(peers),
        })
    }

    /// Returns the identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.node.cx.board.identity
    }

    /// Waits for a reclaim notice of this VM, an operator's drain or the end of `stop`, then shuts down
    /// gracefully.
    pub async fn run_until<F>(mut self, stop: F) -> LeaveOutcome
    where
        F: Future<Output = ()>,
    {
        let (cause, time_limit) = tokio::select! {
            notice = self.fleet.own_notice() => {
                let remaining = notice.reclaim_at.saturating_sub(unix_now());
                let remaining = Duration::from_millis(remaining).saturating_sub(RECLAIM_MARGIN);
                ("the cloud takes back its VM", remaining)
            }
            () = self.drain.notified() => ("an operator drains it", PLANNED_STOP_TIMEOUT),
            () = stop => ("it is being stopped", PLANNED_STOP_TIMEOUT),
        };
        self.leave(cause, time_limit).await
    }

    async fn leave(&mut self, cause: &str, time_limit: Duration) -> LeaveOutcome {
        tracing::info!(cause, within_ms = time_limit.as_millis(), "leaving");
        // Stops the fleet controller; another node takes over its zones.
        self.keeper = None;
        self.gossip.leave().await;
        let left = self.node.leave(cause, time_limit).await;
        self.callers.stop_graceful(Some(CONNECTION_CLOSE_TIMEOUT));
        self.operators.stop_graceful(Some(CONNECTION_CLOSE_TIMEOUT));
        tokio::time::sleep(CONNECTION_CLOSE_TIMEOUT.min(time_limit)).await;
        if let Some(peers) = self.peers.take() {
            let _ = peers.send(());
        }
        tracing::info!(?left, "left");
        left
    }
}

fn identity(settings: &Settings, listeners: &Listeners) -> Result<Identity> {
    let name = settings.node.name.as_ref().unwrap_or(&settings.node.vm);
    Ok(Identity {
        node: format!("{name}-{}", &Uuid::new_v4().simple().to_string()[..8]).into(),
        vm: settings.node.vm.clone(),
        region: settings.node.region.clone(),
        zone: settings.node.zone.clone(),
        peer_address: listeners.peers.local_addr()?,
        caller_address: listeners.callers.local_addr()?,
        operator_address: listeners.operators.local_addr()?,
    })
}

/// Moves the node from `Starting` to `Serving` once a document is installed.
async fn begin_serving(board: Arc<Blackboard>, spread: Arc<Spread>) {
    spread.ready().await;
    let mut config = board.config.watch();
    while config.borrow_and_update().revision == 0 {
        if config.changed().await.is_err() {
            return;
        }
    }
    board
        .phase
        .update(|phase| (*phase == Phase::Starting).then_some(Phase::Serving));
    tracing::info!(revision = board.config.read().revision, "serving");
}

fn serve_callers(listener: TcpListener, node: &Node) -> Result<ServerHandle> {
    serve_http(listener, crate::callers::router(&node.caller_context()))
}

fn serve_operators(
    listener: TcpListener,
    cx: OperatorContext,
    metrics: PrometheusHandle,
) -> Result<ServerHandle> {
    let metrics = Router::with_path("metrics").get(RenderMetrics(metrics));
    serve_http(listener, crate::operators::router(cx).push(metrics))
}

/// Serves the metrics of this process. They contain customer names, but no keys and no request texts.
struct RenderMetrics(PrometheusHandle);

#[handler]
impl RenderMetrics {
    async fn handle(&self, res: &mut Response) {
        res.render(Text::Plain(self.0.render()));
    }
}

fn serve_http(listener: TcpListener, router: Router) -> Result<ServerHandle> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let server = Server::new(TcpAcceptor::try_from(listener)?);
    let handle = server.handle();
    tokio::spawn(async move { server.serve(router).await });
    Ok(handle)
}

fn serve_peers(
    listener: TcpListener,
    service: PeerService,
    tls: Option<&PeerTls>,
) -> Result<oneshot::Sender<()>> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let incoming = TcpIncoming::from(listener);
    let (tx, rx) = oneshot::channel::<()>();
    let service = PeerServer::new(service)
        .max_decoding_message_size(MAX_PEER_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_PEER_MESSAGE_BYTES);
    let mut server = tonic::transport::Server::builder();
    if let Some(tls) = tls {
        server = server
            .tls_config(tls.server())
            .wrap_err("reading [tls]; check the certificate, the key and the authority")?;
    }
    let server = server
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = rx.await;
        });
    tokio::spawn(async move {
        if let Err(e) = server.await {
            tracing::error!(error = %e, "peer listener failed");
        }
    });
    Ok(tx)
}
