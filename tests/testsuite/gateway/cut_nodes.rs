//! Nodes that are cut off from all back ends while callers, the store and the other nodes still reach them. Their callers
//! keep their addresses for many seconds, so calls that arrive there must be served through other nodes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::BoxFuture;
use hyper::StatusCode;
use jayhall::sources::store::{
    KeyValue, LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result, Store,
    Transaction, TransactionReply, WatchEvent, WatchRequest, WatchStream,
};
use jayhall_harness::Link;
use socket2::{Domain, Socket, Type};

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config, numbered_call, total_runs};

/// Time after the cut from which a cut node serves its callers.
const SERVED_AFTER: Duration = Duration::from_secs(4);
const BACKENDS: usize = 4;
/// Calls that are sent after that time.
const CALLS: usize = 30;
/// Time within which a call that no node can serve is refused.
const REFUSED_WITHIN: Duration = Duration::from_secs(2);

/// The fixture's store as a node sees it that reaches back ends at other addresses than other nodes do.
struct RelocatedStore {
    inner: Arc<MemoryStore>,
    addresses: Vec<(String, String)>,
}

impl RelocatedStore {
    fn relocate(&self, mut item: KeyValue) -> KeyValue {
        if item.key.starts_with("servers/") {
            let mut text = String::from_utf8(item.value.to_vec()).unwrap();
            for (from, to) in &self.addresses {
                text = text.replace(from, to);
            }
            item.value = text.into();
        }
        item
    }
}

impl Store for RelocatedStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        Box::pin(async {
            let mut reply = self.inner.range(req).await?;
            let entries = reply.entries.into_iter();
            reply.entries = entries.map(|item| self.relocate(item)).collect();
            Ok(reply)
        })
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        self.inner.transact(req)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        self.inner.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        self.inner.keep_alive(lease)
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        self.inner.revoke(lease)
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        Box::pin(async {
            let view = Self {
                inner: Arc::clone(&self.inner),
                addresses: self.addresses.clone(),
            };
            let events = self.inner.watch(req).await?;
            let events = events.map(move |event| match event {
                Ok(WatchEvent::Put(item)) => Ok(WatchEvent::Put(view.relocate(item))),
                other => other,
            });
            Ok(events.boxed())
        })
    }
}

/// An address at which connections are neither accepted nor refused.
struct BlackHole {
    address: SocketAddr,
    _listener: Socket,
    _pending: Vec<Socket>,
}

impl BlackHole {
    fn open() -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        // These fill the queue of connections that wait to be accepted.
        let pending = (0..3).map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            // The connections are still under way when the call returns.
            let _ = socket.connect(&address.into());
            socket
        });
        Self {
            address,
            _pending: pending.collect(),
            _listener: listener,
        }
    }
}

struct Fleet {
    fixture: Fixture,
    backends: Vec<FakeBackend>,
}

impl Fleet {
    async fn start(service: &str, behaviour: &Behaviour) -> Self {
        let fixture = Fixture::new();
        fixture.put("op/config", config(1)).await;
        let mut backends = Vec::new();
        for index in 0..BACKENDS {
            let backend = FakeBackend::spawn(behaviour.clone()).await;
            let id = format!("b{index}");
            fixture.list_backend(&id, service, &backend, "ready").await;
            backends.push(backend);
        }
        Self { fixture, backends }
    }

    /// Starts a node that reaches the back ends at these addresses instead of their own.
    async fn node_reaching(&self, name: &str, zone: &str, addresses: &[SocketAddr]) -> Node {
        let backends = self
            .backends
            .iter()
            .map(|backend| backend.address.to_string());
        let store = RelocatedStore {
            inner: Arc::clone(&self.fixture.store),
            addresses: backends
                .zip(addresses.iter().map(ToString::to_string))
                .collect(),
        };
        let node = self
            .fixture
            .node_with_store(name, zone, Arc::new(store))
            .await;
        self.fixture.ready(&node).await;
        node
    }

    async fn sound_node(&self, name: &str, zone: &str) -> Node {
        let node = self.fixture.node_in(name, zone).await;
        self.fixture.ready(&node).await;
        node
    }

    async fn links(&self) -> Vec<Link> {
        let mut links = Vec::new();
        for backend in &self.backends {
            let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
            links.push(Link::spawn(ip, backend.address).await.unwrap());
        }
        links
    }

    /// Sends calls to a node one after the other. Returns the number of those that are answered with 200 and `body`.
    async fn count_served(&self, node: &Node, path: &str, calls: usize, body: &str) -> usize {
        let mut served = 0;
        for _ in 0..calls {
            let res = numbered_call(&self.fixture, node, path).send().await;
            let Ok(res) = res else { continue };
            let status = res.status();
            let text = res.text().await.unwrap_or_default();
            served += usize::from(status == StatusCode::OK && text == body);
        }
        served
    }
}

