//! Finds the current revision of a document when a node starts.

use std::time::Duration;

use futures::future::{join, join_all};
use tokio::time::timeout;

use super::Shared;
use super::fetch::{Outcome, fetch};
use super::replica::Replica;
use super::watcher::{StoreAnswer, read_store};
use crate::core::id::Address;

/// Peers queried by a starting node; several, since some may have an older revision.
const PEERS_ASKED: usize = 3;
/// Mean delay before the second round; doubles with each further round.
const FIRST_ROUND_WAIT: Duration = Duration::from_millis(500);
/// Maximum mean delay between rounds.
const MAX_ROUND_WAIT: Duration = Duration::from_secs(8);
/// Number of rounds after which a single peer's reply suffices while the store is down.
const ROUNDS_FOR_SEVERAL: u32 = 4;

/// Results of one round of queries.
struct Round {
    store: StoreAnswer,
    asked: usize,
    answered: usize,
}

/// Queries the store and several peers until the node has a revision that is recent enough to serve
/// with.
pub(super) async fn bootstrap(shared: &Shared, replica: &Replica) {
    let mut wait = FIRST_ROUND_WAIT;
    let mut revision = replica.watch_revision();
    for count in 1_u32.. {
        let round = run_round(shared, replica).await;
        if replica.has_one_in_force() && is_enough(&round, count) {
            return;
        }
        // A revision learned through gossip ends the delay early.
        revision.mark_unchanged();
        let _ = timeout(shared.jitter.around(wait), revision.changed()).await;
        wait = (wait * 2).min(MAX_ROUND_WAIT);
    }
}

async fn run_round(shared: &Shared, replica: &Replica) -> Round {
    let peers = choose_peers(shared);
    let (first, others) = peers.split_at(peers.len().min(1));
    let (store, answered) = join(read_store(shared, replica), ask(shared, replica, first)).await;
    // Having the first peer's revision as base, the others need to send only changes.
    let answered = answered + ask(shared, replica, others).await;
    Round {
        store,
        asked: peers.len(),
        answered,
    }
}

/// Returns whether the replies suffice: that of the store, or those of at least half of the queried
/// peers. From [`ROUNDS_FOR_SEVERAL`] rounds on, one peer's reply suffices.
fn is_enough(round: &Round, count: u32) -> bool {
    match round.store {
        StoreAnswer::Read => true,
        StoreAnswer::Failed if count >= ROUNDS_FOR_SEVERAL => round.answered > 0,
        StoreAnswer::Failed => round.answered > 0 && round.answered * 2 >= round.asked,
    }
}

/// Queries peers concurrently. Returns the number of replies.
async fn ask(shared: &Shared, replica: &Replica, peers: &[Address]) -> usize {
    let fetches = peers.iter().map(|address| fetch(shared, replica, *address));
    let outcomes = join_all(fetches).await.into_iter();
    outcomes
        .filter(|outcome| matches!(outcome, Outcome::Newer | Outcome::NotNewer))
        .count()
}

/// Chooses peers at random. Prefers those in this node's region, since traffic between regions is billed
/// by volume.
fn choose_peers(shared: &Shared) -> Vec<Address> {
    let members = shared.blackboard.members.read();
    let identity = &shared.blackboard.identity;
    let (mut near, mut far): (Vec<_>, Vec<_>) = members
        .members
        .iter()
        .filter(|member| member.node != identity.node)
        .partition(|member| member.region == identity.region);
    let mut chosen = Vec::new();
    for others in [&mut near, &mut far] {
        while chosen.len() < PEERS_ASKED && !others.is_empty() {
            let index = shared.jitter.index(others.len());
            chosen.push(others.swap_remove(index).peer_address);
        }
    }
    chosen
}
