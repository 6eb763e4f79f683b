//! What nodes say to each other.

pub mod convert_request;
mod convert_member;
mod pool;

pub use convert_member::ConvertError;
pub use pool::Pool;
