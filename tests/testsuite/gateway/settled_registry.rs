//! Streams that are resumed at nodes which have started after the store came back from an older copy. The copy may lack a
//! software version that had just joined a service, and no process may be left that knew it.

use std::time::Duration;

use hyper::StatusCode;
use jayhall::sources::store::KeyRange;
use tokio::runtime::Runtime;

use super::fixture::{Fixture, Node, entries, header_value, total_runs};
use super::software_versions::{
    EVENTS, FIRST, SECOND, begin, complete, fixture, list, list_others, read, ready_node, resumed,
    spawn_doomed_nodes, spawn_listed,
};
use super::watched_store::WatchedStore;

const STREAMS: usize = 8;
/// Time within which an era is settled.
const SETTLED_WITHIN: Duration = Duration::from_millis(3200);

/// Starts a service with one software version and nodes that have its streams.
async fn service_with_streams() -> (Fixture, Runtime) {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let (runtime, nodes) = spawn_doomed_nodes(&fixture, &["n1", "n2"]);
    begin_streams(&fixture, &nodes).await;
    (fixture, runtime)
}

async fn begin_streams(fixture: &Fixture, nodes: &[Node]) {
    for index in 0..STREAMS {
        let node = &nodes[index % nodes.len()];
        begin(fixture, node, &format!("s{index}")).await;
    }
}

/// Resumes the streams, and returns the answers.
async fn resume_streams(fixture: &Fixture, node: &Node) -> Vec<reqwest::Response> {
    let calls = (0..STREAMS).map(|index| resumed(fixture, node, &format!("s{index}")).send());
    let answers = futures::future::join_all(calls).await;
    answers.into_iter().map(Result::unwrap).collect()
}

/// Guards against streams of two software versions: the new one joins, streams begin there, the store comes back from a
/// copy without it, and all nodes are lost. The nodes that start find the old version only.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_a_restore_has_hidden_is_not_taken_for_gone() {
    let fixture = fixture().await;
    let first = spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let (runtime, nodes) = spawn_doomed_nodes(&fixture, &["n1", "n2"]);
    let copy = fixture.store.copy();
    // The nodes prefer these, which are near.
    let second = list_others(&fixture, SECOND).await;
    begin_streams(&fixture, &nodes).await;
    assert_eq!((first.runs(), total_runs(&second)), (0, STREAMS));
    runtime.shutdown_background();
    fixture.store.restore(&copy);
    let node = ready_node(&fixture, "n3", "z1").await;
    for res in resume_streams(&fixture, &node).await {
        assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(header_value(&res, "retry-after").is_some());
    }
    // The back ends of the new version write their entries again.
    for (index, backend) in second.iter().enumerate() {
        list(&fixture, &format!("other{index}"), backend, SECOND).await;
    }
    tokio::time::sleep(SETTLED_WITHIN).await;
    resume_streams(&fixture, &node).await;
    assert_eq!(first.runs(), 0);
}

/// Guards against streams of a service that has only ever had one version, and that are refused for good, or for as long
/// as a stream may last, because the store was restored.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_once_the_era_is_settled() {
    let (fixture, runtime) = service_with_streams().await;
    let copy = fixture.store.copy();
    runtime.shutdown_background();
    fixture.store.restore(&copy);
    let store = WatchedStore::without_faults(&fixture);
    let node = fixture.node_with_store("n3", "z1", store).await;
    fixture.ready(&node).await;
    tokio::time::sleep(SETTLED_WITHIN).await;
    for res in resume_streams(&fixture, &node).await {
        assert_eq!(res.status(), StatusCode::OK);
        assert_eq!(read(res).await, (EVENTS as usize - 10, true));
    }
}

/// Guards against calls that wait after the loss of all nodes although the store has lost nothing.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_in_a_settled_era_resume_streams_at_once() {
    let (fixture, runtime) = service_with_streams().await;
    tokio::time::sleep(SETTLED_WITHIN.saturating_sub(Duration::from_millis(2500))).await;
    runtime.shutdown_background();
    fixture.remove_all("jayhall/nodes/").await;
    let node = ready_node(&fixture, "n3", "z1").await;
    for res in resume_streams(&fixture, &node).await {
        assert_eq!(res.status(), StatusCode::OK);
    }
}

/// Guards against nodes that all write the mark again and again.
#[tokio::test(flavor = "multi_thread")]
async fn an_era_is_marked_once() {
    let fixture = fixture().await;
    let (runtime, _nodes) = spawn_doomed_nodes(&fixture, &["n1", "n2", "n3"]);
    tokio::time::sleep(SETTLED_WITHIN).await;
    let found = entries(&fixture.store, KeyRange::One("jayhall/settled-era".into())).await;
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].version, 1);
    runtime.shutdown_background();
}
