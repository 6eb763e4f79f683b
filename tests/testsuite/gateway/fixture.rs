//! Test fixture: running gateways with an in-memory store and back ends with configurable faults.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jayhall::core::gateway::members::{Capacity, Member};
use jayhall::core::gateway::scaling::Order;
use jayhall::core::gateway::usage::{Counts, Window};
use jayhall::node::{Gateway, Platform};
use jayhall::ops::gateway::dialect::{Duties, DutyReply, Holder};
use jayhall::ops::gateway::state::GatewayState;
use jayhall::platform::PlatformDialect;
use jayhall::sources::store::{
    KeyRange, KeyValue, MemoryStore, Op, RangeRequest, Store, Transaction,
};
use jayhall::util::settings::GatewaySettings;
use jayhall_harness::GatewaySettingsText;
use metrics_exporter_prometheus::PrometheusBuilder;
use parking_lot::Mutex;
use tokio::sync::watch;

/// How a back end handles calls.
#[derive(Clone, Debug)]
pub(super) enum Behaviour {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Answers and announces that it is leaving.
    AnswerLeaving,
    /// Answers after a time.
    AnswerAfter(Duration),
    /// Answers and names a limit on calls a second.
    AnswerLimited(f64),
    /// Answers after 100 ms, with this header as what it can bear of rejected calls a second. Declines calls beyond
    /// the number that it runs at once.
    Brittle {
        /// Calls that it runs at once.
        room: usize,
        /// Value of the header.
        bearable: u32,
    },
    /// Sends events `1..=2`, then a byte of a third event every 300 ms without end.
    Trickle,
    /// Sends events `1..=to` with a pause before each.
    Slow {
        /// Number of the last event.
        to: u64,
        /// Pause before each event in milliseconds.
        pause_ms: u64,
    },
    /// Sends the events after the caller's last event up to `to`, one every 50 ms. While it is held up it sends nothing,
    /// neither events nor the head of an answer.
    HeldUp {
        /// Number of the last event.
        to: u64,
        /// Whether it is held up.
        is_held_up: watch::Receiver<bool>,
    },
    /// Declines the call without running it.
    Decline,
    /// Declines the call with a `Retry-After` in seconds.
    DeclineFor(f64),
    /// Declines the call with this status.
    DeclineAs(u16),
    /// Runs the call and answers with status 503 and a `Retry-After` in seconds.
    FailFor(f64),
    /// Runs the call and closes the connection without an answer.
    Disconnect,
    /// Runs the call and closes the connection without an answer if the body is this one; else answers.
    DisconnectOn(&'static str),
    /// Runs the call and never answers.
    Silent,
    /// Answers with the attempt id of another call.
    AnswerOther,
    /// Answers without its signature.
    Unsigned,
    /// Breaks off before the first event of a call whose prompt has this part; else sends six events.
    BreakOn(&'static str),
    /// Sends the events after the caller's last event up to `to`; then ends, or resets the connection within
    /// the next event.
    Events {
        /// Number of the last complete event.
        to: u64,
        /// Whether the stream ends normally.
        ends_normally: bool,
    },
}

/// A call as received by a back end.
#[derive(Clone, Debug)]
pub(super) struct ReceivedCall {
    pub(super) at: Instant,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A back end with configurable behaviour, which records the calls that it runs. Copies share their state.
#[derive(Clone)]
pub(super) struct FakeBackend {
    pub(super) address: SocketAddr,
    pub(super) seen: Arc<Mutex<Vec<ReceivedCall>>>,
    pub(super) behaviour: Arc<Mutex<Behaviour>>,
    /// Number of calls whose caller disconnected before the end.
    pub(super) abandoned: Arc<Mutex<u32>>,
    /// When the callers of [`Behaviour::HeldUp`] disconnected before the end.
    pub(super) left: Arc<Mutex<Vec<Instant>>>,
    /// Number of calls declined with a `Retry-After`.
    pub(super) declined_with_delay: Arc<Mutex<u32>>,
    /// When calls were declined for want of room.
    pub(super) rejected: Arc<Mutex<Vec<Instant>>>,
    /// Status and body of its report on itself.
    pub(super) report: Arc<Mutex<(u16, String)>>,
    /// Number of its reports.
    pub(super) reports: Arc<AtomicU32>,
    /// Calls that run, if their number is limited.
    running: Arc<AtomicU32>,
    /// Changes when all connections are to be closed.
    connections: watch::Sender<()>,
}

struct AbandonedGuard(Option<Arc<Mutex<u32>>>);

impl Drop for AbandonedGuard {
    fn drop(&mut self) {
        if let Some(count) = self.0.take() {
            *count.lock() += 1;
        }
    }
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

fn full_body(text: &'static str) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Returns a body with the events after `after`, one every 20 ms.
fn event_body(after: u64, to: u64, ends_normally: bool, abandoned: Arc<Mutex<u32>>) -> Body {
    let guard = AbandonedGuard(Some(abandoned));
    let frames = stream::unfold((after + 1, guard), move |(id, mut guard)| async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let frame = if id <= to {
            Ok(Frame::data(Bytes::from(format!(
                "id: {id}\ndata: piece {id}\n\n"
            ))))
        } else if !ends_normally && id == to + 1 {
            Ok(Frame::data(Bytes::from(format!("id: {id}\ndata: pie"))))
        } else {
            guard.0 = None;
            if ends_normally {
                return None;
            }
            Err(std::io::ErrorKind::ConnectionReset.into())
        };
        Some((frame, (id + 1, guard)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames.boxed()))
}

/// Returns a body with events `1..=to` and a pause before each. Then it ends or, with `trickles`, continues with
/// a byte every 300 ms.
fn paced_body(to: u64, pause_ms: u64, trickles: bool) -> Body {
    let frames = stream::unfold(1_u64, move |id| async move {
        let is_event = id <= to;
        if !is_event && !trickles {
            return None;
        }
        let pause = if is_event { pause_ms } else { 300 };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let text = match is_event {
            true => format!("id: {id}\ndata: piece {id}\n\n"),
            false => "x".into(),
        };
        Some((Ok(Frame::data(Bytes::from(text))), id + 1))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames.boxed()))
}

/// Records when its call is given up before the end.
struct LeftGuard {
    left: Arc<Mutex<Vec<Instant>>>,
    has_ended: bool,
}

impl LeftGuard {
    fn end(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for LeftGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.left.lock().push(Instant::now());
        }
    }
}

/// Waits while a back end is held up.
async fn wait_held_up(is_held_up: &mut watch::Receiver<bool>) {
    // The test has ended if the sender is gone.
    let _ = is_held_up.wait_for(|held_up| !held_up).await;
}

/// Returns a body with the events after `after`, one every 50 ms, and none while the back end is held up.
fn held_up_body(after: u64, to: u64, is_held_up: watch::Receiver<bool>, guard: LeftGuard) -> Body {
    let start = (after + 1, is_held_up, guard);
    let frames = stream::unfold(start, move |(id, mut is_held_up, mut guard)| async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        wait_held_up(&mut is_held_up).await;
        if id > to {
            guard.end();
            return None;
        }
        let frame = Frame::data(Bytes::from(format!("id: {id}\ndata: piece {id}\n\n")));
        Some((Ok(frame), (id + 1, is_held_up, guard)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames.boxed()))
}

/// Counts a call as running.
struct RunningGuard {
    running: Arc<AtomicU32>,
    /// Number of calls that ran before.
    others: usize,
}

impl RunningGuard {
    fn new(running: Arc<AtomicU32>) -> Self {
        let others = running.fetch_add(1, Ordering::Relaxed) as usize;
        Self { running, others }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl FakeBackend {
    pub(super) async fn spawn(behaviour: Behaviour) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            abandoned: Arc::default(),
            left: Arc::default(),
            declined_with_delay: Arc::default(),
            rejected: Arc::default(),
            report: Arc::new(Mutex::new((200, report(1)))),
            reports: Arc::default(),
            running: Arc::default(),
            connections: watch::Sender::new(()),
        };
        let shared = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = shared.clone();
                let mut closed = shared.connections.subscribe();
                let service = service_fn(move |req| answer(req, shared.clone()));
                let io = TokioIo::new(stream);
                let connection =
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service);
                tokio::spawn(async move {
                    tokio::select! {
                        _ = connection => {}
                        _ = closed.changed() => {}
                    }
                });
            }
        });
        backend
    }

    pub(super) fn runs(&self) -> usize {
        self.seen.lock().len()
    }

    pub(super) fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
    }

    /// Closes all connections abruptly.
    pub(super) fn close_connections(&self) {
        self.connections.send_replace(());
    }

    /// Stands for a crash and a new start at the same address: closes all connections, and reports another start of
    /// the process from now on.
    pub(super) fn restart(&self, started: u64) {
        *self.report.lock() = (200, report(started));
        self.close_connections();
    }
}

/// Returns the report of a process that started at this time.
fn report(started: u64) -> String {
    format!(
        r#"{{"stage":"both","models":[],"busy":false,"seq":2,"waiting":0,"running":1,"kvUsed":0,"kvTotal":90000,"handles":0,"born":{started}}}"#
    )
}

/// Returns the response of a back end that does not run a call.
fn decline(status: u16) -> Response<Body> {
    let res = Response::builder()
        .status(status)
        .header("x-jayhall-not-executed", "1");
    res.body(full_body("")).unwrap()
}

async fn answer(
    req: Request<Incoming>,
    backend: FakeBackend,
) -> Result<Response<Body>, std::io::Error> {
    let FakeBackend {
        seen,
        behaviour,
        abandoned,
        left,
        declined_with_delay,
        rejected,
        running,
        report,
        reports,
        ..
    } = backend;
    let (head, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    if head.uri.path() == "/report" {
        reports.fetch_add(1, Ordering::Relaxed);
        let (status, text) = report.lock().clone();
        let text = Full::new(Bytes::from(text)).map_err(|e| match e {});
        let res = Response::builder().status(status);
        return Ok(res.body(text.boxed_unsync()).unwrap());
    }
    let header = |name: &str| {
        let value = head.headers.get(name).map(|value| value.to_str().unwrap());
        value.unwrap_or_default().to_owned()
    };
    let attempt = header("x-jayhall-attempt-id");
    let after = header("last-event-id").parse().unwrap_or(0);
    let behaviour = match behaviour.lock().clone() {
        Behaviour::DisconnectOn(text) if body == text.as_bytes() => Behaviour::Disconnect,
        Behaviour::DisconnectOn(_) => Behaviour::Answer(200, "done"),
        other => other,
    };
    let slot = RunningGuard::new(running);
    if let Behaviour::Brittle { room, bearable } = &behaviour
        && slot.others >= *room
    {
        rejected.lock().push(Instant::now());
        let mut res = decline(503);
        res.headers_mut()
            .insert("server-brittle", (*bearable).into());
        return Ok(res);
    }
    if !matches!(
        behaviour,
        Behaviour::Decline | Behaviour::DeclineFor(_) | Behaviour::DeclineAs(_)
    ) {
        seen.lock().push(ReceivedCall {
            at: Instant::now(),
            path: head.uri.to_string(),
            headers: head.headers.clone(),
            body,
        });
    }
    let mut res = Response::builder()
        .header("x-jayhall-attempt-id", &attempt)
        .header("x-jayhall-response-seal", format!("seal-{attempt}"));
    if let Some(headers) = res.headers_mut() {
        match &behaviour {
            Behaviour::AnswerOther => {
                headers.insert("x-jayhall-attempt-id", "another".parse().unwrap());
            }
            Behaviour::Unsigned => {
                headers.remove("x-jayhall-response-seal");
            }
            Behaviour::AnswerLeaving => {
                headers.insert("server-leaving", "1".parse().unwrap());
            }
            Behaviour::Brittle { bearable, .. } => {
                headers.insert("server-brittle", (*bearable).into());
            }
            Behaviour::FailFor(seconds) => {
                headers.insert("retry-after", seconds.to_string().parse().unwrap());
            }
            Behaviour::AnswerLimited(limit) => {
                headers.insert("server-limit", limit.to_string().parse().unwrap());
            }
            Behaviour::BreakOn(_)
            | Behaviour::Events { .. }
            | Behaviour::Trickle
            | Behaviour::HeldUp { .. }
            | Behaviour::Slow { .. } => {
                headers.insert("content-type", "text/event-stream".parse().unwrap());
            }
            _ => {}
        }
    }
    let (status, body) = match behaviour {
        Behaviour::Answer(status, body) => (status, full_body(body)),
        Behaviour::AnswerOther | Behaviour::Unsigned => (200, full_body("wrong")),
        Behaviour::AnswerLeaving => (200, full_body("last")),
        Behaviour::AnswerLimited(_) => (200, full_body("done")),
        Behaviour::Brittle { .. } => {
            tokio::time::sleep(Duration::from_millis(100)).await;
            (200, full_body("done"))
        }
        Behaviour::AnswerAfter(delay) => {
            tokio::time::sleep(delay).await;
            (200, full_body("done"))
        }
        Behaviour::DeclineFor(seconds) => {
            *declined_with_delay.lock() += 1;
            let delay = seconds.to_string().parse().unwrap();
            let mut res = decline(503);
            res.headers_mut().insert("retry-after", delay);
            return Ok(res);
        }
        Behaviour::Decline => return Ok(decline(503)),
        Behaviour::DeclineAs(status) => return Ok(decline(status)),
        Behaviour::FailFor(_) => (503, full_body("failed")),
        Behaviour::Disconnect | Behaviour::DisconnectOn(_) => {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        Behaviour::Silent => {
            let _guard = AbandonedGuard(Some(abandoned));
            std::future::pending::<Infallible>().await;
            unreachable!()
        }
        Behaviour::Events { to, ends_normally } => {
            (200, event_body(after, to, ends_normally, abandoned))
        }
        Behaviour::BreakOn(part) => {
            let breaks = header("x-jayhall-prompt-prefix").contains(part);
            let last = if breaks { 0 } else { 6 };
            (200, event_body(after, last, !breaks, abandoned))
        }
        Behaviour::HeldUp { to, mut is_held_up } => {
            let guard = LeftGuard {
                left,
                has_ended: false,
            };
            wait_held_up(&mut is_held_up).await;
            (200, held_up_body(after, to, is_held_up, guard))
        }
        Behaviour::Trickle => (200, paced_body(2, 20, true)),
        Behaviour::Slow { to, pause_ms } => (200, paced_body(to, pause_ms, false)),
    };
    Ok(res
        .status(StatusCode::from_u16(status).unwrap())
        .body(body)
        .unwrap())
}

/// Implementation of [`Duties`] that records all calls.
#[derive(Default)]
pub(super) struct RecordingDuties {
    pub(super) usage: Mutex<Vec<(Holder, Window, Counts)>>,
    pub(super) orders: Mutex<Vec<(Holder, Order)>>,
}

impl Duties for RecordingDuties {
    fn report_usage(
        &self,
        holder: Holder,
        window: Window,
        counts: Counts,
    ) -> BoxFuture<'_, DutyReply> {
        self.usage.lock().push((holder, window, counts));
        Box::pin(async { DutyReply::Taken })
    }

    fn order(&self, holder: Holder, _service: Box<str>, order: Order) -> BoxFuture<'_, DutyReply> {
        self.orders.lock().push((holder, order));
        Box::pin(async { DutyReply::Taken })
    }
}

impl RecordingDuties {
    /// Returns the counts of each window. A new holder of the duties may repeat a report, but only with the same counts.
    pub(super) fn counts_by_window(&self) -> BTreeMap<Window, Counts> {
        let mut windows = BTreeMap::new();
        for (_, window, counts) in &*self.usage.lock() {
            let before = windows.insert(*window, counts.clone());
            assert!(
                before.is_none_or(|before| before == *counts),
                "window {window} has other counts"
            );
        }
        windows
    }
}

/// A test fixture for gateways that share one store.
pub(super) struct Fixture {
    pub(super) store: Arc<MemoryStore>,
    pub(super) duties: Arc<RecordingDuties>,
    pub(super) client: reqwest::Client,
}

/// One gateway of a rig.
pub(super) struct Node {
    pub(super) settings: GatewaySettings,
    pub(super) gateway: Option<Gateway>,
}

impl Node {
    pub(super) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.listen.callers)
    }
}

