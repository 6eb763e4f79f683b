//! What operators see of, and tell, this node.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::Notify;

use super::Node;
use crate::core::explain::Record;
use crate::operators::{NodeControl, QueueStatus};

/// The node, as its operators' listener deals with it.
pub(super) struct Control {
    pub(super) node: Arc<Node>,
    pub(super) drain: Arc<Notify>,
}

impl NodeControl for Control {
    fn queues(&self) -> Vec<QueueStatus> {
        let config = self.node.cx.board.config.read();
        let loads = self.node.home.loads();
        let rank_name = |level: usize| {
            let ranks = &config.document.ranks;
            let rank = ranks.iter().find(|rank| usize::from(rank.level) == level);
            rank.map_or_else(|| format!("level {level}").into(), |rank| rank.name.clone())
        };
        let mut queues = Vec::new();
        for (model, load) in loads {
            for (level, tokens) in load.waiting_tokens.iter().enumerate() {
                queues.push(QueueStatus {
                    model: model.clone(),
                    rank: rank_name(level),
                    waiting: u32::try_from(*tokens).unwrap_or(u32::MAX),
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
