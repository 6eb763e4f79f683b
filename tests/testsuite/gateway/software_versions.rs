//! Streams of back ends of two software versions in one service. What two versions write does not fit together, so a
//! stream that goes on at a back end of another version than the one that began it is corrupt, and nothing shows it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::join_all;
use hyper::StatusCode;
use jayhall::core::gateway::quota::LEASE;

use tokio::sync::watch;

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config, node_settings, total_runs};
use super::watched_store::{WatchedStore, Watches};

/// Events of a complete stream.
pub(super) const EVENTS: u64 = 40;
/// Back ends of the other version, so that a choice among all back ends hardly ever hits the right one.
pub(super) const OTHERS: usize = 5;
/// Software versions, as JSON.
pub(super) const FIRST: &str = r#""v1""#;
pub(super) const SECOND: &str = r#""v2""#;
/// Time within which the nodes know a new back end.
const LISTED_WITHIN: Duration = Duration::from_millis(200);
/// Time within which a call that cannot be served is answered.
const REFUSED_WITHIN: Duration = Duration::from_millis(1100);

pub(super) fn complete() -> Behaviour {
    Behaviour::Events {
        to: EVENTS,
        ends_normally: true,
    }
}

/// A stream that breaks off after 400 ms.
fn breaking() -> Behaviour {
    Behaviour::Events {
        to: 20,
        ends_normally: false,
    }
}

/// Lists a back end. Those of the first version are far away, so that the nodes prefer the others.
pub(super) async fn list(fixture: &Fixture, id: &str, backend: &FakeBackend, version: &str) {
    let zone = if version == FIRST { "z3" } else { "z1" };
    let entry = format!(
        r#"{{"service":"llm","address":"{}","zone":"{zone}","slots":64,"state":"ready","born":1,"version":{version}}}"#,
        backend.address
    );
    fixture.put(&format!("servers/{id}"), entry).await;
}

pub(super) async fn spawn_listed(
    fixture: &Fixture,
    id: &str,
    behaviour: Behaviour,
    version: &str,
) -> FakeBackend {
    let backend = FakeBackend::spawn(behaviour).await;
    list(fixture, id, &backend, version).await;
    backend
}

/// Lists [`OTHERS`] back ends of a version whose streams are complete.
pub(super) async fn list_others(fixture: &Fixture, version: &str) -> Vec<FakeBackend> {
    let mut others = Vec::new();
    for index in 0..OTHERS {
        others.push(spawn_listed(fixture, &format!("other{index}"), complete(), version).await);
    }
    tokio::time::sleep(LISTED_WITHIN).await;
    others
}

pub(super) async fn fixture() -> Fixture {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    fixture
}

pub(super) async fn ready_node(fixture: &Fixture, name: &str, zone: &str) -> Node {
    let node = fixture.node_in(name, zone).await;
    fixture.ready(&node).await;
    node
}

fn stream(fixture: &Fixture, node: &Node, attempt: &str) -> reqwest::RequestBuilder {
    fixture
        .call(node, "/long/x", attempt)
        .body(attempt.to_owned())
}

/// A call that resumes the stream that `attempt` began, after event 10.
pub(super) fn resumed(fixture: &Fixture, node: &Node, attempt: &str) -> reqwest::RequestBuilder {
    fixture
        .call(node, "/long/x", &format!("{attempt}-again"))
        .header("last-event-id", "10")
        .header("resumes", attempt)
        .body(attempt.to_owned())
}

/// Begins a stream and leaves it after its first event.
pub(super) async fn begin(fixture: &Fixture, node: &Node, attempt: &str) {
    let res = stream(fixture, node, attempt).send().await.unwrap();
    assert_eq!(res.status(), 200);
    res.bytes_stream().next().await.unwrap().unwrap();
}

