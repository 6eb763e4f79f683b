//! Follows the store on the few nodes of a region that do so.

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

/// Nodes of a region that watch the store.
const WATCHERS_PER_REGION: usize = 2;
/// Mean time between two reads beside the watch, which may drop events.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Mean wait before a watch that ended is made again; it doubles while the store takes none.
const FIRST_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest mean wait before a watch is made again.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(6);
/// Longest wait for the store where it does not end a call itself.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether the store gave its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreAnswer {
    /// The store was read, and what it has is installed.
    Read,
    /// The store gave no usable answer.
    Failed,
}

/// Why a watch ended.
enum WatchEnd {
    /// Another node does it now.
    NotOurs,
    /// The store ended it.
    Broken,
    /// The store did not take it.
    NotTaken,
}

/// Watches the store while this node is one of those that do.
///
/// A node that starts does not: it sees few members yet and would take itself for one of them.
pub(super) async fn follow_store(
    shared: Arc<Shared>,
    replica: Arc<Replica>,
    mut ready: watch::Receiver<bool>,
) {
    if ready.wait_for(|is_ready| *is_ready).await.is_err() {
        return;
    }
    let mut members = shared.blackboard.members.watch();
    let mut wait = FIRST_WATCH_WAIT;
    loop {
        if !is_watcher(&shared, &replica) {
            if members.changed().await.is_err() {
                return;
            }
            continue;
        }
        match watch_once(&shared, &replica).await {
            WatchEnd::NotOurs => {}
            WatchEnd::Broken => {
                sleep(shared.jitter.around(FIRST_WATCH_WAIT)).await;
                wait = FIRST_WATCH_WAIT;
            }
            WatchEnd::NotTaken => {
                sleep(shared.jitter.around(wait)).await;
                wait = (wait * 2).min(MAX_WATCH_WAIT);
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
    // A node that sees no members yet is on its own.
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
        // The watch failed, yet a read may go through.
        read_store(shared, replica).await;
        return WatchEnd::NotTaken;
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
        let next_read = sleep(shared.jitter.around(READ_INTERVAL));
        tokio::select! {
            event = events.next() => match event {
                Some(Ok(event)) => on_event(replica, archive, event).await,
                Some(Err(e)) => {
                    report_broken(replica, &e);
                    return WatchEnd::Broken;
                }
                None => return WatchEnd::Broken,
            },
            () = next_read => {
                read_store(shared, replica).await;
            }
            _ = members.changed() => {
                if !is_watcher(shared, replica) {
                    return WatchEnd::NotOurs;
                }
            }
        }
    }
}

async fn on_event(replica: &Replica, archive: &Archive, event: WatchEvent) {
    match event {
        WatchEvent::Started { .. } => drop(read(replica, archive).await),
        WatchEvent::Put(entry) => {
            if let Ok(head) = Head::from_value(&entry.value) {
                // A failure is made good by the next read.
                drop(install_head(replica, archive, &head).await);
            }
        }
        WatchEvent::Deleted { .. } => {}
    }
}

/// Reads the store's revision and installs it where it is later than this node's.
pub(super) async fn read_store(shared: &Shared, replica: &Replica) -> StoreAnswer {
    let archive = shared.archive(replica);
    match timeout(STORE_TIMEOUT, read(replica, &archive)).await {
        Ok(Ok(())) => StoreAnswer::Read,
        Ok(Err(e)) => {
            tracing::debug!(document = replica.name(), %e, "cannot read the store");
            StoreAnswer::Failed
        }
        Err(_) => StoreAnswer::Failed,
    }
}

async fn read(replica: &Replica, archive: &Archive) -> Result<(), ArchiveError> {
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
            text: archive.text_of(head).await?,
            digest: head.digest,
        },
    };
    replica.install(version);
    Ok(())
}

fn report_broken(replica: &Replica, e: &StoreError) {
    let name = replica.name().to_owned();
    metrics::counter!("jayhall_document_watches_broken_total", "document" => name).increment(1);
    tracing::debug!(document = replica.name(), %e, "the watch of the store ended");
}
