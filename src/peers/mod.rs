//! What nodes say to each other.

mod convert_member;
pub mod convert_request;
mod pool;

mod server;

pub use convert_member::ConvertError;
pub use pool::Pool;
pub use server::PeerService;
