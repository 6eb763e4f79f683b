//! One process: its operations, controllers and listeners.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Blackboard, NodeContext, Phase};
use crate::callers::CallerContext;
use crate::ops::accept::Accept;
use crate::ops::admit::AdmissionControl;
use crate::ops::call_records::CallRecords;
use crate::ops::call_service::{CallService, CallServiceContext, PeerOwnerClient};
use crate::ops::choose_home::EngineSelector;
use crate::ops::follow::Follower;
use crate::ops::hand_over::HandOvers;
use crate::ops::home::Home;
use crate::ops::replicate::Replicator;
use crate::ops::requests::Requests;
use crate::ops::run_request::Runner;
use crate::peers::Pool;
use crate::sources::engine::EngineClient;
use crate::sources::service::ServiceClient;
use crate::sources::store::Store;
use crate::util::time::unix_now;

/// Time between two looks at replicas and at old answers.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for a connection to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The operations of one process.
#[derive(Debug)]
pub struct Node {
    /// What operations need.
    pub cx: NodeContext,
    /// Requests that this node serves or keeps copies of.
    pub requests: Arc<Requests>,
    /// Home of engines.
    pub home: Arc<Home>,
    /// Copies on other nodes.
    pub replicator: Arc<Replicator>,
    /// Attempts of requests.
    pub runner: Arc<Runner>,
    /// Requests that pass from node to node.
    pub hand_overs: Arc<HandOvers>,
    /// Answers on any node.
    pub follower: Follower,
    /// Calls of plain services.
    pub calls: Arc<CallService>,
    /// Records of those calls.
    pub records: Arc<CallRecords>,
    /// Choice of homes.
    pub engine_selector: Arc<EngineSelector>,
    /// Limits at arrival.
    pub admission_control: Arc<AdmissionControl>,
}

/// What a process connects to.
pub struct Connections {
    /// Other nodes.
    pub pool: Arc<Pool>,
    /// Back ends and the platform.
    pub http: reqwest::Client,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Plain services.
    pub services: ServiceClient,
}

impl Node {
    /// Creates the operations and starts their upkeep.
    pub fn spawn(board: Arc<Blackboard>, connections: Connections) -> Arc<Self> {
        let calls = Arc::new(CallService::spawn(CallServiceContext {
            board: Arc::clone(&board),
            store: connections.store,
            owners: Arc::new(PeerOwnerClient::new(Arc::clone(&connections.pool))),
            backends: Arc::new(connections.services),
            store_region: None,
            clock: Arc::new(unix_now),
        }));
        let cx = NodeContext {
            board,
            pool: connections.pool,
            engines: EngineClient::new(connections.http),
        };
        let requests = Arc::new(Requests::default());
        let home = Home::spawn(cx.clone());
        let replicator = Replicator::new(cx.clone(), Arc::clone(&requests));
        let engine_selector = Arc::new(EngineSelector::default());
        let admission_control =
            AdmissionControl::new(Arc::clone(&cx.board), Arc::clone(&engine_selector));
        let runner = Runner::new(
            cx.clone(),
            Arc::clone(&home),
            Arc::clone(&replicator),
            Arc::clone(&engine_selector),
        );
        let hand_overs = HandOvers::new(
            cx.clone(),
            Arc::clone(&requests),
            Arc::clone(&replicator),
            Arc::clone(&runner),
        );
        let records = Arc::new(CallRecords::default());
        let follower = Follower::new(cx.clone(), Arc::clone(&requests), Arc::clone(&records));
        let node = Arc::new(Self {
            cx,
            requests,
            home,
            replicator,
            runner,
            hand_overs,
            follower,
            calls,
            records,
            engine_selector,
            admission_control,
        });
        tokio::spawn(upkeep(Arc::clone(&node)));
        node
    }

    /// Returns what the handlers of calls need.
    pub fn caller_context(&self) -> CallerContext {
        CallerContext {
            cx: self.cx.clone(),
            accept: Accept::new(
                self.cx.clone(),
                Arc::clone(&self.requests),
                Arc::clone(&self.replicator),
                Arc::clone(&self.runner),
                Arc::clone(&self.admission_control),
            ),
            follower: self.follower.clone(),
            calls: Arc::clone(&self.calls),
            records: Arc::clone(&self.records),
        }
    }

    /// Returns whether others still rely on this node, for copies or for calls that were sent.
    fn has_unsettled_work(&self) -> bool {
        !self.requests.serving_nodes_of_copies().is_empty() || self.calls.unsettled() > 0
    }

    /// Takes no new work and passes on what there is. Returns when nothing is left or time is up.
    pub async fn leave(&self, cause: &str, within: Duration) -> Left {
        let until = Instant::now() + within;
        self.cx.board.phase.write(Phase::Leaving);
        self.home.leave();
        let mut remaining = self.hand_overs.hand_over_all(cause).await;
        while Instant::now() < until && (remaining > 0 || self.has_unsettled_work()) {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            remaining = self.hand_overs.hand_over_all(cause).await;
        }
        self.cx.board.phase.write(Phase::Stopped);
        if remaining == 0 {
            Left::Clean
        } else {
            Left::WithRequests(remaining)
        }
    }
}

/// How a node has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Every request was passed on.
    Clean,
    /// So many requests could not be passed on in time.
    WithRequests(usize),
}

/// Returns the HTTP client that a process uses towards back ends and the platform.
///
/// # Errors
///
/// Fails where the client cannot be set up.
pub fn http_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .no_proxy()
        .build()
}

/// Finds replicas where they are missing, serves copies of nodes that are gone, drops old answers.
async fn upkeep(node: Arc<Node>) {
    let mut tick = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        tick.tick().await;
        if *node.cx.board.phase.read() == Phase::Stopped {
            return;
        }
        node.replicator.refresh();
        promote_copies_of_gone(&node);
        node.requests.remove_expired(Instant::now());
    }
}

fn promote_copies_of_gone(node: &Node) {
    let members = node.cx.board.members.read();
    if *node.cx.board.phase.read() != Phase::Serving {
        return;
    }
    for gone in node.requests.serving_nodes_of_copies() {
        if members.get(&gone).is_none() {
            node.hand_overs.promote_copies_of(&gone);
        }
    }
}
