//! HTTP client for the platform and for other nodes: whole answers, each within a time and a size.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::TcpStream;

use super::MAX_HEAD_BYTES;
use super::body::ReceivedBody;
use super::connect::{ConnectOptions, connect};
use super::metered::{Meter, MeteredStream};

/// Port of an address that names none.
const DEFAULT_PORT: u16 = 80;

/// Why a request has no answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection could be made; the request was not sent.
    #[error("not reached: {0}")]
    NotReached(Box<str>),
    /// The request was sent, at least in part, and there is no whole answer.
    #[error("no answer: {0}")]
    NoAnswer(Box<str>),
}

/// The module's result.
pub(super) type Result<T> = std::result::Result<T, HttpError>;

/// How long a request may take and how large its answer may be.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Time until the whole answer has arrived. At its end the request's connection is reset.
    pub timeout: Duration,
    /// Size limit in bytes of the answer's body.
    pub bytes: usize,
}

/// Client that keeps connections for later requests. Copies share them.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<Connector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client. Connections are opened on first use.
    pub fn new(opts: ConnectOptions) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(Connector { opts });
        Self { client }
    }

    /// Sends a request and reads its whole answer, of any status.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer within the limits.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        limits: AnswerLimits,
    ) -> Result<Response<Bytes>> {
        let exchanged = tokio::time::timeout(limits.timeout, self.exchange(req, limits.bytes));
        exchanged.await.unwrap_or_else(|_| {
            let cause = format!("none within {} ms", limits.timeout.as_millis());
            Err(HttpError::NoAnswer(cause.into()))
        })
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, limit: usize) -> Result<Response<Bytes>> {
        let res = self.client.request(req).await.map_err(|e| {
            let is_connect = e.is_connect();
            let cause = chain(e);
            match is_connect {
                true => HttpError::NotReached(cause),
                false => HttpError::NoAnswer(cause),
            }
        })?;
        let meter = res.extensions().get::<Meter>().cloned().unwrap_or_default();
        let (parts, body) = res.into_parts();
        let body = read_body(ReceivedBody::new(body, meter), limit).await?;
        Ok(Response::from_parts(parts, body))
    }
}

/// Joins the messages of an error and of its causes.
fn chain(e: impl std::error::Error + Send + Sync + 'static) -> Box<str> {
    format!("{:#}", eyre::Report::new(e)).into()
}

async fn read_body(mut body: ReceivedBody, limit: usize) -> Result<Bytes> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| HttpError::NoAnswer(chain(e)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            let cause = format!("it is larger than {limit} bytes");
            return Err(HttpError::NoAnswer(cause.into()));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.into())
}

/// Opens connections for [`HttpClient`].
#[derive(Clone, Debug)]
struct Connector {
    opts: ConnectOptions,
}

impl tower_service::Service<Uri> for Connector {
    type Response = TokioIo<MeteredStream<TcpStream>>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let opts = self.opts;
        Box::pin(async move {
            let address = resolve(&uri).await?;
            Ok(TokioIo::new(connect(address, opts).await?))
        })
    }
}

async fn resolve(uri: &Uri) -> io::Result<SocketAddr> {
    let host = uri.host().unwrap_or_default();
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let port = uri.port_u16().unwrap_or(DEFAULT_PORT);
    let mut addresses = tokio::net::lookup_host((host, port)).await?;
    let none = || io::Error::new(io::ErrorKind::NotFound, "the host has no address");
    addresses.next().ok_or_else(none)
}

impl Connection for MeteredStream<TcpStream> {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.meter())
    }
}
