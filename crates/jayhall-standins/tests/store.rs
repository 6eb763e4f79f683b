//! The store's contract.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use futures::StreamExt;
use jayhall_standins::CommonFaults;
use jayhall_standins::store::{self, Store, StoreFaults, StoreSettings};
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

fn b64(text: &str) -> String {
    BASE64.encode(text)
}

async fn store() -> Store {
    let store = store::spawn(StoreSettings::default()).await;
    store.expect("free port")
}

async fn send(store: &Store, path: &str, body: &Value) -> reqwest::Result<Response> {
    let url = format!("http://{}{path}", store.address);
    Client::new().post(url).json(body).send().await
}

async fn call(store: &Store, path: &str, body: Value) -> Value {
    let res = send(store, path, &body).await.expect("answer");
    assert_eq!(res.status(), StatusCode::OK, "{path} {body}");
    res.json().await.expect("JSON")
}

async fn put(store: &Store, key: &str, value: &str, lease: &Value) -> Value {
    let body = json!({"key": b64(key), "value": b64(value), "lease": lease});
    call(store, "/v3/kv/put", body).await
}

async fn value(store: &Store, key: &str) -> Option<String> {
    let found = call(store, "/v3/kv/range", json!({"key": b64(key)})).await;
    let value = found["kvs"][0]["value"].as_str()?;
    let bytes = BASE64.decode(value).expect("base64");
    Some(String::from_utf8(bytes).expect("UTF-8"))
}

