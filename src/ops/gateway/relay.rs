//! Replicates the store's contents from another node of the availability zone instead of the store, by
//! long polling.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use super::snapshot;
use super::state::GatewayState;
use crate::core::gateway::members::NodeName;
use crate::core::time::Moment;
use crate::sources::http::HttpClient;
use crate::util::time::as_millis_u64;

/// Long-poll timeout: time after which the other node responds without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest interval between two fetches, so that changes in quick succession are fetched together.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two fetches for each node of the zone, as one watching node serves all others.
const FETCH_INTERVAL_PER_NODE: Duration = Duration::from_millis(6);
/// Part of the drain time of a back end for which the view may stay unconfirmed before a follower asks the
/// store itself. The store may refuse all watching nodes, and its changes must reach the others
/// nevertheless. The rest of the drain time is for the answer of the store.
const MAX_VIEW_AGE_DRAIN_SHARE: f64 = 0.6;
/// Part of the drain time of a back end for which a follower waits for the view of a watching node before it lists
/// the store.
const MAX_COPY_DRAIN_SHARE: f64 = 0.2;
/// Time that is left for the response of the other node after its wait for changes.
const RESPONSE_TIME: Duration = Duration::from_millis(300);
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

/// Returns for how long the view may stay unconfirmed while this node follows another one. Departures and
/// configurations must reach each node in time, whichever link on the way to the store fails, so all waits
/// of a follower together are bounded, and not each one by itself.
pub fn max_view_age(drain: Duration) -> Duration {
    drain.mul_f64(MAX_VIEW_AGE_DRAIN_SHARE)
}

/// How long a fetch from the node that is followed may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchTime {
    /// Time for which the other node may wait for changes.
    pub wait: Duration,
    /// Timeout of the fetch.
    pub timeout: Duration,
}

impl FetchTime {
    /// Divides the time `left` until the view is too old. Returns `None` if none is left.
    pub fn within(left: Duration) -> Option<Self> {
        let wait = LONG_POLL_TIMEOUT.min(left.saturating_sub(RESPONSE_TIME));
        let timeout = left.min(wait + snapshot::FETCH_TIMEOUT);
        (!left.is_zero()).then_some(Self { wait, timeout })
    }
}

/// Follows another node as long as this node has the role of a follower, each fetch succeeds and the view
/// is confirmed often enough. After a failure the caller asks the store: trying a second node that does not
/// respond would take longer than changes may take to arrive.
pub async fn follow_while_possible(state: &GatewayState, client: &HttpClient) {
    let max_view_age = max_view_age(state.settings.bounds.drain);
    loop {
        let watchers = watchers(state);
        let own = &state.settings.name;
        if watchers.is_empty() || watchers.iter().any(|(name, _)| name == own) {
            return;
        }
        let at = rand::random_range(0..watchers.len());
        let control = watchers[at].1;
        let Some(time) = FetchTime::within(time_left(state, max_view_age)) else {
            let view_age_ms = state.view_age().map(as_millis_u64);
            tracing::info!(peer = %control, view_age_ms, "the node followed does not reach the store");
            return;
        };
        let fetched = tokio::select! {
            fetched = snapshot::fetch(state, client, control, time) => fetched,
            () = state.is_behind.notified() => {
                tracing::info!(peer = %control, "the node followed is behind the store");
                return;
            }
        };
        match fetched {
            Ok(reply) => snapshot::apply(state, reply, control),
            Err(e) => {
                tracing::info!(peer = %control, error = %e, "the node followed does not answer");
                return;
            }
        }
        let pause = fetch_interval(state).min(time_left(state, max_view_age));
        tokio::time::sleep(pause).await;
    }
}

/// Brings the view of a node that does not watch the store itself up to date from nodes of its zone that do.
/// Returns whether it contains later changes than before.
pub async fn copy_from_watchers(state: &GatewayState, client: &HttpClient) -> bool {
    let before = state.view.lock().revision;
    let deadline = state.now() + state.settings.bounds.drain.mul_f64(MAX_COPY_DRAIN_SHARE);
    loop {
        let watchers = watchers(state);
        let is_watcher = |(name, _): &(NodeName, _)| **name == *state.settings.name;
        let left = deadline.saturating_sub(state.now());
        if watchers.is_empty() || watchers.iter().any(is_watcher) || left.is_zero() {
            return false;
        }
        let control = watchers[rand::random_range(0..watchers.len())].1;
        let time = FetchTime {
            wait: Duration::ZERO,
            timeout: snapshot::FETCH_TIMEOUT.min(left),
        };
        match snapshot::fetch(state, client, control, time).await {
            Ok(reply) => snapshot::apply(state, reply, control),
            Err(e) => tracing::debug!(peer = %control, error = %e, "failed to fetch a snapshot"),
        }
        if state.view.lock().revision > before {
            return true;
        }
        tokio::time::sleep(MIN_FETCH_INTERVAL.min(left)).await;
    }
}

/// Returns the time until the view is too old to follow another node.
fn time_left(state: &GatewayState, max_view_age: Duration) -> Duration {
    let left = state.view_age().map(|age| max_view_age.saturating_sub(age));
    left.unwrap_or_default()
}
