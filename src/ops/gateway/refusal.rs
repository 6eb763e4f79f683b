//! Responses that the gateway itself makes, for calls without a usable response from a back end.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::dialect::Dialect;
use crate::core::verdict::Verdict;

/// Why a response body breaks off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why the gateway itself responds to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The node has no configuration yet.
    NoConfiguration,
    /// No route has the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request body is larger than operators allow.
    BodyTooLarge,
    /// The request body did not arrive completely.
    BodyIncomplete,
    /// The node has no memory for the request body.
    NoMemory,
    /// The customer's quota is used up.
    OverQuota,
    /// The nodes that hold the customer's quota don't answer, or none holds it yet.
    QuotaUnknown,
    /// There is no back end for the service.
    NoBackend,
    /// The expected wait at every back end is longer than is useful.
    Overloaded,
    /// All back ends that were tried declined the call.
    Declined,
    /// The call was sent to a back end, and there was no usable response.
    AnswerLost,
    /// The back end failed, and does not state whether the call has run.
    BackendFailed,
    /// The call's deadline has passed.
    TimedOut,
    /// The node stops before the call has ended.
    Stopping,
    /// It, or calls with the same parts of a prompt, have crashed back ends.
    Quarantined,
    /// The call resumes a stream, and the software version that began it has left or will never be known.
    StreamLost,
    /// The call resumes a stream, and the software version that began it is not known yet.
    StreamUnknown,
}

impl Cause {
    /// Returns the HTTP status for this cause, given whether the call may have run.
    pub fn status(self, verdict: Verdict) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            _ if verdict != Verdict::NotRun => match self {
                Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            },
            // Not 422, after which some callers repeat the call.
            Self::Quarantined | Self::StreamLost => StatusCode::BAD_REQUEST,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::NoMemory => "no_memory",
            Self::OverQuota => "over_quota",
            Self::QuotaUnknown => "quota_unknown",
            Self::NoBackend => "no_backend",
            Self::Overloaded => "overloaded",
            Self::Declined => "declined",
            Self::AnswerLost => "answer_lost",
            Self::BackendFailed => "backend_failed",
            Self::TimedOut => "timed_out",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::StreamLost => "stream_lost",
            Self::StreamUnknown => "stream_unknown",
        }
    }

    fn detail(self) -> &'static str {
        match self {
            Self::NoConfiguration => {
                "this node has no configuration yet; ask again or ask another node"
            }
            Self::NoRoute => "no route has this host and path",
            Self::UnknownKey => "the key is missing or not known",
            Self::BodyTooLarge => "the body is larger than is allowed",
            Self::BodyIncomplete => "the body did not arrive",
            Self::NoMemory => "this node is busy with large requests; come back later",
            Self::OverQuota => "the limit of your account is used up; come back later",
            Self::QuotaUnknown => {
                "the limit of your account cannot be checked at the moment; come back later"
            }
            Self::NoBackend => "no back end can be reached at the moment; come back later",
            Self::Overloaded => {
                "the wait would be longer than the answer is of use; come back later"
            }
            Self::Declined => "all back ends are full; come back later",
            Self::AnswerLost => "the back end broke off; it may have done the work",
            Self::BackendFailed => "the back end failed; it may have done the work",
            Self::Quarantined => {
                "this request, or a part of its prompt, has crashed several engines; it is not sent to any more, and asking again does not help"
            }
            Self::StreamLost => {
                "no engine can continue this stream: the software version that began it has left or is not known; asking again does not help, unless the stream is begun anew"
            }
            Self::StreamUnknown => {
                "it is not known yet which engines can continue this stream; come back later"
            }
            Self::TimedOut => "the time for this call is over",
            Self::Stopping => "this node stops; ask another node",
        }
    }
}

/// A failed call, as it is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause.
    pub cause: Cause,
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a call that has not run.
    pub fn not_run(cause: Cause) -> Self {
        Self {
            cause,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Creates the refusal of a call that has not run and may be retried.
    pub fn retry_later(cause: Cause, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..Self::not_run(cause)
        }
    }

    /// Creates the refusal of a call that may have run, depending on `verdict`.
    pub fn with_verdict(cause: Cause, verdict: Verdict) -> Self {
        Self {
            verdict,
            ..Self::not_run(cause)
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        self.cause.status(self.verdict)
    }

    /// Converts the refusal to a problem document (RFC 9457).
    pub fn into_response(self, dialect: &dyn Dialect) -> Response<Body> {
        let status = self.status();
        let problem = ProblemWire {
            kind: "about:blank",
            title: self.cause.as_str(),
            status: status.as_u16(),
            detail: self.cause.detail(),
            verdict: self.verdict,
        };
        let text = serde_json::to_vec(&problem).expect("a problem document serializes to JSON");
        let mut res = Response::new(full_body(text.into()));
        *res.status_mut() = status;
        let headers = res.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(CONTENT_TYPE, kind);
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, dialect.retry_after(after));
        }
        res
    }
}

#[derive(Serialize)]
struct ProblemWire {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    detail: &'static str,
    verdict: Verdict,
}

/// Returns a body that consists of one buffer.
pub fn full_body(text: Bytes) -> Body {
    Full::new(text)
        .map_err(|e: Infallible| match e {})
        .boxed_unsync()
}
