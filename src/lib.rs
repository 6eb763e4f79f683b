//! A serving system for language-model assistants and order services on reclaimable machines.
//!
//! Modules:
//!
//! - [`callers`]: the HTTP listener that customers connect to;
//! - [`operators`]: the HTTP listener for the console and the command line;
//! - [`peers`]: the protocol between nodes;
//! - [`core`]: decision logic, as pure functions of state, event and time;
//! - [`ops`]: operations that combine the decision logic with I/O, one module each;
//! - [`sources`]: adapters for back ends and for the platform;
//! - [`node`]: assembly, startup and shutdown of a process;
//! - [`platform`]: the adapter for the users' platform;
//! - [`util`]: settings, INI parsing, logs, metrics and time.

pub mod callers;
pub mod core;
pub mod node;
pub mod operators;
pub mod ops;
pub mod peers;
pub mod platform;
pub mod sources;
pub mod util;
