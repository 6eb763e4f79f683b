//! Watches the store on a few nodes of each region.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::Shared;
use super::replica::Replica;
use super::version::Version;
use crate::core::cells;
use crate::ops::publish::{Archive, ArchiveError, Head};
use crate::sources::store::{KeyRange, StoreError, WatchEvent, WatchRequest, WatchStream};

/// Number of nodes per region that watch the store.
const WATCHERS_PER_REGION: usize = 2;
/// Mean interval between reads in addition to the watch, since a watch may drop events.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Mean delay before a watch is re-established; doubles while the store accepts none.
const INITIAL_WATCH_DELAY: Duration = Duration::from_secs(1);
/// Maximum mean delay before a watch is re-established.
const MAX_WATCH_DELAY: Duration = Duration::from_secs(6);
/// Timeout of store calls that the store client does not end itself.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreAnswer {
    /// The store was read, and its revision installed if later.
    Read,
    /// The store call failed, or the stored value is invalid.
    Failed,
}

/// Reason why a watch ended.
enum WatchEnd {
    /// This node is no longer one of the watchers.
    NotWatcher,
    /// The watch stream failed or was closed.
    Broken,
    /// The watch could not be established.
    NotEstablished,
}

/// Watches the store while this node is one of its region's watchers.
///
/// Waits for readiness first: a starting node sees few members yet and would wrongly select itself as a
/// watcher.
pub(super) async fn watch_store(
    shared: Arc<Shared>,
    replica: Arc<Replica>,
    mut ready: watch::Receiver<bool>,
) {
    if ready.wait_for(|is_ready| *is_ready).await.is_err() {
        return;
    }
    let mut members = shared.blackboard.members.watch();
    let mut delay = INITIAL_WATCH_DELAY;
    loop {
        if !is_watcher(&shared, &replica) {
            if members.changed().await.is_err() {
                return;
            }
            continue;
        }
        match watch_once(&shared, &replica).await {
            WatchEnd::NotWatcher => {}
            WatchEnd::Broken => {
                sleep(shared.jitter.around(INITIAL_WATCH_DELAY)).await;
                delay = INITIAL_WATCH_DELAY;
            }
            WatchEnd::NotEstablished => {
                sleep(shared.jitter.around(delay)).await;
                delay = (delay * 2).min(MAX_WATCH_DELAY);
            }
        }
    }
}

fn is_watcher(shared: &Shared, replica: &Replica) -> bool {
    let members = shared.blackboard.members.read();
    let identity = &shared.blackboard.identity;
    let names = members
        .accepting_work_in_region(&identity.region)
        .map(|member| &*member.node);
    let ranked = cells::ranked(&format!("{}-watch", replica.name()), names);
    // If no members are known, this node is alone.
    ranked.is_empty()
        || ranked
            .iter()
            .take(WATCHERS_PER_REGION)
            .any(|node| **node == *identity.node)
}

async fn watch_once(shared: &Shared, replica: &Replica) -> WatchEnd {
    let archive = shared.archive(replica);
    let req = WatchRequest {
        range: KeyRange::One(archive.keys().current()),
        from: None,
    };
    let Ok(Ok(events)) = timeout(STORE_TIMEOUT, shared.store.watch(req)).await else {
        // A read may succeed although the watch failed.
        read_store(shared, replica).await;
        return WatchEnd::NotEstablished;
    };
    follow_events(shared, replica, &archive, events).await
}

async fn follow_events(
    shared: &Shared,
    replica: &Replica,
    archive: &Archive,
    mut events: WatchStream,
) -> WatchEnd {
    let mut members = shared.blackboard.members.watch();
    loop {
        let next_poll = sleep(shared.jitter.around(POLL_INTERVAL));
        tokio::select! {
            event = events.next() => match event {
                Some(Ok(event)) => handle_event(replica, archive, event).await,
                Some(Err(e)) => {
                    report_broken(replica, &e);
                    return WatchEnd::Broken;
                }
                None => return WatchEnd::Broken,
            },
            () = next_poll => {
                read_store(shared, replica).await;
            }
            _ = members.changed() => {
                if !is_watcher(shared, replica) {
                    return WatchEnd::NotWatcher;
                }
            }
        }
    }
}

async fn handle_event(replica: &Replica, archive: &Archive, event: WatchEvent) {
    match event {
        WatchEvent::Started { .. } => drop(install_stored_head(replica, archive).await),
        WatchEvent::Put(entry) => {
            if let Ok(head) = Head::from_value(&entry.value) {
                // If this fails, the next periodic read installs the revision.
                drop(install_head(replica, archive, &head).await);
            }
        }
        WatchEvent::Deleted { .. } => {}
    }
}

/// Reads the stored revision and installs it if it is later than this node's.
pub(super) async fn read_store(shared: &Shared, replica: &Replica) -> StoreAnswer {
    let archive = shared.archive(replica);
    match timeout(STORE_TIMEOUT, install_stored_head(replica, &archive)).await {
        Ok(Ok(())) => StoreAnswer::Read,
        Ok(Err(e)) => {
            tracing::debug!(document = replica.name(), %e, "cannot read the document from the store");
            StoreAnswer::Failed
        }
        Err(_) => StoreAnswer::Failed,
    }
}

async fn install_stored_head(replica: &Replica, archive: &Archive) -> Result<(), ArchiveError> {
    match archive.head().await?.head {
        Some(head) => install_head(replica, archive, &head).await,
        None => Ok(()),
    }
}

async fn install_head(
    replica: &Replica,
    archive: &Archive,
    head: &Head,
) -> Result<(), ArchiveError> {
    if head.revision <= replica.revision() {
        return Ok(());
    }
    let version = match Version::from_head(head, replica.latest().as_deref()) {
        Some(version) => version,
        None => Version {
            revision: head.revision,
            text: archive.verified_text(head).await?,
            digest: head.digest,
        },
    };
    replica.install(version);
    Ok(())
}

fn report_broken(replica: &Replica, e: &StoreError) {
    let name = replica.name().to_owned();
    metrics::counter!("jayhall_document_watches_broken_total", "document" => name).increment(1);
    tracing::debug!(document = replica.name(), %e, "watch of the store failed");
}
