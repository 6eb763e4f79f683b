//! Starts a small fleet of real processes on loopback, for the demo, measurements and tests.
//!
//! Everything that a harness starts ends with it. Stand-ins and nodes are processes of their own, so
//! that they can be killed, frozen and cut off one by one.

mod caller;
mod fleet;
mod gossip_node;
mod layout;
pub mod net;
mod process;

pub use caller::{Answer, Ask, Caller, ServiceAnswer};
pub use fleet::{Fleet, FleetOptions, NodeHandle};
pub use gossip_node::GossipNode;
pub use layout::{Backend, Layout, Zone, association, small};
pub use process::{Process, bin_dir};
