//! Streams of events through a running gateway.

use std::time::{Duration, Instant};

use futures::StreamExt;
use hyper::HeaderMap;

use super::rig::{Behaviour, FakeBackend, Node, Rig, one_node, total_runs};

const WHOLE: Behaviour = Behaviour::Events { to: 6, ends: true };
const BROKEN: Behaviour = Behaviour::Events { to: 3, ends: false };

/// Reads events until the stream ends. Returns them, and whether it ended as it should.
async fn read(res: reqwest::Response) -> (String, bool) {
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
async fn events_are_passed_on_as_they_are() {
    let (rig, node, _backends) = one_node("llm", &[WHOLE]).await;
    let res = rig.call(&node, "/stream/x", "a1").send().await.unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(res.headers()["x-jayhall-response-seal"], "seal-a1");
    assert_eq!(res.headers()["content-type"], "text/event-stream");
    assert_eq!(read(res).await, (events(1, 6), true));
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_behind_the_last_whole_event() {
    let (rig, node, backends) = one_node("llm", &[BROKEN, BROKEN]).await;
    let res = rig.call(&node, "/resume/x", "a1").send().await.unwrap();
    // The first back end is serving; the other one will go on.
    for backend in backends.iter().filter(|backend| backend.runs() == 0) {
        backend.set(WHOLE);
    }
    assert_eq!(read(res).await, (events(1, 6), true));
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
async fn a_stream_that_may_not_go_on_breaks_off_visibly() {
    let (rig, node, backends) = one_node("llm", &[BROKEN, BROKEN]).await;
    let res = rig.call(&node, "/stream/x", "a1").send().await.unwrap();
    assert_eq!(read(res).await, (events(1, 3), false));
    assert_eq!(total_runs(&backends), 1);
}

#[tokio::test]
async fn a_stream_is_sent_to_no_more_back_ends_than_its_route_allows() {
    let (rig, node, backends) = one_node("llm", &[BROKEN, BROKEN, BROKEN]).await;
    let res = rig.call(&node, "/resume/x", "a1").send().await.unwrap();
    let (text, ended) = read(res).await;
    assert!(!ended, "{text}");
    assert_eq!(total_runs(&backends), 2);
}

#[tokio::test]
async fn a_caller_that_goes_on_gets_what_follows_its_last_event() {
    let (rig, node, _backends) = one_node("llm", &[WHOLE]).await;
    let call = rig
        .call(&node, "/resume/x", "a1")
        .header("last-event-id", "4");
    assert_eq!(read(call.send().await.unwrap()).await, (events(5, 6), true));
}

#[tokio::test]
async fn work_ends_when_the_caller_leaves_within_a_stream() {
    let (rig, node, backends) = one_node(
        "llm",
        &[Behaviour::Events {
            to: 1000,
            ends: true,
        }],
    )
    .await;
    let res = rig.call(&node, "/resume/x", "a1").send().await.unwrap();
    let mut chunks = res.bytes_stream();
    chunks.next().await.unwrap().unwrap();
    drop(chunks);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(*backends[0].abandoned.lock(), 1);
    assert_eq!(total_runs(&backends), 1);
}

#[tokio::test]
async fn a_stream_ends_visibly_at_its_deadline() {
    let (rig, node, _backends) = one_node(
        "llm",
        &[Behaviour::Events {
            to: 1000,
            ends: true,
        }],
    )
    .await;
    let started = std::time::Instant::now();
    let res = rig.call(&node, "/resume/x", "a1").send().await.unwrap();
    let (_, ended) = read(res).await;
    assert!(!ended);
    assert!(
        started.elapsed() < Duration::from_millis(1800),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn a_stream_that_nobody_can_go_on_with_leaves_others_their_second_sends() {
    let (rig, node, backends) = one_node("llm", &[BROKEN]).await;
    let res = rig.call(&node, "/resume/x", "a1").send().await.unwrap();
    assert_eq!(read(res).await, (events(1, 3), false));
    backends[0].set(WHOLE);
    let mut others = Vec::new();
    for id in ["c1", "c2"] {
        let backend = FakeBackend::spawn(BROKEN).await;
        rig.list(id, "llm", &backend, "ready").await;
        others.push(backend);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let res = rig.call(&node, "/resume/x", "a2").send().await.unwrap();
    for backend in others.iter().filter(|backend| backend.runs() == 0) {
        backend.set(WHOLE);
    }
    assert_eq!(read(res).await, (events(1, 6), true));
    assert_eq!(total_runs(&others) + total_runs(&backends), 3);
}

/// A call whose caller waits for eight seconds.
fn long_call(rig: &Rig, node: &Node) -> reqwest::RequestBuilder {
    let deadline = (
        "x-jayhall-deadline-ms".parse().unwrap(),
        "8000".parse().unwrap(),
    );
    let headers = HeaderMap::from_iter([deadline]);
    rig.call(node, "/long/x", "a1").headers(headers)
}

#[tokio::test]
async fn a_stalled_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere() {
    let stalled = [Behaviour::Trickle, Behaviour::Trickle];
    let (rig, node, backends) = one_node("llm", &stalled).await;
    let res = long_call(&rig, &node).send();
    let started = Instant::now();
    let res = res.await.unwrap();
    for backend in backends.iter().filter(|backend| backend.runs() == 0) {
        backend.set(WHOLE);
    }
    assert_eq!(read(res).await, (events(1, 6), true));
    assert!(
        started.elapsed() < Duration::from_millis(4000),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(total_runs(&backends), 2);
}

#[tokio::test]
async fn a_slow_stream_that_goes_on_is_not_cut() {
    let slow = Behaviour::Slow {
        to: 3,
        pause_ms: 1800,
    };
    let (rig, node, backends) = one_node("llm", &[slow.clone(), slow]).await;
    let res = long_call(&rig, &node).send().await;
    assert_eq!(read(res.unwrap()).await, (events(1, 3), true));
    assert_eq!(total_runs(&backends), 1);
}
