//! Client adapters for back ends and for the services of the platform.

pub mod cloud;
pub mod engine;
pub mod http;
pub mod platform;
pub mod service;
pub mod store;
pub mod vm_list;
pub mod weights;
