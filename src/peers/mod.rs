//! The protocol between nodes: client, server and message conversions.

pub mod convert_copy;
mod convert_member;
pub mod convert_request;
mod convert_service;
mod pool;
mod server;
pub mod tls;

pub use convert_member::ConvertError;
pub use pool::{Pings, Pool, PoolError};
pub use server::PeerService;
pub use tls::PeerTls;
