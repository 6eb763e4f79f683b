//! Tests of document distribution: outages, dropped events, partitions, frequent changes, and that a
//! revision never decreases.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jayhall::ops::publish::{Draft, Publisher};
use jayhall::ops::spread::Installation;
use jayhall::sources::store::{Fault, KeyRange, MemoryStore, Op, Store, Transaction};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep, timeout};

use super::cluster::{Cluster, draft, text};

/// Required maximum time until an accepted revision is in force on all nodes.
const SPREAD_TARGET: Duration = Duration::from_secs(19);
/// Interval between changes at 11,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(86_400_000 / 11_000);
/// Budget of control traffic per node, in bytes per second.
const CONTROL_BYTES_PER_SECOND: f64 = 12_000.0;

async fn cluster_with_a_revision(count: usize, text: &str) -> Cluster {
    let cluster = Cluster::start(count);
    cluster.publish(0, text).await.unwrap();
    cluster.settle(1, SPREAD_TARGET).await;
    for node in &cluster.nodes {
        node.spread.ready().await;
    }
    cluster
}

#[tokio::test(start_paused = true)]
async fn a_node_that_starts_while_the_store_is_down_serves_with_what_peers_give() {
    let mut cluster = cluster_with_a_revision(5, &text(3, 1)).await;
    cluster.store.set_fault(Some(Fault::NotReached));
    cluster.add(true);
    let node = &cluster.nodes[5];
    timeout(SPREAD_TARGET, node.spread.ready()).await.unwrap();
    assert_eq!(node.blackboard.config.read().revision, 1);
}

#[tokio::test(start_paused = true)]
async fn a_node_without_store_and_peers_does_not_serve_until_one_comes() {
    let store = MemoryStore::new();
    store.set_fault(Some(Fault::NotReached));
    let cluster = Cluster::start_with(store, 1);
    let node = &cluster.nodes[0];
    assert!(
        timeout(Duration::from_secs(3600), node.spread.ready())
            .await
            .is_err()
    );
    cluster.store.set_fault(None);
    cluster.publish(0, &text(1, 1)).await.unwrap();
    timeout(SPREAD_TARGET, node.spread.ready()).await.unwrap();
}

