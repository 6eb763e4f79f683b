//! Connections to back ends.
//!
//! A connection serves one call at a time. It is kept for the next one only after a whole answer to the
//! call's own name; hyper's connection-level client says whether bytes came behind it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::core::verdict::Verdict;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which an idle connection is kept where the back end names none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the time that the back end names for which an idle connection is used.
const IDLE_SHARE: f64 = 0.6;
/// Idle time after which a connection is not used for calls that must not run twice: a back end that
/// closes it at that moment would leave open whether the call ran.
const IDLE_FOR_ONCE: Duration = Duration::from_millis(900);
/// Idle connections to one back end.
const MAX_IDLE: usize = 24;
/// Silence after which the system asks whether the other end is there.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two such questions.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Unanswered questions after which a connection counts as broken.
const PROBES: u32 = 3;
/// Time without an acknowledgement of sent bytes after which a connection counts as broken.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection was made.
    #[error("no connection to {address}: {cause}")]
    NotReached {
        /// Address of the back end.
        address: SocketAddr,
        /// What was seen.
        cause: Box<str>,
    },
    /// The call left, or may have, and no usable answer came.
    #[error("no answer from {address}: {cause}")]
    Lost {
        /// Address of the back end.
        address: SocketAddr,
        /// What was seen.
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

/// A connection that serves one call.
pub struct Connection {
    /// Other end.
    pub address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

struct Idle {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

/// Connections to back ends.
#[derive(Default)]
pub struct BackendPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl BackendPool {
    /// Returns a connection, one that is there if `once` allows.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotReached`] where none can be made.
    pub async fn open(&self, address: SocketAddr, once: bool) -> Result<Connection> {
        match self.take(address, once) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    /// Keeps a connection whose answer has ended as it should.
    pub fn keep(&self, connection: Connection, idle_timeout: Option<Duration>) {
        let limit = idle_timeout.map_or(IDLE_TIMEOUT, |timeout| timeout.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.lock();
        let list = idle.entry(connection.address).or_default();
        if list.len() < MAX_IDLE && !connection.sender.is_closed() {
            list.push(Idle {
                connection,
                since: Instant::now(),
                limit: limit.min(IDLE_TIMEOUT),
            });
        }
    }

    /// Closes idle connections whose time is over.
    pub fn close_old(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, list| {
            list.retain(|idle| {
                now - idle.since < idle.limit && !idle.connection.sender.is_closed()
            });
            !list.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, once: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        while let Some(last) = list.pop() {
            let limit = if once {
                last.limit.min(IDLE_FOR_ONCE)
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
    /// Sends a call and waits for the head of the answer. Dropping the returned future, or the body of
    /// the answer before its end, closes the connection.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::Lost`] where no answer comes.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<hyper::Response<Incoming>> {
        let address = self.address;
        self.sender.try_send_request(req).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let cause = e.error().to_string().into();
            match unsent {
                true => SendError::NotReached { address, cause },
                false => SendError::Lost { address, cause },
            }
        })
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let not_reached = |cause: String| SendError::NotReached {
        address,
        cause: cause.into(),
    };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_reached(format!("none within {} ms", CONNECT_TIMEOUT.as_millis())))?
        .map_err(|e| not_reached(e.to_string()))?;
    if let Err(e) = set_options(&stream) {
        tracing::debug!(%address, error = %e, "options of a connection not set");
    }
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_reached(e.to_string()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(%address, error = %e, "connection to a back end ended");
        }
    });
    Ok(Connection { address, sender })
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
