//! What nodes say to each other.

pub mod convert_request;
mod pool;

mod server;

pub use pool::Pool;
pub use server::PeerService;
