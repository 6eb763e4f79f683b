//! Pure decisions.
//!
//! Nothing here does I/O, reads a clock or draws a random number that was not passed in. Every
//! decision is a function of (state, event, time), so that a test can replay it exactly and so that
//! the cost of a decision can be measured on its own.

pub mod admission;
pub mod answer;
pub mod cells;
pub mod dispatch;
pub mod document;
pub mod estimate;
pub mod explain;
pub mod fleet;
pub mod gateway;
pub mod id;
pub mod ledger;
pub mod membership;
pub mod queue;
pub mod request;
pub mod retry;
pub mod routing;
pub mod service_call;
pub mod time;
pub mod verdict;
