//! Errors sent to callers, as problem documents (RFC 9457).

use std::time::Duration;

use salvo::http::{StatusCode, header};
use salvo::prelude::Response;
use serde::Serialize;

use crate::core::answer::Failure;
use crate::core::verdict::Verdict;
use crate::ops::accept::{Refusal, RefusalKind};

/// Problem type for a call that this node cannot accept now but another node may accept.
const NODE_UNAVAILABLE: &str = "urn:jayhall:node-unavailable";
/// Header that marks such a problem, for callers that do not parse the body.
const TRY_ANOTHER_NODE_HEADER: &str = "x-try-another-node";

/// An error response to a caller.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// Problem type, as a URI reference.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Summary that is the same for all problems of a type.
    pub title: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Explanation of this occurrence and of how to resolve it.
    pub detail: Box<str>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Milliseconds after which the caller should retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Id of the request, if one was assigned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<Box<str>>,
}

impl Problem {
    /// Creates a problem for a request that certainly did not run.
    pub fn not_run(status: StatusCode, title: &'static str, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind: "about:blank",
            title,
            status: status.as_u16(),
            detail: detail.into(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            request_id: None,
        }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Attaches the id of the request.
    #[must_use]
    pub fn for_request(mut self, id: &str) -> Self {
        self.request_id = Some(id.into());
        self
    }

    /// Creates the problem of a node that currently accepts no calls.
    pub fn node_unavailable(detail: impl Into<Box<str>>, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self {
            kind: NODE_UNAVAILABLE,
            ..Self::not_run(status, "Not available now", detail).retry_after(retry_after)
        }
    }

    /// Creates the problem of a call without a valid key.
    pub fn no_key() -> Self {
        Self::not_run(
            StatusCode::UNAUTHORIZED,
            "No valid key",
            "send `Authorization: Bearer KEY` with a key of your organisation that is in force",
        )
    }

    /// Creates the problem of a lookup of a request id that is unknown or belongs to another customer.
    pub fn unknown_request(id: &str) -> Self {
        Self::not_run(
            StatusCode::NOT_FOUND,
            "Unknown request",
            "no request with this id is kept for you; answers are kept for two minutes",
        )
        .for_request(id)
    }

    /// Writes the problem as the HTTP response.
    pub fn write(&self, res: &mut Response) {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        res.status_code(status);
        let headers = res.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        if self.kind == NODE_UNAVAILABLE {
            headers.insert(
                TRY_ANOTHER_NODE_HEADER,
                header::HeaderValue::from_static("yes"),
            );
        }
        if let Some(after) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, after.div_ceil(1000).into());
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        let _ = res.write_body(body);
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, title) = match refusal.kind {
            RefusalKind::Invalid => (StatusCode::BAD_REQUEST, "Invalid request"),
            RefusalKind::Unknown => (StatusCode::NOT_FOUND, "Unknown name"),
            RefusalKind::OverLimit => (StatusCode::TOO_MANY_REQUESTS, "Limit reached"),
            RefusalKind::TooLate => (StatusCode::SERVICE_UNAVAILABLE, "Deadline cannot be met"),
            RefusalKind::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "Not available now"),
        };
        let mut problem = Self::not_run(status, title, refusal.cause);
        if refusal.kind == RefusalKind::Unavailable {
            problem.kind = NODE_UNAVAILABLE;
        }
        match refusal.retry_after {
            Some(after) => problem.retry_after(after),
            None => problem,
        }
    }
}

impl From<Failure> for Problem {
    fn from(failure: Failure) -> Self {
        Self {
            verdict: failure.verdict,
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "Given up", failure.cause)
                .retry_after(Duration::from_millis(u64::from(failure.retry_after_ms)))
        }
    }
}
