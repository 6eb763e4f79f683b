//! The gateway: its decisions, the adapter of the platform, and calls through a running gateway.

mod decisions;
mod duties;
mod platform_store;
mod platform_wire;
mod played_load;
mod quota;
mod rig;
mod scaling;
mod serving;
mod silent_store;
mod snapshots;
mod streams;
mod template;
mod zone_sums;
