//! Confirms before a stream is sent to a back end that the listed process is at the other end of the connection.
//!
//! A stream that has begun goes on only at a connection on which the listed process has given its report. A new stream
//! that may be resumed needs one only at a back end whose process is in doubt; without it the stream is sent all the
//! same, but its software version is not known, so that it goes on nowhere else. Other calls do not depend on the
//! process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use thiserror::Error;

use super::attempt::{AttemptError, GatewayContext};
use super::call::Call;
use super::pool::Connection;
use super::record;
use super::running::RunningAttempt;
use crate::core::gateway::backends::Backend;
use crate::core::gateway::listed_process::{PeerProcess, ProcessStart, ReportChange};
use crate::core::gateway::routes::RouteKind;
use crate::core::gateway::software::AllowedSoftware;
use crate::core::time::Moment;

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Size limit for a report.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Number of connections on which a report is requested for one send: an idle one may just have been closed.
const MAX_CONNECTIONS: u32 = 2;

/// What a stream requires of the process at the other end of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requirement {
    /// The listed process, according to its report.
    Confirmed,
    /// A report, if the process is in doubt.
    KnownSoftware,
    /// Nothing.
    None,
}

impl Requirement {
    fn new(call: &Call, allowed: AllowedSoftware) -> Self {
        let is_resumable = call.route.kind == RouteKind::Stream { resumable: true };
        match allowed {
            AllowedSoftware::Only(_) => Self::Confirmed,
            AllowedSoftware::Any | AllowedSoftware::Unknown if is_resumable => Self::KnownSoftware,
            AllowedSoftware::Any | AllowedSoftware::Unknown => Self::None,
        }
    }
}

/// Why there is no report on a connection.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NoReport {
    /// The answer was complete, but is no report.
    #[error("unusable report: {0}")]
    Unusable(Box<str>),
    /// The connection ended or broke before a complete answer.
    #[error("connection lost: {0}")]
    Lost(Box<str>),
    /// There was no complete answer in time.
    #[error("none within {} ms", REPORT_TIMEOUT.as_millis())]
    Timeout,
}

/// Returns a connection for a call: the given one, or another one if that was closed. Requests a report on it first if
/// the call needs one, and records in `running` which process it leads to.
///
/// # Errors
///
/// Fails if the back end cannot be reached, or if the stream may not go on there.
pub async fn confirm(
    cx: &GatewayContext,
    call: &Call,
    running: &mut RunningAttempt,
    allowed: AllowedSoftware,
    connection: Connection,
) -> Result<Connection, AttemptError> {
    let backend = running.place.backend.clone();
    if cx.pool.take_closed(backend.address) {
        let now = cx.state.now();
        let mut backends = cx.state.backends.lock();
        backends.record_closed_connection(&backend, now);
    }
    let requirement = Requirement::new(call, allowed);
    let connection = request_reports(cx, call, &backend, requirement, connection).await?;
    let process = peer_process(cx, &backend, &connection);
    if requirement == Requirement::Confirmed && process != PeerProcess::Confirmed {
        // It may lead to another process, so no other call gets it.
        drop(connection);
        return Err(AttemptError::NotConfirmed {
            backend: backend.id.clone(),
        });
    }
    running.set_process(process);
    Ok(connection)
}

/// Requests reports until the requirement is met or cannot be met. Returns the last connection.
async fn request_reports(
    cx: &GatewayContext,
    call: &Call,
    backend: &Backend,
    requirement: Requirement,
    mut connection: Connection,
) -> Result<Connection, AttemptError> {
    for _ in 0..MAX_CONNECTIONS {
        if !needs_report(cx, backend, requirement, &connection) {
            break;
        }
        let requested_at = cx.state.now();
        let may_be_closed = connection.is_reused();
        match request_report(cx, backend, &mut connection).await {
            Ok(reported) => {
                connection.set_process(reported);
                record_report(cx, backend, reported, requested_at);
                if !connection.is_usable_again().await {
                    connection = cx.pool.open(backend.address).await?;
                }
            }
            Err(NoReport::Lost(_)) if may_be_closed => {
                connection = cx.pool.open(backend.address).await?;
            }
            Err(e) => {
                record::process_not_reported(&cx.state, call, backend, &e);
                return without_report(cx, backend, requirement, connection, &e).await;
            }
        }
    }
    Ok(connection)
}

