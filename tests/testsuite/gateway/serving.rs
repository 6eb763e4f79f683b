//! Calls whose answers are not streams, through a running gateway.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::rig::{Behaviour, FakeBackend, config, header, one_node, text, total_runs};

#[tokio::test]
async fn a_call_reaches_a_back_end_and_its_answer_the_caller_unchanged() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let res = rig
        .call(&node, "/once/x?y=1", "a1")
        .body("order")
        .send()
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
    assert_eq!(
        header(&res, "x-jayhall-response-seal").as_deref(),
        Some("seal-a1")
    );
    assert_eq!(res.text().await.unwrap(), "done");
    let seen = backends[0].seen.lock()[0].clone();
    assert_eq!((&*seen.path, &*seen.body), ("/once/x?y=1", &b"order"[..]));
    let headers = text(&seen.headers);
    assert_eq!(headers["x-jayhall-expect-instance"], "b0");
    assert_eq!(headers["x-jayhall-tenant"], "anna");
    assert!(!headers.contains_key("authorization"));
    let left: u64 = headers["x-jayhall-deadline-ms"].parse().unwrap();
    assert!((1000..=1400).contains(&left), "{left}");
}

#[tokio::test]
async fn what_no_route_or_key_allows_never_reaches_a_back_end() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let status = async |path: &str, key: &str, body: usize| {
        let call = rig.call(&node, path, "a").header("authorization", key);
        call.body("x".repeat(body))
            .send()
            .await
            .unwrap()
            .status()
            .as_u16()
    };
    assert_eq!(status("/nowhere/", "Bearer k1", 1).await, 404);
    // Two headers of one name: the first one is the good key of the rig.
    let unknown = rig
        .client
        .post(node.url("/once/x"))
        .header("host", "h.example");
    let unknown = unknown
        .header("authorization", "Bearer k9")
        .send()
        .await
        .unwrap();
    assert_eq!(unknown.status(), 401);
    assert_eq!(status("/once/x", "Bearer k1", 1001).await, 413);
    assert_eq!(total_runs(&backends), 0);
}

#[tokio::test]
async fn a_call_that_may_have_run_is_never_sent_again_nor_said_not_to_have_run() {
    for behaviour in [
        Behaviour::Lose,
        Behaviour::AnswerAnother,
        Behaviour::Unsigned,
    ] {
        let both = [behaviour.clone(), behaviour.clone()];
        let (rig, node, backends) = one_node("plain", &both).await;
        let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
        assert_eq!(res.status(), 502, "{behaviour:?}");
        assert_eq!(header(&res, "retry-after"), None);
        assert!(res.text().await.unwrap().contains("may_have_run"));
        assert_eq!(total_runs(&backends), 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn an_idempotent_call_is_sent_to_another_back_end() {
    for behaviour in [
        Behaviour::Lose,
        Behaviour::Answer(500, "broken"),
        Behaviour::Unsigned,
        Behaviour::Decline,
    ] {
        let (rig, node, backends) =
            one_node("plain", &[behaviour.clone(), behaviour.clone()]).await;
        backends[1].set(Behaviour::Answer(200, "done"));
        // Which one is first is drawn; both orders end well.
        for at in 0..4 {
            let res = rig
                .call(&node, "/get/x", &format!("a{at}"))
                .send()
                .await
                .unwrap();
            assert_eq!(
                (res.status().as_u16(), res.text().await.unwrap().as_str()),
                (200, "done"),
                "{behaviour:?}"
            );
        }
    }
}

#[tokio::test]
async fn a_silent_back_end_does_not_keep_an_idempotent_call() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Silent, Behaviour::Silent]).await;
    backends[1].set(Behaviour::Answer(200, "done"));
    let started = Instant::now();
    let res = rig.call(&node, "/get/x", "a1").send().await.unwrap();
    assert_eq!(res.status(), 200);
    assert!(
        started.elapsed() < Duration::from_millis(1300),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn a_call_ends_at_its_deadline_with_a_true_answer() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Silent]).await;
    let started = Instant::now();
    let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
    assert_eq!(res.status(), 504);
    assert!(
        started.elapsed() < Duration::from_millis(1500),
        "{:?}",
        started.elapsed()
    );
    assert!(res.text().await.unwrap().contains("may_have_run"));
    assert_eq!(total_runs(&backends), 1);
}

#[tokio::test]
async fn work_ends_when_the_caller_leaves() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Silent]).await;
    let call = rig
        .call(&node, "/once/x", "a1")
        .timeout(Duration::from_millis(200));
    assert!(call.send().await.is_err());
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(*backends[0].abandoned.lock(), 1);
}

