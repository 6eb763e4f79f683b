//! Endpoints that resume the answer of an accepted request, or explain the request, by its id.

use std::time::Duration;

use futures::StreamExt;
use salvo::http::header;
use salvo::prelude::*;
use serde::Serialize;

use super::CallerContext;
use super::answer::{write_complete, write_stream};
use super::problem::Problem;
use crate::ops::follow::{AnswerEvent, AnswerEvents};

/// Longest time to search for a request whose serving node has failed, while another node takes over.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two lookups of such a request.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the answer of a request: complete, or as a stream from the requested offset.
#[derive(Clone, Debug)]
pub(super) struct Fetch(pub(super) CallerContext);

#[handler]
impl Fetch {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(problem) = self.fetch(req, res).await {
            problem.write(res);
        }
    }
}

impl Fetch {
    async fn fetch(&self, req: &mut Request, res: &mut Response) -> Result<(), Problem> {
        let cx = &self.0;
        let customer = cx.customer(req)?;
        let id = req.param::<String>("id").unwrap_or_default();
        let is_stream = accepts_event_stream(req);
        let from = if is_stream { resume_offset(req)? } else { 0 };
        let events = find_answer(cx, &id, &customer.name, from).await?;
        if is_stream {
            write_stream(cx, res, &id, events);
        } else {
            write_complete(cx, res, &id, events).await;
        }
        Ok(())
    }
}

/// Finds the answer of a request; retries while another node takes over from a failed serving node.
async fn find_answer(
    cx: &CallerContext,
    id: &str,
    customer: &str,
    from: u32,
) -> Result<AnswerEvents, Problem> {
    let deadline = tokio::time::Instant::now() + FAILOVER_TIMEOUT;
    loop {
        let found = cx.follower.follow(id, customer, from).await;
        if !found.is_known {
            return Err(Problem::unknown_request(id));
        }
        let mut events = found.events;
        match events.next().await {
            Some(AnswerEvent::Unknown) | None if tokio::time::Instant::now() < deadline => {
                tokio::time::sleep(LOOKUP_INTERVAL).await;
            }
            Some(AnswerEvent::Unknown) | None => {
                return Err(Problem::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "Being taken over",
                    "the node that serves the request is being replaced; ask again",
                )
                .retry_after(LOOKUP_INTERVAL)
                .for_request(id));
            }
            Some(event) => return Ok(futures::stream::iter([event]).chain(events).boxed()),
        }
    }
}

fn accepts_event_stream(req: &Request) -> bool {
    req.headers()
        .get(header::ACCEPT)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.contains("text/event-stream"))
}

/// Returns the offset after `Last-Event-ID`, at which the stream resumes.
fn resume_offset(req: &Request) -> Result<u32, Problem> {
    let Some(last) = req.headers().get("last-event-id") else {
        return Ok(0);
    };
    last.to_str()
        .ok()
        .and_then(|last| last.parse::<u32>().ok())
        .and_then(|last| last.checked_add(1))
        .ok_or_else(|| {
            Problem::not_run(
                StatusCode::BAD_REQUEST,
                "Invalid Last-Event-ID",
                "`Last-Event-ID` must be the id of the last event that arrived, a number",
            )
        })
}

/// Explains the decisions that were made about a request.
#[derive(Clone, Debug)]
pub(super) struct Explain(pub(super) CallerContext);

#[derive(Debug, Serialize)]
struct ExplanationBody {
    request_id: String,
    sentences: Vec<String>,
}

#[handler]
impl Explain {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(problem) = self.explain(req, res).await {
            problem.write(res);
        }
    }
}

impl Explain {
    async fn explain(&self, req: &mut Request, res: &mut Response) -> Result<(), Problem> {
        let cx = &self.0;
        let customer = cx.customer(req)?;
        let id = req.param::<String>("id").unwrap_or_default();
        let record = cx
            .follower
            .explain(&id, Some(&customer.name))
            .await
            .ok_or_else(|| Problem::unknown_request(&id))?;
        res.render(Json(ExplanationBody {
            request_id: id,
            sentences: record.sentences(),
        }));
        Ok(())
    }
}