#[tokio::test]
async fn ranges_return_what_was_put_and_deleted() {
    let store = store().await;
    for key in ["a/1", "a/2", "b/1"] {
        put(&store, key, key, &json!("0")).await;
    }
    let prefix = json!({"key": b64("a/"), "range_end": b64("a0"), "limit": "1"});
    let found = call(&store, "/v3/kv/range", prefix.clone()).await;
    assert_eq!(
        (&found["count"], &found["more"]),
        (&json!("2"), &json!(true))
    );
    assert_eq!(found["kvs"][0]["key"], b64("a/1"));
    let deleted = call(&store, "/v3/kv/deleterange", prefix).await;
    assert_eq!(deleted["deleted"], "2");
    assert_eq!(value(&store, "a/1").await, None);
    assert_eq!(value(&store, "b/1").await.as_deref(), Some("b/1"));
    let large = json!({"key": b64("c"), "value": BASE64.encode(vec![0; 1024 * 1024 + 1])});
    let large = send(&store, "/v3/kv/put", &large).await.unwrap();
    assert_eq!(large.status(), StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn only_one_of_two_transactions_on_a_revision_succeeds() {
    let store = store().await;
    let cases = [
        ("CREATE", "create_revision", "0", "one", true),
        ("CREATE", "create_revision", "0", "two", false),
        ("MOD", "mod_revision", "2", "three", true),
        ("MOD", "mod_revision", "2", "four", false),
        ("VERSION", "version", "2", "five", true),
        ("VALUE", "value", "Zml2ZQ==", "six", true),
        ("VALUE", "value", "Zml2ZQ==", "seven", false),
    ];
    for (target, field, wanted, new, succeeds) in cases {
        let key = b64("k");
        let body = json!({
            "compare": [{"key": key, "target": target, "result": "EQUAL", field: wanted}],
            "success": [{"requestPut": {"key": key, "value": b64(new)}}],
            "failure": [{"request_range": {"key": key}}],
        });
        let reply = call(&store, "/v3/kv/txn", body).await;
        assert_eq!(reply["succeeded"] == true, succeeds, "{target} {new}");
        let is_put = reply["responses"][0].get("response_put").is_some();
        assert_eq!(is_put, succeeds, "{target} {new}");
    }
    assert_eq!(value(&store, "k").await.as_deref(), Some("six"));
}

#[tokio::test]
async fn a_lease_takes_its_keys_with_it() {
    let store = store().await;
    let grant = call(&store, "/v3/lease/grant", json!({"TTL": "1"})).await;
    let id = grant["ID"].clone();
    put(&store, "held", "x", &id).await;
    let alive = call(&store, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(alive["result"]["TTL"], "1");
    let left = call(
        &store,
        "/v3/lease/timetolive",
        json!({"ID": id, "keys": true}),
    )
    .await;
    assert_eq!(left["keys"], json!([b64("held")]));
    while value(&store, "held").await.is_some() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ended = call(&store, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(ended["result"].get("TTL"), None);
    let body = json!({"key": b64("held"), "value": "", "lease": id});
    let late = send(&store, "/v3/kv/put", &body).await.unwrap();
    assert_eq!(late.status(), StatusCode::NOT_FOUND);
    let grant = call(&store, "/v3/lease/grant", json!({"TTL": "60"})).await;
    put(&store, "held", "x", &grant["ID"]).await;
    call(&store, "/v3/lease/revoke", json!({"ID": grant["ID"]})).await;
    assert_eq!(value(&store, "held").await, None);
}

#[tokio::test]
async fn a_watch_starts_in_the_past_and_follows() {
    let store = store().await;
    put(&store, "w/1", "old", &json!(0)).await;
    let create = json!({"create_request": {
        "key": b64("w/"), "range_end": b64("w0"), "start_revision": "2",
    }});
    let mut stream = send(&store, "/v3/watch", &create)
        .await
        .unwrap()
        .bytes_stream();
    let mut next = async || -> Value {
        let line = stream.next().await.unwrap().unwrap();
        serde_json::from_slice::<Value>(&line).unwrap()["result"].take()
    };
    assert_eq!(next().await["created"], true);
    assert_eq!(next().await["events"][0]["kv"]["value"], b64("old"));
    assert_eq!(store.counters().watches_open, 1);
    store.set_faults(StoreFaults {
        drop_watch_events: 1,
        ..StoreFaults::default()
    });
    put(&store, "w/2", "lost", &json!(0)).await;
    // Waits until the message was dropped, so that the next change is a message of its own.
    let faults = format!("http://{}/faults", store.address);
    while reqwest::get(&faults)
        .await
        .unwrap()
        .json::<Value>()
        .await
        .unwrap()["drop_watch_events"]
        != 0
    {
        tokio::task::yield_now().await;
    }
    call(&store, "/v3/kv/deleterange", json!({"key": b64("w/1")})).await;
    let event = next().await["events"][0].clone();
    assert_eq!(
        (&event["type"], &event["kv"]["key"]),
        (&json!("DELETE"), &json!(b64("w/1")))
    );
    store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    assert!(stream.next().await.unwrap().is_err());
}

#[tokio::test]
async fn limits_are_answered_as_limits() {
    let settings = StoreSettings {
        writes_per_second: 3.0,
        reads_per_second: 2.0,
        ..StoreSettings::default()
    };
    let store = store::spawn(settings).await.unwrap();
    let mut limited = (0_u64, 0_u64);
    for _ in 0..10 {
        let read = send(&store, "/v3/kv/range", &json!({"key": b64("k")})).await;
        limited.0 += u64::from(read.unwrap().status() == StatusCode::TOO_MANY_REQUESTS);
        let write = send(&store, "/v3/kv/put", &json!({"key": b64("k")}))
            .await
            .unwrap();
        let status = write.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            assert_eq!(write.json::<Value>().await.unwrap()["code"], 8);
            limited.1 += 1;
        }
    }
    assert!(limited.0 > 0 && limited.1 > 0);
    assert_eq!(store.counters().limited, limited.0 + limited.1);
}

#[tokio::test]
async fn faults_lose_repeat_and_refuse() {
    let store = store().await;
    let lose = CommonFaults {
        lose_answer_next: 1,
        ..CommonFaults::default()
    };
    store.set_faults(StoreFaults {
        common: lose,
        ..StoreFaults::default()
    });
    let body = json!({"key": b64("k"), "value": b64("v")});
    assert!(send(&store, "/v3/kv/put", &body).await.is_err());
    assert_eq!(value(&store, "k").await.as_deref(), Some("v"));
    store.set_faults(StoreFaults {
        duplicate_next: 1,
        ..StoreFaults::default()
    });
    put(&store, "k", "w", &json!(0)).await;
    let found = call(&store, "/v3/kv/range", json!({"key": b64("k")})).await;
    assert_eq!(found["kvs"][0]["version"], "3");
    store.set_faults(StoreFaults {
        outage: true,
        ..StoreFaults::default()
    });
    let res = send(&store, "/v3/kv/put", &body).await.unwrap();
    assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
}
