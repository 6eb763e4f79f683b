//! Membership in simulated time, and gossip between listeners on loopback.

mod against_full_mesh;
mod peers;
mod reports;
mod states;
mod wire;
