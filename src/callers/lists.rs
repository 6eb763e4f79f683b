//! What callers can use: nodes and models.

use salvo::prelude::*;

use super::CallerContext;
use super::wire::{DirectoryBody, ModelEntry, ModelList};
use crate::ops::directory::directory;

/// Lists the models.
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

/// Lists the nodes that a caller may use.
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
