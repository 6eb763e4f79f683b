//! Running gateways over a store in memory, with back ends that fail as told.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jayhall::core::gateway::scaling::Order;
use jayhall::core::gateway::usage::{Counts, Window};
use jayhall::node::{Gateway, Platform};
use jayhall::ops::gateway::dialect::{Duties, DutyReply, Holder};
use jayhall::platform::PlatformDialect;
use jayhall::sources::store::{KeyRange, MemoryStore, Op, Store, Transaction};
use jayhall::util::settings::GatewaySettings;
use jayhall_harness::GatewaySettingsText;
use metrics_exporter_prometheus::PrometheusBuilder;
use parking_lot::Mutex;

/// What a back end does with a call.
#[derive(Clone, Debug)]
pub(super) enum Behaviour {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Answers and says that it is leaving.
    Leave,
    /// Sends events `1..=2`, then bytes of a third one now and then, without end.
    Trickle,
    /// Sends events `1..=to`, each so many milliseconds after the one before.
    Slow {
        /// Number of the last event.
        to: u64,
        /// Time between two events.
        pause_ms: u64,
    },
    /// Says that it did not run the call.
    Decline,
    /// Says that it did not run the call, and when to come back, in seconds.
    TurnAway(f64),
    /// Runs the call and closes the connection without an answer.
    Lose,
    /// Runs the call and says nothing.
    Silent,
    /// Answers under the name of another call.
    AnswerAnother,
    /// Answers without its signature.
    Unsigned,
    /// Sends events `from..=to` beyond what the caller has; then ends, or breaks off within an event.
    Events {
        /// Number of the last event that is sent as a whole.
        to: u64,
        /// Whether the stream ends as it should.
        ends: bool,
    },
}

/// A call as a back end saw it.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A back end.
pub(super) struct FakeBackend {
    pub(super) address: SocketAddr,
    pub(super) seen: Arc<Mutex<Vec<Seen>>>,
    pub(super) behaviour: Arc<Mutex<Behaviour>>,
    /// Calls whose caller has left before the end.
    pub(super) abandoned: Arc<Mutex<u32>>,
    /// Calls that were told when to come back.
    pub(super) turned_away: Arc<Mutex<u32>>,
}

struct CountAbandoned(Option<Arc<Mutex<u32>>>);

