//! Entries of back ends that another writer has left, and that cannot be decoded or name absurd figures. Nodes must go on
//! to follow the registry, whether they read such an entry from a listing, from a watch or from another node.

use std::time::Duration;

use super::fixture::{Behaviour, FakeBackend, Fixture, Node, config, numbered_call};

/// Levels of a deeply nested entry.
const DEPTH: usize = 100_000;

fn entry(slots: &str, born: &str, address: &str, version: &str) -> String {
    format!(
        r#"{{"service":"plain","address":"{address}","zone":"z1","slots":{slots},"state":"ready","born":{born},"version":{version}}}"#
    )
}

fn nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// Entries that name no back end.
fn undecodable() -> Vec<String> {
    let sound = "127.0.0.1:1";
    let v1 = r#""v1""#;
    vec![
        nested(),
        entry("8", "1", sound, &nested()),
        format!(r#"{{"a":{}}}"#, nested()),
        entry("1e999", "1", sound, v1),
        entry("4294967296", "1", sound, v1),
        entry("-1", "1", sound, v1),
        entry("8", "184467440737095516160", sound, v1),
        entry("8", "1", "127.0.0.1:70000", v1),
        entry("8", "1", "back-end.example:80", v1),
        String::new(),
        "null".into(),
    ]
}

/// Entries with figures that are possible but absurd; nothing listens at their address.
fn absurd() -> Vec<String> {
    let nowhere = "127.0.0.1:1";
    vec![
        entry("4294967295", "18446744073709551615", nowhere, r#""v1""#),
        entry("0", "0", nowhere, r#""""#),
        entry("1", "1", "0.0.0.0:0", r#""v1""#),
        entry("1", "1", "[::]:65535", "[7]"),
    ]
}

async fn put_odd_entries(fixture: &Fixture, prefix: &str) {
    let entries = undecodable().into_iter().chain(absurd());
    for (index, entry) in entries.enumerate() {
        fixture
            .put(&format!("servers/{prefix}{index}"), entry)
            .await;
    }
    fixture.put("servers/bytes", vec![0xff_u8, 0, 0xfe]).await;
}

/// Checks that a node serves calls, through the back end that is listed last.
async fn assert_served(fixture: &Fixture, node: &Node, backend: &FakeBackend) {
    let runs = backend.runs();
    let mut served = 0;
    for _ in 0..10 {
        let res = numbered_call(fixture, node, "/get/x").send().await.unwrap();
        served += usize::from(res.status() == 200);
    }
    assert!(served >= 9, "{}: {served} of 10", node.settings.name);
    assert!(backend.runs() > runs, "{}", node.settings.name);
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_other_writers_do_not_keep_nodes_from_following_the_registry() {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    put_odd_entries(&fixture, "odd").await;
    let first = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    fixture.list_backend("b0", "plain", &first, "ready").await;
    let listing = fixture.node("n1").await;
    fixture.ready(&listing).await;
    let store = std::sync::Arc::clone(&fixture.store);
    let seeds = [listing.settings.listen.control];
    let copying = fixture.node_with_seeds("n2", "z1", store, &seeds).await;
    fixture.ready(&copying).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    for node in [&listing, &copying] {
        assert_served(&fixture, node, &first).await;
    }
    // Odd entries arrive as changes, one of them for a back end that is known, and an odd configuration.
    put_odd_entries(&fixture, "later").await;
    fixture.put("servers/b0", nested()).await;
    fixture.put("op/config", nested()).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    for node in [&listing, &copying] {
        assert_served(&fixture, node, &first).await;
    }
    let second = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    fixture.list_backend("b9", "plain", &second, "ready").await;
    fixture.remove("servers/b0").await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    for node in [&listing, &copying] {
        assert_served(&fixture, node, &second).await;
    }
}