/// Returns the connection for a call whose back end gave no usable report.
async fn without_report(
    cx: &GatewayContext,
    backend: &Backend,
    requirement: Requirement,
    mut connection: Connection,
    e: &NoReport,
) -> Result<Connection, AttemptError> {
    {
        let now = cx.state.now();
        let mut backends = cx.state.backends.lock();
        backends.record_no_report(backend, now);
    }
    if requirement == Requirement::Confirmed {
        return Err(AttemptError::NotConfirmed {
            backend: backend.id.clone(),
        });
    }
    let is_complete = matches!(e, NoReport::Unusable(_));
    if is_complete && connection.is_usable_again().await {
        return Ok(connection);
    }
    Ok(cx.pool.open(backend.address).await?)
}

fn needs_report(
    cx: &GatewayContext,
    backend: &Backend,
    requirement: Requirement,
    connection: &Connection,
) -> bool {
    let process = peer_process(cx, backend, connection);
    match requirement {
        Requirement::None => false,
        Requirement::Confirmed => {
            matches!(process, PeerProcess::Presumed | PeerProcess::Doubtful)
        }
        Requirement::KnownSoftware => {
            let now = cx.state.now();
            let backends = cx.state.backends.lock();
            process == PeerProcess::Doubtful && backends.needs_report(backend, now)
        }
    }
}

fn peer_process(cx: &GatewayContext, backend: &Backend, connection: &Connection) -> PeerProcess {
    let backends = cx.state.backends.lock();
    backends.peer_process(backend, connection.process())
}

fn record_report(
    cx: &GatewayContext,
    backend: &Backend,
    reported: ProcessStart,
    requested_at: Moment,
) {
    let change = {
        let mut backends = cx.state.backends.lock();
        backends.record_report(backend, reported, requested_at)
    };
    match change {
        ReportChange::None => {}
        ReportChange::Confirmed => record::process_confirmed(&cx.state, backend),
        ReportChange::Replaced => record::process_replaced(backend, reported),
    }
}

/// Requests a report on a connection.
async fn request_report(
    cx: &GatewayContext,
    backend: &Backend,
    connection: &mut Connection,
) -> Result<ProcessStart, NoReport> {
    metrics::counter!("jayhall_gateway_requested_reports", "service" => backend.service.to_string())
        .increment(1);
    let req = report_request(cx.state.dialect.report_path(), backend.address);
    let exchanged = tokio::time::timeout(REPORT_TIMEOUT, exchange(connection, req));
    let (status, text) = exchanged.await.map_err(|_| NoReport::Timeout)??;
    if status != StatusCode::OK {
        return Err(NoReport::Unusable(format!("status {status}").into()));
    }
    let decoded = cx.state.dialect.decode_report(&text);
    decoded.map_err(|e| NoReport::Unusable(format!("{e:#}").into()))
}

fn report_request(path: &'static str, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::default());
    *req.uri_mut() = hyper::Uri::from_static(path);
    let host = HeaderValue::from_str(&address.to_string());
    let host = host.expect("an address is a valid header value");
    req.headers_mut().insert(HOST, host);
    req
}

/// Sends a request and reads the whole answer.
async fn exchange(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), NoReport> {
    let lost = |cause: String| NoReport::Lost(cause.into());
    let res = connection
        .send(req)
        .await
        .map_err(|e| lost(e.to_string()))?;
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_REPORT_BYTES);
    let body = body.collect().await.map_err(|e| lost(e.to_string()))?;
    Ok((status, body.to_bytes()))
}
