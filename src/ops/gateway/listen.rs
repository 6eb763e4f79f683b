//! The gateway's listeners, on hyper's connection-level server.
//!
//! It notices callers that leave while they wait, and closes kept connections only between calls.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::attempt::GatewayContext;
use super::board::{Board, Phase};
use super::refusal::{Body, whole};
use super::{forward, snapshot};

/// Time for which a connection may be idle, as a multiple of what operators allow callers to use. A
/// caller that returns just before that must not meet a close.
const IDLE_FACTOR: u32 = 3;
/// Idle time where there is no configuration yet.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);
/// Time for which callers keep the directory's answer.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Silence of a node after which callers are not sent there.
const NODE_SILENCE: Duration = Duration::from_millis(2200);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest head of a call that is read, whatever operators allow.
const MAX_HEAD: usize = 64 * 1024;

/// What a listener is for.
#[derive(Clone)]
pub enum Purpose {
    /// Calls.
    Calls(Arc<GatewayContext>),
    /// Checks of readiness.
    Readiness(Arc<Board>),
    /// Questions where to connect.
    Directory(Arc<Board>),
    /// State for other nodes, and metrics.
    Control(Arc<Board>, PrometheusHandle),
}

/// Whether listeners take connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listening {
    /// They do.
    Open,
    /// Kept connections close after their present call; new ones are taken for one call.
    Finishing,
    /// No connections are taken.
    Closed,
}

/// Binds a listener.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves connections until listening is closed.
pub async fn run(listener: TcpListener, purpose: Purpose, listening: watch::Receiver<Listening>) {
    let mut closed = listening.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = until(&mut closed, Listening::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, purpose.clone(), listening.clone()));
            }
            Err(e) => {
                tracing::warn!(error = %e, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(
    stream: TcpStream,
    purpose: Purpose,
    mut listening: watch::Receiver<Listening>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "options of a connection not set");
    }
    let idle = idle_time(&purpose);
    let service = service_fn(move |req| {
        let purpose = purpose.clone();
        async move { Ok::<_, Infallible>(answer(purpose, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let finished = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = until(&mut listening, Listening::Finishing) => None,
    };
    let ended = match finished {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(error = %e, "connection of a caller ended");
    }
}

/// Waits until listening has come to a state. Nobody who could change it counts as that state.
async fn until(listening: &mut watch::Receiver<Listening>, state: Listening) {
    let _ = listening.wait_for(|now| *now >= state).await;
}

fn idle_time(purpose: &Purpose) -> Duration {
    match purpose {
        Purpose::Calls(cx) => cx
            .board
            .table()
            .map_or(DEFAULT_IDLE, |table| {
                table.limits.idle_timeout * IDLE_FACTOR
            })
            .max(DEFAULT_IDLE),
        _ => DEFAULT_IDLE,
    }
}

async fn answer(purpose: Purpose, req: Request<Incoming>) -> Response<Body> {
    match purpose {
        Purpose::Calls(cx) => forward::serve(cx, req).await,
        Purpose::Readiness(board) => status(match board.phase() {
            Phase::Serving => StatusCode::OK,
            Phase::Starting | Phase::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }),
        Purpose::Directory(board) => directory(&board, req.uri().query().unwrap_or_default()),
        Purpose::Control(board, metrics) => match req.uri().path() {
            snapshot::PATH => {
                let query = req.uri().query().unwrap_or_default();
                with_body(
                    "application/octet-stream",
                    snapshot::answer(&board, query).await,
                )
            }
            "/metrics" => with_body("text/plain; version=0.0.4", metrics.render()),
            _ => status(StatusCode::NOT_FOUND),
        },
    }
}

fn directory(board: &Board, query: &str) -> Response<Body> {
    let (region, zone) = board.dialect.directory_question(query);
    let own = &board.settings.name;
    let now = board.now();
    let mut addresses = board
        .members
        .lock()
        .directory(own, &region, &zone, now, NODE_SILENCE);
    if addresses.is_empty() && board.phase() == Phase::Serving {
        addresses.push(board.settings.listen.callers);
    }
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = DIRECTORY_TTL.min(board.settings.bounds.directory_ttl);
    with_body(
        "application/json",
        board.dialect.directory_answer(&addresses, ttl),
    )
}

fn status(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(whole(Default::default()));
    *res.status_mut() = status;
    res
}

fn with_body(kind: &'static str, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut res = Response::new(whole(body.into()));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    res
}
