//! HTTP client for the platform's services. Each call has a deadline, and errors say whether the call
//! may have taken effect.

use std::time::Duration;

use reqwest::header::RETRY_AFTER;
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

use crate::core::verdict::Verdict;

/// Time after which a rate-limited call may be retried if the response does not name one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a call to the platform failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection was made; the call was not sent.
    #[error("{service} was not reached: {cause}")]
    NotReached {
        /// Service of the platform.
        service: &'static str,
        /// Error of the HTTP client.
        cause: Box<str>,
    },
    /// The service's rate limit is exhausted.
    #[error("rate limit of {service} is exhausted for {} s", .retry_after.as_secs())]
    Limited {
        /// Service of the platform.
        service: &'static str,
        /// Time after which the call may be retried.
        retry_after: Duration,
    },
    /// The service is temporarily unavailable.
    #[error("{service} is unavailable")]
    Unavailable {
        /// Service of the platform.
        service: &'static str,
    },
    /// The service refused the call.
    #[error("{service} refused the call with status {status}: {body}")]
    Refused {
        /// Service of the platform.
        service: &'static str,
        /// HTTP status.
        status: u16,
        /// Start of the response body.
        body: Box<str>,
    },
    /// The call was sent, and no response came within the deadline.
    #[error("{service} did not answer: {cause}")]
    Lost {
        /// Service of the platform.
        service: &'static str,
        /// Error that was observed.
        cause: Box<str>,
    },
    /// The response cannot be decoded; the call took effect.
    #[error("{service} sent a malformed response: {cause}")]
    Malformed {
        /// Service of the platform.
        service: &'static str,
        /// Why the response cannot be decoded.
        cause: Box<str>,
    },
}

/// The module's result.
pub type Result<T> = std::result::Result<T, PlatformError>;

impl PlatformError {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotReached { .. }
            | Self::Limited { .. }
            | Self::Unavailable { .. }
            | Self::Refused { .. } => Verdict::NotRun,
            Self::Lost { .. } => Verdict::MayHaveRun,
            Self::Malformed { .. } => Verdict::Ran,
        }
    }
}

/// Limit on the part of a refusal's response body that is kept in the error, in characters.
const MAX_BODY_CHARS: usize = 200;

/// Client of one service of the platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    service: &'static str,
    http: reqwest::Client,
    url: Box<str>,
    deadline: Duration,
}

impl PlatformClient {
    /// Creates a client for a service at a URL, given without a trailing slash.
    pub(crate) fn new(
        service: &'static str,
        http: reqwest::Client,
        url: &str,
        deadline: Duration,
    ) -> Self {
        Self {
            service,
            http,
            url: url.into(),
            deadline,
        }
    }

    /// Creates a request for a path of the service.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.url))
    }

    /// Sends a request and decodes the response. One deadline covers both.
    pub(crate) async fn call<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T> {
        let exchange = async {
            let res = self.send(req).await?;
            res.bytes().await.map_err(|e| self.lost(&e))
        };
        let body = match timeout(self.deadline, exchange).await {
            Ok(body) => body?,
            Err(elapsed) => return Err(self.lost(&elapsed)),
        };
        serde_json::from_slice(&body).map_err(|e| self.malformed(&e))
    }

    pub(crate) fn malformed(&self, cause: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::Malformed {
            service: self.service,
            cause: cause.to_string().into(),
        }
    }

    async fn send(&self, req: RequestBuilder) -> Result<Response> {
        let res = match req.send().await {
            Ok(res) => res,
            Err(e) if e.is_connect() => {
                return Err(PlatformError::NotReached {
                    service: self.service,
                    cause: e.to_string().into(),
                });
            }
            Err(e) => return Err(self.lost(&e)),
        };
        match res.status() {
            status if status.is_success() => Ok(res),
            StatusCode::TOO_MANY_REQUESTS => Err(self.limited(&res)),
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Unavailable {
                service: self.service,
            }),
            // A gateway on the way may have forwarded the call.
            status if status.is_server_error() => Err(self.lost(&status)),
            status => Err(self.refused(status, res).await),
        }
    }

    fn limited(&self, res: &Response) -> PlatformError {
        let header = res.headers().get(RETRY_AFTER);
        let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
        PlatformError::Limited {
            service: self.service,
            retry_after: seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs),
        }
    }

    async fn refused(&self, status: StatusCode, res: Response) -> PlatformError {
        let body = res.text().await.unwrap_or_default();
        PlatformError::Refused {
            service: self.service,
            status: status.as_u16(),
            body: body.chars().take(MAX_BODY_CHARS).collect(),
        }
    }

    fn lost(&self, cause: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::Lost {
            service: self.service,
            cause: cause.to_string().into(),
        }
    }
}
