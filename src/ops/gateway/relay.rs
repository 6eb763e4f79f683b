//! Replicates the store's contents from another node of the availability zone instead of the store, by
//! long polling.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use smallvec::SmallVec;

use super::snapshot;
use super::state::GatewayState;
use crate::core::gateway::members::NodeName;
use crate::core::time::Moment;

/// Long-poll timeout: time after which the other node responds without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest interval between two fetches, so that changes in quick succession are fetched together.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two fetches for each node of the zone, as one watching node serves all others.
const FETCH_INTERVAL_PER_NODE: Duration = Duration::from_millis(6);
/// Age of the other node's last contact with the store above which it is not followed. The store may
/// refuse all watching nodes, and its changes must reach the others nevertheless.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1600);
/// Time without a message of a node after which it is not expected to watch the store.
const NODE_TIMEOUT: Moment = Moment::from_millis(2000);

/// Returns whether this node is to follow another node rather than watch the store.
pub fn is_follower(state: &GatewayState) -> bool {
    !watchers(state)
        .iter()
        .any(|(name, _)| **name == *state.settings.name)
}

/// Returns the nodes of the zone that watch the store, with their control addresses: the two with the
/// most capacity, but where there are other zones not the first one, as it learns about changes from
/// those. If either of the two is lost, the zone learns about changes through the other.
fn watchers(state: &GatewayState) -> SmallVec<[(NodeName, SocketAddr); 2]> {
    let settings = &state.settings;
    let now = state.now();
    let members = state.members.lock();
    // If there is no other zone, only a second watching node reveals that the first one is lost.
    let has_other_zones = members.zones().len() > 1;
    let largest_in_zone =
        members.largest_in_zone(&settings.zone, &settings.name, 2, now, NODE_TIMEOUT);
    let skipped = usize::from(has_other_zones && largest_in_zone.len() > 1);
    let watchers = largest_in_zone.into_iter().skip(skipped);
    watchers
        .map(|member| (member.name.clone(), member.control))
        .collect()
}

/// Returns the interval between two fetches.
fn fetch_interval(state: &GatewayState) -> Duration {
    let members = state.members.lock();
    let in_zone = members.iter().filter(|m| m.zone == state.settings.zone);
    MIN_FETCH_INTERVAL.max(FETCH_INTERVAL_PER_NODE * in_zone.count() as u32)
}

/// Follows another node as long as this node has the role of a follower and each fetch succeeds. After
/// a failure the caller asks the store: trying a second node that does not respond would take longer
/// than changes may take to arrive.
pub async fn follow_while_possible(state: &GatewayState, client: &Client) {
    loop {
        let watchers = watchers(state);
        let own = &state.settings.name;
        if watchers.is_empty() || watchers.iter().any(|(name, _)| name == own) {
            return;
        }
        let at = rand::random_range(0..watchers.len());
        let control = watchers[at].1;
        match snapshot::fetch(state, client, control, LONG_POLL_TIMEOUT).await {
            Ok(reply) if reply.contact_age_ms <= MAX_CONTACT_AGE.as_millis() as u64 => {
                snapshot::apply(state, reply, control);
                tokio::time::sleep(fetch_interval(state)).await;
            }
            Ok(reply) => {
                tracing::info!(peer = %control, contact_age_ms = reply.contact_age_ms, "the node followed does not reach the store");
                return;
            }
            Err(e) => {
                tracing::info!(peer = %control, error = %e, "the node followed does not answer");
                return;
            }
        }
    }
}
