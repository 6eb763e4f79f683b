//! Endpoints that list models and nodes and report the health of this node.

use salvo::prelude::*;

use super::CallerContext;
use super::wire::{DirectoryBody, HealthBody, ModelEntry, ModelList};
use crate::node::Phase;
use crate::ops::directory::directory;

/// Lists the configured models.
#[derive(Clone, Debug)]
pub(super) struct Models(pub(super) CallerContext);

#[handler]
impl Models {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(problem) = self.0.customer(req) {
            problem.write(res);
            return;
        }
        let config = self.0.cx.board.config.read();
        let data = config
            .document
            .models
            .iter()
            .map(|rule| ModelEntry {
                id: rule.name.clone(),
                object: "model",
            })
            .collect();
        res.render(Json(ModelList {
            object: "list",
            data,
        }));
    }
}

/// Lists the addresses of the nodes that callers may connect to.
#[derive(Clone, Debug)]
pub(super) struct Directory(pub(super) CallerContext);

#[handler]
impl Directory {
    async fn handle(&self, res: &mut Response) {
        let directory = directory(&self.0.cx.board);
        res.render(Json(DirectoryBody {
            addresses: directory
                .addresses
                .iter()
                .map(|address| address.to_string().into())
                .collect(),
            lifetime_ms: directory.lifetime.as_millis(),
        }));
    }
}

/// Reports to health checks whether the node serves calls.
#[derive(Clone, Debug)]
pub(super) struct Health(pub(super) CallerContext);

#[handler]
impl Health {
    async fn handle(&self, res: &mut Response) {
        let board = &self.0.cx.board;
        let is_serving = *board.phase.read() == Phase::Serving;
        if !is_serving {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(Json(HealthBody {
            serving: is_serving,
            node: board.identity.node.clone(),
            revision: board.config.read().revision,
            members: board.members.read().members.len(),
            backends: board.fleet.read().backends.len(),
        }));
    }
}
