//! A store that falls silent for the nodes that watch it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::BoxFuture;
use jayhall::sources::store::{
    LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result, Store, Transaction,
    TransactionReply, WatchEvent, WatchRequest, WatchStream,
};
use tokio::sync::watch;

use super::rig::{Rig, config};

/// Time within which a configuration is in force on nodes that reach the store: the promise of the
/// deployments.
const IN_FORCE: Duration = Duration::from_millis(2500);

/// The rig's store as one node sees it: it answers watches each second, until it falls silent.
struct SilentStore {
    inner: Arc<MemoryStore>,
    is_silent: watch::Receiver<bool>,
}

impl SilentStore {
    async fn unless_silent<T>(&self, call: BoxFuture<'_, Result<T>>) -> Result<T> {
        if *self.is_silent.borrow() {
            std::future::pending::<()>().await;
        }
        call.await
    }
}

impl Store for SilentStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        Box::pin(self.unless_silent(self.inner.range(req)))
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        Box::pin(self.unless_silent(self.inner.transact(req)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.unless_silent(self.inner.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.unless_silent(self.inner.keep_alive(lease)))
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        Box::pin(self.unless_silent(self.inner.revoke(lease)))
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        Box::pin(async move {
            let changes = self.unless_silent(self.inner.watch(req)).await?;
            // The platform's store says how far it is behind the changes, not before them.
            let is_change = |e: &Result<WatchEvent>| !matches!(e, Ok(WatchEvent::Started { .. }));
            let changes = changes.filter(move |event| std::future::ready(is_change(event)));
            let second = Duration::from_secs(1);
            let first = tokio::time::Instant::now() + second;
            let answers = each(tokio::time::interval_at(first, second));
            let is_silent = self.is_silent.clone();
            let both = futures::stream::select(changes, answers);
            let heard = both.then(move |event| {
                let is_silent = is_silent.clone();
                async move {
                    if *is_silent.borrow() {
                        std::future::pending::<()>().await;
                    }
                    event
                }
            });
            Ok(heard.boxed())
        })
    }
}

/// Answers without changes, one at each tick.
fn each(interval: tokio::time::Interval) -> impl futures::Stream<Item = Result<WatchEvent>> {
    futures::stream::unfold(interval, |mut interval| async move {
        interval.tick().await;
        Some((Ok(WatchEvent::Started { revision: 0 }), interval))
    })
}

#[tokio::test]
async fn nodes_whose_watcher_the_store_turns_away_learn_changes_from_the_store() {
    let rig = Rig::new();
    rig.put("op/config", config(1)).await;
    let (silence, is_silent) = watch::channel(false);
    let turned_away = || {
        Arc::new(SilentStore {
            inner: Arc::clone(&rig.store),
            is_silent: is_silent.clone(),
        })
    };
    // The second of the first zone's nodes and the only one of the other watch the store for their zones.
    let served = SilentStore {
        inner: Arc::clone(&rig.store),
        is_silent: watch::channel(false).1,
    };
    let follower = rig.node_over("n1", "z1", Arc::new(served)).await;
    let watchers = [
        rig.node_over("n2", "z1", turned_away()).await,
        rig.node_over("n3", "z2", turned_away()).await,
    ];
    for node in watchers.iter().chain([&follower]) {
        rig.ready(node).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    silence.send_replace(true);
    rig.put("op/config", config(2).replace("/once/", "/twice/"))
        .await;
    let changed = Instant::now();
    loop {
        let res = rig.call(&follower, "/once/x", "a1").send().await.unwrap();
        if res.status() == 404 {
            break;
        }
        assert!(changed.elapsed() < IN_FORCE, "the old version is in force");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