/// Returns addresses that no other test uses: each node has its own loopback address.
pub(super) fn free_addresses() -> [SocketAddr; 5] {
    static NODES: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = NODES.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id() % 250 + 1;
    let ip = Ipv4Addr::new(127, process as u8, high, low);
    // All are held until the last one is chosen, as a port that is free again may be chosen twice.
    let listeners: [_; 5] = std::array::from_fn(|_| std::net::TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

#[test]
fn the_addresses_of_a_node_are_all_different() {
    for _ in 0..10_000 {
        let addresses = free_addresses();
        assert_eq!(HashSet::from(addresses).len(), addresses.len());
    }
}

/// Settings of a gateway that gets its store and cloud from the fixture instead of by address.
pub(super) fn default_settings() -> GatewaySettingsText<'static> {
    let unused = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1);
    GatewaySettingsText {
        name: "n1",
        region: "r",
        zone: "z1",
        listen: [unused; 5],
        regions: "z1:r",
        store: unused,
        cloud: unused,
        bounds: "",
    }
}

/// Returns the write of a key without a condition.
pub(super) fn put(key: &str, value: impl Into<Bytes>) -> Transaction {
    Transaction {
        then: vec![Op::Put {
            key: key.into(),
            value: value.into(),
            lease: None,
        }],
        ..Transaction::default()
    }
}

