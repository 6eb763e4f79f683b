//! The adapter of the platform's store, against a small stand-in of its protocol.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jayhall::core::verdict::Verdict;
use jayhall::platform::{PlatformStore, PlatformStoreConfig};
use jayhall::sources::store::{
    CallRate, Condition, KeyRange, KeyValue, MemoryStore, Op, RangeRequest, Store, StoreError,
    Transaction, WatchEvent, WatchRequest,
};
use serde_json::{Value, json};

/// Items in one page of the stand-in.
const PAGE: usize = 3;

/// The protocol of the platform's store over a store in memory.
struct Standin {
    store: MemoryStore,
    /// Status of every answer, where it is not 0.
    refuse_with: AtomicU16,
}

fn item(kv: &KeyValue) -> Value {
    json!({"key": kv.key, "value": STANDARD.encode(&kv.value), "revision": kv.mod_revision,
        "createRev": kv.create_revision, "lease": kv.lease.unwrap_or(0)})
}

impl Standin {
    async fn answer(&self, req: Request<Incoming>) -> (StatusCode, Value) {
        let refuse = self.refuse_with.load(Ordering::Relaxed);
        if refuse != 0 {
            return (StatusCode::from_u16(refuse).unwrap(), json!({}));
        }
        let path = req.uri().path().to_owned();
        let query: Vec<(String, String)> = req
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k.into(), v.replace("%2F", "/")))
            .collect();
        let query = |name: &str| {
            let found = query.iter().find(|(key, _)| key == name);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        let body = req.into_body().collect().await.unwrap().to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        match path.split('/').nth(1).unwrap_or_default() {
            "kv-key" => self.one(&query("key")).await,
            "kv-range" => self.page(&query("pathPrefix"), &query("after")).await,
            "kv-watch" => self.watch(&query("pathPrefix"), &query("after")).await,
            "kv-txn" => self.transact(&body).await,
            "kv-lease" => {
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap());
                let grant = self.store.grant_lease(ttl).await.unwrap();
                let ttl_ms = grant.ttl.as_millis() as u64;
                (StatusCode::OK, json!({"lease": grant.id, "ttlMs": ttl_ms}))
            }
            "kv-keep" => match self.store.keep_alive(last_number(&path)).await {
                Ok(grant) => (
                    StatusCode::OK,
                    json!({"ttlMs": grant.ttl.as_millis() as u64}),
                ),
                Err(_) => (StatusCode::NOT_FOUND, json!({})),
            },
            "kv-lease-end" => match self.store.revoke(last_number(&path)).await {
                Ok(()) => (StatusCode::OK, json!({})),
                Err(_) => (StatusCode::NOT_FOUND, json!({})),
            },
            _ => (StatusCode::BAD_REQUEST, json!({})),
        }
    }

    async fn one(&self, key: &str) -> (StatusCode, Value) {
        let reply = self.store.range(RangeRequest::one(key)).await.unwrap();
        match reply.entries.first() {
            Some(kv) => {
                let mut value = item(kv);
                value["asOf"] = json!(reply.revision);
                (StatusCode::OK, value)
            }
            None => (StatusCode::NOT_FOUND, json!({})),
        }
    }

    async fn page(&self, prefix: &str, after: &str) -> (StatusCode, Value) {
        let reply = self
            .store
            .range(RangeRequest::prefix(prefix))
            .await
            .unwrap();
        let rest: Vec<_> = reply.entries.iter().filter(|kv| &*kv.key > after).collect();
        let items: Vec<_> = rest.iter().take(PAGE).map(|kv| item(kv)).collect();
        let more = rest.len() > PAGE;
        (
            StatusCode::OK,
            json!({"items": items, "truncated": more, "asOf": reply.revision}),
        )
    }

    async fn watch(&self, prefix: &str, after: &str) -> (StatusCode, Value) {
        let after: u64 = after.parse().unwrap();
        let range = KeyRange::Prefix(prefix.into());
        let from = Some(after + 1);
        let watch = self.store.watch(WatchRequest { range, from }).await;
        let Ok(mut events) = watch else {
            return (StatusCode::GONE, json!({}));
        };
        let mut told = Vec::new();
        let mut as_of = after;
        let wait = Duration::from_millis(200);
        while let Ok(Some(Ok(event))) = tokio::time::timeout(wait, events.next()).await {
            match event {
                WatchEvent::Started { .. } => continue,
                WatchEvent::Put(kv) => {
                    as_of = kv.mod_revision;
                    told.push(item(&kv));
                }
                WatchEvent::Deleted { key, revision } => {
                    as_of = revision;
                    told.push(json!({"key": key, "revision": revision, "deleted": true}));
                }
            }
        }
        (StatusCode::OK, json!({"events": told, "asOf": as_of}))
    }

    async fn transact(&self, body: &Value) -> (StatusCode, Value) {
        let mut req = Transaction::default();
        for row in body["ifRevision"].as_array().unwrap() {
            let key: Box<str> = row["key"].as_str().unwrap().into();
            let revision = row["revision"].as_u64().unwrap();
            req.otherwise.push(Op::Get(KeyRange::One(key.clone())));
            req.compares.push(jayhall::sources::store::Compare {
                key,
                condition: Condition::ModRevision(revision),
            });
        }
        for write in body["writes"].as_array().unwrap() {
            req.then.push(Op::Put {
                key: write["key"].as_str().unwrap().into(),
                value: STANDARD
                    .decode(write["value"].as_str().unwrap())
                    .unwrap()
                    .into(),
                lease: write["lease"].as_u64(),
            });
        }
        for key in body["remove"].as_array().unwrap() {
            let key = KeyRange::One(key.as_str().unwrap().into());
            req.then.push(Op::Delete(key));
        }
        match self.store.transact(req).await {
            Err(_) => (StatusCode::NOT_FOUND, json!({})),
            Ok(reply) if reply.succeeded => (StatusCode::OK, json!({"revision": reply.revision})),
            Ok(reply) => {
                let items: Vec<_> = reply.found().into_iter().flatten().map(item).collect();
                (StatusCode::PRECONDITION_FAILED, json!({"items": items}))
            }
        }
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().unwrap().parse().unwrap()
}

