//! Back ends that write bytes of their own choice in place of answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config, numbered_call};

/// A call as the stand-in sees it.
struct RawCall {
    /// Number of the call on its connection, from 0.
    number: usize,
    attempt: String,
}

/// What the stand-in does after the bytes of an answer.
enum Then {
    KeepOpen,
    Close,
    /// Closes the connection after this time.
    CloseAfter(Duration),
}

/// Time after which the stand-in breaks off a stream.
const STREAM_TIME: Duration = Duration::from_millis(500);

/// Returns the bytes for a call, and what follows them.
type Script = fn(&RawCall) -> (String, Then);

/// A back end that answers with the bytes of a script. It runs each call that it reads.
struct RawBackend {
    address: SocketAddr,
    attempts: Arc<Mutex<Vec<String>>>,
}

impl RawBackend {
    async fn spawn(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let attempts: Arc<Mutex<Vec<String>>> = Arc::default();
        let shared = Arc::clone(&attempts);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, script, Arc::clone(&shared)));
            }
        });
        Self { address, attempts }
    }

    fn runs(&self) -> usize {
        self.attempts.lock().len()
    }
}

async fn serve(mut stream: TcpStream, script: Script, attempts: Arc<Mutex<Vec<String>>>) {
    let mut buf = Vec::new();
    for number in 0.. {
        let Some(attempt) = read_call(&mut stream, &mut buf).await else {
            return;
        };
        attempts.lock().push(attempt.clone());
        let (bytes, then) = script(&RawCall { number, attempt });
        stream.write_all(bytes.as_bytes()).await.unwrap();
        match then {
            Then::KeepOpen => {}
            Then::Close => return,
            Then::CloseAfter(time) => return tokio::time::sleep(time).await,
        }
    }
}

/// Reads the head of a call without a body. Returns its attempt, or `None` if the connection has ended.
async fn read_call(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8(buf.drain(..end + 4).collect()).unwrap();
            let name = "x-jayhall-attempt-id:";
            let line = head
                .lines()
                .find(|line| line.to_lowercase().starts_with(name));
            return Some(line?[name.len()..].trim().to_owned());
        }
        let read = stream.read_buf(buf).await.ok()?;
        if read == 0 {
            return None;
        }
    }
}