const DONE: Behaviour = Behaviour::Answer(200, "done");

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_connections_to_all_back_ends_are_refused_serves_calls_through_others() {
    let fleet = Fleet::start("plain", &DONE).await;
    let links = fleet.links().await;
    let addresses: Vec<SocketAddr> = links.iter().map(Link::address).collect();
    let cut = fleet.node_reaching("n1", "z1", &addresses).await;
    let _sound = fleet.sound_node("n2", "z2").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(fleet.count_served(&cut, "/once/x", 5, "done").await, 5);
    drop(links);
    let cut_at = Instant::now();
    while cut_at.elapsed() < SERVED_AFTER {
        fleet.count_served(&cut, "/get/x", 1, "done").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = total_runs(&fleet.backends);
    let served = fleet.count_served(&cut, "/once/x", CALLS, "done").await
        + fleet.count_served(&cut, "/get/x", CALLS, "done").await;
    assert_eq!(served, 2 * CALLS);
    assert_eq!(total_runs(&fleet.backends) - runs, 2 * CALLS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_connections_to_all_back_ends_hang_serves_calls_through_others() {
    let fleet = Fleet::start("plain", &DONE).await;
    let holes: Vec<BlackHole> = (0..BACKENDS).map(|_| BlackHole::open()).collect();
    let addresses: Vec<SocketAddr> = holes.iter().map(|hole| hole.address).collect();
    let cut = fleet.node_reaching("n1", "z1", &addresses).await;
    let _sound = fleet.sound_node("n2", "z2").await;
    let cut_at = Instant::now();
    while cut_at.elapsed() < SERVED_AFTER {
        fleet.count_served(&cut, "/get/x", 1, "done").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = total_runs(&fleet.backends);
    let served = fleet.count_served(&cut, "/once/x", CALLS, "done").await;
    assert!(served * 3 >= CALLS * 2, "{served} of {CALLS}");
    assert_eq!(total_runs(&fleet.backends) - runs, served);
}

/// Guards against an order that is applied twice because the node that forwards it passes on a 503 of a back end that
/// has run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_at_a_node_that_forwards_the_call_is_not_reported_as_not_run() {
    let fleet = Fleet::start("plain", &Behaviour::Answer(503, "failed")).await;
    let refused: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let cut = fleet.node_reaching("n1", "z1", &[refused; BACKENDS]).await;
    let _sound = fleet.sound_node("n2", "z2").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut forwarded = 0;
    for _ in 0..CALLS {
        let runs = total_runs(&fleet.backends);
        let call = numbered_call(&fleet.fixture, &cut, "/once/x");
        let status = call.send().await.unwrap().status();
        let runs = total_runs(&fleet.backends) - runs;
        let has_run = runs > 0;
        assert_eq!(runs, usize::from(has_run), "{status}");
        assert!(!has_run || status == 502, "{status}");
        forwarded += runs;
    }
    assert_ne!(forwarded, 0, "no call was forwarded");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_another_node_forwards_waits_for_its_back_end() {
    let slow = Behaviour::AnswerAfter(Duration::from_millis(1000));
    let fleet = Fleet::start("plain", &slow).await;
    // The other node sends a call to one back end only.
    for index in 1..BACKENDS {
        fleet.fixture.remove(&format!("servers/b{index}")).await;
    }
    let refused: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let cut = fleet.node_reaching("n1", "z1", &[refused; BACKENDS]).await;
    let _sound = fleet.sound_node("n2", "z2").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(fleet.count_served(&cut, "/get/x", 3, "done").await, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_under_way_when_its_node_is_cut_off_goes_on_through_another_node() {
    let events = Behaviour::Events {
        to: 40,
        ends_normally: true,
    };
    let fleet = Fleet::start("llm", &events).await;
    let links = fleet.links().await;
    let addresses: Vec<SocketAddr> = links.iter().map(Link::address).collect();
    let cut = fleet.node_reaching("n1", "z1", &addresses).await;
    let _sound = fleet.sound_node("n2", "z2").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let call = numbered_call(&fleet.fixture, &cut, "/long/x");
    let res = call.send().await.unwrap();
    assert_eq!(res.status(), StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(links);
    let text = res.text().await.unwrap();
    let expected: String = (1..=40)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    assert_eq!(text, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_is_not_resumed_at_a_version_that_sent_none_of_its_events() {
    let complete = Behaviour::Events {
        to: 40,
        ends_normally: true,
    };
    let breaks_before_an_event = Behaviour::Events {
        to: 0,
        ends_normally: false,
    };
    let fleet = Fleet::start("llm", &complete).await;
    let first = &fleet.backends[0];
    first.set(breaks_before_an_event);
    let list = async |index: usize, zone: &str, version: &str| {
        let address = fleet.backends[index].address;
        let entry = format!(
            r#"{{"service":"llm","address":"{address}","zone":"{zone}","slots":8,"state":"ready","born":1,"version":"{version}"}}"#
        );
        fleet.fixture.put(&format!("servers/b{index}"), entry).await;
    };
    // The other node prefers the back end that breaks off.
    list(0, "z2", "v1").await;
    for index in 1..BACKENDS {
        list(index, "z3", "v2").await;
    }
    let refused: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let cut = fleet.node_reaching("n1", "z1", &[refused; BACKENDS]).await;
    let _sound = fleet.sound_node("n2", "z2").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let begin = numbered_call(&fleet.fixture, &cut, "/long/x");
    let begin = begin.headers(hyper::HeaderMap::from_iter([(
        "x-jayhall-attempt-id".parse().unwrap(),
        "s".parse().unwrap(),
    )]));
    let begun = begin.send().await.unwrap().bytes().await;
    assert_eq!(first.runs(), 1);
    first.set(complete);
    let resumed = numbered_call(&fleet.fixture, &cut, "/long/x");
    let resumed = resumed.header("resumes", "s").header("last-event-id", "10");
    let resumed = resumed.send().await.unwrap().bytes().await;
    let has_events = begun.is_ok_and(|text| !text.is_empty());
    let is_joined = has_events && resumed.is_ok() && first.runs() > 1;
    assert!(!is_joined, "events of both versions");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_unknown_software_is_not_sent_on_through_another_node() {
    let events = Behaviour::Events {
        to: 350,
        ends_normally: true,
    };
    let fleet = Fleet::start("llm", &events).await;
    let unnamed = |index: usize, state: &str| {
        let address = fleet.backends[index].address;
        let entry = format!(
            r#"{{"service":"llm","address":"{address}","zone":"z1","slots":8,"state":"{state}","born":1}}"#
        );
        (format!("servers/b{index}"), entry)
    };
    for index in 0..BACKENDS {
        let (key, entry) = unnamed(index, "ready");
        fleet.fixture.put(&key, entry).await;
    }
    let mut links = fleet.links().await;
    let addresses: Vec<SocketAddr> = links.iter().map(Link::address).collect();
    let cut = fleet.node_reaching("n1", "z1", &addresses).await;
    let _sound = fleet.sound_node("n2", "z2").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let stream = numbered_call(&fleet.fixture, &cut, "/long/x");
    let deadline = [(
        "x-jayhall-deadline-ms".parse().unwrap(),
        "8000".parse().unwrap(),
    )];
    let stream = stream.headers(hyper::HeaderMap::from_iter(deadline));
    let res = stream.send().await.unwrap();
    let runs = fleet.backends.iter().map(FakeBackend::runs);
    let streaming = runs.collect::<Vec<_>>().iter().position(|runs| *runs == 1);
    let streaming = streaming.expect("a back end sends the stream");
    // Its back end leaves, the others are cut off, and the node notices that before the stream breaks.
    let (key, entry) = unnamed(streaming, "draining");
    fleet.fixture.put(&key, entry).await;
    let last = links.remove(streaming);
    drop(links);
    for _ in 0..2 {
        let call = numbered_call(&fleet.fixture, &cut, "/resume/x");
        call.send().await.unwrap().text().await.unwrap_err();
    }
    drop(last);
    res.text().await.unwrap_err();
    let seen = fleet.backends.iter().flat_map(|b| b.seen.lock().clone());
    let mut resumed = seen.filter(|call| call.headers.contains_key("last-event-id"));
    assert!(resumed.next().is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_are_all_cut_off_refuse_calls_at_once_instead_of_passing_them_to_and_fro() {
    let fleet = Fleet::start("plain", &DONE).await;
    let refused: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut nodes = Vec::new();
    for (name, zone) in [("n1", "z1"), ("n2", "z2"), ("n3", "z3")] {
        nodes.push(fleet.node_reaching(name, zone, &[refused; BACKENDS]).await);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for _ in 0..5 {
        for node in &nodes {
            let started = Instant::now();
            let res = numbered_call(&fleet.fixture, node, "/once/x").send().await;
            assert_eq!(res.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
            assert!(
                started.elapsed() < REFUSED_WITHIN,
                "{:?}",
                started.elapsed()
            );
        }
    }
    assert_eq!(total_runs(&fleet.backends), 0);
}
