//! Stand-in for the platform's store: serves its protocol from an in-memory store.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use futures::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jayhall::sources::store::{
    Compare, Condition, KeyRange, KeyValue, MemoryStore, Op, RangeRequest, Revision, Store,
    StoreError, Transaction, WatchEvent, WatchRequest,
};
use jayhall::util::query;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Number of items in a page of a list; small, so that tests cover pagination.
const PAGE_SIZE: usize = 3;
/// Time to wait for further changes to batch into one watch response.
const WATCH_BATCH_TIME: Duration = Duration::from_millis(10);

/// Header with the number of the era, which rises by one each time the store is restored.
const ERA: HeaderName = HeaderName::from_static("store-era");
/// Number of the first era.
const FIRST_ERA: u64 = 3;

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call is answered with this status and has no effect.
    Refuse(u16),
    /// Every call is delayed.
    Slow(Duration),
    /// Calls take effect, but their connections are closed without a response.
    LoseAnswers,
    /// Watches are answered that their history has been compacted.
    Forgetful,
}

/// A running stand-in for the store.
#[derive(Debug)]
pub struct PlatformStoreStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    store: MemoryStore,
    fault: Mutex<StoreFault>,
    /// Addresses in written values, each with the one that is stored in its place.
    replaced: Mutex<Vec<(SocketAddr, SocketAddr)>>,
}

impl PlatformStoreStandin {
    /// Starts a stand-in on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn spawn(ip: IpAddr) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0))
            .await
            .wrap_err("binding a port for the store")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            store: MemoryStore::new(),
            fault: Mutex::default(),
            replaced: Mutex::default(),
        });
        let accept_task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accept_task,
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the in-memory store, for direct writes on behalf of operators and back ends.
    pub fn store(&self) -> &MemoryStore {
        &self.shared.store
    }

    /// Stores another address wherever a call writes `address` as a JSON text, so that nodes reach each other through
    /// a link.
    pub fn replace_address(&self, address: SocketAddr, by: SocketAddr) {
        self.shared.replaced.lock().push((address, by));
    }

    /// Sets the active fault.
    pub fn set(&self, fault: StoreFault) {
        *self.shared.fault.lock() = fault;
    }
}

impl Drop for PlatformStoreStandin {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        let service = service_fn(move |req| {
            let shared = Arc::clone(&shared);
            async move { shared.serve(req).await }
        });
        let io = TokioIo::new(stream);
        tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(io, service));
    }
}

/// Error of a malformed or failed call, answered with status 400.
#[derive(Debug)]
struct BadCall(eyre::Report);

impl<E: Into<eyre::Report>> From<E> for BadCall {
    fn from(e: E) -> Self {
        Self(e.into())
    }
}

type Reply = std::result::Result<(StatusCode, Value), BadCall>;

