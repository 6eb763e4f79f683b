//! Admission control for arriving requests.
//!
//! A request that cannot be served before its deadline, or that exceeds its customer's limits, is
//! refused immediately with a `Retry-After` time. Refusals are made before any back end is
//! contacted, so their verdict is always that nothing ran.

mod drain;
mod limits;
mod meter;
mod refusal;
mod retry_schedule;
mod wait;

pub use drain::{DrainRate, RankArrivals};
pub use limits::{CustomerLimits, GOSSIP_DELAY, LimitRule, UsageReport};
pub use refusal::{Cause, Refusal, Result};
pub use retry_schedule::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, RetrySchedule};
pub use wait::{Admission, WaitInputs, check_deadline, expected_wait};