/// Reads keys of a store.
pub(super) async fn entries(store: &MemoryStore, range: KeyRange) -> Vec<KeyValue> {
    store.range(RangeRequest { range }).await.unwrap().entries
}

/// Returns the entry of a back end of version `v1` in the availability zone `z1`.
pub(super) fn backend_entry(service: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"z1","slots":8,"state":"{state}","born":1,"version":"v1"}}"#
    )
}

/// Settings of a node in the zones `z1` to `z3`, at addresses of its own.
pub(super) fn node_settings(name: &str, zone: &str) -> GatewaySettings {
    let text = GatewaySettingsText {
        name,
        zone,
        regions: "z1:r, z2:r, z3:q",
        listen: free_addresses(),
        bounds: "stop = 4s\nlease = 300ms\nusage_window = 1s\n",
        ..default_settings()
    };
    GatewaySettings::parse(&text.render()).unwrap()
}

/// Returns the state of a node that has just started, without its tasks.
pub(super) fn gateway_state(name: &str) -> Arc<GatewayState> {
    let text = GatewaySettingsText {
        name,
        ..default_settings()
    };
    GatewayState::new(
        GatewaySettings::parse(&text.render()).unwrap(),
        Arc::new(PlatformDialect),
    )
}

/// Configuration of the fixture: calls of `/get/` are idempotent, calls of `/once/` and `/patient/` run at most once, and
/// `/stream/`, `/resumable/` and `/long/` answer with streams.
pub(super) fn config(version: u64) -> String {
    let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
        format!(
            r#"{{"name":"{prefix}","hostname":"h.example","pathPrefix":"/{prefix}/","routeType":"{kind}","timeoutMs":1500,"targetLatencyMs":1000,"service":"{service}","maxAttempts":2,"streamResume":{resumable}}}"#
        )
    };
    let routes = [
        route("get", "safe", "plain", false),
        route("once", "unsafe", "plain", false),
        route("patient", "unsafe", "plain", false).replace("1500", "8000"),
        route("stream", "streaming", "llm", false),
        route("resume", "streaming", "llm", true),
        route("long", "streaming", "llm", true)
            .replace("1500", "8000")
            .replace("\"service\"", "\"gapAimMs\":1000,\"service\""),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"plain"}},{{"name":"llm","engine":{{"slots":8,"kvCapacity":100000}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"anna","apiKeys":["k1"]}}]}}"#,
        routes.join(",")
    )
}