impl Shared {
    async fn serve(&self, req: Request<Incoming>) -> std::io::Result<Response<Full<Bytes>>> {
        let fault = *self.fault.lock();
        let (status, value) = match fault {
            StoreFault::Refuse(status) => {
                (StatusCode::from_u16(status).unwrap_or_default(), json!({}))
            }
            StoreFault::Slow(by) => {
                tokio::time::sleep(by).await;
                self.answer(req).await
            }
            StoreFault::None | StoreFault::LoseAnswers | StoreFault::Forgetful => {
                self.answer(req).await
            }
        };
        if *self.fault.lock() == StoreFault::LoseAnswers {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let mut res = Response::new(Full::new(Bytes::from(value.to_string())));
        *res.status_mut() = status;
        let era = self.store.era() + FIRST_ERA;
        res.headers_mut().insert(ERA, era.into());
        Ok(res)
    }

    async fn answer(&self, req: Request<Incoming>) -> (StatusCode, Value) {
        self.call(req).await.unwrap_or_else(|BadCall(e)| {
            (
                StatusCode::BAD_REQUEST,
                json!({ "detail": format!("{e:#}") }),
            )
        })
    }

    async fn call(&self, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        let text = req.uri().query().unwrap_or_default().to_owned();
        let query = |name| {
            query::value(&text, name)
                .unwrap_or_default()
                .replace("%2F", "/")
        };
        let body = req.into_body().collect().await?.to_bytes();
        let body = match body.is_empty() {
            true => Value::Null,
            false => serde_json::from_slice(&body)?,
        };
        match path.split('/').nth(1).unwrap_or_default() {
            "kv-key" => self.get_key(&query("key")).await,
            "kv-range" => self.list_page(&query("pathPrefix"), &query("after")).await,
            "kv-watch" => {
                let wait = Duration::from_millis(query("waitMs").parse()?);
                self.watch(&query("pathPrefix"), query("after").parse()?, wait)
                    .await
            }
            "kv-txn" => self.transact(&body).await,
            "kv-lease" => {
                let ttl = body["ttlMs"].as_u64().ok_or_else(|| eyre!("no ttlMs"))?;
                let grant = self.store.grant_lease(Duration::from_millis(ttl)).await?;
                let ttl_ms = grant.ttl.as_millis() as u64;
                Ok((StatusCode::OK, json!({"lease": grant.id, "ttlMs": ttl_ms})))
            }
            "kv-keep" => Ok(match self.store.keep_alive(last_number(&path)?).await {
                Ok(grant) => (
                    StatusCode::OK,
                    json!({"ttlMs": grant.ttl.as_millis() as u64}),
                ),
                Err(_) => (StatusCode::NOT_FOUND, json!({})),
            }),
            "kv-lease-end" => Ok(match self.store.revoke(last_number(&path)?).await {
                Ok(()) => (StatusCode::OK, json!({})),
                Err(_) => (StatusCode::NOT_FOUND, json!({})),
            }),
            _ => Err(eyre!("no such call: {path}").into()),
        }
    }

    /// Returns the revision of a number in the current era: callers name numbers only.
    fn revision(&self, number: u64) -> Revision {
        Revision {
            era: match number {
                0 => 0,
                _ => self.store.era(),
            },
            number,
        }
    }

    async fn get_key(&self, key: &str) -> Reply {
        let reply = self.store.range(RangeRequest::one(key)).await?;
        Ok(match reply.entries.first() {
            Some(kv) => {
                let mut value = item(kv);
                value["asOf"] = json!(reply.revision.number);
                (StatusCode::OK, value)
            }
            None => (StatusCode::NOT_FOUND, json!({})),
        })
    }

    async fn list_page(&self, prefix: &str, after: &str) -> Reply {
        let reply = self.store.range(RangeRequest::prefix(prefix)).await?;
        let rest: Vec<_> = reply.entries.iter().filter(|kv| &*kv.key > after).collect();
        let items: Vec<_> = rest.iter().take(PAGE_SIZE).map(|kv| item(kv)).collect();
        let page = json!({
            "items": items, "truncated": rest.len() > PAGE_SIZE, "asOf": reply.revision.number
        });
        Ok((StatusCode::OK, page))
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let range = KeyRange::Prefix(prefix.into());
        let from = Some(self.revision(after + 1));
        let watch = self.store.watch(WatchRequest { range, from }).await;
        let Some(mut events) = watch
            .ok()
            .filter(|_| *self.fault.lock() != StoreFault::Forgetful)
        else {
            return Ok((StatusCode::GONE, json!({})));
        };
        let mut changes = Vec::new();
        let mut as_of = after;
        let mut timeout = wait;
        while let Ok(Some(event)) = tokio::time::timeout(timeout, events.next()).await {
            let event = match event {
                Ok(event) => event,
                Err(StoreError::Compacted { .. }) => return Ok((StatusCode::GONE, json!({}))),
                Err(_) => break,
            };
            match event {
                WatchEvent::Started { .. } => continue,
                WatchEvent::Put(kv) => {
                    as_of = kv.mod_revision.number;
                    changes.push(item(&kv));
                }
                WatchEvent::Deleted { key, revision } => {
                    as_of = revision.number;
                    changes.push(json!({"key": key, "revision": revision.number, "deleted": true}));
                }
            }
            timeout = WATCH_BATCH_TIME;
        }
        Ok((StatusCode::OK, json!({"events": changes, "asOf": as_of})))
    }

    /// Returns a written value with the addresses that are stored in place of those it names.
    fn replace(&self, value: Vec<u8>) -> Vec<u8> {
        let replaced = self.replaced.lock();
        match String::from_utf8(value) {
            Ok(text) => replaced
                .iter()
                .fold(text, |text, (address, by)| {
                    text.replace(&format!("\"{address}\""), &format!("\"{by}\""))
                })
                .into(),
            // Only JSON names addresses.
            Err(e) => e.into_bytes(),
        }
    }

    async fn transact(&self, body: &Value) -> Reply {
        let mut req = Transaction::default();
        for row in rows(body, "ifRevision") {
            let key: Box<str> = text(row, "key")?.into();
            let revision = row["revision"].as_u64();
            let revision = revision.ok_or_else(|| eyre!("a condition without a revision"))?;
            req.otherwise.push(Op::Get(KeyRange::One(key.clone())));
            req.compares.push(Compare {
                key,
                condition: Condition::ModRevision(self.revision(revision)),
            });
        }
        for write in rows(body, "writes") {
            req.then.push(Op::Put {
                key: text(write, "key")?.into(),
                value: self.replace(STANDARD.decode(text(write, "value")?)?).into(),
                lease: write["lease"].as_u64(),
            });
        }
        for key in rows(body, "remove") {
            let key = key.as_str().ok_or_else(|| eyre!("a key is not a text"))?;
            req.then.push(Op::Delete(KeyRange::One(key.into())));
        }
        Ok(match self.store.transact(req).await {
            Err(_) => (StatusCode::NOT_FOUND, json!({})),
            Ok(reply) if reply.succeeded => {
                (StatusCode::OK, json!({"revision": reply.revision.number}))
            }
            Ok(reply) => {
                let items: Vec<_> = reply.found().into_iter().flatten().map(item).collect();
                (StatusCode::PRECONDITION_FAILED, json!({"items": items}))
            }
        })
    }
}

fn item(kv: &KeyValue) -> Value {
    json!({"key": kv.key, "value": STANDARD.encode(&kv.value), "revision": kv.mod_revision.number,
        "createRev": kv.create_revision.number, "lease": kv.lease.unwrap_or(0)})
}

fn rows<'a>(body: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    body[name].as_array().into_iter().flatten()
}

fn text<'a>(row: &'a Value, name: &str) -> Result<&'a str> {
    row[name].as_str().ok_or_else(|| eyre!("no {name}"))
}

fn last_number(path: &str) -> Result<u64> {
    let last = path.rsplit('/').next().unwrap_or_default();
    last.parse()
        .wrap_err_with(|| format!("{path} ends with no number"))
}