async fn spawn() -> (Arc<Standin>, PlatformStore) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let standin = Arc::new(Standin {
        store: MemoryStore::new(),
        refuse_with: AtomicU16::new(0),
    });
    let serving = standin.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let standin = serving.clone();
            let service = service_fn(move |req| {
                let standin = standin.clone();
                async move {
                    let (status, value) = standin.answer(req).await;
                    let mut res = Response::new(Full::new(Bytes::from(value.to_string())));
                    *res.status_mut() = status;
                    Ok::<_, Infallible>(res)
                }
            });
            let io = TokioIo::new(stream);
            tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(io, service));
        }
    });
    let store = PlatformStore::open(&PlatformStoreConfig {
        base: format!("http://{address}").into(),
        calls: CallRate {
            per_second: 1000.0,
            burst: 1000,
        },
    });
    (standin, store.unwrap())
}

fn put(key: &str, value: &'static str) -> Transaction {
    Transaction {
        then: vec![Op::Put {
            key: key.into(),
            value: value.into(),
            lease: None,
        }],
        ..Transaction::default()
    }
}

#[tokio::test]
async fn a_swap_sets_only_from_the_expected_revision() {
    let (_standin, store) = spawn().await;
    let made = store
        .transact(Transaction::swap("k", 0, "one".into()))
        .await
        .unwrap();
    assert!(made.succeeded);
    let stale = store
        .transact(Transaction::swap("k", 0, "two".into()))
        .await
        .unwrap();
    assert!(!stale.succeeded);
    let found = &stale.found().unwrap()[0];
    assert_eq!(
        (&*found.value, found.mod_revision),
        (&b"one"[..], made.revision)
    );
    let next = Transaction::swap("k", made.revision, "three".into());
    assert!(store.transact(next).await.unwrap().succeeded);
    let read = store.range(RangeRequest::one("k")).await.unwrap();
    assert_eq!(&*read.entries[0].value, b"three");
    let absent = store.range(RangeRequest::one("absent")).await.unwrap();
    assert!(absent.entries.is_empty());
}

