//! A store that stops answering the nodes that watch it.

use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::fixture::{Fixture, config};
use super::watched_store::{WatchedStore, Watches};

/// Guaranteed time until a new configuration is in force on nodes that can reach the store.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(2500);

#[tokio::test]
async fn nodes_learn_changes_from_the_store_when_it_stops_answering_their_watcher() {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let (to_watchers, _) = watch::channel(Watches::Complete);
    let (to_follower, _) = watch::channel(Watches::Complete);
    let failing_store = || WatchedStore::open(&fixture, &to_watchers);
    // `n2` watches the store for zone `z1`, and `n3`, the only node of zone `z2`, for `z2`.
    let healthy_store = WatchedStore::open(&fixture, &to_follower);
    let follower = fixture.node_with_store("n1", "z1", healthy_store).await;
    let watchers = [
        fixture.node_with_store("n2", "z1", failing_store()).await,
        fixture.node_with_store("n3", "z2", failing_store()).await,
    ];
    for node in watchers.iter().chain([&follower]) {
        fixture.ready(node).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    to_watchers.send_replace(Watches::Unresponsive);
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
