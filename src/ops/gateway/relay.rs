//! Follows another node of the availability zone instead of the store.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;

use super::board::Board;
use super::snapshot;
use crate::core::time::Moment;

/// Nodes of an availability zone that follow the store themselves.
const WATCHERS_PER_ZONE: usize = 2;
/// Time for which a node holds an answer without changes.
const WAIT: Duration = Duration::from_millis(1500);
/// Time between two fetches: changes that come together are told together.
const GAP: Duration = Duration::from_millis(100);
/// Age of the store's last word to the other node from which on it is not followed.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(3600);
/// Silence of a node after which it counts as one that does not follow the store.
const SILENCE: Moment = Moment::from_millis(2500);

/// Returns whether this node follows others while they are well.
pub fn is_follower(board: &Board) -> bool {
    !watchers(board)
        .iter()
        .any(|(name, _)| **name == *board.settings.name)
}

/// Returns the nodes of the zone that follow the store, with their control addresses: the first ones by
/// name that are ready and heard of.
fn watchers(board: &Board) -> Vec<(Box<str>, SocketAddr)> {
    let settings = &board.settings;
    let now = board.now();
    let members = board.members.lock();
    let mut in_zone: Vec<_> = members
        .iter()
        .filter(|member| member.zone == settings.zone)
        .filter(|member| {
            member.name == settings.name
                || (member.is_ready && members.is_fresh(&member.name, now, SILENCE))
        })
        .map(|member| (member.name.clone(), member.control))
        .collect();
    in_zone.sort_unstable();
    in_zone.truncate(WATCHERS_PER_ZONE);
    in_zone
}

/// Follows another node for as long as that is this node's part and goes well. Afterwards the store is
/// to be asked.
pub async fn follow_while_possible(board: &Board, client: &Client) {
    let mut failures = 0;
    while failures < WATCHERS_PER_ZONE {
        let watchers = watchers(board);
        let own = &board.settings.name;
        if watchers.is_empty() || watchers.iter().any(|(name, _)| name == own) {
            return;
        }
        let at = rand::random_range(0..watchers.len());
        let control = watchers[at].1;
        match snapshot::fetch(board, client, control, WAIT).await {
            Ok(told) if told.contact_age_ms <= MAX_CONTACT_AGE.as_millis() as u64 => {
                failures = 0;
                let age = Duration::from_millis(told.contact_age_ms);
                snapshot::take(board, told, control);
                board.view.lock().contact = Some(board.now().saturating_sub(age));
                tokio::time::sleep(GAP).await;
            }
            Ok(told) => {
                failures += 1;
                tracing::info!(peer = %control, contact_age_ms = told.contact_age_ms, "the node followed does not reach the store");
            }
            Err(e) => {
                failures += 1;
                tracing::info!(peer = %control, error = %e, "the node followed does not answer");
            }
        }
    }
}
