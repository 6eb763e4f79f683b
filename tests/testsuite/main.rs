//! Tests of the library, one module a feature.

#![allow(clippy::unwrap_used)]

mod document;
// The linter allows this in test functions by itself, but not in the functions that they share.

mod cells;
mod ini;
mod membership;
mod policy_admission;
mod policy_queue;
mod store_contract;
