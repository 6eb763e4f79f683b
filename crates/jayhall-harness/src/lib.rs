//! Starts a small fleet of real processes on loopback, for the demo, measurements and tests.
//!
//! Processes and tasks started by the harness are stopped when their handles are dropped. Stand-ins and
//! nodes are separate processes, so that each can be killed, suspended or partitioned individually.

mod caller;
mod datagram_link;
mod fleet;
mod gateway_settings;
mod gossip_node;
mod layout;
mod link;
pub mod net;
mod platform_store;
mod process;

pub use caller::{Answer, Ask, Caller, ServiceAnswer};
pub use datagram_link::{DatagramLink, DatagramLinkState};
pub use fleet::{Fleet, FleetOptions, NodeHandle};
pub use gateway_settings::GatewaySettingsText;
pub use gossip_node::GossipNode;
pub use layout::{Backend, Layout, Zone, association, small};
pub use link::{Link, LinkState};
pub use platform_store::{PlatformStoreStandin, StoreFault};
pub use process::{Process, bin_dir};
