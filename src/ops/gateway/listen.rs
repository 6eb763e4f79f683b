//! The gateway's listeners, built on hyper's connection-level server.
//!
//! That server detects callers that disconnect while they wait, and closes keep-alive connections only
//! between calls.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::attempt::GatewayContext;
use super::origin_keepers::{self, Kept};
use super::refusal::{Body, full_body};
use super::state::{GatewayState, Phase};
use super::{forward, peer_forward, snapshot};

use crate::sources::http::{MAX_HEAD_BYTES, MeteredStream, ReceivedBody};

/// Idle timeout of callers' connections, as a multiple of the one that operators configure for callers.
/// It is longer, so that the server does not close a connection just as a caller reuses it.
const IDLE_TIMEOUT_FACTOR: u32 = 3;
/// Idle timeout while there is no configuration; also the shortest one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time to live of a directory response at callers.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Nodes without a message for this long are left out of the directory.
const NODE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time within which a caller sends its call on a connection that it opens to a leaving node.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after `accept` fails.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What a listener is for.
#[derive(Clone)]
pub enum Purpose {
    /// Calls.
    Calls(Arc<GatewayContext>),
    /// Readiness probes.
    Readiness(Arc<GatewayState>),
    /// Directory queries: which nodes to connect to.
    Directory(Arc<GatewayState>),
    /// Calls that other nodes forward, answers to their questions, and metrics.
    Control(Arc<GatewayContext>, PrometheusHandle),
}

impl Purpose {
    /// Returns the context if a request is a call, of a caller or of another node that forwards it.
    fn call_context<B>(&self, req: &Request<B>) -> Option<&Arc<GatewayContext>> {
        match self {
            Self::Calls(cx) => Some(cx),
            Self::Control(cx, _) if peer_forward::is_forwarded(req.headers()) => Some(cx),
            _ => None,
        }
    }
}

/// Whether listeners accept connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listening {
    /// Connections are accepted.
    Open,
    /// Keep-alive connections close after their current call; each new connection serves one call.
    Finishing,
    /// No connections are accepted.
    Closed,
}

/// Guard that counts a connection on which a call has arrived as open.
struct CallConnection(Arc<GatewayState>);

impl CallConnection {
    fn begin(state: &Arc<GatewayState>) -> Self {
        state.call_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(state))
    }
}

