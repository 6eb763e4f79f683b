//! Discrete-event simulations that compare jayhall's policies with baselines.
//!
//! A simulation uses no process, socket or clock: it feeds events in time order to the decision
//! logic and records the outcome. Every simulation is deterministic for its seed. Tests assert
//! bounds on the outcomes; `cargo xtask policy` prints them.

pub mod events;
pub mod homes;
pub mod limits;
pub mod prefixes;
pub mod service;
pub mod workload;