#[tokio::test]
async fn all_pages_of_a_list_are_read() {
    let (_standin, store) = spawn().await;
    for key in ["p/1", "p/2", "p/3", "p/4", "p/5", "p/6", "p/7", "q/1"] {
        store.transact(put(key, "x")).await.unwrap();
    }
    let listed = store.range(RangeRequest::prefix("p/")).await.unwrap();
    assert_eq!(listed.entries.len(), 7);
    let all = store.range(RangeRequest::prefix("")).await.unwrap();
    assert_eq!(all.entries.len(), 8);
}

#[tokio::test]
async fn a_lease_takes_its_keys_along() {
    let (_standin, store) = spawn().await;
    let lease = store.grant_lease(Duration::from_secs(30)).await.unwrap();
    let mut leased = put("k", "x");
    if let Op::Put { lease: of, .. } = &mut leased.then[0] {
        *of = Some(lease.id);
    }
    store.transact(leased.clone()).await.unwrap();
    assert_eq!(store.keep_alive(lease.id).await.unwrap().id, lease.id);
    store.revoke(lease.id).await.unwrap();
    assert_eq!(
        store.keep_alive(lease.id).await,
        Err(StoreError::LeaseNotFound)
    );
    assert_eq!(store.transact(leased).await, Err(StoreError::LeaseNotFound));
    let read = store.range(RangeRequest::one("k")).await.unwrap();
    assert!(read.entries.is_empty());
}

#[tokio::test]
async fn a_watch_tells_all_changes_and_that_the_store_was_heard() {
    let (_standin, store) = spawn().await;
    let first = store.transact(put("k", "one")).await.unwrap();
    let mut events = store
        .watch(WatchRequest {
            range: KeyRange::Prefix("".into()),
            from: Some(first.revision),
        })
        .await
        .unwrap();
    let Some(Ok(WatchEvent::Put(kv))) = events.next().await else {
        panic!("the first change is not told");
    };
    assert_eq!(&*kv.value, b"one");
    let started = events.next().await.unwrap().unwrap();
    assert_eq!(
        started,
        WatchEvent::Started {
            revision: first.revision
        }
    );
    let delete = Transaction {
        then: vec![Op::Delete(KeyRange::One("k".into()))],
        ..Transaction::default()
    };
    store.transact(delete).await.unwrap();
    loop {
        match events.next().await.unwrap().unwrap() {
            WatchEvent::Deleted { key, .. } => break assert_eq!(&*key, "k"),
            WatchEvent::Started { .. } => {}
            WatchEvent::Put(kv) => panic!("told again: {kv:?}"),
        }
    }
}

#[tokio::test]
async fn failures_say_whether_a_call_may_have_had_effect() {
    let (standin, store) = spawn().await;
    for (status, verdict) in [
        (503, Verdict::NotRun),
        (429, Verdict::NotRun),
        (403, Verdict::NotRun),
        (500, Verdict::MayHaveRun),
    ] {
        standin.refuse_with.store(status, Ordering::Relaxed);
        let error = store.transact(put("k", "x")).await.unwrap_err();
        assert_eq!(error.verdict(), verdict, "{status}");
    }
    standin.refuse_with.store(410, Ordering::Relaxed);
    let watch = WatchRequest {
        range: KeyRange::Prefix("".into()),
        from: Some(1),
    };
    let gone = store.watch(watch).await.unwrap().next().await.unwrap();
    assert!(
        matches!(gone, Err(StoreError::Compacted { .. })),
        "{gone:?}"
    );
}

#[tokio::test]
async fn a_store_that_is_not_there_was_not_reached() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let store = PlatformStore::open(&PlatformStoreConfig {
        base: format!("http://{address}").into(),
        calls: CallRate {
            per_second: 10.0,
            burst: 10,
        },
    })
    .unwrap();
    let error = store.transact(put("k", "x")).await.unwrap_err();
    assert!(matches!(error, StoreError::NotReached { .. }), "{error}");
}
