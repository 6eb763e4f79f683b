//! Tests of the library, one module a feature.

mod document;
// The linter allows this in test functions by itself, but not in the functions that they share.
#![allow(clippy::unwrap_used)]

mod ini;
mod store_contract;
mod policy_queue;
mod membership;