/// Has log lines written, to nowhere: their fields are computed only if somebody listens, and may take locks.
fn write_logs() {
    static SUBSCRIBER: Once = Once::new();
    SUBSCRIBER.call_once(|| {
        let subscriber = tracing_subscriber::fmt().with_writer(std::io::sink);
        // Fails if a test has set another subscriber, which computes the fields as well.
        let _ = subscriber.try_init();
    });
}

impl Fixture {
    pub(super) fn new() -> Self {
        write_logs();
        Self {
            store: Arc::new(MemoryStore::new()),
            duties: Arc::default(),
            client: reqwest::Client::builder().build().unwrap(),
        }
    }

    pub(super) async fn put(&self, key: &str, value: impl Into<Bytes>) {
        self.store.transact(put(key, value)).await.unwrap();
    }

    pub(super) async fn remove(&self, key: &str) {
        let delete = Transaction {
            then: vec![Op::Delete(KeyRange::One(key.into()))],
            ..Transaction::default()
        };
        self.store.transact(delete).await.unwrap();
    }

    /// Removes all keys with a prefix.
    pub(super) async fn remove_all(&self, prefix: &str) {
        let delete = Transaction {
            then: vec![Op::Delete(KeyRange::Prefix(prefix.into()))],
            ..Transaction::default()
        };
        self.store.transact(delete).await.unwrap();
    }