/// Reads a stream to its end. Returns the number of its events, and whether it ended normally.
pub(super) async fn read(res: reqwest::Response) -> (usize, bool) {
    let mut text = Vec::new();
    let mut chunks = res.bytes_stream();
    let ended_normally = loop {
        match chunks.next().await {
            Some(Ok(chunk)) => text.extend_from_slice(&chunk),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let text = String::from_utf8(text).unwrap();
    (text.matches("\n\n").count(), ended_normally)
}

/// Checks that a call which resumes a stream is refused at once, with a status after which callers do not repeat it.
async fn assert_refused_for_good(fixture: &Fixture, node: &Node, attempt: &str) {
    let started = Instant::now();
    let res = resumed(fixture, node, attempt).send().await.unwrap();
    let took = started.elapsed();
    assert_eq!(res.status(), 400, "{attempt}");
    assert!(took < REFUSED_WITHIN, "{took:?}");
}

#[tokio::test]
async fn a_stream_that_breaks_off_does_not_go_on_at_another_software_version() {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", breaking(), FIRST).await;
    let node = ready_node(&fixture, "n1", "z1").await;
    let res = stream(&fixture, &node, "a1").send().await.unwrap();
    let others = list_others(&fixture, SECOND).await;
    assert_eq!(read(res).await, (20, false));
    assert_eq!(total_runs(&others), 0);
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_its_own_software_version() {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", breaking(), FIRST).await;
    let node = ready_node(&fixture, "n1", "z1").await;
    let res = stream(&fixture, &node, "a1").send().await.unwrap();
    let same = spawn_listed(&fixture, "b1", complete(), FIRST).await;
    let others = list_others(&fixture, SECOND).await;
    assert_eq!(read(res).await, (EVENTS as usize, true));
    assert_eq!((same.runs(), total_runs(&others)), (1, 0));
}

#[tokio::test]
async fn back_ends_without_a_software_version_do_not_continue_each_others_streams() {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", breaking(), "null").await;
    let node = ready_node(&fixture, "n1", "z1").await;
    let res = stream(&fixture, &node, "a1").send().await.unwrap();
    let others = list_others(&fixture, "7").await;
    assert_eq!(read(res).await, (20, false));
    assert_eq!(total_runs(&others), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_its_stream_at_any_node_only_at_the_software_version_that_began_it() {
    let fixture = fixture().await;
    let first = spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let mut nodes = Vec::new();
    for (name, zone) in [("n1", "z1"), ("n2", "z2"), ("n3", "z3"), ("n4", "z1")] {
        nodes.push(ready_node(&fixture, name, zone).await);
    }
    // Waits until the nodes exchange messages.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for index in 0..8 {
        begin(&fixture, &nodes[index % 4], &format!("s{index}")).await;
    }
    let second = spawn_listed(&fixture, "b1", complete(), FIRST).await;
    let others = list_others(&fixture, SECOND).await;
    for index in 0..8 {
        let call = resumed(&fixture, &nodes[(index + 1) % 4], &format!("s{index}"));
        let res = call.send().await.unwrap();
        assert_eq!(res.status(), 200);
        assert_eq!(read(res).await, (EVENTS as usize - 10, true));
    }
    assert_eq!(total_runs(&others), 0);
    assert_eq!(first.runs() + second.runs(), 16);
}

#[tokio::test]
async fn a_stream_that_was_charged_is_resumed_though_its_customer_has_used_up_the_quota() {
    let fixture = Fixture::new();
    let quota = r#""apiKeys":["k1"],"ratePerS":1,"burst":1"#;
    let config = config(1).replace(r#""apiKeys":["k1"]"#, quota);
    fixture.put("op/config", config).await;
    spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let mut settings = node_settings("n1", "z1");
    // The fixture's store confirms a view only by changes, of which there are none meanwhile.
    settings.bounds.drain = Duration::from_secs(30);
    let store = Arc::clone(&fixture.store);
    let node = fixture.node_with_settings(settings, store).await;
    fixture.ready(&node).await;
    // A process that has just started lends nothing for a lease.
    tokio::time::sleep(LEASE + Duration::from_millis(1500)).await;
    begin(&fixture, &node, "a1").await;
    let mut new_calls = 0;
    while stream(&fixture, &node, "new")
        .send()
        .await
        .unwrap()
        .status()
        == 200
    {
        new_calls += 1;
        assert!(new_calls < 10, "the quota is not used up");
    }
    let res = resumed(&fixture, &node, "a1").send().await.unwrap();
    assert_eq!(read(res).await, (EVENTS as usize - 10, true));
    // Who only claims to resume a stream is refused.
    let res = resumed(&fixture, &node, "unheard-of").send().await.unwrap();
    let status = res.status();
    assert_eq!(status, 429, "{}", res.text().await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_software_version_has_left_is_refused_at_once_and_for_good() {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let node = ready_node(&fixture, "n1", "z1").await;
    let other_node = ready_node(&fixture, "n2", "z2").await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    begin(&fixture, &node, "a1").await;
    let others = list_others(&fixture, SECOND).await;
    fixture.remove("servers/b0").await;
    tokio::time::sleep(LISTED_WITHIN).await;
    for (node, attempt) in [(&node, "a1"), (&other_node, "a1"), (&node, "unheard-of")] {
        assert_refused_for_good(&fixture, node, attempt).await;
    }
    assert_eq!(total_runs(&others), 0);
    // Without the id of its last event the call is a new one.
    let res = stream(&fixture, &node, "a2").send().await.unwrap();
    assert_eq!(read(res).await, (EVENTS as usize, true));
}

/// Nodes that a caller's next node cannot reach any more. As many that it keeps the origins of some streams only.
pub(super) const OTHER_NODES: [&str; 6] = ["n2", "n3", "n4", "n5", "n6", "n7"];

/// Guards against a node that is out of step during a release: it reaches neither the store nor the nodes that keep the
/// origins of streams, takes the version that it knows for the only one, and continues streams of a newer version there.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_cut_off_does_not_take_the_version_that_it_knows_for_the_only_one() {
    let fixture = fixture().await;
    let first = spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let (faults, _) = watch::channel(Watches::Complete);
    let store = WatchedStore::open(&fixture, &faults);
    let cut_off = fixture.node_with_store("n1", "z1", store).await;
    fixture.ready(&cut_off).await;
    let (runtime, others) = spawn_doomed_nodes(&fixture, &OTHER_NODES);
    faults.send_replace(Watches::Unresponsive);
    let mut second = Vec::new();
    for index in 0..OTHERS {
        let id = format!("other{index}");
        second.push(spawn_listed(&fixture, &id, complete(), SECOND).await);
    }
    // The node that is cut off must not copy the view of another one.
    tokio::time::sleep(Duration::from_millis(40)).await;
    let attempts: Vec<_> = (0..24).map(|index| format!("s{index}")).collect();
    let begun = attempts.iter().enumerate();
    let begun =
        begun.map(|(index, attempt)| begin(&fixture, &others[index % others.len()], attempt));
    join_all(begun).await;
    runtime.shutdown_background();
    let runs = |backends: &[FakeBackend], attempt: &str| {
        let seen = backends
            .iter()
            .flat_map(|backend| backend.seen.lock().clone());
        seen.filter(|call| call.body == attempt.as_bytes()).count()
    };
    let begun_at_second = attempts.iter().filter(|attempt| runs(&second, attempt) > 0);
    assert!(begun_at_second.count() >= 4, "no node knew the new version");
    let calls = attempts
        .iter()
        .map(|attempt| resumed(&fixture, &cut_off, attempt).send());
    for res in join_all(calls).await {
        let _ = res.unwrap().bytes().await;
    }
    let first = [first];
    let mixed = attempts
        .iter()
        .filter(|attempt| runs(&first, attempt) > 0 && runs(&second, attempt) > 0);
    assert_eq!(mixed.count(), 0, "streams of two versions");
}

/// Guards against streams that are lost with the other nodes: the last node continues them, as the store confirms that
/// their service has had one version only.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_node_continues_streams_if_it_reaches_the_store() {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let store = WatchedStore::without_faults(&fixture);
    let last = fixture.node_with_store("n1", "z1", store).await;
    fixture.ready(&last).await;
    let (runtime, others) = spawn_doomed_nodes(&fixture, &OTHER_NODES);
    for index in 0..12 {
        begin(
            &fixture,
            &others[index % others.len()],
            &format!("s{index}"),
        )
        .await;
    }
    runtime.shutdown_background();
    let calls = (0..12).map(|index| resumed(&fixture, &last, &format!("s{index}")).send());
    let answers = join_all(calls).await;
    let statuses: Vec<_> = answers
        .into_iter()
        .map(|res| res.unwrap().status())
        .collect();
    assert_eq!(statuses, [StatusCode::OK; 12]);
}

/// Guards against a call that names no stream and waits for nodes that do not answer, though none of them could tell which
/// of the versions began it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumption_that_names_no_stream_is_refused_at_once_though_other_nodes_are_silent() {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", complete(), FIRST).await;
    spawn_listed(&fixture, "b1", complete(), SECOND).await;
    let last = ready_node(&fixture, "n1", "z1").await;
    let (runtime, _others) = spawn_doomed_nodes(&fixture, &OTHER_NODES);
    runtime.shutdown_background();
    let started = Instant::now();
    let call = stream(&fixture, &last, "a1").header("last-event-id", "10");
    let res = call.send().await.unwrap();
    let took = started.elapsed();
    assert_eq!(res.status(), 400);
    assert!(took < REFUSED_WITHIN, "{took:?}");
}

/// Runs nodes in a runtime of their own, so that they all end at the same moment.
pub(super) fn spawn_doomed_nodes(
    fixture: &Fixture,
    names: &[&'static str],
) -> (tokio::runtime::Runtime, Vec<Node>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let nodes = tokio::task::block_in_place(|| {
        runtime.block_on(async {
            let mut nodes = Vec::new();
            for name in names {
                nodes.push(ready_node(fixture, name, "z1").await);
            }
            tokio::time::sleep(Duration::from_millis(2500)).await;
            nodes
        })
    });
    (runtime, nodes)
}

/// Removes the entries of nodes from the store, as when their leases expire.
async fn expire_nodes(fixture: &Fixture) {
    fixture.remove_all("jayhall/nodes/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_anew_do_not_join_streams_of_a_software_version_that_has_just_left() {
    let fixture = fixture().await;
    spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let (runtime, nodes) = spawn_doomed_nodes(&fixture, &["n1", "n2"]);
    begin(&fixture, &nodes[0], "a1").await;
    let others = list_others(&fixture, SECOND).await;
    runtime.shutdown_background();
    // The last back end of the old version leaves while no node is there to see it.
    fixture.remove("servers/b0").await;
    expire_nodes(&fixture).await;
    let node = ready_node(&fixture, "n3", "z1").await;
    for attempt in ["a1", "unheard-of"] {
        assert_refused_for_good(&fixture, &node, attempt).await;
    }
    assert_eq!(total_runs(&others), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_anew_resume_streams_where_both_software_versions_serve() {
    let fixture = fixture().await;
    let first = spawn_listed(&fixture, "b0", complete(), FIRST).await;
    let (runtime, nodes) = spawn_doomed_nodes(&fixture, &["n1", "n2"]);
    for index in 0..6 {
        begin(&fixture, &nodes[index % 2], &format!("s{index}")).await;
    }
    let others = list_others(&fixture, SECOND).await;
    for index in 6..12 {
        begin(&fixture, &nodes[index % 2], &format!("s{index}")).await;
    }
    // Whatever must outlast the nodes is in the store by now.
    tokio::time::sleep(Duration::from_millis(900)).await;
    runtime.shutdown_background();
    expire_nodes(&fixture).await;
    let begun_at_first = first.runs();
    let node = ready_node(&fixture, "n3", "z1").await;
    let mut resumed_count = 0;
    for index in 0..12 {
        let call = resumed(&fixture, &node, &format!("s{index}"));
        let res = call.send().await.unwrap();
        if res.status() == 200 {
            assert_eq!(read(res).await, (EVENTS as usize - 10, true));
            resumed_count += 1;
        }
    }
    assert!(resumed_count >= 6, "{resumed_count} of 12 streams go on");
    let resumed_at_first = first.runs() - begun_at_first;
    let begun_at_others = 12 - begun_at_first;
    assert!(resumed_at_first <= begun_at_first);
    assert!(total_runs(&others) - begun_at_others <= begun_at_others);
    if resumed_count == 12 {
        assert_eq!(resumed_at_first, begun_at_first);
    }
}
