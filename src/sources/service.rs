//! Client of back ends that run plain services.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use reqwest::{Client, RequestBuilder, Response, StatusCode, redirect, retry};

use crate::core::id::Address;
use crate::core::ledger::{IdempotencyKey, Outcome, Settlement};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size limit for a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Header with the call's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A call to one back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCall {
    /// Address of the back end.
    pub address: Address,
    /// Content of the call.
    pub ask: BackendRequest,
    /// Timeout until the response is complete.
    pub timeout: Duration,
}

/// Content of a call to a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendRequest {
    /// A call with side effects, identified by a key.
    Call {
        /// Idempotency key of the call.
        key: IdempotencyKey,
        /// Content type of the body; empty where there is none.
        content_type: Box<str>,
        /// Body.
        body: Bytes,
    },
    /// An idempotent lookup.
    Lookup {
        /// Query string without the question mark.
        query: Box<str>,
    },
}

/// Sends calls to back ends.
pub trait BackendClient: Send + Sync {
    /// Sends a call once and returns its outcome. Implementations must not retry.
    fn call(&self, call: BackendCall) -> BoxFuture<'static, Settlement>;
}

/// Calls plain services over HTTP.
///
/// Connections are not reused: an idle one may have failed unnoticed, and it would be unknown whether a
/// call sent on it ran, so that the call could not be retried. Redirects are not followed, as that
/// would send the call twice.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be created.
    pub fn open() -> reqwest::Result<Self> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .no_proxy()
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { client })
    }

    fn request(&self, call: &BackendCall) -> RequestBuilder {
        let base = format!("http://{}", call.address);
        match &call.ask {
            BackendRequest::Call {
                key,
                content_type,
                body,
            } => {
                let request = self.client.post(format!("{base}/call"));
                let request = request.header(IDEMPOTENCY_KEY_HEADER, key.to_string());
                let request = match content_type.is_empty() {
                    true => request,
                    false => request.header(CONTENT_TYPE, &**content_type),
                };
                request.body(body.clone())
            }
            BackendRequest::Lookup { query } => self.client.get(format!("{base}/lookup?{query}")),
        }
    }
}

impl BackendClient for ServiceClient {
    fn call(&self, call: BackendCall) -> BoxFuture<'static, Settlement> {
        let request = self.request(&call);
        Box::pin(async move {
            tokio::time::timeout(call.timeout, exchange(request))
                .await
                .unwrap_or(Settlement::MayHaveRun)
        })
    }
}

async fn exchange(request: RequestBuilder) -> Settlement {
    match request.send().await {
        Ok(response) => to_settlement(response).await,
        Err(e) if e.is_connect() || e.is_builder() => Settlement::NotRun,
        Err(_) => Settlement::MayHaveRun,
    }
}

/// Converts a response to an outcome. The services' protocol does not guarantee that a call is refused
/// before any work is done, so a refused call may have run.
async fn to_settlement(response: Response) -> Settlement {
    let status = response.status();
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        return Settlement::MayHaveRun;
    }
    let content_type = content_type(response.headers());
    match read_body(response).await {
        Some(body) => Settlement::Answered(Outcome {
            status: status.as_u16(),
            content_type,
            body: Some(body),
        }),
        None => Settlement::MayHaveRun,
    }
}

fn content_type(headers: &HeaderMap) -> Box<str> {
    let value = headers.get(CONTENT_TYPE);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .into()
}

async fn read_body(response: Response) -> Option<Bytes> {
    let mut stream = response.bytes_stream();
    let mut body = Vec::new();
    while let Some(chunk) = stream.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_RESPONSE_BYTES {
            return None;
        }
    }
    Some(body.into())
}
