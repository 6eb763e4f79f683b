//! Streams of a service with several software versions that outlast planned stops. A caller can resume its stream only
//! while some node or the store knows which version began it.

use std::time::Duration;

use hyper::StatusCode;
use jayhall::sources::store::KeyRange;
use tokio::runtime::Runtime;

use super::fixture::{FakeBackend, Fixture, Node, entries, total_runs};
use super::software_versions::{
    EVENTS, FIRST, OTHER_NODES, SECOND, begin, complete, fixture, list_others, read, ready_node,
    resumed, spawn_doomed_nodes, spawn_listed,
};

const STREAMS: usize = 8;
/// Time within which origins are in the store, and within which nodes know each other.
const EXCHANGED_WITHIN: Duration = Duration::from_millis(1500);

/// A service with back ends of two versions; streams go on only at the first.
struct Service {
    fixture: Fixture,
    others: Vec<FakeBackend>,
}

impl Service {
    async fn new() -> Self {
        let fixture = fixture().await;
        let others = list_others(&fixture, SECOND).await;
        Self { fixture, others }
    }

    /// Begins streams at a node. Their back end is the only one of its version.
    async fn begin_streams(&mut self, node: &Node) {
        for id in 0..self.others.len() {
            self.fixture.remove(&format!("servers/other{id}")).await;
        }
        spawn_listed(&self.fixture, "b0", complete(), FIRST).await;
        tokio::time::sleep(EXCHANGED_WITHIN).await;
        for index in 0..STREAMS {
            begin(&self.fixture, node, &format!("s{index}")).await;
        }
        self.others = list_others(&self.fixture, SECOND).await;
        tokio::time::sleep(EXCHANGED_WITHIN).await;
    }

    async fn stored_origins(&self) -> usize {
        let range = KeyRange::Prefix("jayhall/streams/".into());
        entries(&self.fixture.store, range).await.len()
    }

    /// Resumes all streams at a node. They must go on at the version that began them.
    async fn assert_resumed(&self, node: &Node) {
        let runs = total_runs(&self.others);
        for index in 0..STREAMS {
            let call = resumed(&self.fixture, node, &format!("s{index}"));
            let res = call.send().await.unwrap();
            assert_eq!(res.status(), StatusCode::OK, "stream {index}");
            assert_eq!(read(res).await, (EVENTS as usize - 10, true));
        }
        assert_eq!(total_runs(&self.others), runs);
    }
}

/// Stops the nodes of a runtime as planned, and ends their processes.
async fn stop(runtime: Runtime, nodes: Vec<Node>) {
    for mut node in nodes {
        let gateway = node.gateway.take().unwrap();
        runtime.spawn(gateway.leave()).await.unwrap();
    }
    runtime.shutdown_background();
}

/// Guards against streams that are lost although no node has failed: planned stops in turn end the nodes that keep their
/// origins. The origins in the store do not count here.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_leave_hand_over_the_origins_that_they_keep() {
    let mut service = Service::new().await;
    let (first_runtime, first) = spawn_doomed_nodes(&service.fixture, &["n1"]);
    let (second_runtime, second) = spawn_doomed_nodes(&service.fixture, &["n2"]);
    service.begin_streams(&first[0]).await;
    stop(second_runtime, second).await;
    let last = ready_node(&service.fixture, "n3", "z2").await;
    stop(first_runtime, first).await;
    service.fixture.remove_all("jayhall/streams/").await;
    service.assert_resumed(&last).await;
}

/// Guards against origins that go with the lease of the node that wrote them, as it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn origins_in_the_store_outlast_the_node_that_wrote_them() {
    let mut service = Service::new().await;
    let (runtime, nodes) = spawn_doomed_nodes(&service.fixture, &["n1"]);
    service.begin_streams(&nodes[0]).await;
    stop(runtime, nodes).await;
    assert!(service.stored_origins().await > 0);
    let next = ready_node(&service.fixture, "n2", "z1").await;
    service.assert_resumed(&next).await;
}

/// Guards against origins that the store has lost in a restore and that are lost for good with the next nodes.
#[tokio::test(flavor = "multi_thread")]
async fn origins_are_written_again_after_a_restore() {
    let mut service = Service::new().await;
    let (runtime, nodes) = spawn_doomed_nodes(&service.fixture, &["n1"]);
    let copy = service.fixture.store.copy();
    service.begin_streams(&nodes[0]).await;
    assert!(service.stored_origins().await > 0);
    service.fixture.store.restore(&copy);
    tokio::time::sleep(EXCHANGED_WITHIN).await;
    assert!(service.stored_origins().await > 0);
    runtime.shutdown_background();
}

/// Guards against a final refusal by nodes that cannot know: so many have started since the stream began that those which
/// are asked first have none of its origins, while one node still keeps it.
#[tokio::test(flavor = "multi_thread")]
async fn an_origin_is_found_behind_nodes_that_are_younger_than_the_stream() {
    let mut service = Service::new().await;
    let (runtime, nodes) = spawn_doomed_nodes(&service.fixture, &["n1"]);
    let _keeper = ready_node(&service.fixture, "n8", "z1").await;
    service.begin_streams(&nodes[0]).await;
    runtime.shutdown_background();
    let (others_runtime, others) = spawn_doomed_nodes(&service.fixture, &OTHER_NODES);
    service.fixture.remove_all("jayhall/streams/").await;
    service.assert_resumed(&others[0]).await;
    others_runtime.shutdown_background();
}
