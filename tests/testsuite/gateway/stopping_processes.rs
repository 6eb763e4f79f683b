//! Planned stops of gateways in processes of their own, with callers that read slowly.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use futures::future::join_all;
use jayhall::ops::gateway::keys::NODES;
use jayhall::sources::store::{RangeRequest, Store};
use jayhall_harness::{PlatformStoreStandin, StoreFault};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::fixture::{Behaviour, FakeBackend, config, put};
use super::gateway_process::{GatewayProcess, put_backend};
use super::slow_readers::{Parts, spawn_parts};

/// Receive buffer of a caller that reads slowly.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Rate of a caller that reads slowly: it reads the largest answers for five seconds.
const SLOW_BYTES_PER_S: f64 = 1.5e6;
/// Time from SIGTERM to SIGKILL, as the settings have it by default.
const STOP_TIME: Duration = Duration::from_secs(8);

async fn call_slowly(to: SocketAddr, path: &str, attempt: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(to).await.unwrap();
    let call = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\nx-jayhall-attempt-id: {attempt}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(call.as_bytes()).await.unwrap();
    stream
}

/// Reads `bytes_per_s` until the connection ends. Returns what arrived, without the head.
async fn read_slowly(mut stream: TcpStream, bytes_per_s: f64) -> Vec<u8> {
    let began = Instant::now();
    let mut received = Vec::new();
    let mut buf = vec![0; 8 * 1024];
    loop {
        while received.len() as f64 > bytes_per_s * began.elapsed().as_secs_f64() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(bytes) => received.extend_from_slice(&buf[..bytes]),
        }
    }
    let head_end = received.windows(4).position(|part| part == b"\r\n\r\n");
    received.split_off(head_end.map_or(0, |at| at + 4))
}

/// Returns whether this is the whole body of an answer.
fn is_whole(body: &[u8], answer: &Parts) -> bool {
    match answer.has_length {
        true => body.len() == answer.len(),
        false => body.len() > answer.len() && body.ends_with(b"\r\n0\r\n\r\n"),
    }
}

/// A store with a configuration, and with one back end for plain answers and one for streams.
async fn start(plain: Parts, streams: Parts) -> PlatformStoreStandin {
    let store = PlatformStoreStandin::spawn(Ipv4Addr::LOCALHOST.into());
    let store = store.await.unwrap();
    let text = config(1).replace(r#""timeoutMs":8000"#, r#""timeoutMs":60000"#);
    store
        .store()
        .transact(put("op/config", text))
        .await
        .unwrap();
    put_backend(&store, "plain", spawn_parts(plain).await).await;
    put_backend(&store, "llm", spawn_parts(streams).await).await;
    store
}

/// Returns the number of nodes with an entry in the store.
async fn registered_nodes(store: &PlatformStoreStandin) -> usize {
    let nodes = RangeRequest::prefix(NODES);
    store.store().range(nodes).await.unwrap().entries.len()
}

/// An answer of 7.5 MB with a length.
fn large_answer() -> Parts {
    Parts {
        bytes: 500_000,
        count: 15,
        parts_of_event: 0,
        pause: Duration::ZERO,
        has_length: true,
    }
}

/// Guards against a process that ends when its back ends have answered, although callers have not received all of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_until_slow_callers_have_received_their_answers() {
    let answer = large_answer();
    let events = Parts {
        bytes: 20_000,
        count: 375,
        parts_of_event: 1,
        pause: Duration::ZERO,
        has_length: false,
    };
    let store = start(answer.clone(), events.clone()).await;
    let mut gateway = GatewayProcess::spawn(&store).await;
    let paths = ["/patient/x", "/long/x"].repeat(2);
    let calls = paths.iter().enumerate().map(async |(index, path)| {
        let stream = call_slowly(gateway.callers, path, &format!("c{index}")).await;
        read_slowly(stream, SLOW_BYTES_PER_S).await
    });
    let received = join_all(calls);
    let stopped = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let began = Instant::now();
        gateway.process.terminate().unwrap();
        began
    };
    let (received, began) = tokio::join!(received, stopped);
    let (is_success, log) = gateway.ended().await;
    assert!(is_success && began.elapsed() < STOP_TIME, "{log}");
    assert_eq!(registered_nodes(&store).await, 0, "{log}");
    for (path, body) in paths.iter().zip(received) {
        let sent = if *path == "/long/x" { &events } else { &answer };
        assert!(is_whole(&body, sent), "{path}: {} bytes\n{log}", body.len());
    }
}

/// A caller that sends calls one after the other on a connection that it keeps.
struct KeptCaller {
    gateway: SocketAddr,
    name: Box<str>,
    /// Number of complete answers.
    answered: usize,
    /// Calls whose connection ended before a complete answer.
    cut: Vec<Box<str>>,
}

