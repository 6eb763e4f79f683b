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
const MAX_PEERS_QUERIED: usize = 3;
/// Mean delay before the second round; doubles with each further round.
const INITIAL_ROUND_DELAY: Duration = Duration::from_millis(500);
/// Maximum mean delay between rounds.
const MAX_ROUND_DELAY: Duration = Duration::from_secs(8);
/// First round in which a single peer's reply suffices while the store is down; rounds count from 1.
const FIRST_SINGLE_REPLY_ROUND: u32 = 4;

/// Results of one round of queries.
struct Round {
    store: StoreAnswer,
    queried: usize,
    replied: usize,
}

/// Queries the store and several peers until the node has a revision that is recent enough to serve
/// with.
pub(super) async fn bootstrap(shared: &Shared, replica: &Replica) {
    let mut delay = INITIAL_ROUND_DELAY;
    let mut revision = replica.watch_revision();
    for number in 1_u32.. {
        let round = run_round(shared, replica).await;
        if replica.has_revision_in_force() && has_enough_replies(&round, number) {
            return;
        }
        // A revision learned through gossip ends the delay early.
        revision.mark_unchanged();
        let _ = timeout(shared.jitter.around(delay), revision.changed()).await;
        delay = (delay * 2).min(MAX_ROUND_DELAY);
    }
}

async fn run_round(shared: &Shared, replica: &Replica) -> Round {
    let peers = choose_peers(shared);
    let (first, others) = peers.split_at(peers.len().min(1));
    let (store, replied) = join(
        read_store(shared, replica),
        query_peers(shared, replica, first),
    )
    .await;
    // Having the first peer's revision as base, the others need to send only changes.
    let replied = replied + query_peers(shared, replica, others).await;
    Round {
        store,
        queried: peers.len(),
        replied,
    }
}

/// Returns whether the replies suffice: that of the store, or those of at least half of the queried
/// peers. From round [`FIRST_SINGLE_REPLY_ROUND`] on, one peer's reply suffices.
fn has_enough_replies(round: &Round, number: u32) -> bool {
    match round.store {
        StoreAnswer::Read => true,
        StoreAnswer::Failed if number >= FIRST_SINGLE_REPLY_ROUND => round.replied > 0,
        StoreAnswer::Failed => round.replied > 0 && round.replied * 2 >= round.queried,
    }
}

/// Queries peers concurrently. Returns the number of replies.
async fn query_peers(shared: &Shared, replica: &Replica, peers: &[Address]) -> usize {
    let fetches = peers.iter().map(|address| fetch(shared, replica, *address));
    let outcomes = join_all(fetches).await.into_iter();
    outcomes
        .filter(|outcome| matches!(outcome, Outcome::Installed | Outcome::NotNewer))
        .count()
}

/// Chooses peers at random. Prefers those in this node's region, since traffic between regions is billed
/// by volume.
fn choose_peers(shared: &Shared) -> Vec<Address> {
    let members = shared.blackboard.members.read();
    let identity = &shared.blackboard.identity;
    let (mut same_region, mut other_regions): (Vec<_>, Vec<_>) = members
        .members
        .iter()
        .filter(|member| member.node != identity.node)
        .partition(|member| member.region == identity.region);
    let mut chosen = Vec::new();
    for others in [&mut same_region, &mut other_regions] {
        while chosen.len() < MAX_PEERS_QUERIED && !others.is_empty() {
            let index = shared.jitter.index(others.len());
            chosen.push(others.swap_remove(index).peer_address);
        }
    }
    chosen
}