#[tokio::test]
async fn back_ends_that_decline_give_a_refusal_with_a_time_to_return() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Decline, Behaviour::Decline]).await;
    let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
    assert_eq!(res.status(), 503);
    let after: f64 = header(&res, "retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after <= 1.4 / 3.0, "{after}");
    assert!(res.text().await.unwrap().contains("not_run"));
    assert_eq!(total_runs(&backends), 0);
}

#[tokio::test]
async fn a_node_without_configuration_says_so_and_is_not_ready() {
    let rig = super::rig::Rig::new();
    let node = rig.node("n1").await;
    let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
    assert_eq!(res.status(), 503);
    assert!(header(&res, "retry-after").is_some());
    let ready = format!("http://{}/readyz", node.settings.listen.readiness);
    assert_eq!(rig.client.get(&ready).send().await.unwrap().status(), 503);
    rig.put("op/config", config(1)).await;
    rig.ready(&node).await;
}

#[tokio::test]
async fn an_older_configuration_or_one_that_cannot_be_read_changes_nothing() {
    let (rig, node, _backends) = one_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let status = async || {
        let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
        res.status().as_u16()
    };
    rig.put("op/config", config(5).replace("/once/", "/twice/"))
        .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(status().await, 404);
    for wrong in [config(3), "{".into()] {
        rig.put("op/config", wrong).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(status().await, 404);
    }
}

#[tokio::test]
async fn a_leaving_back_end_gets_no_new_call() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Answer(200, "old")]).await;
    let other = FakeBackend::spawn(Behaviour::Answer(200, "new")).await;
    rig.list("b9", "plain", &other, "ready").await;
    rig.list("b0", "plain", &backends[0], "draining").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    for at in 0..5 {
        let res = rig
            .call(&node, "/once/x", &format!("a{at}"))
            .send()
            .await
            .unwrap();
        assert_eq!(res.text().await.unwrap(), "new");
    }
    rig.remove("servers/b9").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let res = rig.call(&node, "/once/x", "a9").send().await.unwrap();
    assert_eq!(res.status(), 503);
    assert_eq!((backends[0].runs(), other.runs()), (0, 5));
}

#[tokio::test]
async fn a_spoilt_entry_of_another_writer_takes_no_back_end_away() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Answer(200, "done")]).await;
    rig.put("servers/b0", "\u{1}spoilt").await;
    rig.put("servers/other", r#"{"service":7}"#).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
    assert_eq!((res.status().as_u16(), backends[0].runs()), (200, 1));
}

#[tokio::test]
async fn a_planned_stop_cuts_no_call_and_sends_callers_elsewhere() {
    let (rig, mut node, _backends) = one_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let other = rig.node("n2").await;
    rig.ready(&other).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let directory = format!(
        "http://{}/resolve?name=h.example&region=r&zone=z1",
        other.settings.listen.directory
    );
    let told = async || {
        let res = rig.client.get(&directory).send().await.unwrap();
        res.text().await.unwrap()
    };
    let leaving = node.settings.listen.callers.to_string();
    assert!(told().await.contains(&leaving));
    let gateway = node.gateway.take().unwrap();
    let stop = tokio::spawn(gateway.leave());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!told().await.contains(&leaving), "{}", told().await);
    // Callers that do not know yet are served, and told to go elsewhere.
    let mut served = 0;
    while !stop.is_finished() {
        if let Ok(res) = rig.call(&node, "/once/x", "a1").send().await {
            assert_eq!(res.status(), 200);
            assert_eq!(header(&res, "connection").as_deref(), Some("close"));
            served += 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served > 10, "{served}");
}

#[tokio::test]
async fn a_back_end_that_says_in_an_answer_that_it_leaves_gets_no_new_call() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::Leave]).await;
    let other = rig.node("n2").await;
    rig.ready(&other).await;
    // The nodes hear each other, so that one learns what the other was told.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
    assert_eq!(header(&res, "server-leaving").as_deref(), Some("1"));
    assert_eq!(res.text().await.unwrap(), "last");
    // The registry says that it is ready, again and again.
    rig.list("b0", "plain", &backends[0], "ready").await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    for node in [&node, &other] {
        let res = rig.call(node, "/once/x", "a2").send().await.unwrap();
        assert_eq!(res.status(), 503, "{}", node.settings.name);
    }
    assert_eq!(backends[0].runs(), 1);
    // Another start of its process, under the same name, takes calls.
    let entry = format!(
        r#"{{"service":"plain","address":"{}","zone":"z1","slots":8,"state":"ready","born":2}}"#,
        backends[0].address
    );
    rig.put("servers/b0", entry).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let res = rig.call(&node, "/once/x", "a3").send().await.unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test]