impl Drop for CountAbandoned {
    fn drop(&mut self) {
        if let Some(count) = self.0.take() {
            *count.lock() += 1;
        }
    }
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

fn whole(text: &'static str) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Events that follow `after`, one each 20 ms.
fn events(after: u64, to: u64, ends: bool, abandoned: Arc<Mutex<u32>>) -> Body {
    let guard = CountAbandoned(Some(abandoned));
    let frames = stream::unfold((after + 1, guard), move |(id, mut guard)| async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let frame = if id <= to {
            Ok(Frame::data(Bytes::from(format!(
                "id: {id}\ndata: piece {id}\n\n"
            ))))
        } else if !ends && id == to + 1 {
            Ok(Frame::data(Bytes::from(format!("id: {id}\ndata: pie"))))
        } else {
            guard.0 = None;
            if ends {
                return None;
            }
            Err(std::io::ErrorKind::ConnectionReset.into())
        };
        Some((frame, (id + 1, guard)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames.boxed()))
}

/// Events `1..=to` with a pause before each. Then, with `trickles`, a byte each 300 ms; else the end.
fn paced(to: u64, pause_ms: u64, trickles: bool) -> Body {
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

impl FakeBackend {
    pub(super) async fn spawn(behaviour: Behaviour) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            abandoned: Arc::default(),
            turned_away: Arc::default(),
        };
        let parts = (
            backend.seen.clone(),
            backend.behaviour.clone(),
            backend.abandoned.clone(),
            backend.turned_away.clone(),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let parts = parts.clone();
                let service = service_fn(move |req| answer(req, parts.clone()));
                let io = TokioIo::new(stream);
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service),
                );
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
}

type Parts = (
    Arc<Mutex<Vec<Seen>>>,
    Arc<Mutex<Behaviour>>,
    Arc<Mutex<u32>>,
    Arc<Mutex<u32>>,
);

async fn answer(
    req: Request<Incoming>,
    (seen, behaviour, abandoned, turned_away): Parts,
) -> Result<Response<Body>, std::io::Error> {
    let (head, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let header = |name: &str| {
        let value = head.headers.get(name).map(|value| value.to_str().unwrap());
        value.unwrap_or_default().to_owned()
    };
    let attempt = header("x-jayhall-attempt-id");
    let after = header("last-event-id").parse().unwrap_or(0);
    let behaviour = behaviour.lock().clone();
    if !matches!(behaviour, Behaviour::Decline | Behaviour::TurnAway(_)) {
        seen.lock().push(Seen {
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
            Behaviour::AnswerAnother => {
                headers.insert("x-jayhall-attempt-id", "another".parse().unwrap());
            }
            Behaviour::Unsigned => {
                headers.remove("x-jayhall-response-seal");
            }
            Behaviour::Leave => {
                headers.insert("server-leaving", "1".parse().unwrap());
            }
            Behaviour::Events { .. } | Behaviour::Trickle | Behaviour::Slow { .. } => {
                headers.insert("content-type", "text/event-stream".parse().unwrap());
            }
            _ => {}
        }
    }
    let (status, body) = match behaviour {
        Behaviour::Answer(status, body) => (status, whole(body)),
        Behaviour::AnswerAnother | Behaviour::Unsigned => (200, whole("wrong")),
        Behaviour::Leave => (200, whole("last")),
        Behaviour::TurnAway(seconds) => {
            *turned_away.lock() += 1;
            let res = Response::builder()
                .status(503)
                .header("retry-after", seconds.to_string())
                .header("x-jayhall-not-executed", "1");
            return Ok(res.body(whole("")).unwrap());
        }
        Behaviour::Decline => {
            let res = Response::builder()
                .status(503)
                .header("x-jayhall-not-executed", "1");
            return Ok(res.body(whole("")).unwrap());
        }
        Behaviour::Lose => return Err(std::io::ErrorKind::ConnectionReset.into()),
        Behaviour::Silent => {
            let _guard = CountAbandoned(Some(abandoned));
            std::future::pending::<Infallible>().await;
            unreachable!()
        }
        Behaviour::Events { to, ends } => (200, events(after, to, ends, abandoned)),
        Behaviour::Trickle => (200, paced(2, 20, true)),
        Behaviour::Slow { to, pause_ms } => (200, paced(to, pause_ms, false)),
    };
    Ok(res
        .status(StatusCode::from_u16(status).unwrap())
        .body(body)
        .unwrap())
}

/// The platform's interface for duties: notes what it is told.
#[derive(Default)]
pub(super) struct NotedDuties {
    pub(super) usage: Mutex<Vec<(Holder, Window, Counts)>>,
    pub(super) orders: Mutex<Vec<(Holder, Order)>>,
}

impl Duties for NotedDuties {
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

/// Gateways over one store.
pub(super) struct Rig {
    pub(super) store: Arc<MemoryStore>,
    pub(super) duties: Arc<NotedDuties>,
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

/// Returns addresses that nothing else in the tests listens at: each node has a loopback address of its own.
fn free_addresses() -> [SocketAddr; 5] {
    static NODES: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = NODES.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id() % 250 + 1;
    let ip = Ipv4Addr::new(127, process as u8, high, low);
    std::array::from_fn(|_| {
        let listener = std::net::TcpListener::bind((ip, 0)).unwrap();
        listener.local_addr().unwrap()
    })
}

/// Settings of a gateway whose store and cloud are not reached by address.
pub(super) fn settings_text() -> GatewaySettingsText<'static> {
    let nowhere = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1);
    GatewaySettingsText {
        name: "n1",
        region: "r",
        zone: "z1",
        listen: [nowhere; 5],
        regions: "z1:r",
        store: nowhere,
        cloud: nowhere,
        bounds: "",
    }
}

/// Routes of the rig: `/get/` is idempotent, `/once/` runs at most once, `/stream/`, `/resume/` and `/long/`
/// are streams.
pub(super) fn config(version: u64) -> String {
    let route = |prefix: &str, kind: &str, service: &str, resume: bool| {
        format!(
            r#"{{"name":"{prefix}","hostname":"h.example","pathPrefix":"/{prefix}/","routeType":"{kind}","timeoutMs":1500,"targetLatencyMs":1000,"service":"{service}","maxAttempts":2,"streamResume":{resume}}}"#
        )
    };
    let routes = [
        route("get", "safe", "plain", false),
        route("once", "unsafe", "plain", false),
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

impl Rig {
    pub(super) fn new() -> Self {
        Self {
            store: Arc::new(MemoryStore::new()),
            duties: Arc::default(),
            client: reqwest::Client::builder().build().unwrap(),
        }
    }

    pub(super) async fn put(&self, key: &str, value: impl Into<Bytes>) {
        let put = Transaction {
            then: vec![Op::Put {
                key: key.into(),
                value: value.into(),
                lease: None,
            }],
            ..Transaction::default()
        };
        self.store.transact(put).await.unwrap();
    }

    pub(super) async fn remove(&self, key: &str) {
        let delete = Transaction {
            then: vec![Op::Delete(KeyRange::One(key.into()))],
            ..Transaction::default()
        };
        self.store.transact(delete).await.unwrap();
    }

    pub(super) async fn list(&self, id: &str, service: &str, backend: &FakeBackend, state: &str) {
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"z1","slots":8,"state":"{state}","born":1}}"#,
            backend.address
        );
        self.put(&format!("servers/{id}"), entry).await;
    }

    pub(super) async fn node(&self, name: &str) -> Node {
        self.node_in(name, "z1").await
    }

    pub(super) async fn node_in(&self, name: &str, zone: &str) -> Node {
        let store = Arc::clone(&self.store);
        self.node_over(name, zone, store).await
    }

    /// Starts a node that reaches the rig's store through another one.
    pub(super) async fn node_over(&self, name: &str, zone: &str, store: Arc<dyn Store>) -> Node {
        let text = GatewaySettingsText {
            name,
            zone,
            regions: "z1:r, z2:r, z3:q",
            listen: free_addresses(),
            bounds: "stop = 4s\nlease = 300ms\nusage_window = 1s\n",
            ..settings_text()
        };
        let text = text.render();
        let settings = GatewaySettings::parse(&text).unwrap();
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

    /// Waits until a node is ready and knows `backends` back ends.
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
        self.client
            .post(node.url(path))
            .header("host", "h.example")
            .header("authorization", "Bearer k1")
            .header("x-jayhall-attempt-id", attempt)
            .header("x-jayhall-deadline-ms", "1400")
    }
}

/// A rig with one ready node and back ends `b0`, `b1`, ... of a service.
pub(super) async fn one_node(
    service: &str,
    behaviours: &[Behaviour],
) -> (Rig, Node, Vec<FakeBackend>) {
    let rig = Rig::new();
    rig.put("op/config", config(1)).await;
    let mut backends = Vec::new();
    for (at, behaviour) in behaviours.iter().enumerate() {
        let backend = FakeBackend::spawn(behaviour.clone()).await;
        rig.list(&format!("b{at}"), service, &backend, "ready")
            .await;
        backends.push(backend);
    }
    let node = rig.node("n1").await;
    rig.ready(&node).await;
    (rig, node, backends)
}

/// Returns how many back ends ran a call, and how often.
pub(super) fn total_runs(backends: &[FakeBackend]) -> usize {
    backends.iter().map(FakeBackend::runs).sum()
}

/// Returns the values of an answer's headers by name.
pub(super) fn header(res: &reqwest::Response, name: &str) -> Option<String> {
    let value = res.headers().get(name)?;
    value.to_str().ok().map(Into::into)
}

/// Headers as text, for comparing.
pub(super) fn text(headers: &HeaderMap) -> HashMap<String, String> {
    let pair = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        (name.to_string(), value.to_str().unwrap().to_owned())
    };
    headers.iter().map(pair).collect()
}
