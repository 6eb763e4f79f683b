//! Decisions of the gateway: which back end serves a call, who is refused, and what the fleet needs.
//!
//! The gateway forwards calls by host and path to back ends that a registry names. Everything here is
//! a function of state, event and time; [`crate::ops::gateway`] does the I/O.

pub mod backends;
pub mod cache;
pub mod clock;
pub mod decay;
pub mod load;
pub mod members;
pub mod origin;
pub mod placement;
pub mod quota;
pub mod retry_budget;
pub mod routes;
pub mod scaling;
pub mod tenure;
pub mod usage;
pub mod work;
pub mod zone_sums;