    pub(super) async fn list_backend(
        &self,
        id: &str,
        service: &str,
        backend: &FakeBackend,
        state: &str,
    ) {
        self.list_address(id, service, backend.address, state).await;
    }

    pub(super) async fn list_address(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) {
        let entry = backend_entry(service, address, state);
        self.put(&format!("servers/{id}"), entry).await;
    }

    pub(super) async fn node(&self, name: &str) -> Node {
        self.node_in(name, "z1").await
    }

    pub(super) async fn node_in(&self, name: &str, zone: &str) -> Node {
        let store = Arc::clone(&self.store);
        self.node_with_store(name, zone, store).await
    }

    /// Starts a node with the given store, usually a wrapper of the fixture's store.
    pub(super) async fn node_with_store(
        &self,
        name: &str,
        zone: &str,
        store: Arc<dyn Store>,
    ) -> Node {
        self.node_with_seeds(name, zone, store, &[]).await
    }

    /// Starts a node whose settings name the control addresses of other nodes.
    pub(super) async fn node_with_seeds(
        &self,
        name: &str,
        zone: &str,
        store: Arc<dyn Store>,
        seeds: &[SocketAddr],
    ) -> Node {
        let mut settings = node_settings(name, zone);
        settings.seeds = seeds.to_vec();
        self.node_with_settings(settings, store).await
    }

