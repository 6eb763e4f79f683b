//! Tests of the gateway: its decisions, the platform adapter, and calls through running gateways.

mod call_limits;
mod crashing_fleet;
mod crashing_prompts;
mod crashing_requests;
mod decisions;
mod departed_backends;
mod duties;
mod fixture;
mod placement;
mod platform_store;
mod platform_wire;
mod quarantine;
mod quota;
mod raw_answers;
mod restored_store;
mod scaling;
mod serving;
mod settings_template;
mod snapshots;
mod software_history;
mod software_versions;
mod starting_nodes;
mod streams;
mod unresponsive_store;
mod watched_store;
mod zone_sums;
