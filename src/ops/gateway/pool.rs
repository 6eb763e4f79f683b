//! Connections to back ends.
//!
//! A connection serves one call at a time. It returns to the pool only after a complete response that
//! belongs to the call; hyper's connection-level client detects surplus bytes after it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::Instant;

use crate::core::gateway::listed_process::ProcessStart;
use crate::core::verdict::Verdict;
use crate::sources::http::{
    self, ConnectOptions, MAX_HEAD_BYTES, Meter, ReceivedBody, RequestProgress, SentBody,
};

/// Idle timeout where the back end names none; also the upper bound.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Part of the back end's idle timeout for which an idle connection is reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Idle time after which a connection is not reused for calls that must not run twice: if the back end
/// closes the connection at that moment, it is unknown whether the call ran.
const MAX_IDLE_TIME_AT_MOST_ONCE: Duration = Duration::from_millis(900);
/// Limit on idle connections per back end.
const MAX_IDLE_PER_BACKEND: usize = 24;
/// Time for which it is kept that a back end closed an idle connection.
const CLOSED_RETENTION: Duration = Duration::from_secs(10);
/// How connections to back ends and nodes are opened.
const CONNECT_OPTIONS: ConnectOptions = ConnectOptions {
    timeout: Duration::from_millis(600),
    user_timeout: Duration::from_millis(2500),
};

/// Why a call has no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be made; the call was not sent.
    #[error("no connection to {address}: {cause}")]
    NotReached {
        /// Address of the back end.
        address: SocketAddr,
        /// Error of the HTTP client or the socket.
        cause: Box<str>,
    },
    /// The call was sent, at least in part, and there was no response.
    #[error("no answer from {address}: {cause}")]
    Lost {
        /// Address of the back end.
        address: SocketAddr,
        /// Error of the HTTP client or the socket.
        cause: Box<str>,
    },
}

impl SendError {
    /// Returns whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotReached { .. } => Verdict::NotRun,
            Self::Lost { .. } => Verdict::MayHaveRun,
        }
    }
}

/// The module's result.
pub type Result<T> = std::result::Result<T, SendError>;

/// A connection that is in use by one call.
pub struct Connection {
    /// Address of the back end.
    pub address: SocketAddr,
    sender: SendRequest<SentBody>,
    meter: Meter,
    request: RequestProgress,
    /// Whether an earlier call was answered on it.
    is_reused: bool,
    /// Start of the process at its other end, if that has reported it on this connection.
    process: Option<ProcessStart>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

impl IdleConnection {
    /// Returns whether the back end has closed the connection.
    fn is_closed(&self) -> bool {
        self.connection.sender.is_closed()
    }
}

/// Idle connections to one address.
#[derive(Default)]
struct IdleConnections {
    list: Vec<IdleConnection>,
    /// When one of them was last found to be closed by the back end.
    closed_at: Option<Instant>,
}

impl IdleConnections {
    fn is_in_use(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now - at < CLOSED_RETENTION;
        !self.list.is_empty() || self.closed_at.is_some_and(is_recent)
    }
}

/// Connections to back ends.
#[derive(Default)]
pub struct BackendPool {
    idle: Mutex<HashMap<SocketAddr, IdleConnections>>,
}

impl BackendPool {
    /// Returns a connection, an idle one where possible. With `at_most_once` set, for a call that must not run
    /// twice, only one that was used lately is reused.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotReached`] if no connection can be made.
    pub async fn acquire(&self, address: SocketAddr, at_most_once: bool) -> Result<Connection> {
        match self.take_idle(address, at_most_once) {
            Some(connection) => Ok(Connection {
                is_reused: true,
                ..connection
            }),
            None => connect(address).await,
        }
    }

    /// Makes a connection for a call.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotReached`] if no connection can be made.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection> {
        connect(address).await
    }

    /// Makes a connection and keeps it for a later call.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotReached`] if no connection can be made.
    pub async fn connect(&self, address: SocketAddr) -> Result<()> {
        let connection = connect(address).await?;
        self.release(connection, None);
        Ok(())
    }

    /// Returns a connection to the pool after a complete response.
    pub fn release(&self, connection: Connection, idle_timeout: Option<Duration>) {
        let limit =
            idle_timeout.map_or(MAX_IDLE_TIME, |timeout| timeout.mul_f64(IDLE_TIMEOUT_SHARE));
        let mut idle = self.idle.lock();
        let list = &mut idle.entry(connection.address).or_default().list;
        if list.len() < MAX_IDLE_PER_BACKEND && !connection.sender.is_closed() {
            list.push(IdleConnection {
                connection,
                since: Instant::now(),
                limit: limit.min(MAX_IDLE_TIME),
            });
        }
    }

    /// Closes idle connections that have expired or were closed by the back end.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, idle| {
            if idle.list.iter().any(IdleConnection::is_closed) {
                idle.closed_at = Some(now);
            }
            idle.list
                .retain(|idle| now - idle.since < idle.limit && !idle.is_closed());
            idle.is_in_use(now)
        });
    }

    /// Returns whether a back end was found to have closed idle connections since this was last asked.
    pub fn take_closed(&self, address: SocketAddr) -> bool {
        let mut idle = self.idle.lock();
        let idle = idle.get_mut(&address);
        idle.is_some_and(|idle| idle.closed_at.take().is_some())
    }

    fn take_idle(&self, address: SocketAddr, at_most_once: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let idle = idle.get_mut(&address)?;
        while let Some(last) = idle.list.pop() {
            if last.is_closed() {
                idle.closed_at = Some(now);
                continue;
            }
            let limit = if at_most_once {
                last.limit.min(MAX_IDLE_TIME_AT_MOST_ONCE)
            } else {
                last.limit
            };
            if now - last.since < limit && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }
}

impl Connection {
    /// Returns whether an earlier call was answered on the connection, so that a late copy of that answer may
    /// arrive on it.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the start of the process at the other end, if that has reported it on this connection.
    pub fn process(&self) -> Option<ProcessStart> {
        self.process
    }

    /// Records the report of the process at the other end.
    pub fn set_process(&mut self, process: ProcessStart) {
        self.process = Some(process);
    }

    /// Waits after a complete response until the connection can be used again. Returns whether it can.
    pub async fn is_usable_again(&mut self) -> bool {
        self.is_reused = true;
        self.sender.ready().await.is_ok()
    }

    /// Sends a call and waits for the head of the response. Dropping the returned future, or the body
    /// of the response before its end, resets the connection.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotReached`] if the request was not sent, and with [`SendError::Lost`]
    /// if it may have been.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<ReceivedBody>> {
        let address = self.address;
        self.meter.note_delivered();
        let req = req.map(|body| self.request.begin(body));
        let answered = self.sender.try_send_request(req).await;
        let res = answered.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let cause = e.error().to_string().into();
            match unsent {
                true => SendError::NotReached { address, cause },
                false => SendError::Lost { address, cause },
            }
        })?;
        let meter = self.meter.clone();
        Ok(ReceivedBody::of_answer(res, meter, &self.request))
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let not_reached = |cause: String| SendError::NotReached {
        address,
        cause: cause.into(),
    };
    let stream = http::connect(address, CONNECT_OPTIONS)
        .await
        .map_err(|e| not_reached(e.to_string()))?;
    let meter = stream.meter();
    let request = stream.request_progress();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_reached(e.to_string()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(%address, error = %e, "connection to a back end ended with an error");
        }
    });
    Ok(Connection {
        address,
        sender,
        meter,
        request,
        is_reused: false,
        process: None,
    })
}
