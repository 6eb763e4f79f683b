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
const FAILURES_BEFORE_STORE_READ: u32 = 3;
/// Maximum jitter before a read of the store; in most cases a peer has replied by then.
const STORE_READ_JITTER: Duration = Duration::from_secs(4);
/// Minimum interval between two such reads of the store.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Next step of [`follow_gossip`].
enum Step {
    Wait,
    Fetch(Address),
    ReadStore,
}

/// Fetches announced revisions of one document.
pub(super) async fn follow_gossip(shared: Arc<Shared>, replica: Arc<Replica>) {
    let mut failures = 0;
    let mut last_store_read: Option<Instant> = None;
    loop {
        match next_step(&replica, failures, last_store_read) {
            Step::Wait => replica.holders.added().await,
            Step::Fetch(address) => {
                sleep(shared.jitter.up_to(FETCH_JITTER)).await;
                match fetch(&shared, &replica, address).await {
                    Outcome::Installed | Outcome::NotNewer => failures = 0,
                    Outcome::Failed | Outcome::Invalid => failures += 1,
                }
            }
            Step::ReadStore => {
                failures = 0;
                sleep(shared.jitter.up_to(STORE_READ_JITTER)).await;
                if replica.holders.highest_announced() > replica.revision() {
                    last_store_read = Some(Instant::now());
                    read_store(&shared, &replica).await;
                }
            }
        }
    }
}

fn next_step(replica: &Replica, failures: u32, last_store_read: Option<Instant>) -> Step {
    let revision = replica.revision();
    if replica.holders.highest_announced() <= revision {
        return Step::Wait;
    }
    let may_read_store = last_store_read.is_none_or(|at| at.elapsed() >= STORE_READ_INTERVAL);
    if failures >= FAILURES_BEFORE_STORE_READ && may_read_store {
        return Step::ReadStore;
    }
    match replica.holders.best_holder(revision) {
        Some(holder) => Step::Fetch(holder.address),
        None => Step::Wait,
    }
}

/// Outcome of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The peer sent a later revision, which was installed.
    Installed,
    /// The peer replied but has no later revision.
    NotNewer,
    /// The peer did not reply, or sent no document.
    Failed,
    /// The peer's reply is invalid or does not apply to this node's text.
    Invalid,
}

/// Fetches the document from a peer; as a delta if the peer has this node's revision.
pub(super) async fn fetch(shared: &Shared, replica: &Replica, address: Address) -> Outcome {
    let base = replica.latest();
    let outcome = match fetch_from(shared, replica, address, base.as_deref()).await {
        // The delta did not apply; fetches the full text instead.
        Outcome::Invalid if base.is_some() => fetch_from(shared, replica, address, None).await,
        outcome => outcome,
    };
    if outcome != Outcome::Installed {
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
            Outcome::Installed
        }
        Err(e) => {
            tracing::warn!(document = replica.name(), %address, %e, "invalid document from a peer");
            Outcome::Invalid
        }
    }
}
