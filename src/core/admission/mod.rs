//! Whether a request is accepted at arrival.
//!
//! A request that cannot be served in time, or that is beyond its customer's limits, is refused at
//! once and told when to come back. Refusals happen before any back end is asked, so that they
//! always say that nothing ran.

mod drain;
mod limits;
mod meter;
mod refusal;
mod returns;
mod wait;

pub use drain::{DrainRate, RankArrivals};
pub use limits::{CustomerLimits, LimitRule, SPREAD_DELAY, UseReport};
pub use refusal::{Cause, Refusal, Result};
pub use returns::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, ReturnSchedule};
pub use wait::{Admission, Wait, check_deadline, expected_wait};