/// Two of three peers have an older revision; the starting node must not serve with it.
#[tokio::test(start_paused = true)]
async fn a_node_that_starts_beside_stale_peers_serves_with_the_latest_revision() {
    for fresh in 0..3 {
        let mut cluster = cluster_with_a_revision(3, &text(3, 1)).await;
        for stale in (0..3).filter(|index| *index != fresh) {
            cluster.set_partitioned(stale, true);
        }
        cluster.publish(1, &text(3, 2)).await.unwrap();
        sleep(SPREAD_TARGET).await;
        assert_eq!(cluster.in_force().iter().sum::<u64>(), 1 + 1 + 2);
        // The stale peers are reachable again but learn nothing, as store and gossip are off.
        cluster.store.set_fault(Some(Fault::NotReached));
        cluster.network.stops_gossip.store(true, Ordering::Relaxed);
        cluster.network.partitioned.lock().clear();
        cluster.add(true);
        let node = &cluster.nodes[3];
        timeout(SPREAD_TARGET, node.spread.ready()).await.unwrap();
        assert_eq!(node.blackboard.config.read().revision, 2, "fresh: {fresh}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_late_answer_with_an_older_revision_is_not_installed() {
    let cluster = cluster_with_a_revision(1, &text(3, 1)).await;
    let older = cluster.publish(1, &text(3, 2)).await.unwrap();
    let newer = cluster.publish(2, &text(3, 3)).await.unwrap();
    let node = &cluster.nodes[0];
    let expected = [
        (newer.clone(), Installation::InForce),
        (older, Installation::NotNewer),
        (newer, Installation::NotNewer),
    ];
    for (published, installation) in expected {
        assert_eq!(
            node.spread.install_published("config", published),
            installation
        );
        assert_eq!(node.blackboard.config.read().revision, 3);
    }
    cluster.assert_never_lower();
}

#[tokio::test(start_paused = true)]
async fn dropped_watch_events_are_recovered_by_polling() {
    let cluster = cluster_with_a_revision(8, &text(3, 1)).await;
    cluster.drop_events(true);
    for base in 1..6 {
        cluster
            .publish(base, &text(3, base as u32 + 1))
            .await
            .unwrap();
        cluster.settle(base + 1, SPREAD_TARGET).await;
    }
    cluster.assert_never_lower();
}

#[tokio::test(start_paused = true)]
async fn a_node_that_was_cut_off_gets_the_latest_revision_once_healed() {
    let cluster = cluster_with_a_revision(8, &text(3, 1)).await;
    for index in [0, 3] {
        cluster.set_partitioned(index, true);
    }
    for base in 1..5 {
        cluster
            .publish(base, &text(3, base as u32 + 1))
            .await
            .unwrap();
        sleep(SPREAD_TARGET).await;
    }
    assert_eq!(cluster.in_force(), [1, 5, 5, 1, 5, 5, 5, 5]);
    for index in [0, 3] {
        cluster.set_partitioned(index, false);
    }
    cluster.settle(5, SPREAD_TARGET).await;
    cluster.assert_never_lower();
}

/// All watchers lose the store; the publishing node distributes the revision to the others.
#[tokio::test(start_paused = true)]
async fn the_publishing_node_spreads_without_the_watchers() {
    let cluster = cluster_with_a_revision(8, &text(3, 1)).await;
    for node in &cluster.nodes {
        node.store.is_unreachable.store(true, Ordering::Relaxed);
    }
    cluster.store.break_watches();
    let published = cluster.publish(1, &text(3, 2)).await.unwrap();
    cluster.nodes[7]
        .spread
        .install_published("config", published);
    cluster.settle(2, SPREAD_TARGET).await;
}

#[tokio::test(start_paused = true)]
async fn deltas_that_do_not_apply_are_replaced_by_the_full_text() {
    let cluster = cluster_with_a_revision(6, &text(3, 1)).await;
    cluster
        .network
        .corrupts_deltas
        .store(true, Ordering::Relaxed);
    cluster.publish(1, &text(3, 2)).await.unwrap();
    cluster.settle(2, SPREAD_TARGET).await;
    for node in &cluster.nodes {
        assert_eq!(*node.blackboard.config.read().text, text(3, 2));
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_lost_its_data_reverts_no_node_and_accepts_new_revisions() {
    let cluster = cluster_with_a_revision(4, &text(3, 1)).await;
    cluster.publish(1, &text(3, 2)).await.unwrap();
    cluster.settle(2, SPREAD_TARGET).await;
    let wipe = Transaction {
        then: vec![Op::Delete(KeyRange::Prefix("config/".into()))],
        ..Transaction::default()
    };
    cluster.store.transact(wipe).await.unwrap();
    cluster.publish(0, &text(3, 9)).await.unwrap();
    sleep(SPREAD_TARGET).await;
    assert!(cluster.all_have(2));
    cluster.publish(2, &text(3, 3)).await.unwrap();
    cluster.settle(3, SPREAD_TARGET).await;
    cluster.assert_never_lower();
}

/// Nodes of an older release relay a document that they cannot parse, and keep the previous one in
/// force.
#[tokio::test(start_paused = true)]
async fn a_text_that_nodes_cannot_read_does_not_come_into_force() {
    let mut cluster = cluster_with_a_revision(4, &text(3, 1)).await;
    let newer = format!("[balloon red]\nsize = 3\n\n{}", text(3, 2));
    let publisher = Publisher::with_check(Arc::new(cluster.store.clone()), "config", |_| Ok(()));
    publisher.publish(draft(1, newer)).await.unwrap();
    sleep(SPREAD_TARGET).await;
    assert!(cluster.all_have(1));
    for node in &cluster.nodes {
        assert_eq!(node.spread.revisions()[0].revision, 2);
    }
    cluster.add(false);
    let started = &cluster.nodes[4].spread;
    assert!(timeout(SPREAD_TARGET, started.ready()).await.is_err());
    cluster.publish(2, &text(3, 3)).await.unwrap();
    cluster.settle(3, SPREAD_TARGET).await;
}

#[tokio::test(start_paused = true)]
async fn few_nodes_watch_however_many_there_are() {
    for count in [4, 8, 40] {
        let cluster = cluster_with_a_revision(count, &text(3, 1)).await;
        let before = (cluster.store.counts(), cluster.calls());
        sleep(Duration::from_secs(600)).await;
        cluster.publish(1, &text(3, 2)).await.unwrap();
        cluster.settle(2, SPREAD_TARGET).await;
        let calls = (cluster.calls() - before.1) as f64 / 600.0;
        println!(
            "{count} nodes: {calls:.2} store calls/s, {} watches",
            before.0.watches
        );
        let watching =
            |store: &super::cluster::NodeStore| store.watches.load(Ordering::Relaxed) > 0;
        let watchers = cluster.nodes.iter().filter(|node| watching(&node.store));
        assert!(
            watchers.count() <= 4,
            "at most two watchers in each of the two regions"
        );
        assert!(calls < 2.0, "{calls} calls a second");
    }
}

#[tokio::test(start_paused = true)]
async fn a_long_outage_of_the_store_causes_no_thundering_herd() {
    let cluster = cluster_with_a_revision(40, &text(3, 1)).await;
    cluster.store.set_fault(Some(Fault::Lost));
    sleep(Duration::from_secs(3600)).await;
    let before = cluster.calls();
    sleep(Duration::from_secs(60)).await;
    let during = cluster.calls() - before;
    cluster.store.set_fault(None);
    cluster.publish(1, &text(3, 2)).await.unwrap();
    let before = cluster.calls();
    cluster.settle(2, SPREAD_TARGET).await;
    sleep(Duration::from_secs(10)).await;
    let after = cluster.calls() - before;
    println!("store calls of 4 watchers: {during} in 60 s of outage, {after} during recovery");
    assert!(during < 120 && after < 40, "{during}, {after}");
}

/// Publishes at the rate of 11,000 changes per day. Returns the average bytes per change and node.
async fn run_changes(customers: usize, changes: u32) -> f64 {
    let cluster = cluster_with_a_revision(12, &text(customers, 1)).await;
    sleep(SPREAD_TARGET).await;
    let replies = cluster.network.replies.load(Ordering::Relaxed);
    let bytes = cluster.network.reply_bytes.load(Ordering::Relaxed);
    let whole = cluster.network.full_replies.load(Ordering::Relaxed);
    let mut slowest = Duration::ZERO;
    for change in 1..=changes {
        let published = Instant::now();
        let base = u64::from(change);
        let draft = Draft {
            base_text: Some(text(customers, change).into()),
            ..draft(base, text(customers, change + 1))
        };
        cluster.publisher().publish(draft).await.unwrap();
        cluster.settle(base + 1, SPREAD_TARGET).await;
        slowest = slowest.max(published.elapsed());
        sleep(CHANGE_INTERVAL.saturating_sub(published.elapsed())).await;
    }
    let replies = cluster.network.replies.load(Ordering::Relaxed) - replies;
    let bytes = cluster.network.reply_bytes.load(Ordering::Relaxed) - bytes;
    let whole = cluster.network.full_replies.load(Ordering::Relaxed) - whole;
    let head = cluster
        .publisher()
        .archive()
        .head()
        .await
        .unwrap()
        .head
        .unwrap();
    // Each byte counts twice: sent by one node and received by another.
    let per_node = 2.0 * bytes as f64 / f64::from(changes) / cluster.nodes.len() as f64;
    println!(
        "{customers} customers, document of {} bytes: {per_node:.0} bytes per change and node, \
         {:.2} fetches per change and node, {whole} whole texts, head of {} bytes, slowest {slowest:?}",
        text(customers, 1).len(),
        replies as f64 / f64::from(changes) / cluster.nodes.len() as f64,
        head.to_value().len(),
    );
    cluster.assert_never_lower();
    assert_eq!(whole, 0);
    per_node + head.to_value().len() as f64
}

#[tokio::test(start_paused = true)]
async fn frequent_changes_stay_within_the_control_traffic_budget_of_a_node() {
    for customers in [5, 500] {
        let bytes = run_changes(customers, 30).await;
        let per_second = bytes / CHANGE_INTERVAL.as_secs_f64();
        println!(
            "{customers} customers: {per_second:.0} bytes/s on a node that also watches the store"
        );
        assert!(per_second < CONTROL_BYTES_PER_SECOND / 10.0);
    }
}

#[tokio::test(start_paused = true)]
async fn never_a_lower_revision_whatever_fails() {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = cluster_with_a_revision(6, &text(3, 1)).await;
        let mut revision = 1;
        for _ in 0..60 {
            match rng.random_range(0..8) {
                0 => cluster.set_partitioned(rng.random_range(0..cluster.nodes.len()), true),
                1 => cluster.set_partitioned(rng.random_range(0..cluster.nodes.len()), false),
                2 => cluster.store.set_fault(Some(Fault::Lost)),
                3 => cluster.store.set_fault(None),
                4 => cluster.drop_events(rng.random()),
                5 => cluster.store.fail_next_write(Fault::AnswerLost),
                6 if cluster.nodes.len() < 10 => cluster.add(rng.random()),
                _ => {
                    let weight = rng.random_range(1..1000);
                    if let Ok(published) = cluster.publish(revision, &text(3, weight)).await {
                        revision = published.head.revision;
                    }
                }
            }
            sleep(Duration::from_millis(rng.random_range(0..4000))).await;
        }
        cluster.store.set_fault(None);
        cluster.drop_events(false);
        for index in 0..cluster.nodes.len() {
            cluster.set_partitioned(index, false);
        }
        let stored = cluster.publisher().archive().head().await.unwrap();
        cluster.settle(stored.revision(), SPREAD_TARGET).await;
        cluster.assert_never_lower();
    }
}