    /// Starts a node on a VM with this much memory.
    pub(super) async fn node_with_memory(&self, name: &str, memory_bytes: u64) -> Node {
        let mut settings = node_settings(name, "z1");
        settings.memory_bytes = memory_bytes;
        let store = Arc::clone(&self.store);
        self.node_with_settings(settings, store).await
    }

    /// Starts a node that sends one call a second time in some seconds, whatever the number of calls.
    pub(super) async fn node_with_one_retry(&self, name: &str) -> Node {
        let mut settings = node_settings(name, "z1");
        settings.bounds.retry_ratio = 0.0;
        settings.bounds.retry_slack = 1.0;
        let store = Arc::clone(&self.store);
        self.node_with_settings(settings, store).await
    }

    /// Starts a node with these settings.
    pub(super) async fn node_with_settings(
        &self,
        settings: GatewaySettings,
        store: Arc<dyn Store>,
    ) -> Node {
        let platform = Platform {
            dialect: Arc::new(PlatformDialect),
            store,
            duties: Some(Arc::clone(&self.duties) as _),
        };
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        let control = tokio::runtime::Handle::current();
        let gateway = Gateway::spawn(settings.clone(), platform, &control, metrics);
        Node {
            settings,
            gateway: Some(gateway.await.unwrap()),
        }
    }

