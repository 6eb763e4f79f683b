//! Event streams through a running gateway.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;
use hyper::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::fixture::{
    Behaviour, FakeBackend, Fixture, Node, config, fixture_with_node, total_runs,
};

const COMPLETE: Behaviour = Behaviour::Events {
    to: 6,
    ends_normally: true,
};
const BROKEN: Behaviour = Behaviour::Events {
    to: 3,
    ends_normally: false,
};

/// Reads events until the stream ends. Returns them and whether the stream ended normally.
async fn read_events(res: reqwest::Response) -> (String, bool) {
    let mut text = String::new();
    let mut chunks = res.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(chunk) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

fn events(from: u64, to: u64) -> String {
    (from..=to)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

#[tokio::test]
async fn events_are_forwarded_unchanged() {
    let (fixture, node, _backends) = fixture_with_node("llm", &[COMPLETE]).await;
    let res = fixture.call(&node, "/stream/x", "a1").send().await.unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(res.headers()["x-jayhall-response-seal"], "seal-a1");
    assert_eq!(res.headers()["content-type"], "text/event-stream");
    assert_eq!(read_events(res).await, (events(1, 6), true));
}

#[tokio::test]
async fn a_stream_resumes_at_another_back_end_after_the_last_complete_event() {
    let (fixture, node, backends) = fixture_with_node("llm", &[BROKEN, BROKEN]).await;
    let res = fixture.call(&node, "/resume/x", "a1").send().await.unwrap();
    // The back end without a run will resume the stream.
    for backend in backends.iter().filter(|backend| backend.runs() == 0) {
        backend.set(COMPLETE);
    }
    assert_eq!(read_events(res).await, (events(1, 6), true));
    assert_eq!(total_runs(&backends), 2);
    let last = backends
        .iter()
        .flat_map(|backend| backend.seen.lock().clone());
    let resumed = last.filter(|seen| {
        seen.headers
            .get("last-event-id")
            .is_some_and(|id| id == "3")
    });
    assert_eq!(resumed.count(), 1);
}

#[tokio::test]
async fn a_broken_stream_that_is_not_resumable_ends_with_an_error() {
    let (fixture, node, backends) = fixture_with_node("llm", &[BROKEN, BROKEN]).await;
    let res = fixture.call(&node, "/stream/x", "a1").send().await.unwrap();
    assert_eq!(read_events(res).await, (events(1, 3), false));
    assert_eq!(total_runs(&backends), 1);
}

#[tokio::test]
async fn a_stream_is_sent_to_no_more_back_ends_than_its_route_allows() {
    let (fixture, node, backends) = fixture_with_node("llm", &[BROKEN, BROKEN, BROKEN]).await;
    let res = fixture.call(&node, "/resume/x", "a1").send().await.unwrap();
    let (text, ended) = read_events(res).await;
    assert!(!ended, "{text}");
    assert_eq!(total_runs(&backends), 2);
}

#[tokio::test]
async fn a_caller_that_resumes_gets_the_events_after_its_last_one() {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    // Earlier nodes have known the era of the store for long enough. Otherwise a process that has just started cannot
    // tell whether the service has had other software versions.
    fixture.put("jayhall/settled-era", "0").await;
    let backend = FakeBackend::spawn(COMPLETE).await;
    fixture.list_backend("b0", "llm", &backend, "ready").await;
    let node = fixture.node("n1").await;
    fixture.ready(&node).await;
    let call = fixture
        .call(&node, "/resume/x", "a1")
        .header("last-event-id", "4");
    assert_eq!(
        read_events(call.send().await.unwrap()).await,
        (events(5, 6), true)
    );
}

#[tokio::test]
async fn work_is_cancelled_when_the_caller_disconnects_within_a_stream() {
    let (fixture, node, backends) = fixture_with_node(
        "llm",
        &[Behaviour::Events {
            to: 1000,
            ends_normally: true,
        }],
    )
    .await;
    let res = fixture.call(&node, "/resume/x", "a1").send().await.unwrap();
    let mut chunks = res.bytes_stream();
    chunks.next().await.unwrap().unwrap();
    drop(chunks);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(*backends[0].abandoned.lock(), 1);
    assert_eq!(total_runs(&backends), 1);
}

#[tokio::test]
async fn a_stream_ends_with_an_error_at_its_deadline() {
    let (fixture, node, _backends) = fixture_with_node(
        "llm",
        &[Behaviour::Events {
            to: 1000,
            ends_normally: true,
        }],
    )
    .await;
    let started = std::time::Instant::now();
    let res = fixture.call(&node, "/resume/x", "a1").send().await.unwrap();
    let (_, ended) = read_events(res).await;
    assert!(!ended);
    assert!(
        started.elapsed() < Duration::from_millis(1800),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn a_stream_without_another_back_end_uses_no_retry_budget() {
    let (fixture, node, backends) = fixture_with_node("llm", &[BROKEN]).await;
    let res = fixture.call(&node, "/resume/x", "a1").send().await.unwrap();
    assert_eq!(read_events(res).await, (events(1, 3), false));
    backends[0].set(COMPLETE);
    let mut others = Vec::new();
    for id in ["c1", "c2"] {
        let backend = FakeBackend::spawn(BROKEN).await;
        fixture.list_backend(id, "llm", &backend, "ready").await;
        others.push(backend);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let call = fixture.call(&node, "/resume/x", "a2").body("another");
    let res = call.send().await.unwrap();
    for backend in others.iter().filter(|backend| backend.runs() == 0) {
        backend.set(COMPLETE);
    }
    assert_eq!(read_events(res).await, (events(1, 6), true));
    assert_eq!(total_runs(&others) + total_runs(&backends), 3);
}

/// A call with a deadline of eight seconds.
fn long_call(fixture: &Fixture, node: &Node) -> reqwest::RequestBuilder {
    let deadline = (
        "x-jayhall-deadline-ms".parse().unwrap(),
        "8000".parse().unwrap(),
    );
    let headers = HeaderMap::from_iter([deadline]);
    fixture.call(node, "/long/x", "a1").headers(headers)
}

#[tokio::test]
async fn a_stream_that_stalls_within_an_event_resumes_at_another_back_end() {
    let stalled = [Behaviour::Trickle, Behaviour::Trickle];
    let (fixture, node, backends) = fixture_with_node("llm", &stalled).await;
    let res = long_call(&fixture, &node).send();
    let started = Instant::now();
    let res = res.await.unwrap();
    for backend in backends.iter().filter(|backend| backend.runs() == 0) {
        backend.set(COMPLETE);
    }
    assert_eq!(read_events(res).await, (events(1, 6), true));
    assert!(
        started.elapsed() < Duration::from_millis(4000),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(total_runs(&backends), 2);
}

#[tokio::test]
async fn a_slow_but_active_stream_is_not_interrupted() {
    let slow = Behaviour::Slow {
        to: 3,
        pause_ms: 1800,
    };
    let (fixture, node, backends) = fixture_with_node("llm", &[slow.clone(), slow]).await;
    let res = long_call(&fixture, &node).send().await;
    assert_eq!(read_events(res.unwrap()).await, (events(1, 3), true));
    assert_eq!(total_runs(&backends), 1);
}

/// Starts a back end whose answers have neither a length nor chunks: it sends `text` and closes the connection.
async fn spawn_unframed_backend(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let len = stream.read(&mut buf).await.unwrap();
            assert!(len > 0);
            let head = "HTTP/1.1 200 OK\r\nx-jayhall-response-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
        }
    });
    address
}

/// Reads the answer to a call that is not resumable from such a back end.
async fn read_unframed(text: &'static str) -> (String, bool) {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let address = spawn_unframed_backend(text).await;
    let entry = format!(
        r#"{{"service":"llm","address":"{address}","zone":"z1","slots":8,"state":"ready","born":1}}"#
    );
    fixture.put("servers/b0", entry).await;
    let node = fixture.node("n1").await;
    fixture.ready(&node).await;
    match fixture.call(&node, "/stream/x", "a1").send().await {
        Ok(res) => read_events(res).await,
        Err(_) => (String::new(), false),
    }
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_complete_only_after_a_whole_event() {
    let whole = "id: 1\ndata: piece 1\n\n";
    assert_eq!(read_unframed(whole).await, (whole.into(), true));
    let broken = "id: 1\ndata: piece 1\n\nid: 2\ndata: pie";
    assert_eq!(read_unframed(broken).await, (whole.into(), false));
    assert_eq!(read_unframed("").await, (String::new(), false));
}