/// A complete answer to a call.
fn answer(attempt: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Jayhall-Attempt-Id: {attempt}\r\nX-Jayhall-Response-Seal: seal\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn refusal(headers: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{headers}X-Jayhall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// A node with a raw back end and, if given, a second one that answers.
async fn start(service: &str, script: Script, second: Option<Behaviour>) -> Started {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let raw = RawBackend::spawn(script).await;
    fixture
        .list_address("b0", service, raw.address, "ready")
        .await;
    let node = fixture.node("n1").await;
    fixture.ready(&node).await;
    let sound = match second {
        Some(behaviour) => Some(FakeBackend::spawn(behaviour).await),
        None => None,
    };
    Started {
        fixture,
        node,
        raw,
        sound,
    }
}

struct Started {
    fixture: Fixture,
    node: Node,
    raw: RawBackend,
    sound: Option<FakeBackend>,
}

impl Started {
    async fn status(&self, path: &str) -> u16 {
        let call = numbered_call(&self.fixture, &self.node, path);
        call.send().await.unwrap().status().as_u16()
    }

    /// Lists the second back end, after the connection to the raw one is in use.
    async fn list_sound(&self, service: &str) {
        let sound = self.sound.as_ref().unwrap();
        self.fixture
            .list_backend("b1", service, sound, "ready")
            .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Answers the first call of a connection. Writes an earlier refusal before the answers of later ones.
fn repeats_refusal_without_attempt(call: &RawCall) -> (String, Then) {
    let answer = answer(&call.attempt, "done");
    match call.number {
        0 => (answer, Then::KeepOpen),
        _ => (refusal("") + &answer, Then::KeepOpen),
    }
}

fn repeats_refusal_of_another_attempt(call: &RawCall) -> (String, Then) {
    let answer = answer(&call.attempt, "done");
    match call.number {
        0 => (answer, Then::KeepOpen),
        _ => (
            refusal("X-Jayhall-Attempt-Id: earlier\r\n") + &answer,
            Then::KeepOpen,
        ),
    }
}

#[tokio::test]
async fn an_earlier_refusal_on_a_kept_connection_does_not_tell_that_a_call_was_not_run() {
    for script in [
        repeats_refusal_without_attempt as Script,
        repeats_refusal_of_another_attempt,
    ] {
        let started = start("plain", script, Some(Behaviour::Answer(200, "done"))).await;
        assert_eq!(started.status("/once/x").await, 200);
        started.list_sound("plain").await;
        let sound = started.sound.as_ref().unwrap();
        let mut statuses = Vec::new();
        for _ in 0..12 {
            let runs = started.raw.runs() + sound.runs();
            let status = started.status("/once/x").await;
            let runs = started.raw.runs() + sound.runs() - runs;
            assert_eq!(runs, 1, "a call of an at-most-once route ran {runs} times");
            statuses.push(status);
        }
        assert!(started.raw.runs() > 1, "the kept connection was not used");
        assert!(statuses.contains(&502), "{statuses:?}");
        assert!(!statuses.contains(&503), "{statuses:?}");
    }
}

/// Ends a stream within an event.
fn breaks_off_stream(call: &RawCall) -> (String, Then) {
    let attempt = &call.attempt;
    let events = "id: 1\ndata: piece 1\n\nid: 2\ndata: pie";
    let length = events.len();
    (
        format!(
            "HTTP/1.1 200 OK\r\nX-Jayhall-Attempt-Id: {attempt}\r\nX-Jayhall-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{events}\r\n"
        ),
        Then::CloseAfter(STREAM_TIME),
    )
}

#[tokio::test]
async fn the_error_of_the_next_back_end_is_no_part_of_a_stream_that_has_begun() {
    for error in [
        Behaviour::Answer(500, "error text"),
        Behaviour::Answer(404, "error text"),
        Behaviour::Answer(200, "text without events"),
        Behaviour::Decline,
        Behaviour::Unsigned,
        Behaviour::AnswerOther,
    ] {
        let started = start("llm", breaks_off_stream, Some(error.clone())).await;
        let call = numbered_call(&started.fixture, &started.node, "/resume/x");
        let mut text = Vec::new();
        let mut res = call.send().await.unwrap();
        assert_eq!(res.status(), 200);
        started.list_sound("llm").await;
        let is_complete = loop {
            match res.chunk().await {
                Ok(Some(chunk)) => text.extend_from_slice(&chunk),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let text = String::from_utf8(text).unwrap();
        let declines = matches!(error, Behaviour::Decline);
        let next_runs = started.sound.as_ref().unwrap().runs();
        assert!(declines || next_runs == 1, "{error:?}: {next_runs} runs");
        assert_eq!(text, "id: 1\ndata: piece 1\n\n", "{error:?}");
        assert!(!is_complete, "{error:?}");
    }
}

/// Guards against streams that begin at a back end which has just failed to go on with one: its failure was taken for a
/// refusal, which says nothing against it.
#[tokio::test]
async fn a_back_end_that_fails_to_go_on_with_a_stream_is_avoided_by_the_next_call() {
    for round in 0..6 {
        let failing = Behaviour::Answer(500, "failed");
        let started = start("llm", breaks_off_stream, Some(failing)).await;
        let call = numbered_call(&started.fixture, &started.node, "/resume/x");
        let res = call.send().await.unwrap();
        started.list_sound("llm").await;
        assert!(res.bytes().await.is_err(), "{round}");
        assert_eq!(started.sound.as_ref().unwrap().runs(), 1, "{round}");
        let other = FakeBackend::spawn(Behaviour::Events {
            to: 1,
            ends_normally: true,
        })
        .await;
        started
            .fixture
            .list_backend("b2", "llm", &other, "ready")
            .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(started.status("/stream/x").await, 200, "{round}");
    }
}

fn breaks_off_in_status_line(_: &RawCall) -> (String, Then) {
    ("HTTP/1.1 200 O".into(), Then::Close)
}

fn breaks_off_in_header(call: &RawCall) -> (String, Then) {
    let whole = answer(&call.attempt, "done");
    let end = whole.find("ength").unwrap();
    (whole[..end].into(), Then::Close)
}

fn breaks_off_before_blank_line(call: &RawCall) -> (String, Then) {
    let whole = answer(&call.attempt, "done");
    let end = whole.find("\r\n\r\n").unwrap();
    (whole[..end + 2].into(), Then::Close)
}

fn breaks_off_in_body(call: &RawCall) -> (String, Then) {
    let whole = answer(&call.attempt, "done");
    (whole[..whole.len() - 1].into(), Then::Close)
}

#[tokio::test]
async fn an_answer_that_ends_within_its_head_or_body_is_no_success() {
    for script in [
        breaks_off_in_status_line as Script,
        breaks_off_in_header,
        breaks_off_before_blank_line,
        breaks_off_in_body,
    ] {
        let started = start("plain", script, None).await;
        assert_eq!(started.status("/once/x").await, 502);
        assert_eq!(started.raw.runs(), 1);
        assert!(started.status("/get/x").await >= 500);
        let streams = start("llm", script, None).await;
        let call = numbered_call(&streams.fixture, &streams.node, "/stream/x");
        let res = call.send().await.unwrap();
        let is_success = res.status().is_success();
        assert!(!is_success || res.bytes().await.is_err());
    }
}
