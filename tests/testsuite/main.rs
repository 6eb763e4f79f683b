//! Tests of the library, one module per feature.

// Clippy's `allow-unwrap-in-tests` covers test functions, but not the helpers that they share.
#![allow(clippy::unwrap_used)]

mod cells;
mod command_line;
mod configuration_page;
mod console;
mod document;
mod engine_client;
mod fleet_plan;
mod gateway;
mod ini;
mod keep_fleet;
mod ledger_load;
mod ledger_search;
mod membership;
mod operators;
mod policy_admission;
mod policy_estimate;
mod policy_health;
mod policy_queue;
mod policy_queue_naive;
mod policy_retry;
mod policy_routing;
mod policy_service;
mod promise_at_most_once;
mod promise_config;
mod promise_fencing;
mod promise_not_run;
mod promise_service_faults;
mod service_backends;
mod service_http;
mod service_loopback;
mod service_nodes;
mod sources_platform;
mod store_contract;
