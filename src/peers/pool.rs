//! Connections to other nodes, one for each address.

use std::collections::HashMap;
use std::time::Duration;

use jayhall_wire::peer_client::PeerClient;
use parking_lot::Mutex;
use tonic::transport::{Channel, Endpoint};

use crate::core::id::Address;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two HTTP/2 pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a ping; a connection without one is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections to other nodes, made when they are first used.
#[derive(Debug, Default)]
pub struct Pool {
    channels: Mutex<HashMap<Address, Channel>>,
}

impl Pool {
    /// Returns a client for the node at an address. Does not wait for the connection.
    pub fn client(&self, address: Address) -> PeerClient<Channel> {
        let channel = self
            .channels
            .lock()
            .entry(address)
            .or_insert_with(|| connect(address))
            .clone();
        PeerClient::new(channel)
    }

    /// Drops the connections to the addresses for which `is_needed` is false.
    pub fn retain(&self, is_needed: impl Fn(Address) -> bool) {
        self.channels
            .lock()
            .retain(|address, _| is_needed(*address));
    }

    /// Drops the connection to an address, so that the next use makes a new one.
    pub fn forget(&self, address: Address) {
        self.channels.lock().remove(&address);
    }
}

fn connect(address: Address) -> Channel {
    endpoint(address)
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}

fn endpoint(address: Address) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .unwrap_or_else(|_| unreachable!("an IP address and a port make a valid URI"))
}
