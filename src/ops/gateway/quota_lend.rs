//! Lends this node's parts of customers' quotas, by datagrams to the holders.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::mesh_wire::DatagramWire;
use super::quota_wire::LendWire;
use super::state::GatewayState;
use crate::core::gateway::members::Member;
use crate::core::gateway::quota::FleetNode;
use crate::core::time::Moment;

/// Interval between two checks of which leases are to be renewed.
const INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two checks while a process that has just started lends nothing yet, or a message is due at once.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two checks, so that acknowledgements in quick succession are handled together.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a message of a node, also through the sums of its zone, after which it is not chosen as a holder.
const NODE_TIMEOUT: Moment = Moment::from_secs(4);

/// Lends this node's parts of the limits until the task is dropped.
pub async fn run(state: Arc<GatewayState>) {
    loop {
        renew(&state);
        let is_urgent = state.quotas.node.lock().lender.is_urgent(state.now());
        let interval = match is_urgent {
            true => URGENT_INTERVAL,
            false => INTERVAL,
        };
        let next = Instant::now() + interval;
        tokio::time::sleep(MIN_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep_until(next) => {}
            () = state.quotas.renewal.notified() => {}
        }
    }
}

/// Renews the leases of this node's parts, once the nodes that may hold leases of its earlier process are known.
fn renew(state: &GatewayState) {
    if state.view_age().is_none() {
        return;
    }
    let now = state.now();
    let settings = &state.settings;
    let members = state.members.lock();
    let is_heard = |member: &Member| {
        *member.name == *settings.name || !members.is_silent(&member.name, now, NODE_TIMEOUT)
    };
    let fleet: Vec<FleetNode<'_>> = members
        .iter()
        .map(|member| FleetNode {
            name: &member.name,
            region: &member.region,
            is_able: member.is_ready && is_heard(member),
        })
        .collect();
    let mut node = state.quotas.node.lock();
    let lends = node.renew(&fleet, members.count(), &settings.region, now);
    drop(node);
    for (holder, lend) in lends {
        if let Some(member) = members.get(&holder) {
            let datagram = DatagramWire {
                lend: Some(LendWire::from(lend)),
                ..DatagramWire::default()
            };
            state.quotas.send(&datagram, member.peers);
        }
    }
}
