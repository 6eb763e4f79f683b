//! What nodes say to each other.

pub mod convert_request;
mod convert_member;
mod pool;

mod server;

pub use convert_member::ConvertError;
pub use pool::Pool;
pub use server::PeerService;
