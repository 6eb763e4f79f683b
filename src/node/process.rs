//! Operations of one node and the order in which it leaves.

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

/// Interval between two checks of replicas and of expired answers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for connecting to a back end or to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Operations of one node.
#[derive(Debug)]
pub struct Node {
    /// Dependencies that the operations share.
    pub cx: NodeContext,
    /// Requests that this node serves or holds replicas of.
    pub requests: Arc<Requests>,
    /// Queues of the engines whose home is this node.
    pub home: Arc<Home>,
    /// Replication of requests to other nodes.
    pub replicator: Arc<Replicator>,
    /// Execution of requests, attempt by attempt.
    pub runner: Arc<Runner>,
    /// Hand-over of requests between nodes.
    pub hand_overs: Arc<HandOvers>,
    /// Lookup and streaming of answers, on any node.
    pub follower: Follower,
    /// Calls of services other than models.
    pub calls: Arc<CallService>,
    /// Decision records of service calls.
    pub records: Arc<CallRecords>,
    /// Choice of the home node for a request.
    pub engine_selector: Arc<EngineSelector>,
    /// Admission limits.
    pub admission_control: Arc<AdmissionControl>,
}

/// Clients of a node for its outside dependencies.
pub struct Connections {
    /// Connection pool for other nodes.
    pub pool: Arc<Pool>,
    /// HTTP client for back ends and the platform.
    pub http: reqwest::Client,
    /// Key-value store of the platform.
    pub store: Arc<dyn Store>,
    /// Client for services other than models.
    pub services: ServiceClient,
}

impl Node {
    /// Creates the operations and starts their periodic maintenance.
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
        tokio::spawn(run_maintenance(Arc::clone(&node)));
        node
    }

    /// Returns the dependencies of the callers' HTTP handlers.
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

    /// Returns whether this node still holds replicas for other nodes or has sent calls whose outcome is not
    /// yet in the store.
    fn has_unsettled_work(&self) -> bool {
        !self.requests.serving_nodes_of_copies().is_empty() || self.calls.unsettled() > 0
    }

    /// Stops accepting work and hands all requests over. Returns once nothing remains or `time_limit` has
    /// elapsed.
    pub async fn leave(&self, cause: &str, time_limit: Duration) -> LeaveOutcome {
        let deadline = Instant::now() + time_limit;
        self.cx.board.phase.write(Phase::Leaving);
        self.home.leave();
        let mut remaining = self.hand_overs.hand_over_all(cause).await;
        while Instant::now() < deadline && (remaining > 0 || self.has_unsettled_work()) {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            remaining = self.hand_overs.hand_over_all(cause).await;
        }
        self.cx.board.phase.write(Phase::Stopped);
        if remaining == 0 {
            LeaveOutcome::Clean
        } else {
            LeaveOutcome::WithRequests(remaining)
        }
    }
}

/// Result of a node's departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveOutcome {
    /// Every request was handed over.
    Clean,
    /// Number of requests that could not be handed over in time.
    WithRequests(usize),
}

/// Returns the HTTP client for back ends and the platform.
///
/// # Errors
///
/// Fails if the client cannot be set up.
pub fn http_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .no_proxy()
        .build()
}

/// Periodically replaces missing replicas, takes over requests of failed nodes from their replicas, and
/// drops expired answers.
async fn run_maintenance(node: Arc<Node>) {
    let mut tick = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        tick.tick().await;
        if *node.cx.board.phase.read() == Phase::Stopped {
            return;
        }
        node.replicator.refresh();
        promote_replicas_of_departed_nodes(&node);
        node.requests.remove_expired(Instant::now());
    }
}

fn promote_replicas_of_departed_nodes(node: &Node) {
    let members = node.cx.board.members.read();
    if *node.cx.board.phase.read() != Phase::Serving {
        return;
    }
    for departed in node.requests.serving_nodes_of_copies() {
        if members.get(&departed).is_none() {
            node.hand_overs.promote_copies_of(&departed);
        }
    }
}
