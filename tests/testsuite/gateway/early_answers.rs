//! Back ends that answer before they have received a call as a whole and then end the connection, and back ends whose
//! status is none of HTTP.
//!
//! A body without a length ends with its connection. When the kernel reports the reset of a connection to the side that
//! writes, the side that reads may see a plain end, and a part of a body looks complete.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use socket2::SockRef;

use super::fixture::{Fixture, Node, config, numbered_call, with_deadline};

/// Size of a long upload, which neither the kernel's send buffer nor the back end's receive buffer holds.
const UPLOAD_BYTES: usize = 7 * 1024 * 1024;
/// Receive buffer of a back end that does not read an upload.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// Time for which a back end keeps a connection whose answer it has ended.
const KEEP_TIME: Duration = Duration::from_secs(3);
/// Deadline of calls in milliseconds, for a busy machine.
const DEADLINE_MS: &str = "4000";
/// Part of a plain answer.
const PART: &str = "the first half of an answer";
/// Part of a stream: one event of several.
const EVENT: &str = "id: 1\ndata: piece 1\n\n";

/// How a back end ends the connection of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// Resets it.
    Reset,
    /// Resets it some time after the answer.
    LateReset,
    /// Closes it with bytes of the upload unread, which makes the kernel reset it.
    CloseUnread,
    /// Ends its own side, and reads nothing.
    EndOfStream,
    /// Reads the whole upload before it ends the connection.
    ReadFirst,
}

/// Answers each call with `head`, which names the call's attempt for `ATTEMPT`, and `body`, and ends the connection.
/// Returns the address and the number of calls.
fn spawn(head: String, body: &'static str, ending: Ending) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs: Arc<AtomicUsize> = Arc::default();
    let counted = Arc::clone(&runs);
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (head, counted) = (head.clone(), Arc::clone(&counted));
            std::thread::spawn(move || answer(stream, &head, body, ending, &counted));
        }
    });
    (address, runs)
}

fn answer(mut stream: TcpStream, head: &str, body: &str, ending: Ending, runs: &AtomicUsize) {
    let Some(call) = read_head(&mut stream) else {
        return;
    };
    runs.fetch_add(1, Ordering::Relaxed);
    if ending == Ending::ReadFirst {
        read_body(&mut stream, &call);
    }
    let attempt = header(&call, "x-jayhall-attempt-id");
    let head = head.replace("ATTEMPT", attempt);
    // The node may have closed the connection because of the head.
    let _ = stream.write_all(&[head.as_bytes(), body.as_bytes()].concat());
    match ending {
        Ending::LateReset => std::thread::sleep(Duration::from_millis(200)),
        Ending::EndOfStream => {
            let _ = stream.shutdown(Shutdown::Write);
            std::thread::sleep(KEEP_TIME);
        }
        Ending::Reset | Ending::CloseUnread | Ending::ReadFirst => {}
    }
    if matches!(ending, Ending::Reset | Ending::LateReset) {
        let socket = SockRef::from(&stream);
        let _ = socket.set_linger(Some(Duration::ZERO));
    }
}

/// Reads the head of a call byte by byte, so that its body stays in the kernel.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8(head).unwrap().to_lowercase())
}

fn read_body(stream: &mut TcpStream, head: &str) {
    let length: u64 = header(head, "content-length").parse().unwrap();
    let read = std::io::copy(&mut stream.take(length), &mut std::io::sink()).unwrap();
    assert_eq!(read, length);
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let line = head.lines().find_map(|line| line.strip_prefix(name));
    line.map_or("0", |value| value[1..].trim())
}

/// The head of an answer with this status and these further lines.
fn head(status: &str, further: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Jayhall-Attempt-Id: ATTEMPT\r\nX-Jayhall-Response-Seal: seal\r\n{further}\r\n"
    )
}