impl KeptCaller {
    /// Sends calls until the gateway accepts no connection.
    async fn run(mut self) -> Self {
        while let Ok(mut stream) = TcpStream::connect(self.gateway).await {
            loop {
                let attempt = format!("{}-{}", self.name, self.answered + self.cut.len());
                match exchange(&mut stream, &attempt).await {
                    Some(is_kept) => {
                        self.answered += 1;
                        if !is_kept {
                            break;
                        }
                    }
                    None => {
                        self.cut.push(attempt.into());
                        break;
                    }
                }
            }
        }
        self
    }
}

/// Sends a call and reads its answer, which has a length. Returns whether the connection is kept, or `None` if it
/// ended before.
async fn exchange(stream: &mut TcpStream, attempt: &str) -> Option<bool> {
    let call = format!(
        "POST /once/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\nx-jayhall-attempt-id: {attempt}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(call.as_bytes()).await.ok()?;
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        let bytes = stream
            .read(&mut buf)
            .await
            .ok()
            .filter(|bytes| *bytes > 0)?;
        text.push_str(std::str::from_utf8(&buf[..bytes]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_lowercase();
        let len = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        if body.len() == len?.parse::<usize>().unwrap() {
            return Some(!head.contains("connection: close"));
        }
    }
}

/// Changes the configuration until it is dropped.
async fn change_configuration(store: &PlatformStoreStandin) {
    for version in 2.. {
        let text = config(version).replace(r#""timeoutMs":8000"#, r#""timeoutMs":60000"#);
        store
            .store()
            .transact(put("op/config", text))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns when the stream of a call ended, and whether it is whole.
async fn read_stream(gateway: SocketAddr, attempt: &str) -> (Instant, bool) {
    let stream = call_slowly(gateway, "/long/x", attempt).await;
    let body = read_slowly(stream, f64::INFINITY).await;
    (Instant::now(), body.ends_with(b"\r\n0\r\n\r\n"))
}

/// Guards against calls that a stopping process has sent to a back end and whose callers get no complete answer, while
/// the configuration changes and the signal comes several times.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_cuts_no_call_that_a_back_end_has_run() {
    let store = start(large_answer(), large_answer()).await;
    let plain = FakeBackend::spawn(Behaviour::AnswerAfter(Duration::from_millis(20))).await;
    put_backend(&store, "plain", plain.address).await;
    let slow = |to| Behaviour::Slow { to, pause_ms: 100 };
    let streaming = FakeBackend::spawn(slow(55)).await;
    put_backend(&store, "llm", streaming.address).await;
    let mut gateway = GatewayProcess::spawn(&store).await;
    let callers = gateway.callers;
    let kept = (0..16).map(|index| {
        let caller = KeptCaller {
            gateway: callers,
            name: format!("k{index}").into(),
            answered: 0,
            cut: Vec::new(),
        };
        caller.run()
    });
    let streams = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        join_all((0..8).map(async |index| read_stream(callers, &format!("s{index}")).await)).await
    };
    let stopped = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let began = Instant::now();
        for _ in 0..3 {
            gateway.process.terminate().unwrap();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let ended = gateway.ended().await;
        (began.elapsed(), ended)
    };
    let played = async { tokio::join!(join_all(kept), streams, stopped) };
    let (kept, streams, (took, (is_success, log))) = tokio::select! {
        played = played => played,
        () = change_configuration(&store) => unreachable!(),
    };
    assert!(is_success && took < STOP_TIME, "{took:?}\n{log}");
    assert!(
        streams.iter().all(|(_, is_whole)| *is_whole),
        "{streams:?}\n{log}"
    );
    let seen = plain.seen.lock().clone();
    let has_run = |attempt: &str| {
        seen.iter()
            .any(|call| call.headers["x-jayhall-attempt-id"] == attempt)
    };
    for caller in kept {
        assert!(caller.answered > 20, "{}", caller.answered);
        for attempt in &caller.cut {
            assert!(!has_run(attempt), "{attempt} has run\n{log}");
        }
    }
}

/// Guards against streams that a stopping process ends long before its time is over.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_outlast_a_stop_go_on_for_most_of_its_time() {
    let store = start(large_answer(), large_answer()).await;
    let endless = Behaviour::Slow {
        to: 1000,
        pause_ms: 100,
    };
    let streaming = FakeBackend::spawn(endless).await;
    put_backend(&store, "llm", streaming.address).await;
    let mut gateway = GatewayProcess::spawn(&store).await;
    let callers = gateway.callers;
    let streams = join_all((0..8).map(async |index| {
        let (ended, _) = read_stream(callers, &format!("s{index}")).await;
        ended
    }));
    let stopped = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let began = Instant::now();
        gateway.process.terminate().unwrap();
        (began, gateway.ended().await)
    };
    let (streams, (began, (is_success, log))) = tokio::join!(streams, stopped);
    assert!(is_success, "{log}");
    let first = *streams.iter().min().unwrap() - began;
    // A stream that ends in the last sixth of the time is one that could not have been finished.
    assert!(first >= STOP_TIME.mul_f64(5.0 / 6.0), "{first:?}\n{log}");
}

/// What a process waits for when it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitsFor {
    /// Streams that outlast its time.
    Streams,
    /// The same, and a store that answers too late.
    StreamsAndStore,
    /// Callers that read nothing of large answers.
    Readers,
    /// Callers that have sent a part of a call.
    Uploads,
}

