//! Operators' access to this node: queue status, explanations of requests, and draining.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::Notify;

use super::Node;
use crate::core::explain::Record;
use crate::operators::{NodeControl, QueueStatus};

/// Implements the interface that the operators' listener uses to inspect and drain the node.
pub(super) struct LocalNodeControl {
    pub(super) node: Arc<Node>,
    pub(super) drain: Arc<Notify>,
}

impl NodeControl for LocalNodeControl {
    fn queues(&self) -> Vec<QueueStatus> {
        let config = self.node.cx.board.config.read();
        let mut queues = Vec::new();
        for (model, load) in self.node.home.loads() {
            for rule in &config.document.ranks {
                let count = load.waiting_by_rank.iter().find(|c| c.rank == rule.name);
                queues.push(QueueStatus {
                    model: model.clone(),
                    rank: rule.name.clone(),
                    waiting: count.map_or(0, |count| count.waiting),
                    running: load.running,
                });
            }
        }
        queues
    }

    fn explain(&self, request: &str) -> BoxFuture<'_, Option<Record>> {
        let request = request.to_owned();
        async move { self.node.follower.explain(&request, None).await }.boxed()
    }

    fn drain(&self) {
        self.drain.notify_one();
    }
}
