//! Pure decisions.
//!
//! Nothing here does I/O, reads a clock or draws a random number that was not passed in. Every
//! decision is a function of (state, event, time), so that a test can replay it exactly and so that
//! the cost of a decision can be measured on its own.

pub mod cells;
pub mod document;
pub mod fleet;
pub mod id;
pub mod ledger;
pub mod membership;
pub mod time;
pub mod verdict;
