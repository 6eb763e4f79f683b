//! What nodes say to each other.

mod pool;

pub use pool::Pool;
