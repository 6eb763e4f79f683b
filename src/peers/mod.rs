//! What nodes say to each other.

pub mod convert_request;
mod pool;

pub use pool::Pool;