/// A node with a back end at this address for all services.
async fn start(backend: SocketAddr) -> (Fixture, Node) {
    let fixture = Fixture::new();
    let text = config(1)
        .replace(r#""maxBodyBytes":1000"#, r#""maxBodyBytes":8388608"#)
        .replace(r#""timeoutMs":1500"#, r#""timeoutMs":5000"#);
    fixture.put("op/config", text).await;
    for service in ["plain", "llm"] {
        fixture
            .list_address(service, service, backend, "ready")
            .await;
    }
    let node = fixture.node("n1").await;
    fixture.ready(&node).await;
    (fixture, node)
}

/// What a caller gets.
#[derive(Debug)]
struct Received {
    status: u16,
    is_signed: bool,
    /// The body, or `None` if the answer broke off.
    body: Option<String>,
}

/// Sends a call. Returns `None` if its connection ends without an answer.
async fn send(call: reqwest::RequestBuilder) -> Option<Received> {
    let res = call.send().await.ok()?;
    Some(Received {
        status: res.status().as_u16(),
        is_signed: res.headers().contains_key("x-jayhall-response-seal"),
        body: res.text().await.ok(),
    })
}

fn upload(fixture: &Fixture, node: &Node, path: &str) -> reqwest::RequestBuilder {
    let call = numbered_call(fixture, node, path).body(vec![b'u'; UPLOAD_BYTES]);
    with_deadline(call, DEADLINE_MS)
}

fn forwarded(fixture: &Fixture, node: &Node, path: &str) -> reqwest::RequestBuilder {
    let call = fixture
        .forwarded_call(node, path)
        .body(vec![b'u'; UPLOAD_BYTES]);
    with_deadline(call, DEADLINE_MS)
}

const BREAKS: [Ending; 4] = [
    Ending::Reset,
    Ending::LateReset,
    Ending::CloseUnread,
    Ending::EndOfStream,
];

/// Guards against a part of an answer without a length that a caller gets as a complete one: the back end ends the
/// connection while the call is still being written to it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_length_that_ends_before_its_upload_is_not_complete() {
    for ending in BREAKS {
        let (backend, runs) = spawn(head("200 OK", ""), PART, ending);
        let (fixture, node) = start(backend).await;
        let runs = || runs.swap(0, Ordering::Relaxed);
        let received = send(upload(&fixture, &node, "/once/x")).await.unwrap();
        assert_eq!(received.status, 502, "{ending:?}: {received:?}");
        assert_eq!(runs(), 1, "{ending:?}: a call of an at-most-once route");
        for call in [
            upload(&fixture, &node, "/get/x"),
            forwarded(&fixture, &node, "/get/x"),
        ] {
            let received = send(call).await.unwrap();
            assert!(received.status >= 500, "{ending:?}: {received:?}");
            assert!(!received.is_signed, "{ending:?}: {received:?}");
        }
    }
}

/// Guards against the same of a stream: its end between two events looks like that of the whole stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_length_that_ends_before_its_upload_is_not_complete() {
    for ending in BREAKS {
        let head = head("200 OK", "Content-Type: text/event-stream\r\n");
        let (backend, _) = spawn(head, EVENT, ending);
        let (fixture, node) = start(backend).await;
        for call in [
            upload(&fixture, &node, "/stream/x"),
            upload(&fixture, &node, "/resume/x"),
            forwarded(&fixture, &node, "/stream/x"),
        ] {
            let received = send(call).await;
            let is_complete = received
                .as_ref()
                .is_some_and(|received| received.status == 200 && received.body.is_some());
            assert!(!is_complete, "{ending:?}: {received:?}");
        }
    }
}

/// Guards against the refusal of sound answers: one without a length, after the whole upload, and one with a length that
/// comes before the back end has read the upload.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_to_a_long_upload_is_passed_on() {
    let length = format!("Connection: close\r\nContent-Length: {}\r\n", PART.len());
    let with_length = head("200 OK", &length);
    for (head, ending) in [
        (head("200 OK", ""), Ending::ReadFirst),
        (with_length.clone(), Ending::EndOfStream),
        (with_length, Ending::ReadFirst),
    ] {
        let (backend, _) = spawn(head, PART, ending);
        let (fixture, node) = start(backend).await;
        for path in ["/once/x", "/get/x"] {
            let received = send(upload(&fixture, &node, path)).await.unwrap();
            assert_eq!(received.status, 200, "{ending:?}: {received:?}");
            assert_eq!(received.body.as_deref(), Some(PART), "{ending:?}");
        }
    }
}

/// Guards against an answer whose status is none of HTTP, or an interim one, that a caller gets as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_no_answer_has_is_none() {
    let statuses = [
        "000 ", "000", "0 ", "099 S", "20 OK", "100 S", "101 S", "103 S", "199 S", "600 S",
        "700 S", "999 S", "1000 S", "-200 S", "2OO S",
    ];
    let upgrade = "Upgrade: other\r\nConnection: upgrade\r\n";
    let mut paths = ["/once/x", "/get/x", "/stream/x"];
    for status in statuses {
        // Statuses meet other pairs of path and headers in turn.
        paths.rotate_left(1);
        for (further, path) in ["Content-Length: 27\r\n", "", upgrade].iter().zip(paths) {
            let (backend, runs) = spawn(head(status, further), PART, Ending::ReadFirst);
            let (fixture, node) = start(backend).await;
            let call = with_deadline(numbered_call(&fixture, &node, path), DEADLINE_MS);
            let received = send(call).await.unwrap();
            let is_own = matches!(received.status, 502..=504) && !received.is_signed;
            assert!(is_own, "{status:?} {path}: {received:?}");
            assert_ne!(
                runs.load(Ordering::Relaxed),
                0,
                "{status:?} {path}: {received:?}"
            );
        }
    }
}
