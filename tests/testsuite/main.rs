//! Tests of the library, one module a feature.

// The linter allows this in test functions by itself, but not in the functions that they share.
#![allow(clippy::unwrap_used)]

mod document;
// The linter allows this in test functions by itself, but not in the functions that they share.

mod cells;
mod fleet_plan;
mod ini;
mod keep_fleet;
mod membership;
mod policy_admission;
mod policy_queue;
mod promise_config;
mod promise_fencing;
mod sources_platform;
mod store_contract;