    /// Waits until a node reports that it is ready.
    pub(super) async fn ready(&self, node: &Node) {
        let url = format!("http://{}/readyz", node.settings.listen.readiness);
        for _ in 0..200 {
            let res = self.client.get(&url).send().await;
            if res.is_ok_and(|res| res.status() == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the node does not become ready");
    }

    pub(super) fn call(&self, node: &Node, path: &str, attempt: &str) -> reqwest::RequestBuilder {
        headed(self.client.post(node.url(path)), attempt)
    }

    /// Returns a call to the control listener, as another node forwards it.
    pub(super) fn forwarded_call(&self, node: &Node, path: &str) -> reqwest::RequestBuilder {
        let control = node.settings.listen.control;
        let call = self.client.post(format!("http://{control}{path}"));
        headed(call, "f1").header("jayhall-max-sends", "2")
    }
}

/// Adds the headers of a caller.
fn headed(call: reqwest::RequestBuilder, attempt: &str) -> reqwest::RequestBuilder {
    call.header("host", "h.example")
        .header("authorization", "Bearer k1")
        .header("x-jayhall-attempt-id", attempt)
        .header("x-jayhall-deadline-ms", "1400")
}

/// Returns a call with an attempt id of its own.
pub(super) fn numbered_call(fixture: &Fixture, node: &Node, path: &str) -> reqwest::RequestBuilder {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let number = CALLS.fetch_add(1, Ordering::Relaxed);
    fixture.call(node, path, &format!("c{number}"))
}

/// Replaces the deadline that the fixture gives each call.
pub(super) fn with_deadline(
    call: reqwest::RequestBuilder,
    ms: &'static str,
) -> reqwest::RequestBuilder {
    let name = HeaderName::from_static("x-jayhall-deadline-ms");
    call.headers(HeaderMap::from_iter([(name, HeaderValue::from_static(ms))]))
}

/// Creates a fixture with one ready node and back ends `b0`, `b1`, ... of a service.
pub(super) async fn fixture_with_node(
    service: &str,
    behaviours: &[Behaviour],
) -> (Fixture, Node, Vec<FakeBackend>) {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let mut backends = Vec::new();
    for (index, behaviour) in behaviours.iter().enumerate() {
        let backend = FakeBackend::spawn(behaviour.clone()).await;
        fixture
            .list_backend(&format!("b{index}"), service, &backend, "ready")
            .await;
        backends.push(backend);
    }
    let node = fixture.node("n1").await;
    fixture.ready(&node).await;
    (fixture, node, backends)
}

/// Returns the number of calls that the back ends ran.
pub(super) fn total_runs(backends: &[FakeBackend]) -> usize {
    backends.iter().map(FakeBackend::runs).sum()
}

/// Returns the value of an answer's header.
pub(super) fn header_value(res: &reqwest::Response, name: &str) -> Option<String> {
    let value = res.headers().get(name)?;
    value.to_str().ok().map(Into::into)
}

/// Converts headers to text for comparison.
pub(super) fn header_texts(headers: &HeaderMap) -> HashMap<String, String> {
    let pair = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        (name.to_string(), value.to_str().unwrap().to_owned())
    };
    headers.iter().map(pair).collect()
}

/// Returns the node `n<index>` of a played fleet in six availability zones.
pub(super) fn member(index: usize) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        name: format!("n{index}").into(),
        region: "r".into(),
        zone: format!("z{}", index % 6).into(),
        callers: address,
        peers: address,
        control: address,
        incarnation: index as u64,
        is_ready: true,
        capacity: Capacity::default(),
    }
}
