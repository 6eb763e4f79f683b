//! TCP proxy on loopback that can delay, block or reset its connections.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use eyre::{Result, WrapErr};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the copy buffer, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Forwarding behaviour of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards all data.
    Open,
    /// Forwards all data after a delay.
    Delayed(Duration),
    /// Blocks data from callers; data to callers is forwarded.
    CutForward,
    /// Blocks data to callers; data from callers is forwarded.
    CutBack,
    /// Blocks all data and keeps connections open.
    Silent,
    /// Resets all existing connections, and new ones immediately.
    Reset,
    /// Appends these bytes, which belong to no request, to each chunk of data sent to callers.
    Stray(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

impl LinkState {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::Silent => true,
            Self::CutForward => direction == Direction::Forward,
            Self::CutBack => direction == Direction::Back,
            Self::Open | Self::Delayed(_) | Self::Reset | Self::Stray(_) => false,
        }
    }
}

/// A running link. Dropping it closes its connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    accept_task: JoinHandle<()>,
}

impl Link {
    /// Starts a link from a free port of `ip` to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn spawn(ip: IpAddr, target: SocketAddr) -> Result<Self> {
        Self::spawn_with_buffers(ip, target, None).await
    }

    /// Starts a link as [`Link::spawn`] does. Its sockets hold at most about `buffer_size` bytes each, as those of a
    /// slow network do, unless it is `None`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn spawn_with_buffers(
        ip: IpAddr,
        target: SocketAddr,
        buffer_size: Option<u32>,
    ) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0))
            .await
            .wrap_err("binding a port for a link")?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(LinkState::Open);
        let accept_task = tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((caller, _)) => {
                        tokio::spawn(connection(caller, target, buffer_size, states.clone()));
                    }
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        });
        Ok(Self {
            address,
            state,
            accept_task,
        })
    }

    /// Returns the listen address of the link.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state of the link, which also applies to existing connections.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// How a connection through a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// Both peers closed the connection.
    Closed,
    /// A peer or the link reset the connection.
    Reset,
}

async fn connection(
    mut caller: TcpStream,
    target: SocketAddr,
    buffer_size: Option<u32>,
    states: watch::Receiver<LinkState>,
) {
    let Ok(mut server) = connect(&caller, target, buffer_size).await else {
        reset_on_close(&caller);
        return;
    };
    let mut reset = states.clone();
    let ended = tokio::select! {
        // An error means that the link was dropped, which resets its connections.
        _ = reset.wait_for(|state| *state == LinkState::Reset) => Ended::Reset,
        ended = pass(&mut caller, &mut server, states) => ended,
    };
    if ended == Ended::Reset {
        reset_on_close(&caller);
        reset_on_close(&server);
    }
}

/// Connects to the target and limits the buffers in which bytes wait for the caller.
async fn connect(
    caller: &TcpStream,
    target: SocketAddr,
    buffer_size: Option<u32>,
) -> std::io::Result<TcpStream> {
    let socket = match target {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(size) = buffer_size {
        socket.set_recv_buffer_size(size)?;
        SockRef::from(caller).set_send_buffer_size(size as usize)?;
    }
    socket.connect(target).await
}

/// Configures the socket to reset its connection on close.
fn reset_on_close(stream: &TcpStream) {
    // Setting the option fails only on a closed socket, which does not need it.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pass(
    caller: &mut TcpStream,
    server: &mut TcpStream,
    states: watch::Receiver<LinkState>,
) -> Ended {
    if caller.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return Ended::Reset;
    }
    let (from_caller, to_caller) = caller.split();
    let (from_server, to_server) = server.split();
    let forward = copy_direction(from_caller, to_server, states.clone(), Direction::Forward);
    let back = copy_direction(from_server, to_caller, states, Direction::Back);
    match tokio::try_join!(forward, back) {
        Ok(_) => Ended::Closed,
        Err(_) => Ended::Reset,
    }
}

async fn copy_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut states: watch::Receiver<LinkState>,
    direction: Direction,
) -> std::io::Result<()> {
    let mut buf = vec![0; BUFFER_SIZE];
    loop {
        let len = from.read(&mut buf).await?;
        let state = states
            .wait_for(|state| !state.blocks(direction))
            .await
            .map(|state| *state)
            .map_err(|_| std::io::ErrorKind::ConnectionAborted)?;
        if let LinkState::Delayed(delay) = state {
            tokio::time::sleep(delay).await;
        }
        if len == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..len]).await?;
        if let LinkState::Stray(bytes) = state
            && direction == Direction::Back
        {
            to.write_all(bytes.as_bytes()).await?;
        }
    }
}
