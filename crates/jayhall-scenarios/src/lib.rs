//! Small loops on injected time that measure jayhall's decisions beside baselines.
//!
//! No process, socket or clock is involved: a loop feeds a decision with events in the order of their
//! time and counts what follows. Every loop is deterministic for its seed. Tests assert bounds on the
//! outcomes; `cargo xtask policy` prints them.

pub mod clock;
pub mod homes;
pub mod limits;
pub mod prefixes;
pub mod service;
pub mod workload;
