//! Decision logic without side effects.
//!
//! Code in this module performs no I/O and takes the time and the random generator as arguments.
//! Each decision is a function of (state, event, time), so tests can replay it exactly and
//! benchmarks can measure it in isolation.

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
