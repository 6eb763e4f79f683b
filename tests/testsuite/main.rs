//! Tests of the library, one module a feature.

// The linter allows this in test functions by itself, but not in the functions that they share.
#![allow(clippy::unwrap_used)]

mod ini;
mod ledger_search;
mod store_contract;
