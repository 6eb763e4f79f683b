//! Faults of links: to callers, the store, the cloud and back ends, and between nodes.

use std::net::IpAddr;
use std::time::Duration;

use eyre::Result;
use jayhall_harness::{DatagramLinkState, Link, LinkState};

use crate::history::{DisturbanceGuard, Target};
use crate::world::World;

/// Time for which a link in the state `Reset` resets connections.
const RESET_DURATION: Duration = Duration::from_millis(60);

pub(super) async fn inject_link_fault(
    world: &World,
    link: &Link,
    target: Target,
    state: LinkState,
    time: Duration,
) -> Result<()> {
    let _disturbance = world.history.begin_disturbance(target);
    link.set(state);
    let time = match state {
        LinkState::Reset => RESET_DURATION,
        _ => time,
    };
    tokio::time::sleep(time).await;
    link.set(LinkState::Open);
    Ok(())
}

/// Delays all links between nodes.
pub(super) async fn delay_peers(world: &World, delay: Duration, time: Duration) {
    let _disturbances = disturb_all_nodes(world);
    for node in &world.nodes {
        node.control_link.set(LinkState::Delayed(delay));
        node.datagram_link.set(DatagramLinkState {
            delay,
            ..DatagramLinkState::default()
        });
    }
    tokio::time::sleep(time).await;
    open_peer_links(world);
}

/// Cuts the nodes in two parts, of which the first has the nodes below `first_part`. Datagrams do not pass from one
/// to the other, and no connection to a control listener passes anything, as the sender of a connection is not known.
pub(super) async fn split_peers(world: &World, first_part: usize, time: Duration) {
    let _disturbances = disturb_all_nodes(world);
    for node in &world.nodes {
        node.control_link.set(LinkState::Silent);
        let others = world.nodes.iter();
        let others = others.filter(|o| (o.number < first_part) != (node.number < first_part));
        let blocked: Box<[IpAddr]> = others.map(|other| other.callers.ip()).collect();
        node.datagram_link.set(DatagramLinkState {
            blocked,
            ..DatagramLinkState::default()
        });
    }
    tokio::time::sleep(time).await;
    open_peer_links(world);
}

fn open_peer_links(world: &World) {
    for node in &world.nodes {
        node.control_link.set(LinkState::Open);
        node.datagram_link.set(DatagramLinkState::default());
    }
}

fn disturb_all_nodes(world: &World) -> Vec<DisturbanceGuard> {
    let nodes = world.nodes.iter();
    nodes
        .map(|node| world.history.begin_disturbance(Target::Node(node.number)))
        .collect()
}
