//! Fetches revisions announced by gossip from peers.

use std::sync::Arc;
use std::time::Duration;

use jayhall_wire::FetchDocumentRequest;
use tokio::time::{Instant, sleep};

use super::Shared;
use super::replica::Replica;
use super::version::Version;
use super::watcher::read_store;
use crate::core::id::Address;

/// Maximum jitter between an announcement and the fetch.
const FETCH_JITTER: Duration = Duration::from_millis(200);
/// Consecutive failed fetches after which the store is read.
const FAILURES_BEFORE_STORE: u32 = 3;
/// Maximum jitter before a read of the store; in most cases a peer has replied by then.
const STORE_JITTER: Duration = Duration::from_secs(4);
/// Minimum interval between two such reads of the store.
const STORE_INTERVAL: Duration = Duration::from_secs(10);

/// Next step of [`follow_gossip`].
enum Step {
    Wait,
    Ask(Address),
    AskStore,
}

/// Fetches announced revisions of one document.
pub(super) async fn follow_gossip(shared: Arc<Shared>, replica: Arc<Replica>) {
    let mut failures = 0;
    let mut last_store_call: Option<Instant> = None;
    loop {
        match next_step(&replica, failures, last_store_call) {
            Step::Wait => replica.holders.news().await,
            Step::Ask(address) => {
                sleep(shared.jitter.up_to(FETCH_JITTER)).await;
                match fetch(&shared, &replica, address).await {
                    Outcome::Newer | Outcome::NotNewer => failures = 0,
                    Outcome::Failed | Outcome::Unusable => failures += 1,
                }
            }
            Step::AskStore => {
                failures = 0;
                sleep(shared.jitter.up_to(STORE_JITTER)).await;
                if replica.holders.wanted() > replica.revision() {
                    last_store_call = Some(Instant::now());
                    read_store(&shared, &replica).await;
                }
            }
        }
    }
}

fn next_step(replica: &Replica, failures: u32, last_store_call: Option<Instant>) -> Step {
    let revision = replica.revision();
    if replica.holders.wanted() <= revision {
        return Step::Wait;
    }
    let may_ask_store = last_store_call.is_none_or(|at| at.elapsed() >= STORE_INTERVAL);
    if failures >= FAILURES_BEFORE_STORE && may_ask_store {
        return Step::AskStore;
    }
    match replica.holders.best(revision) {
        Some(holder) => Step::Ask(holder.address),
        None => Step::Wait,
    }
}

/// Outcome of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The peer sent a later revision, which was installed.
    Newer,
    /// The peer replied but has no later revision.
    NotNewer,
    /// The peer did not reply, or sent no document.
    Failed,
    /// The peer's reply is invalid or does not apply to this node's text.
    Unusable,
}

/// Fetches the document from a peer; as a delta if the peer has this node's revision.
pub(super) async fn fetch(shared: &Shared, replica: &Replica, address: Address) -> Outcome {
    let base = replica.latest();
    let outcome = match fetch_from(shared, replica, address, base.as_deref()).await {
        // The delta did not apply; fetches the full text instead.
        Outcome::Unusable if base.is_some() => fetch_from(shared, replica, address, None).await,
        outcome => outcome,
    };
    if outcome != Outcome::Newer {
        replica.holders.remove(address);
    }
    outcome
}

async fn fetch_from(
    shared: &Shared,
    replica: &Replica,
    address: Address,
    base: Option<&Version>,
) -> Outcome {
    let req = FetchDocumentRequest {
        document: replica.name().to_owned(),
        base_revision: base.map_or(0, |version| version.revision),
    };
    let reply = match shared.peers.fetch(address, req).await {
        Ok(reply) if reply.revision > 0 => reply,
        Ok(_) | Err(_) => return Outcome::Failed,
    };
    if reply.revision <= replica.revision() {
        return Outcome::NotNewer;
    }
    match Version::from_reply(&reply, base) {
        Ok(version) => {
            replica.install(version);
            Outcome::Newer
        }
        Err(e) => {
            tracing::warn!(document = replica.name(), %address, %e, "invalid document from a peer");
            Outcome::Unusable
        }
    }
}
