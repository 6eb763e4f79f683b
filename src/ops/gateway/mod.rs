//! The gateway: forwards calls by host and path to the back ends that the platform's registry names.
//!
//! - [`listen`], [`forward`], [`stream`], [`attempt`], [`pool`]: the way of a call;
//! - [`follow_store`], [`register`], [`mesh`], [`snapshot`], [`relay`], [`install`]: what a node knows and tells;
//! - [`duties`]: what one node at a time does for all;
//! - [`board`]: what all of these read and write;
//! - [`dialect`]: what the adapter of a platform provides.

pub mod attempt;
pub mod board;
pub mod call;
pub mod dialect;
pub mod duties;
pub mod follow_store;
pub mod forward;
pub mod install;
pub mod keys;
pub mod lease;
pub mod listen;
pub mod mesh;
pub mod mesh_wire;
pub mod node_wire;
pub mod pool;
pub mod record;
pub mod refusal;
pub mod register;
pub mod relay;
pub mod snapshot;
pub mod stream;
pub mod view;
