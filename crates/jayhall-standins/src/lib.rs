//! Small stand-ins for the systems that jayhall meets.
//!
//! Each stand-in is a function `spawn` that returns a running handle with its address; it stops when the
//! handle is dropped. The binary `jayhall-standin` runs one of them as a process. All of them speak the
//! protocols of `docs/PROTOCOLS.md` and take faults over HTTP.

pub mod cloud;
pub mod engine;
mod faults;
mod server;
pub mod service;
pub mod store;
pub mod vm_list;
pub mod weights;

pub use faults::{CommonFaults, FaultError, FaultSet};
pub use server::{Result, SpawnError};
