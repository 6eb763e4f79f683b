//! Bytes without end that are no message, from back ends and from callers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config, numbered_call, with_deadline};

/// Time for which bytes are sent.
const SEND_TIME: Duration = Duration::from_secs(3);
/// Time within which sound calls are answered meanwhile.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Writes `part` over and over until the peer closes or [`SEND_TIME`] is over. Returns whether the peer closed.
fn write_endlessly(stream: &mut TcpStream, part: &[u8]) -> bool {
    let parts = part.repeat(65_536 / part.len());
    let began = Instant::now();
    while began.elapsed() < SEND_TIME {
        if stream.write_all(&parts).is_err() {
            return true;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    false
}

/// Answers each connection with `start`, which names the call's attempt for `ATTEMPT`, and then with `part` without end.
pub(super) fn spawn_endless(start: &'static str, part: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).unwrap_or(0);
            let head = String::from_utf8_lossy(&buf[..len]).to_lowercase();
            let name = "x-jayhall-attempt-id:";
            let attempt = head.lines().find_map(|line| line.strip_prefix(name));
            let start = start.replace("ATTEMPT", attempt.unwrap_or_default().trim());
            if stream.write_all(start.as_bytes()).is_ok() {
                write_endlessly(&mut stream, part);
            }
        }
    });
    address
}

struct Started {
    fixture: Fixture,
    node: Node,
}

/// A node with a sound back end of the service `plain`, and one at this address of the service `llm`.
async fn start(llm: SocketAddr) -> Started {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let sound = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    fixture.list_backend("b0", "plain", &sound, "ready").await;
    fixture.list_address("b1", "llm", llm, "ready").await;
    let node = fixture.node("n1").await;
    fixture.ready(&node).await;
    Started { fixture, node }
}

impl Started {
    /// Sends sound calls for a time, and returns the longest that one took.
    async fn longest_sound_call(&self) -> Duration {
        let mut longest = Duration::ZERO;
        let began = Instant::now();
        while began.elapsed() < SEND_TIME / 2 {
            let sent = Instant::now();
            let call = numbered_call(&self.fixture, &self.node, "/get/x");
            assert_eq!(call.send().await.unwrap().status(), 200);
            longest = longest.max(sent.elapsed());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        longest
    }
}

/// Start of an answer that failed, with a body in chunks.
pub(super) const FAILED_HEAD: &str = "HTTP/1.1 500 S\r\nX-Jayhall-Attempt-Id: ATTEMPT\r\nX-Jayhall-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Guards against an answer that keeps the HTTP library busy without handing anything over: interim heads, digits of a
/// chunk's size. It held the thread of all calls, so that none of a node was answered in time.
#[tokio::test]
async fn an_answer_without_end_does_not_hold_up_other_calls() {
    let answers: [(&str, &[u8]); 4] = [
        ("", b"HTTP/1.1 100\r\n\r\n"),
        ("HTTP/1.1 200 S\r\n", b"x: y\r\n"),
        (FAILED_HEAD, b"0"),
        (FAILED_HEAD, b"1;"),
    ];
    for (start_of_answer, part) in answers {
        let started = start(spawn_endless(start_of_answer, part)).await;
        let endless = numbered_call(&started.fixture, &started.node, "/long/x");
        let endless = tokio::spawn(with_deadline(endless, "6000").send());
        let longest = started.longest_sound_call().await;
        let kind = String::from_utf8_lossy(part).into_owned();
        assert!(longest < ANSWER_TIME, "{kind:?}: {longest:?}");
        assert!(endless.await.unwrap().unwrap().status().is_server_error());
    }
}

/// Guards against the same from callers: the body of a call whose first chunk has no end to its size, and calls one after
/// the other whose answers nobody reads.
#[tokio::test]
async fn a_call_without_end_does_not_hold_up_other_calls() {
    let unused = FakeBackend::spawn(Behaviour::Silent).await;
    let head = "POST /long/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\nx-jayhall-attempt-id: e1\r\n";
    let calls = [
        (format!("{head}transfer-encoding: chunked\r\n\r\n"), "0"),
        (
            String::new(),
            "GET /none HTTP/1.1\r\nhost: h.example\r\n\r\n",
        ),
    ];
    for (start_of_call, part) in calls {
        let started = start(unused.address).await;
        let to = started.node.settings.listen.callers;
        let sender = std::thread::spawn(move || {
            let mut streams: Vec<_> = (0..4).map(|_| TcpStream::connect(to).unwrap()).collect();
            for stream in &mut streams {
                stream.set_write_timeout(Some(SEND_TIME)).unwrap();
                let _ = stream.write_all(start_of_call.as_bytes());
            }
            let mut stream = streams.pop().unwrap();
            write_endlessly(&mut stream, part.as_bytes())
        });
        let longest = started.longest_sound_call().await;
        assert!(longest < ANSWER_TIME, "{part:?}: {longest:?}");
        sender.join().unwrap();
    }
}
