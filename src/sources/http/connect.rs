//! Outgoing connections.
//!
//! A connection that is closed, by its owner or because the process ends, is reset: the kernel drops what the peer has
//! not received. Without that it would go on sending for a minute and more, and a call that was given up could arrive
//! after later ones. While the process is suspended, the kernel itself gives up after the TCP user timeout.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::metered::MeteredStream;

/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Time between TCP keep-alive probes, in whole seconds as the kernel counts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered TCP keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// How connections are opened.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// Timeout for opening a connection.
    pub timeout: Duration,
    /// Time without an acknowledgement of sent bytes, or of a keep-alive probe, after which the kernel closes a
    /// connection.
    pub user_timeout: Duration,
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the address is not reached in time, or if the socket cannot be set up.
pub async fn connect(
    address: SocketAddr,
    opts: ConnectOptions,
) -> io::Result<MeteredStream<TcpStream>> {
    let connected = tokio::time::timeout(opts.timeout, TcpStream::connect(address));
    let stream = connected.await.map_err(|_| {
        let cause = format!("no connection within {} ms", opts.timeout.as_millis());
        io::Error::new(io::ErrorKind::TimedOut, cause)
    })??;
    set_socket_options(&stream, opts)?;
    Ok(MeteredStream::outgoing(stream))
}

fn set_socket_options(stream: &TcpStream, opts: ConnectOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(opts.user_timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
