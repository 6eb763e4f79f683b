//! A store with faults as one node sees it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream;
use jayhall::sources::store::{
    KeyRange, LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result, Revision, Store,
    StoreError, Transaction, TransactionReply, WatchEvent, WatchRequest, WatchStream,
};
use tokio::sync::watch;

use super::fixture::Fixture;

/// Pause of a watch after changes, like that of the platform's client.
const POLL_PAUSE: Duration = Duration::from_millis(300);
/// Limit on the changes that are delivered together.
const MAX_POLLED_CHANGES: usize = 100;
/// Interval between progress events of a watch without changes.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What watches of a [`WatchedStore`] deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Watches {
    /// All changes.
    Complete,
    /// Nothing; other calls are answered.
    Silent,
    /// Nothing, and other calls are not answered either.
    Unresponsive,
    /// Nothing: the store cannot be reached.
    Unreachable,
    /// The store has compacted its history: revisions before this one are gone.
    Compacted(Revision),
}

/// Wrapper of the fixture's store for one node, with faults. Like the platform's store, it confirms a revision
/// only after the changes up to it.
pub(super) struct WatchedStore {
    inner: Arc<MemoryStore>,
    watches: watch::Receiver<Watches>,
    listings: AtomicUsize,
}

impl WatchedStore {
    /// Wraps the fixture's store for a node that sees these faults.
    pub(super) fn open(fixture: &Fixture, faults: &watch::Sender<Watches>) -> Arc<Self> {
        Arc::new(Self {
            inner: Arc::clone(&fixture.store),
            watches: faults.subscribe(),
            listings: AtomicUsize::new(0),
        })
    }

    /// Wraps the fixture's store for a node that sees no faults.
    pub(super) fn without_faults(fixture: &Fixture) -> Arc<Self> {
        let (faults, _) = watch::channel(Watches::Complete);
        let store = Self::open(fixture, &faults);
        // The faults of a store without its sender never change.
        std::mem::forget(faults);
        store
    }

    /// Returns how often the node has listed all keys.
    pub(super) fn listings(&self) -> usize {
        self.listings.load(Ordering::Relaxed)
    }

    async fn call<T>(&self, call: BoxFuture<'_, Result<T>>) -> Result<T> {
        let mut watches = self.watches.clone();
        let answers = watches.wait_for(|watches| *watches != Watches::Unresponsive);
        let state = *answers.await.expect("the test goes on");
        match state {
            Watches::Unreachable => Err(StoreError::NotReached {
                cause: "connection refused".into(),
            }),
            _ => call.await,
        }
    }
}

impl Store for WatchedStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        if req.range == KeyRange::Prefix("".into()) {
            self.listings.fetch_add(1, Ordering::Relaxed);
        }
        Box::pin(self.call(self.inner.range(req)))
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        Box::pin(self.call(self.inner.transact(req)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.call(self.inner.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.call(self.inner.keep_alive(lease)))
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        Box::pin(self.call(self.inner.revoke(lease)))
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        Box::pin(async move {
            let from = req.from.unwrap_or_default();
            let changes = self.call(self.inner.watch(req)).await?;
            let events = stream::select(confirmed(changes), progress());
            let watches = self.watches.clone();
            let events = events.then(move |event| {
                let mut watches = watches.clone();
                async move {
                    let answers =
                        |state: &Watches| !matches!(state, Watches::Silent | Watches::Unresponsive);
                    let state = *watches.wait_for(answers).await.expect("the test goes on");
                    match state {
                        Watches::Compacted(first) if from < first => {
                            Err(StoreError::Compacted { revision: first })
                        }
                        _ => event,
                    }
                }
            });
            Ok(events.boxed())
        })
    }
}

/// Delivers changes as the platform's client does: all that there are, then a progress event that confirms
/// them, and a pause after them.
fn confirmed(changes: WatchStream) -> WatchStream {
    let polls = changes.ready_chunks(MAX_POLLED_CHANGES);
    let polls = stream::unfold((polls, false), |(mut polls, is_after_changes)| async move {
        if is_after_changes {
            tokio::time::sleep(POLL_PAUSE).await;
        }
        let events = with_progress(polls.next().await?);
        let has_changes = !events.is_empty();
        Some((stream::iter(events), (polls, has_changes)))
    });
    polls.flatten().boxed()
}

/// Adds a progress event after the last change. The one that the in-memory store sends before the changes is
/// dropped.
fn with_progress(mut events: Vec<Result<WatchEvent>>) -> Vec<Result<WatchEvent>> {
    events.retain(|event| !matches!(event, Ok(WatchEvent::Started { .. })));
    let revision = events.iter().filter_map(|event| match event {
        Ok(WatchEvent::Put(item)) => Some(item.mod_revision),
        Ok(WatchEvent::Deleted { revision, .. }) => Some(*revision),
        Ok(WatchEvent::Started { .. }) | Err(_) => None,
    });
    if let Some(revision) = revision.last() {
        events.push(Ok(WatchEvent::Started { revision }));
    }
    events
}

/// Returns progress events without a revision, one in each [`PROGRESS_INTERVAL`].
fn progress() -> WatchStream {
    let first = tokio::time::Instant::now() + PROGRESS_INTERVAL;
    let interval = tokio::time::interval_at(first, PROGRESS_INTERVAL);
    let events = stream::unfold(interval, |mut interval| async move {
        interval.tick().await;
        Some((Ok(WatchEvent::Started { revision: 0.into() }), interval))
    });
    events.boxed()
}
