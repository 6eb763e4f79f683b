//! The chat completions endpoint.

use salvo::prelude::*;

use super::answer::{write_complete, write_stream};
use super::problem::Problem;
use super::wire::ChatBody;
use super::{CallerContext, read_body};
use crate::ops::follow::follow_entry;

/// Handles `POST /v1/chat/completions`.
#[derive(Clone, Debug)]
pub(super) struct Complete(pub(super) CallerContext);

#[handler]
impl Complete {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(problem) = self.complete(req, res).await {
            problem.write(res);
        }
    }
}

impl Complete {
    async fn complete(&self, req: &mut Request, res: &mut Response) -> Result<(), Problem> {
        let cx = &self.0;
        let customer = cx.customer(req)?;
        let body = read_body(req).await?;
        let body: ChatBody = serde_json::from_slice(&body).map_err(|e| {
            Problem::not_run(
                StatusCode::BAD_REQUEST,
                "Invalid JSON",
                format!("the body is no valid request: {e}"),
            )
        })?;
        let is_stream = body.stream;
        let entry = cx.accept.accept(&customer, body.into()).await?;
        let id = entry.id().clone();
        let events = follow_entry(entry, 0);
        if is_stream {
            write_stream(cx, res, &id, events);
        } else {
            write_complete(cx, res, &id, events).await;
        }
        Ok(())
    }
}
