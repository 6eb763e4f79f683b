//! UDP proxy on loopback that can delay datagrams, or drop those of some senders.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Forwarding behaviour of a datagram link.
#[derive(Clone, Debug, Default)]
pub struct DatagramLinkState {
    /// Time by which datagrams are delayed.
    pub delay: Duration,
    /// Addresses of senders whose datagrams are dropped.
    pub blocked: Box<[IpAddr]>,
}

/// A running datagram link. Datagrams that it has delayed still arrive after it was dropped.
#[derive(Debug)]
pub struct DatagramLink {
    address: SocketAddr,
    state: Arc<Mutex<DatagramLinkState>>,
    receive_task: JoinHandle<()>,
}

impl DatagramLink {
    /// Starts a link from a free port of `ip` to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn spawn(ip: IpAddr, target: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind((ip, 0))
            .await
            .wrap_err("binding a port for a datagram link")?;
        let address = socket.local_addr()?;
        let state = Arc::new(Mutex::new(DatagramLinkState::default()));
        let receive_task = tokio::spawn(receive(Arc::new(socket), target, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            receive_task,
        })
    }

    /// Returns the listen address of the link.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state of the link for datagrams that arrive from now on.
    pub fn set(&self, state: DatagramLinkState) {
        *self.state.lock() = state;
    }
}

impl Drop for DatagramLink {
    fn drop(&mut self) {
        self.receive_task.abort();
    }
}

async fn receive(socket: Arc<UdpSocket>, target: SocketAddr, state: Arc<Mutex<DatagramLinkState>>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // Receiving fails after a datagram to a node that is down, and then goes on.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let delay = {
            let state = state.lock();
            match state.blocked.contains(&from.ip()) {
                true => continue,
                false => state.delay,
            }
        };
        let datagram: Box<[u8]> = buf[..len].into();
        if delay.is_zero() {
            forward(&socket, &datagram, target).await;
            continue;
        }
        let socket = Arc::clone(&socket);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            forward(&socket, &datagram, target).await;
        });
    }
}

/// Forwards a datagram. As on any network, it is lost if the receiver is down.
async fn forward(socket: &UdpSocket, datagram: &[u8], target: SocketAddr) {
    let _ = socket.send_to(datagram, target).await;
}