async fn a_back_end_that_says_when_to_come_back_is_left_alone_until_then() {
    let (rig, node, backends) = one_node("plain", &[Behaviour::TurnAway(1.2)]).await;
    let started = Instant::now();
    let mut told = Vec::new();
    while started.elapsed() < Duration::from_millis(1100) {
        let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
        assert_eq!(res.status(), 503);
        told.push(header(&res, "retry-after").unwrap().parse::<f64>().unwrap());
        assert!(res.text().await.unwrap().contains("not_run"));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(*backends[0].turned_away.lock(), 1);
    // Nobody else is there: callers hear when it takes calls again, within a third of their own time.
    assert!(
        told.iter()
            .all(|after| *after > 0.05 && *after <= 1.4 / 3.0),
        "{told:?}"
    );
    backends[0].set(Behaviour::Answer(200, "done"));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let res = rig.call(&node, "/once/x", "a2").send().await.unwrap();
    assert_eq!(res.status(), 200);
}

#[tokio::test]
async fn calls_go_elsewhere_while_a_back_end_wants_to_be_left_alone() {
    let both = [Behaviour::TurnAway(5.0), Behaviour::Answer(200, "done")];
    let (rig, node, backends) = one_node("plain", &both).await;
    for at in 0..20 {
        let attempt = format!("a{at}");
        let res = rig.call(&node, "/once/x", &attempt).send().await.unwrap();
        assert_eq!(res.status(), 200);
    }
    assert!(*backends[0].turned_away.lock() <= 1);
}

/// Answers every connection with a start and then bytes without end, until the other side closes. Returns
/// its address and how many bytes it could send on closed connections.
async fn endless(start: &'static str) -> (std::net::SocketAddr, Arc<Mutex<Vec<usize>>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let closed: Arc<Mutex<Vec<usize>>> = Arc::default();
    let noted = Arc::clone(&closed);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let noted = Arc::clone(&noted);
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                let read = stream.read(&mut buf).await.unwrap_or(0);
                let request = String::from_utf8_lossy(&buf[..read]).into_owned();
                let attempt = request
                    .lines()
                    .find_map(|line| line.strip_prefix("x-jayhall-attempt-id: "))
                    .unwrap_or_default();
                let start = start.replace("ATTEMPT", attempt);
                let mut sent = 0;
                let mut next = start.into_bytes();
                while stream.write_all(&next).await.is_ok() {
                    sent += next.len();
                    next = vec![b'x'; 16 * 1024];
                }
                noted.lock().push(sent);
            });
        }
    });
    (address, closed)
}

#[tokio::test]
async fn bytes_without_end_take_bounded_memory_and_are_no_answer() {
    const BODY: &str =
        "HTTP/1.1 200 OK\r\nx-jayhall-attempt-id: ATTEMPT\r\nx-jayhall-response-seal: s\r\n\r\n";
    const CHUNK: &str = "HTTP/1.1 200 OK\r\nx-jayhall-attempt-id: ATTEMPT\r\nx-jayhall-response-seal: s\r\n\
        transfer-encoding: chunked\r\n\r\nfffffffff\r\n";
    let starts = ["HTTP/1.1 200 OK\r\nx-a: ", "", BODY, CHUNK];
    for start in starts {
        let (rig, node, _backends) = one_node("plain", &[]).await;
        let (address, closed) = endless(start).await;
        let entry = format!(
            r#"{{"service":"plain","address":"{address}","zone":"z1","slots":8,"state":"ready","born":1}}"#
        );
        rig.put("servers/b0", entry).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let started = Instant::now();
        let res = rig.call(&node, "/once/x", "a1").send().await.unwrap();
        assert!([502, 504].contains(&res.status().as_u16()), "{start:?}");
        assert!(res.text().await.unwrap().contains("may_have_run"));
        assert!(started.elapsed() < Duration::from_millis(1500), "{start:?}");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let sent = closed.lock().clone();
        // What the sockets buffer comes on top of what the node read.
        assert_eq!(sent.len(), 1, "{start:?}: the connection is still open");
        assert!(sent[0] < 24 * 1024 * 1024, "{start:?}: {} bytes", sent[0]);
    }
}
