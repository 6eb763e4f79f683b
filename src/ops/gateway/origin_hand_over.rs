//! Hands over the origins of streams that a node keeps when it leaves.
//!
//! Otherwise planned stops in turn would empty the memory of all nodes within seconds, while callers still resume their
//! streams. The node sends each origin to the nodes that keep it from now on. If there are too few of them, it goes on
//! with those that start while it leaves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::mesh::{MAX_ORIGINS_PER_DATAGRAM, Mesh};
use super::origin_keepers::{KEEPERS, NODE_TIMEOUT, keepers};
use super::state::{GatewayState, Phase};
use crate::core::gateway::stream_origins::StreamOrigin;
use crate::core::gateway::usage::Incarnation;

/// Interval between two looks for nodes to send origins to.
const INTERVAL: Duration = Duration::from_millis(250);
/// Number of times that a node is sent the origins, as datagrams may be lost.
const SENDS_PER_NODE: u32 = 2;

/// Number of times that origins were sent to each process of another node.
type Sends = HashMap<Incarnation, u32>;

/// Waits until this node leaves, and hands the origins over that it keeps.
pub async fn run(state: Arc<GatewayState>, mesh: Arc<Mesh>) {
    let mut phase = state.phase.subscribe();
    // The sender is a part of the state, which this task shares.
    let _ = phase.wait_for(|phase| *phase == Phase::Leaving).await;
    let mut sends = Sends::new();
    while !is_complete(&sends) {
        let receivers = due_receivers(&state, &mut sends);
        if !receivers.is_empty() {
            send(&state, &mesh, &receivers).await;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Returns whether as many nodes as keep an origin have been sent those for which they are chosen.
fn is_complete(sends: &Sends) -> bool {
    let served = sends.values().filter(|count| **count >= SENDS_PER_NODE);
    served.count() >= KEEPERS
}

/// Returns the addresses of the nodes that are to be sent origins now, by process, and counts the sends.
fn due_receivers(state: &GatewayState, sends: &mut Sends) -> HashMap<Incarnation, SocketAddr> {
    let own = &state.settings.name;
    let now = state.now();
    let members = state.members.lock();
    let others = members.iter().filter(|member| member.name != *own);
    let able = others.filter(|member| members.is_able(member, own, now, NODE_TIMEOUT));
    let mut due = HashMap::new();
    for member in able {
        let count = sends.entry(member.incarnation).or_default();
        if *count < SENDS_PER_NODE {
            *count += 1;
            due.insert(member.incarnation, member.peers);
        }
    }
    due
}

/// Sends the origins that this node keeps to those of the receivers that keep them from now on.
async fn send(state: &GatewayState, mesh: &Mesh, receivers: &HashMap<Incarnation, SocketAddr>) {
    let origins: Vec<StreamOrigin> = state.origins.lock().kept().copied().collect();
    tracing::info!(
        origins = origins.len(),
        nodes = receivers.len(),
        "origins of streams handed over"
    );
    for origins in origins.chunks(MAX_ORIGINS_PER_DATAGRAM) {
        let with_keepers = origins.iter().map(|origin| {
            let keepers = next_keepers(state, origin).into_iter();
            let keepers = keepers.filter_map(|keeper| receivers.get(&keeper).copied());
            (*origin, keepers.collect())
        });
        let with_keepers: Vec<_> = with_keepers.collect();
        mesh.send_origins(&with_keepers).await;
        // The other tasks of this node go on meanwhile.
        tokio::task::yield_now().await;
    }
}

/// Returns the processes that keep an origin once this node has left.
fn next_keepers(state: &GatewayState, origin: &StreamOrigin) -> Vec<Incarnation> {
    // This node itself may be one of them.
    let mut others = keepers(state, origin.stream, KEEPERS + 1, |member| {
        member.incarnation
    });
    others.truncate(KEEPERS);
    others
}
