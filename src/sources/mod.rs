//! Adapters for back ends and for the platform.

pub mod engine;
pub mod store;
