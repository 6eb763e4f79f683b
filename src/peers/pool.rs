//! Connections to other nodes, one for each address.

use std::collections::HashMap;
use std::time::Duration;

use jayhall_wire::peer_client::PeerClient;
use parking_lot::Mutex;
use thiserror::Error;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

use super::PeerTls;
use crate::core::id::Address;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two HTTP/2 pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a ping; a connection without one is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// A certificate or key that makes no sense.
#[derive(Debug, Error)]
#[error("the certificate, key or authority for peers is not valid: {0}")]
pub struct PoolError(#[from] tonic::transport::Error);

/// The module's result.
type Result<T> = std::result::Result<T, PoolError>;

/// When connections are pinged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pings {
    /// Always, so that the next request meets no silent connection. For the few nodes that requests
    /// go to.
    #[default]
    Always,
    /// Only while a call is under way, so that idle connections cost nothing. For gossip, which has
    /// a deadline on every exchange.
    InUse,
}

/// Connections to other nodes, made when they are first used.
#[derive(Debug, Default)]
pub struct Pool {
    channels: Mutex<HashMap<Address, Channel>>,
    tls: Option<ClientTlsConfig>,
    pings: Pings,
}

impl Pool {
    /// Creates a pool without connections; without `tls` it speaks plain text.
    ///
    /// # Errors
    ///
    /// Fails if the certificate, the key or the authority is not valid.
    pub fn open(tls: Option<&PeerTls>, pings: Pings) -> Result<Self> {
        let tls = tls.map(PeerTls::client);
        if let Some(tls) = &tls {
            // Any address shows whether the files make sense.
            endpoint(Address::from(([127, 0, 0, 1], 1)), true).tls_config(tls.clone())?;
        }
        Ok(Self {
            channels: Mutex::default(),
            tls,
            pings,
        })
    }

    /// Returns a client for the node at an address. Does not wait for the connection.
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

    /// Drops the connection to an address, so that the next use makes a new one.
    pub fn forget(&self, address: Address) {
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
