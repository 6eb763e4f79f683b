//! Hands requests over to other nodes when this node leaves, and accepts requests from leaving
//! nodes.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use tokio::time::timeout;

use crate::core::cells::successor_candidates;
use crate::core::explain::Decision;
use crate::core::id::NodeId;
use crate::node::{NodeContext, Phase};
use crate::ops::replicate::Replicator;
use crate::ops::requests::{Entry, HAND_OVER_TERM_STEP, Requests, Role, Snapshot};
use crate::ops::run_request::Runner;
use crate::peers::convert_copy::HandOver;

/// Timeout of the hand-over of one request to a node.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Limit of concurrent hand-overs.
const HAND_OVER_CONCURRENCY: usize = 64;

/// Hands requests over to other nodes and accepts requests from them.
#[derive(Debug)]
pub struct HandOvers {
    cx: NodeContext,
    requests: Arc<Requests>,
    replicator: Arc<Replicator>,
    runner: Arc<Runner>,
}

/// Reply to a request that another node hands over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandOverDecision {
    /// This node serves the request now.
    Accepted,
    /// This node cannot serve the request.
    Refused {
        /// Reason of the refusal.
        cause: Box<str>,
    },
}

impl HandOvers {
    /// Creates the operation.
    pub fn new(
        cx: NodeContext,
        requests: Arc<Requests>,
        replicator: Arc<Replicator>,
        runner: Arc<Runner>,
    ) -> Arc<Self> {
        Arc::new(Self {
            cx,
            requests,
            replicator,
            runner,
        })
    }

    /// Hands over all requests that this node serves. Returns the number of open ones that it still
    /// serves.
    pub async fn hand_over_all(&self, cause: &str) -> usize {
        stream::iter(self.requests.served())
            .for_each_concurrent(HAND_OVER_CONCURRENCY, |entry| async move {
                self.hand_over_one(&entry, cause).await;
            })
            .await;
        self.requests.served_open().len()
    }

    /// Hands over one request: to its replica, which has a copy, or else to the next candidate.
    async fn hand_over_one(&self, entry: &Entry, cause: &str) {
        let own_node = &self.cx.board.identity.node;
        let view = self.cx.board.members.read();
        let mut candidates = successor_candidates(entry.id(), own_node, &view);
        if let Some(replica) = entry.replica() {
            candidates.sort_by_key(|node| *node != replica);
        }
        for node in candidates {
            if entry.role() != Role::Serving {
                return;
            }
            if self.send_offer(entry, &node, cause).await {
                self.drop_unused_copy(entry, &node);
                entry.hand_over(node);
                metrics::counter!("jayhall_handovers_total", "direction" => "out").increment(1);
                return;
            }
        }
    }

    /// Tells the replica to drop its copy unless it is the successor.
    fn drop_unused_copy(&self, entry: &Entry, successor: &NodeId) {
        if let Some(replica) = entry.replica().filter(|replica| replica != successor) {
            self.replicator.drop_copy(&replica, entry);
        }
    }

    async fn send_offer(&self, entry: &Entry, node: &NodeId, cause: &str) -> bool {
        let own_node = &self.cx.board.identity.node;
        let members = self.cx.board.members.read();
        let Some(member) = members.get(node) else {
            return false;
        };
        let offer = HandOver {
            from: own_node.clone(),
            snapshot: entry.snapshot(),
            cause: cause.into(),
        };
        let mut client = self.cx.pool.client(member.peer_address);
        let reply = timeout(
            HAND_OVER_TIMEOUT,
            client.hand_over(jayhall_wire::HandOverRequest::from(offer)),
        )
        .await;
        matches!(reply, Ok(Ok(reply)) if reply.get_ref().accepted)
    }

    /// Accepts a request that another node hands over.
    pub fn accept(&self, offer: HandOver) -> HandOverDecision {
        if *self.cx.board.phase.read() != Phase::Serving {
            return HandOverDecision::Refused {
                cause: "the node is itself leaving or not ready".into(),
            };
        }
        let own_node = self.cx.board.identity.node.clone();
        let id = offer.snapshot.request.id.clone();
        let existing = self.requests.get(&id);
        let term = offer.snapshot.term;
        if existing
            .is_some_and(|existing| existing.role() == Role::Serving && existing.term() > term)
        {
            return HandOverDecision::Accepted;
        }
        // This node may not have learned yet that the sender is leaving.
        self.replicator.exclude(&offer.from);
        let entry = Arc::new(Entry::serving(Snapshot {
            term: term + HAND_OVER_TERM_STEP,
            ..offer.snapshot
        }));
        entry.note(Decision::HandedOver {
            from: offer.from,
            to: own_node,
            cause: offer.cause,
        });
        if !self.requests.insert(Arc::clone(&entry)) {
            return HandOverDecision::Refused {
                cause: "the node has no room".into(),
            };
        }
        metrics::counter!("jayhall_handovers_total", "direction" => "in").increment(1);
        self.replicate_and_run(entry);
        HandOverDecision::Accepted
    }

    /// Promotes the copies of requests that a dead node served.
    pub fn promote_copies_of(&self, node: &str) {
        for entry in self.requests.copies_of(node) {
            if !entry.promote() {
                continue;
            }
            entry.note(Decision::HandedOver {
                from: node.into(),
                to: self.cx.board.identity.node.clone(),
                cause: "it is gone".into(),
            });
            metrics::counter!("jayhall_promotions_total").increment(1);
            self.replicate_and_run(entry);
        }
    }

    fn replicate_and_run(&self, entry: Arc<Entry>) {
        let replicator = Arc::clone(&self.replicator);
        let runner = Arc::clone(&self.runner);
        tokio::spawn(async move {
            replicator.find_replica(&entry).await;
            if entry.is_open() {
                runner.spawn(entry);
            }
        });
    }
}
