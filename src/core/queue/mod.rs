//! Request queue: decides which waiting request is served when a slot becomes free.
//!
//! Scheduling has three levels. Ranks have strict priority, except that each rank is guaranteed a
//! minimum share of service (its floor). Customers of a rank share by weight in tokens (fair
//! queueing), and past use counts up to a bound. Requests of a customer are ordered by earliest
//! deadline.

mod fair;
mod floor;
mod item;
mod rank;

pub use fair::{FairQueue, QueueError, Result};
pub use item::{Dequeued, QueueRules, QueuedRequest, WaitingTokens, WorkAhead};
