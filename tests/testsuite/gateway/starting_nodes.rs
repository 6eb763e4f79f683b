//! Many nodes that start at the same moment, as after the loss of all of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config};
use super::watched_store::WatchedStore;

const NODES: usize = 8;
/// Time after a back end's departure within which it still receives calls; the default of the settings.
const DRAIN: Duration = Duration::from_millis(2500);

struct StartedNode {
    node: Node,
    store: Arc<WatchedStore>,
}

async fn start(fixture: &Fixture, name: &str, zone: &str, seeds: &[SocketAddr]) -> StartedNode {
    let store = WatchedStore::without_faults(fixture);
    let node = fixture.node_with_seeds(name, zone, Arc::clone(&store) as _, seeds);
    StartedNode {
        node: node.await,
        store,
    }
}

/// Starts one seed, then nodes of two zones at the same moment.
async fn start_fleet(fixture: &Fixture) -> Vec<StartedNode> {
    let seed = start(fixture, "n0", "z1", &[]).await;
    let seeds = [seed.node.settings.listen.control];
    let mut nodes = vec![seed];
    for index in 1..NODES {
        let zone = if index % 2 == 0 { "z1" } else { "z3" };
        nodes.push(start(fixture, &format!("n{index}"), zone, &seeds).await);
    }
    for started in &nodes {
        fixture.ready(&started.node).await;
    }
    nodes
}

async fn fixture_with_backend() -> (Fixture, FakeBackend) {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let backend = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    fixture.list_backend("b0", "plain", &backend, "ready").await;
    (fixture, backend)
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_together_copy_the_store_from_a_seed_instead_of_listing_it() {
    let (fixture, _backend) = fixture_with_backend().await;
    let nodes = start_fleet(&fixture).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let listings: Vec<usize> = nodes
        .iter()
        .map(|started| started.store.listings())
        .collect();
    let mut expected = vec![0; NODES];
    expected[0] = 1;
    assert_eq!(listings, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_departure_while_nodes_start_reaches_all_of_them() {
    let (fixture, backend) = fixture_with_backend().await;
    let nodes = start_fleet(&fixture).await;
    fixture
        .list_backend("b0", "plain", &backend, "draining")
        .await;
    tokio::time::sleep(DRAIN).await;
    let runs = backend.runs();
    for started in &nodes {
        let call = fixture.call(&started.node, "/get/x", "a1");
        assert_eq!(call.send().await.unwrap().status(), 503);
    }
    assert_eq!(backend.runs(), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_seeds_do_not_answer_lists_the_store() {
    let (fixture, _backend) = fixture_with_backend().await;
    let unused: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let started = start(&fixture, "n1", "z1", &[unused]).await;
    fixture.ready(&started.node).await;
    assert_eq!(started.store.listings(), 1);
}
