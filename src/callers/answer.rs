//! Writes answers to callers, as server-sent events or as one JSON body.

use futures::StreamExt;
use salvo::http::StatusCode;
use salvo::http::header::{self, HeaderValue};
use salvo::prelude::Response;
use salvo::sse::{self, SseEvent};

use super::CallerContext;
use super::problem::Problem;
use super::wire::{Chunk, CompletionBody, MovedBody};
use crate::ops::follow::{AnswerEvent, AnswerEvents};

/// Header with the id of the request.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Streams the events of an answer to the caller as server-sent events.
pub(super) fn write_stream(cx: &CallerContext, res: &mut Response, id: &str, events: AnswerEvents) {
    set_request_id(res, id);
    let cx = cx.clone();
    let id: Box<str> = id.into();
    let events = events.flat_map(move |event| {
        let written: Vec<_> = to_sse(&cx, &id, event).into_iter().map(Ok).collect();
        futures::stream::iter(written)
    });
    sse::stream(
        res,
        events.boxed()
            as futures::stream::BoxStream<'static, Result<SseEvent, std::convert::Infallible>>,
    );
}

fn to_sse(cx: &CallerContext, id: &str, event: AnswerEvent) -> Vec<SseEvent> {
    match event {
        AnswerEvent::Tokens { tokens, .. } if tokens.is_empty() => {
            vec![SseEvent::default().comment("waiting")]
        }
        AnswerEvent::Tokens { offset, tokens } => {
            let last = offset as usize + tokens.len() - 1;
            let chunk = Chunk::with_text(id, tokens.concat());
            json_event(&chunk)
                .map(|event| event.id(last.to_string()))
                .into_iter()
                .collect()
        }
        AnswerEvent::Complete(completion) => {
            let chunk = json_event(&Chunk::last(id, &completion));
            let done = SseEvent::default().text("[DONE]");
            chunk.into_iter().chain([done]).collect()
        }
        AnswerEvent::Failure(failure) => {
            let problem = Problem::from(failure).for_request(id);
            json_event(&problem)
                .map(|event| event.name("error"))
                .into_iter()
                .collect()
        }
        AnswerEvent::Unknown => json_event(&Problem::unknown_request(id))
            .map(|event| event.name("error"))
            .into_iter()
            .collect(),
        AnswerEvent::ServedBy(node) => {
            let body = MovedBody {
                address: cx.caller_address(&node),
                path: request_path(id),
            };
            json_event(&body)
                .map(|event| event.name("moved"))
                .into_iter()
                .collect()
        }
    }
}

fn json_event<T: serde::Serialize>(body: &T) -> Option<SseEvent> {
    SseEvent::default().json(body).ok()
}

/// Waits for the complete answer and writes it as one JSON body.
pub(super) async fn write_complete(
    cx: &CallerContext,
    res: &mut Response,
    id: &str,
    mut events: AnswerEvents,
) {
    set_request_id(res, id);
    let mut text = String::new();
    while let Some(event) = events.next().await {
        match event {
            AnswerEvent::Tokens { tokens, .. } => text.extend(tokens.iter().map(|t| &**t)),
            AnswerEvent::Complete(completion) => {
                res.render(salvo::writing::Json(CompletionBody::new(
                    id,
                    text,
                    &completion,
                )));
                return;
            }
            AnswerEvent::Failure(failure) => {
                Problem::from(failure).for_request(id).write(res);
                return;
            }
            AnswerEvent::Unknown => {
                Problem::unknown_request(id).write(res);
                return;
            }
            AnswerEvent::ServedBy(node) => {
                see_other(cx, res, id, &node);
                return;
            }
        }
    }
    see_other(cx, res, id, "");
}

/// Redirects a caller that waits for a complete answer to the node that serves it now, or back to this
/// node if that node's address is not known.
fn see_other(cx: &CallerContext, res: &mut Response, id: &str, node: &str) {
    let path = request_path(id);
    let location = match cx.caller_address(node) {
        Some(address) => format!("http://{address}{path}"),
        None => path.into(),
    };
    res.status_code(StatusCode::SEE_OTHER);
    if let Ok(value) = HeaderValue::from_str(&location) {
        res.headers_mut().insert(header::LOCATION, value);
    }
}

fn request_path(id: &str) -> Box<str> {
    format!("/v1/requests/{id}").into()
}

pub(super) fn set_request_id(res: &mut Response, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        res.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
