//! Pool of connections to other nodes, one per address.

use std::collections::HashMap;
use std::time::Duration;

use jayhall_wire::peer_client::PeerClient;
use parking_lot::Mutex;
use thiserror::Error;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

use super::PeerTls;
use crate::core::id::Address;

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between HTTP/2 pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a ping, after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of an invalid certificate or key.
#[derive(Debug, Error)]
#[error("the certificate, key or authority for peers is not valid: {0}")]
pub struct PoolError(#[from] tonic::transport::Error);

/// The module's result.
type Result<T> = std::result::Result<T, PoolError>;

/// When connections are kept alive by pings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pings {
    /// Always, so that a dead connection is detected before the next request uses it. For the few
    /// nodes that requests are sent to.
    #[default]
    Always,
    /// Only while a call is in flight, so that idle connections cost nothing. For gossip, which has
    /// a deadline on every exchange.
    InUse,
}

/// Pool of connections to other nodes, opened on first use.
#[derive(Debug, Default)]
pub struct Pool {
    channels: Mutex<HashMap<Address, Channel>>,
    tls: Option<ClientTlsConfig>,
    pings: Pings,
}

impl Pool {
    /// Creates a pool without connections. Connections are in plain text where `tls` is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the certificate, the key or the certificate authority is not valid.
    pub fn open(tls: Option<&PeerTls>, pings: Pings) -> Result<Self> {
        let tls = tls.map(PeerTls::client);
        if let Some(tls) = &tls {
            // Validates the files; the address does not matter.
            endpoint(Address::from(([127, 0, 0, 1], 1)), true).tls_config(tls.clone())?;
        }
        Ok(Self {
            channels: Mutex::default(),
            tls,
            pings,
        })
    }

    /// Returns a client for the node at an address without waiting for the connection.
    pub fn client(&self, address: Address) -> PeerClient<Channel> {
        let channel = self
            .channels
            .lock()
            .entry(address)
            .or_insert_with(|| self.connect(address))
            .clone();
        PeerClient::new(channel)
    }

    /// Drops the connections to the addresses for which `is_needed` is false.
    pub fn retain(&self, is_needed: impl Fn(Address) -> bool) {
        self.channels
            .lock()
            .retain(|address, _| is_needed(*address));
    }

    /// Drops the connection to an address, so that the next use opens a new one.
    pub fn disconnect(&self, address: Address) {
        self.channels.lock().remove(&address);
    }

    fn connect(&self, address: Address) -> Channel {
        let endpoint = endpoint(address, self.tls.is_some())
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(self.pings == Pings::Always)
            .tcp_nodelay(true);
        let endpoint = match &self.tls {
            Some(tls) => endpoint.tls_config(tls.clone()).unwrap_or_else(|_| {
                unreachable!("the files were checked when the pool was opened")
            }),
            None => endpoint,
        };
        endpoint.connect_lazy()
    }
}

fn endpoint(address: Address, is_tls: bool) -> Endpoint {
    let scheme = if is_tls { "https" } else { "http" };
    Endpoint::from_shared(format!("{scheme}://{address}"))
        .unwrap_or_else(|_| unreachable!("an IP address and a port make a valid URI"))
}