impl Drop for CallConnection {
    fn drop(&mut self) {
        self.0.call_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts and serves connections until the state is [`Listening::Closed`].
pub async fn run(listener: TcpListener, purpose: Purpose, listening: watch::Receiver<Listening>) {
    let mut closed = listening.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_state(&mut closed, Listening::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, purpose.clone(), listening.clone()));
            }
            Err(e) => {
                tracing::warn!(error = %e, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    purpose: Purpose,
    mut listening: watch::Receiver<Listening>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "failed to set socket options");
    }
    if *listening.borrow() >= Listening::Finishing {
        wait_for_first_bytes(&stream, &mut listening).await;
    }
    let idle = idle_timeout_for(&purpose);
    let stream = MeteredStream::incoming(stream);
    let meter = stream.meter();
    let counted = OnceLock::new();
    let service = service_fn(move |req: Request<Incoming>| {
        let purpose = purpose.clone();
        if let Some(cx) = purpose.call_context(&req) {
            counted.get_or_init(|| CallConnection::begin(&cx.state));
        }
        let req = req.map(|body| ReceivedBody::new(body, meter.clone()));
        async move { Ok::<_, Infallible>(respond(purpose, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let finished = tokio::select! {
        // Reads a call that has arrived before the connection is told to finish.
        biased;
        ended = connection.as_mut() => Some(ended),
        () = wait_for_state(&mut listening, Listening::Finishing) => None,
    };
    let ended = match finished {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(error = %e, "connection of a caller ended with an error");
    }
}

/// Waits until a caller has sent something. A connection that is told to finish before that would close at once, although
/// its caller is about to send a call. A call that arrives after the listeners have closed might not end before the
/// process does.
async fn wait_for_first_bytes(stream: &TcpStream, listening: &mut watch::Receiver<Listening>) {
    let mut buf = [0];
    let peeked = tokio::time::timeout(FIRST_BYTES_TIMEOUT, stream.peek(&mut buf));
    tokio::select! {
        biased;
        peeked = peeked => match peeked {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => tracing::debug!(error = %e, "connection of a caller failed"),
            Err(_) => tracing::debug!("caller sent nothing on a new connection"),
        },
        () = wait_for_state(listening, Listening::Closed) => {}
    }
}

/// Waits until `listening` has reached a state. A dropped sender counts as having reached it.
async fn wait_for_state(listening: &mut watch::Receiver<Listening>, state: Listening) {
    let _ = listening.wait_for(|now| *now >= state).await;
}

fn idle_timeout_for(purpose: &Purpose) -> Duration {
    match purpose {
        Purpose::Calls(cx) => cx
            .state
            .table()
            .map_or(DEFAULT_IDLE_TIMEOUT, |table| {
                table.limits.idle_timeout * IDLE_TIMEOUT_FACTOR
            })
            .max(DEFAULT_IDLE_TIMEOUT),
        _ => DEFAULT_IDLE_TIMEOUT,
    }
}

async fn respond(purpose: Purpose, req: Request<ReceivedBody>) -> Response<Body> {
    match purpose {
        Purpose::Calls(cx) => forward::serve(cx, req).await,
        Purpose::Readiness(state) => status(match state.phase() {
            Phase::Serving => StatusCode::OK,
            Phase::Starting | Phase::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }),
        Purpose::Directory(state) => {
            directory_response(&state, req.uri().query().unwrap_or_default())
        }
        Purpose::Control(cx, _) if peer_forward::is_forwarded(req.headers()) => {
            peer_forward::serve(cx, req).await
        }
        Purpose::Control(cx, metrics) => respond_to_node(&cx, &metrics, req.uri()).await,
    }
}

async fn respond_to_node(
    cx: &GatewayContext,
    metrics: &PrometheusHandle,
    uri: &Uri,
) -> Response<Body> {
    let query = uri.query().unwrap_or_default();
    match uri.path() {
        snapshot::PATH => with_body(
            "application/octet-stream",
            snapshot::respond(&cx.state, query).await,
        ),
        origin_keepers::PATH => origin_response(cx, query).await,
        "/metrics" => with_body("text/plain; version=0.0.4", metrics.render()),
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn origin_response(cx: &GatewayContext, query: &str) -> Response<Body> {
    let mut res = match origin_keepers::respond(cx, query).await {
        Kept::At(software) => with_body("text/plain", format!("{software:x}")),
        Kept::Nowhere => status(StatusCode::NOT_FOUND),
        Kept::NotKnown => status(StatusCode::SERVICE_UNAVAILABLE),
    };
    origin_keepers::add_evidence(&cx.state, res.headers_mut());
    res
}

fn directory_response(state: &GatewayState, query: &str) -> Response<Body> {
    let (region, zone) = state.dialect.decode_directory_query(query);
    let own = &state.settings.name;
    let now = state.now();
    let mut addresses = state
        .members
        .lock()
        .directory(own, &region, &zone, now, NODE_TIMEOUT);
    if addresses.is_empty() && state.phase() == Phase::Serving {
        addresses.push(state.settings.listen.callers);
    }
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = DIRECTORY_TTL.min(state.settings.bounds.directory_ttl);
    with_body(
        "application/json",
        state.dialect.encode_directory_response(&addresses, ttl),
    )
}

fn status(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(full_body(Default::default()));
    *res.status_mut() = status;
    res
}

fn with_body(kind: &'static str, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut res = Response::new(full_body(body.into()));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    res
}