/// Time for which a slow store delays its answers.
const STORE_DELAY: Duration = Duration::from_secs(3);

/// Starts a call that keeps a process waiting. Returns its connection.
async fn keep_waiting(to: SocketAddr, waits_for: WaitsFor) -> TcpStream {
    match waits_for {
        WaitsFor::Streams | WaitsFor::StreamsAndStore => call_slowly(to, "/long/x", "w1").await,
        WaitsFor::Readers => call_slowly(to, "/patient/x", "w1").await,
        WaitsFor::Uploads => {
            let mut stream = TcpStream::connect(to).await.unwrap();
            let call = "POST /patient/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\nx-jayhall-attempt-id: w1\r\ncontent-length: 100\r\n\r\nhalf";
            stream.write_all(call.as_bytes()).await.unwrap();
            stream
        }
    }
}

/// How a process stopped.
struct Stopped {
    /// Time from SIGTERM to its end.
    took: Duration,
    log: String,
    /// What the caller received that it waited for.
    received: Vec<u8>,
}

async fn stop(waits_for: WaitsFor) -> Stopped {
    let store = start(large_answer(), large_answer()).await;
    let endless = Behaviour::Slow {
        to: 1000,
        pause_ms: 100,
    };
    let streaming = FakeBackend::spawn(endless).await;
    put_backend(&store, "llm", streaming.address).await;
    let mut gateway = GatewayProcess::spawn(&store).await;
    let mut waiting = keep_waiting(gateway.callers, waits_for).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    if waits_for == WaitsFor::StreamsAndStore {
        store.set(StoreFault::Slow(STORE_DELAY));
    }
    let began = Instant::now();
    gateway.process.terminate().unwrap();
    let (is_success, log) = gateway.ended().await;
    let took = began.elapsed();
    assert!(is_success, "{waits_for:?}\n{log}");
    let mut received = Vec::new();
    // A connection that was reset may have brought a part.
    let _ = waiting.read_to_end(&mut received).await;
    Stopped {
        took,
        log,
        received,
    }
}

/// Guards against a process that is killed because it still waits for something when its time is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_within_its_time_whatever_the_process_waits_for() {
    let all = [
        WaitsFor::Streams,
        WaitsFor::StreamsAndStore,
        WaitsFor::Readers,
        WaitsFor::Uploads,
    ];
    let stops = join_all(all.map(async |waits_for| (waits_for, stop(waits_for).await)));
    for (waits_for, stopped) in stops.await {
        let Stopped {
            took,
            log,
            received,
        } = stopped;
        assert!(took < STOP_TIME, "{waits_for:?}: {took:?}\n{log}");
        let awaited = match waits_for {
            WaitsFor::Streams | WaitsFor::StreamsAndStore => r#""streaming":1"#,
            WaitsFor::Readers => r#""connections":1"#,
            WaitsFor::Uploads => r#""reading":1"#,
        };
        assert!(log.contains(awaited), "{waits_for:?}\n{log}");
        if waits_for == WaitsFor::Uploads {
            let text = String::from_utf8_lossy(&received);
            assert!(text.starts_with("HTTP/1.1 503"), "{text:?}\n{log}");
        }
    }
}

/// Flag by which opening a file and writing to it do not wait, as Linux has it.
const O_NONBLOCK: i32 = 0o4000;

/// Creates a pipe at this path that is full and that nobody reads. It stays so while the result lives.
fn create_full_pipe(path: &Path) -> std::fs::File {
    let made = Command::new("mkfifo").arg(path).status().unwrap();
    assert!(made.success());
    let mut opts = OpenOptions::new();
    opts.read(true).write(true).custom_flags(O_NONBLOCK);
    let mut pipe = opts.open(path).unwrap();
    while pipe.write(&[b'x'; 4096]).is_ok() {}
    pipe
}

/// Guards against a process that waits at its end until its log has been written, although nobody reads it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_within_its_time_although_nobody_reads_the_log() {
    let store = start(large_answer(), large_answer()).await;
    let endless = Behaviour::Slow {
        to: 1000,
        pause_ms: 100,
    };
    let streaming = FakeBackend::spawn(endless).await;
    put_backend(&store, "llm", streaming.address).await;
    let dir = tempfile::tempdir().unwrap();
    let _pipe = create_full_pipe(&dir.path().join("node.log"));
    let mut gateway = GatewayProcess::spawn_in(&store, dir).await;
    let _waiting = keep_waiting(gateway.callers, WaitsFor::Streams).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let began = Instant::now();
    gateway.process.terminate().unwrap();
    while gateway.process.ended().is_none() {
        assert!(began.elapsed() < STOP_TIME, "it still runs");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
