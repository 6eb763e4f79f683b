//! Membership on injected time, and gossip between listeners on loopback.

mod net;
mod peers;
mod states;
mod stub;
