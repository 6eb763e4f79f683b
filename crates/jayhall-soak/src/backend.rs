//! Back end server that records every execution and can inject faults.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use futures::StreamExt;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderName;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use jayhall::platform::headers;
use jayhall_harness::{Link, LinkState};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::bodies::{
    EVENTS_PER_STREAM, LARGE_BODY_BYTES, event, event_interval, large_parts, plain_body, signature,
};
use crate::history::{History, Kind, Run, Silence};

/// Execution time before the response headers are sent.
pub(crate) const EXECUTION_TIME: Duration = Duration::from_millis(25);
/// Calls that a back end accepts beyond its slots.
const QUEUE_CAPACITY: u32 = 4;

/// Statuses of failures after the execution. Callers read all but the first as "not executed", which a back end states
/// with a header only.
const FAILURE_STATUSES: [u16; 5] = [500, 408, 421, 429, 503];

/// Failure mode of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Operates correctly.
    Sound,
    /// Answers the first execution of about a third of the attempts with one of [`FAILURE_STATUSES`].
    Failing,
    /// Executes calls and closes their connections without a response.
    LosesAnswers,
    /// Cuts off streams in the middle of an event, and other responses in the middle of the body.
    BreaksOff,
}

/// A running back end, reachable through a link.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) number: usize,
    pub(crate) id: Box<str>,
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) slots: u32,
    pub(crate) link: Link,
    shared: Arc<Shared>,
    alive: watch::Sender<bool>,
}

#[derive(Debug)]
struct Shared {
    number: usize,
    id: Box<str>,
    service: &'static str,
    slots: u32,
    mode: Mutex<Mode>,
    /// Number of silences that last.
    silences: watch::Sender<u32>,
    busy: AtomicU32,
    history: History,
}

impl Backend {
    pub(crate) async fn spawn(
        ip: IpAddr,
        number: usize,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        history: History,
    ) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let link = Link::spawn(ip, listener.local_addr()?).await?;
        let id: Box<str> = format!("b{number}").into();
        let shared = Arc::new(Shared {
            number,
            id: id.clone(),
            service,
            slots,
            mode: Mutex::new(Mode::Sound),
            silences: watch::Sender::new(0),
            busy: AtomicU32::new(0),
            history,
        });
        let (alive, is_alive) = watch::channel(true);
        tokio::spawn(accept(listener, Arc::clone(&shared), is_alive));
        Ok(Self {
            number,
            id,
            service,
            zone,
            slots,
            link,
            shared,
            alive,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.link.address()
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        *self.shared.mode.lock() = mode;
    }

    /// Silences the back end for `time`: it sends neither heads nor events, and goes on with all calls afterwards.
    pub(crate) async fn silence(&self, time: Duration) {
        let history = &self.shared.history;
        let index = {
            let mut events = history.lock();
            events.silences.push(Silence {
                backend: self.number,
                from: history.now(),
                to: None,
            });
            events.silences.len() - 1
        };
        self.shared.silences.send_modify(|count| *count += 1);
        tokio::time::sleep(time).await;
        self.shared.silences.send_modify(|count| *count -= 1);
        let now = history.now();
        history.lock().silences[index].to = Some(now);
    }

    /// Stops the back end and closes all its connections abruptly.
    pub(crate) fn crash(&self) {
        self.alive.send_replace(false);
        self.link.set(LinkState::Reset);
    }

    /// Returns the value of the back end's entry in the store.
    pub(crate) fn entry(&self, state: &str, seq: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","slots":{},"state":"{state}","born":{},"seq":{seq},"version":"1","coldRemainingMs":0}}"#,
            self.service,
            self.address(),
            self.zone,
            self.slots,
            self.shared.started(),
        )
    }

    /// Returns the key of the back end's entry in the store.
    pub(crate) fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, alive: watch::Receiver<bool>) {
    let mut ended = alive.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|alive| !alive) => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(connection(stream, Arc::clone(&shared), alive.clone()));
        }
    }
}

