//! Follows another node of the availability zone instead of the store.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use smallvec::SmallVec;

use super::board::Board;
use super::snapshot;
use crate::core::gateway::members::NodeName;
use crate::core::time::Moment;

/// Time for which a node holds an answer without changes.
const WAIT: Duration = Duration::from_millis(600);
/// Shortest time between two fetches: changes that come together are told together.
const GAP: Duration = Duration::from_millis(100);
/// The same for each node of the zone: one watcher answers them all.
const GAP_PER_NODE: Duration = Duration::from_millis(6);
/// Age of the store's last word to the other node from which on it is not followed. The store may turn away all
/// nodes that watch it, and changes must be in force on the others all the same.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1600);
/// Silence of a node after which it counts as one that does not follow the store.
const SILENCE: Moment = Moment::from_millis(2000);

/// Returns whether this node follows others while they are well.
pub fn is_follower(board: &Board) -> bool {
    !watchers(board)
        .iter()
        .any(|(name, _)| **name == *board.settings.name)
}

/// Returns the nodes of the zone that follow the store, with their control addresses: of those that can carry
/// most, not the first one, which passes on what other zones know. Where one of the two is lost, the zone
/// hears of changes by the other.
fn watchers(board: &Board) -> SmallVec<[(NodeName, SocketAddr); 2]> {
    let settings = &board.settings;
    let now = board.now();
    let members = board.members.lock();
    // Without another zone, nobody but a second watcher tells that the first one is lost.
    let has_other_zones = members.zones().len() > 1;
    let largest_in_zone = members.largest_in_zone(&settings.zone, &settings.name, 2, now, SILENCE);
    let skipped = usize::from(has_other_zones && largest_in_zone.len() > 1);
    let watchers = largest_in_zone.into_iter().skip(skipped);
    watchers
        .map(|member| (member.name.clone(), member.control))
        .collect()
}

/// Returns the time between two fetches.
fn gap(board: &Board) -> Duration {
    let members = board.members.lock();
    let in_zone = members.iter().filter(|m| m.zone == board.settings.zone);
    GAP.max(GAP_PER_NODE * in_zone.count() as u32)
}

/// Follows another node for as long as that is this node's part and goes well. Afterwards the store is
/// to be asked: a second try with a node that does not answer would take longer than changes may.
pub async fn follow_while_possible(board: &Board, client: &Client) {
    loop {
        let watchers = watchers(board);
        let own = &board.settings.name;
        if watchers.is_empty() || watchers.iter().any(|(name, _)| name == own) {
            return;
        }
        let at = rand::random_range(0..watchers.len());
        let control = watchers[at].1;
        match snapshot::fetch(board, client, control, WAIT).await {
            Ok(told) if told.contact_age_ms <= MAX_CONTACT_AGE.as_millis() as u64 => {
                let age = Duration::from_millis(told.contact_age_ms);
                snapshot::take(board, told, control);
                board.view.lock().contact = Some(board.now().saturating_sub(age));
                tokio::time::sleep(gap(board)).await;
            }
            Ok(told) => {
                tracing::info!(peer = %control, contact_age_ms = told.contact_age_ms, "the node followed does not reach the store");
                return;
            }
            Err(e) => {
                tracing::info!(peer = %control, error = %e, "the node followed does not answer");
                return;
            }
        }
    }
}
