//! A serving system for language-model assistants and order services on reclaimable machines.
//!
//! The crate is split by what a reader looks for:
//!
//! - [`callers`]: the HTTP listener that customers connect to;
//! - [`operators`]: the HTTP listener for the console and the command line;
//! - [`peers`]: what nodes say to each other;
//! - [`core`]: decisions, as pure functions of state, event and time;
//! - [`ops`]: one module for each operation that combines decisions with the outside;
//! - [`sources`]: adapters for back ends and for the platform;
//! - [`node`]: how one process is assembled and stopped;
//! - [`platform`]: adapter of the platform that the users run;
//! - [`util`]: settings, logs, metrics and time.

pub mod callers;
pub mod core;
pub mod node;
pub mod operators;
pub mod ops;
pub mod peers;
pub mod platform;
pub mod sources;
pub mod util;
