//! A store that stops answering the nodes that watch it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::BoxFuture;
use jayhall::sources::store::{
    LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result, Store, Transaction,
    TransactionReply, WatchEvent, WatchRequest, WatchStream,
};
use tokio::sync::watch;

use super::fixture::{Fixture, config};

/// Guaranteed time until a new configuration is in force on nodes that can reach the store.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(2500);

/// Wrapper of the fixture's store for one node. It sends progress events to watches every second until
/// `is_unresponsive` is set; from then on no call is answered.
struct UnresponsiveStore {
    inner: Arc<MemoryStore>,
    is_unresponsive: watch::Receiver<bool>,
}

impl UnresponsiveStore {
    async fn unless_unresponsive<T>(&self, call: BoxFuture<'_, Result<T>>) -> Result<T> {
        if *self.is_unresponsive.borrow() {
            std::future::pending::<()>().await;
        }
        call.await
    }
}

impl Store for UnresponsiveStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        Box::pin(self.unless_unresponsive(self.inner.range(req)))
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        Box::pin(self.unless_unresponsive(self.inner.transact(req)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.unless_unresponsive(self.inner.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.unless_unresponsive(self.inner.keep_alive(lease)))
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        Box::pin(self.unless_unresponsive(self.inner.revoke(lease)))
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        Box::pin(async move {
            let changes = self.unless_unresponsive(self.inner.watch(req)).await?;
            // The progress events of the in-memory store are dropped, as it sends one before the changes. The
            // platform's store sends them only after the changes.
            let is_change = |e: &Result<WatchEvent>| !matches!(e, Ok(WatchEvent::Started { .. }));
            let changes = changes.filter(move |event| std::future::ready(is_change(event)));
            let second = Duration::from_secs(1);
            let first = tokio::time::Instant::now() + second;
            let progress = progress_events(tokio::time::interval_at(first, second));
            let is_unresponsive = self.is_unresponsive.clone();
            let all_events = futures::stream::select(changes, progress);
            let events = all_events.then(move |event| {
                let is_unresponsive = is_unresponsive.clone();
                async move {
                    if *is_unresponsive.borrow() {
                        std::future::pending::<()>().await;
                    }
                    event
                }
            });
            Ok(events.boxed())
        })
    }
}

/// Returns a stream of progress events, one at each tick.
fn progress_events(
    interval: tokio::time::Interval,
) -> impl futures::Stream<Item = Result<WatchEvent>> {
    futures::stream::unfold(interval, |mut interval| async move {
        interval.tick().await;
        Some((Ok(WatchEvent::Started { revision: 0 }), interval))
    })
}

#[tokio::test]
async fn nodes_learn_changes_from_the_store_when_it_stops_answering_their_watcher() {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let (unresponsive_sender, is_unresponsive) = watch::channel(false);
    let failing_store = || {
        Arc::new(UnresponsiveStore {
            inner: Arc::clone(&fixture.store),
            is_unresponsive: is_unresponsive.clone(),
        })
    };
    // `n2` watches the store for zone `z1`, and `n3`, the only node of zone `z2`, for `z2`.
    let healthy_store = UnresponsiveStore {
        inner: Arc::clone(&fixture.store),
        is_unresponsive: watch::channel(false).1,
    };
    let follower = fixture
        .node_with_store("n1", "z1", Arc::new(healthy_store))
        .await;
    let watchers = [
        fixture.node_with_store("n2", "z1", failing_store()).await,
        fixture.node_with_store("n3", "z2", failing_store()).await,
    ];
    for node in watchers.iter().chain([&follower]) {
        fixture.ready(node).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    unresponsive_sender.send_replace(true);
    fixture
        .put("op/config", config(2).replace("/once/", "/twice/"))
        .await;
    let changed = Instant::now();
    loop {
        let res = fixture
            .call(&follower, "/once/x", "a1")
            .send()
            .await
            .unwrap();
        if res.status() == 404 {
            break;
        }
        assert!(
            changed.elapsed() < MAX_CHANGE_DELAY,
            "the old version is in force"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
