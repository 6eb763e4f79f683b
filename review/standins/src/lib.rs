//! Stand-ins of the platform, engines and clients, as the pages describe them, for the review's scripts.

#![allow(missing_docs)]

pub mod cloud;
pub mod fleet;
pub mod http;
pub mod json;
pub mod link;
pub mod record;
pub mod store;