async fn connection(stream: TcpStream, shared: Arc<Shared>, mut alive: watch::Receiver<bool>) {
    let service = service_fn(move |req| Arc::clone(&shared).serve(req));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Connection errors are ignored here; callers record how their calls end.
    tokio::select! {
        _ = connection => {}
        _ = alive.wait_for(|alive| !alive) => {}
    }
}

/// Content of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Content {
    /// A short body.
    Plain,
    /// The events after the one with the number `after`.
    Events { after: u64, interval: Duration },
    /// A body of [`LARGE_BODY_BYTES`].
    Large,
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

fn full_body(text: String) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|e: Infallible| match e {})
        .boxed_unsync()
}

/// Guard of a running execution; records its end when dropped.
struct RunGuard {
    shared: Arc<Shared>,
    attempt: Box<str>,
    run_index: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared.busy.fetch_sub(1, Ordering::Relaxed);
        let now = self.shared.history.now();
        let mut events = self.shared.history.lock();
        if let Some(run) = events
            .runs
            .get_mut(&self.attempt)
            .and_then(|runs| runs.get_mut(self.run_index))
        {
            run.ended = Some(now);
        }
    }
}

fn header(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

impl Shared {
    /// Returns the start of the back end's process in milliseconds since 1970.
    fn started(&self) -> u64 {
        self.history.wall_start + self.number as u64
    }

    /// Waits while the back end is silent.
    async fn speaks(&self) {
        let mut silences = self.silences.subscribe();
        // The sender lives as long as `self`.
        let _ = silences.wait_for(|count| *count == 0).await;
    }

    async fn serve(self: Arc<Self>, req: Request<Incoming>) -> std::io::Result<Response<Body>> {
        self.speaks().await;
        let (head, body) = req.into_parts();
        let body = body
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        if head.uri.path() == "/report" {
            let report = format!(r#"{{"seq":1,"born":{}}}"#, self.started());
            return Ok(Response::new(full_body(report)));
        }
        let attempt = header(&head.headers, headers::ATTEMPT).unwrap_or_default();
        if attempt.is_empty() {
            return Ok(not_run_response(400));
        }
        let expected = header(&head.headers, headers::EXPECTED_BACKEND);
        if expected.is_some_and(|id| id != &*self.id) {
            return Ok(not_run_response(421));
        }
        if body != plain_body(attempt).as_bytes() {
            let what = format!("{attempt} arrived with a different body at {}", self.id);
            self.history.lock().unexpected_calls.push(what.into());
        }
        let Some(running) = self.begin_run(attempt, &head.headers) else {
            return Ok(not_run_response(503));
        };
        let after = header(&head.headers, headers::LAST_EVENT).and_then(|id| id.parse().ok());
        let path = head.uri.path();
        let kind = match path {
            _ if path.contains("stream") => Content::Events {
                after: after.unwrap_or(0),
                interval: event_interval(match path.contains("long") {
                    true => Kind::LongStream,
                    false => Kind::Stream,
                }),
            },
            _ if path.contains("large") => Content::Large,
            _ => Content::Plain,
        };
        self.answer(running, kind).await
    }

    /// Records the start of an execution. Returns `None` if the slots and the queue are full.
    fn begin_run(self: &Arc<Self>, attempt: &str, headers: &HeaderMap) -> Option<RunGuard> {
        let busy = self.busy.fetch_add(1, Ordering::Relaxed);
        if busy >= self.slots + QUEUE_CAPACITY {
            self.busy.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let deadline = header(headers, headers::DEADLINE).and_then(|ms| ms.parse().ok());
        let run = Run {
            backend: self.number,
            service: self.service,
            at: self.history.now(),
            ended: None,
            customer: header(headers, headers::CUSTOMER).map(Into::into),
            has_key: headers.contains_key("authorization"),
            deadline: deadline.map(|ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3)),
        };
        let mut events = self.history.lock();
        let runs = events.runs.entry(attempt.into()).or_default();
        runs.push(run);
        Some(RunGuard {
            shared: Arc::clone(self),
            attempt: attempt.into(),
            run_index: runs.len() - 1,
        })
    }

    async fn answer(&self, running: RunGuard, content: Content) -> std::io::Result<Response<Body>> {
        let mode = *self.mode.lock();
        let attempt = running.attempt.clone();
        tokio::time::sleep(EXECUTION_TIME).await;
        self.speaks().await;
        let res = Response::builder()
            .header(headers::ATTEMPT, &*attempt)
            .header(headers::SIGNATURE, signature(&attempt));
        if mode == Mode::LosesAnswers {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if mode == Mode::Failing && running.run_index + usize::from(attempt.as_bytes()[0]) % 3 == 0
        {
            return build(
                res.status(failure_status(&attempt)),
                full_body("failed".into()),
            );
        }
        if let Content::Events { after, interval } = content {
            let breaks_at = match mode {
                Mode::BreaksOff => EVENTS_PER_STREAM / 2,
                _ => u64::MAX,
            };
            let res = res.header("content-type", "text/event-stream");
            return build(res, event_stream(running, after, interval, breaks_at));
        }
        if mode == Mode::BreaksOff {
            let length = match content {
                Content::Large => LARGE_BODY_BYTES,
                _ => plain_body(&attempt).len(),
            };
            let part = stream::iter([
                Ok(Frame::data(Bytes::from_static(b"the ans"))),
                Err(std::io::ErrorKind::ConnectionReset.into()),
            ]);
            let body = BodyExt::boxed_unsync(StreamBody::new(part));
            return build(res.header("content-length", length), body);
        }
        if content == Content::Large {
            return build(res, large_body(running));
        }
        build(res, full_body(plain_body(&attempt)))
    }
}

fn build(res: hyper::http::response::Builder, body: Body) -> std::io::Result<Response<Body>> {
    res.body(body).map_err(std::io::Error::other)
}

/// Returns the status with which the first execution of an attempt fails.
fn failure_status(attempt: &str) -> u16 {
    let sum: usize = attempt.bytes().map(usize::from).sum();
    FAILURE_STATUSES[sum % FAILURE_STATUSES.len()]
}

fn not_run_response(status: u16) -> Response<Body> {
    let mut res = Response::new(full_body(String::new()));
    *res.status_mut() = status.try_into().unwrap_or_default();
    let one = hyper::header::HeaderValue::from_static("1");
    res.headers_mut().insert(headers::NOT_RUN, one);
    res
}

/// Streams the events after `after`. The event `breaks_at` is cut off and ends the stream.
fn event_stream(running: RunGuard, after: u64, interval: Duration, breaks_at: u64) -> Body {
    let frames = stream::unfold((after + 1, running), move |(id, running)| async move {
        if id > EVENTS_PER_STREAM {
            return None;
        }
        tokio::time::sleep(interval).await;
        running.shared.speaks().await;
        let text = event(&running.attempt, id);
        let frame = match id {
            id if id == breaks_at => Ok(Frame::data(Bytes::from(text[..8].to_owned()))),
            id if id > breaks_at => Err(std::io::ErrorKind::ConnectionReset.into()),
            _ => Ok(Frame::data(Bytes::from(text))),
        };
        Some((frame, (id + 1, running)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames.boxed()))
}

/// Sends a large response, as fast as it is read.
fn large_body(running: RunGuard) -> Body {
    let parts = large_parts(&running.attempt);
    let frames = stream::unfold((parts, running), |(mut parts, running)| async move {
        let part = parts.next()?;
        running.shared.speaks().await;
        Some((Ok(Frame::data(part)), (parts, running)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames.boxed()))
}
