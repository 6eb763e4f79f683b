//! Client of the platform's key-value store: conditional writes, leases and long polling over HTTP with JSON
//! bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt;
use futures::future::BoxFuture;
use reqwest::header::HeaderName;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::sources::store::{
    CallRate, CallRateLimiter, Compare, Condition, KeyRange, KeyValue, LeaseGrant, LeaseId, Op,
    OpResult, RangeReply, RangeRequest, Result, Revision, Store, StoreError, Transaction,
    TransactionReply, WatchEvent, WatchRequest, WatchStream,
};

/// Timeout of calls other than watches.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the store answers a watch without events. It bounds the time until a dead connection is
/// detected.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Pause after a poll that returned events, so that the next poll fetches a burst of changes at once.
const POLL_PAUSE: Duration = Duration::from_millis(300);
/// Time beyond [`WATCH_WAIT`] after which a poll of a watch times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Retry delay after the store refused a call because of its rate limit.
const RATE_LIMIT_PAUSE: Duration = Duration::from_millis(400);

/// Address of the store and this node's call budget.
#[derive(Clone, Debug)]
pub struct PlatformStoreConfig {
    /// Base URL such as `http://10.0.0.1:8225`.
    pub base: Box<str>,
    /// Limit of this node's calls to the store.
    pub calls: CallRate,
}

/// Client of the platform's store.
#[derive(Debug)]
pub struct PlatformStore {
    client: Client,
    base: Box<str>,
    budget: CallRateLimiter,
    era: Arc<EraLog>,
}

/// Header with the number of times that the store has come back from an older copy.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Logs when the store comes back from an older copy.
#[derive(Debug, Default)]
struct EraLog(AtomicU64);

impl EraLog {
    fn record(&self, res: &Response) {
        let value = res.headers().get(ERA).and_then(|value| value.to_str().ok());
        let Some(era) = value.and_then(|value| value.parse().ok()) else {
            return;
        };
        let before = self.0.fetch_max(era, Ordering::Relaxed);
        if before < era {
            tracing::warn!(era, before, url = %res.url(), status = res.status().as_u16(), "the store answers from another era");
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ItemWire {
    key: Box<str>,
    #[serde(default)]
    value: Box<str>,
    /// Revision of the last change.
    #[serde(default)]
    revision: Revision,
    #[serde(default)]
    create_rev: Revision,
    /// Lease of the key; 0 means none.
    #[serde(default)]
    lease: LeaseId,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PageWire {
    items: Vec<ItemWire>,
    #[serde(default)]
    truncated: bool,
    /// Revision of the store.
    as_of: Revision,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct KeyWire {
    #[serde(flatten)]
    item: ItemWire,
    #[serde(default)]
    as_of: Revision,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EventsWire {
    events: Vec<ItemWire>,
    as_of: Revision,
}

#[derive(Serialize)]
struct ConditionWire {
    key: Box<str>,
    revision: Revision,
}

#[derive(Serialize)]
struct WriteWire {
    key: Box<str>,
    value: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<LeaseId>,
}

#[derive(Default, Serialize)]
#[serde(rename_all = "camelCase")]
struct TransactionWire {
    if_revision: Vec<ConditionWire>,
    writes: Vec<WriteWire>,
    remove: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct WrittenWire {
    revision: Revision,
}

#[derive(Deserialize)]
struct ConflictWire {
    #[serde(default)]
    items: Vec<ItemWire>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct TtlWire {
    ttl_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct GrantWire {
    lease: LeaseId,
    ttl_ms: u64,
}

impl TryFrom<ItemWire> for KeyValue {
    type Error = StoreError;

    fn try_from(wire: ItemWire) -> Result<Self> {
        let value = STANDARD
            .decode(wire.value.as_bytes())
            .map_err(|e| answer_lost(format!("the value of {} is not base64: {e}", wire.key)))?;
        Ok(Self {
            key: wire.key,
            value: value.into(),
            create_revision: wire.create_rev,
            mod_revision: wire.revision,
            version: 0,
            lease: (wire.lease != 0).then_some(wire.lease),
        })
    }
}

impl TryFrom<&Compare> for ConditionWire {
    type Error = StoreError;

    fn try_from(compare: &Compare) -> Result<Self> {
        let revision = match compare.condition {
            Condition::ModRevision(revision) => revision,
            Condition::CreateRevision(0) | Condition::Version(0) => 0,
            other => return Err(unsupported(format!("{other:?}"))),
        };
        Ok(Self {
            key: compare.key.clone(),
            revision,
        })
    }
}

impl TryFrom<&Transaction> for TransactionWire {
    type Error = StoreError;

    fn try_from(req: &Transaction) -> Result<Self> {
        let mut wire = Self {
            if_revision: req
                .compares
                .iter()
                .map(TryInto::try_into)
                .collect::<Result<_>>()?,
            ..Self::default()
        };
        for op in &req.then {
            match op {
                Op::Put { key, value, lease } => wire.writes.push(WriteWire {
                    key: key.clone(),
                    value: STANDARD.encode(value).into(),
                    lease: *lease,
                }),
                Op::Delete(KeyRange::One(key)) => wire.remove.push(key.clone()),
                other => return Err(unsupported(format!("{other:?}"))),
            }
        }
        Ok(wire)
    }
}

fn unsupported(feature: String) -> StoreError {
    StoreError::Refused {
        cause: format!("the platform's store has no {feature} in a transaction").into(),
    }
}

fn answer_lost(cause: String) -> StoreError {
    StoreError::AnswerLost {
        cause: cause.into(),
    }
}

impl PlatformStore {
    /// Creates a client. Connections are opened on first use.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Refused`] if the HTTP client cannot be created.
    pub fn open(cfg: &PlatformStoreConfig) -> Result<Self> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .map_err(|e| StoreError::Refused {
                cause: format!("the HTTP client cannot be made: {e}").into(),
            })?;
        Ok(Self {
            client,
            base: cfg.base.trim_end_matches('/').into(),
            budget: CallRateLimiter::new(cfg.calls),
            era: Arc::default(),
        })
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client
            .request(method, format!("{}{path}", self.base))
            .timeout(CALL_TIMEOUT)
    }

    async fn fetch_page(&self, prefix: &str, after: Option<&str>) -> Result<PageWire> {
        let mut req = self
            .request(Method::GET, "/kv-range")
            .query(&[("pathPrefix", prefix)]);
        if let Some(after) = after {
            req = req.query(&[("after", after)]);
        }
        read_json(check_status(self.send(req).await?)?).await
    }

    async fn get_prefix(&self, prefix: &str) -> Result<RangeReply> {
        let first = self.fetch_page(prefix, None).await?;
        // The first page's revision: a watch from there also reports changes that were made between pages.
        let revision = first.as_of;
        let mut more = first.truncated;
        let mut items = first.items;
        while more {
            let last = items.last().map(|item| item.key.clone());
            let page = self.fetch_page(prefix, last.as_deref()).await?;
            more = page.truncated && !page.items.is_empty();
            items.extend(page.items);
        }
        Ok(RangeReply {
            revision,
            entries: items
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_>>()?,
        })
    }

    async fn get_key(&self, key: &str) -> Result<RangeReply> {
        let req = self.request(Method::GET, "/kv-key").query(&[("key", key)]);
        let res = self.send(req).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(RangeReply {
                revision: 0,
                entries: Vec::new(),
            });
        }
        let reply: KeyWire = read_json(check_status(res)?).await?;
        Ok(RangeReply {
            revision: reply.as_of,
            entries: vec![reply.item.try_into()?],
        })
    }

    async fn transaction(&self, req: Transaction) -> Result<TransactionReply> {
        let wire = TransactionWire::try_from(&req)?;
        let res = self
            .send(self.request(Method::POST, "/kv-txn").json(&wire))
            .await?;
        if res.status() == StatusCode::PRECONDITION_FAILED {
            let conflict: ConflictWire = read_json(res).await?;
            let current = conflict
                .items
                .into_iter()
                .filter(|item| !item.deleted && item.revision > 0)
                .map(TryInto::try_into)
                .collect::<Result<_>>()?;
            return Ok(TransactionReply {
                revision: 0,
                succeeded: false,
                results: vec![OpResult::Got(current)],
            });
        }
        if res.status() == StatusCode::NOT_FOUND {
            return Err(StoreError::LeaseNotFound);
        }
        let written: WrittenWire = read_json(check_status(res)?).await?;
        Ok(TransactionReply {
            revision: written.revision,
            succeeded: true,
            results: req
                .then
                .iter()
                .map(|op| match op {
                    Op::Delete(_) => OpResult::Deleted(1),
                    Op::Put { .. } | Op::Get(_) => OpResult::Put,
                })
                .collect(),
        })
    }

    async fn lease_call<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T> {
        let res = self.send(req).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Err(StoreError::LeaseNotFound);
        }
        read_json(check_status(res)?).await
    }

    async fn send(&self, req: RequestBuilder) -> Result<Response> {
        self.budget.take().await?;
        let res = send(req).await?;
        self.era.record(&res);
        Ok(res)
    }
}

async fn send(req: RequestBuilder) -> Result<Response> {
    req.send().await.map_err(|e| match e.is_connect() {
        true => StoreError::NotReached {
            cause: e.to_string().into(),
        },
        false => answer_lost(e.to_string()),
    })
}

/// Converts a status other than success into an error.
fn check_status(res: Response) -> Result<Response> {
    match res.status() {
        status if status.is_success() => Ok(res),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited {
            retry_after: RATE_LIMIT_PAUSE,
        }),
        StatusCode::GONE => Err(StoreError::Compacted { revision: 0 }),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(StoreError::Refused {
                cause: status.to_string().into(),
            })
        }
        status => Err(answer_lost(format!("status {status}"))),
    }
}

async fn read_json<T: DeserializeOwned>(res: Response) -> Result<T> {
    let body = res.bytes().await.map_err(|e| answer_lost(e.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|e| answer_lost(format!("an answer of another form: {e}")))
}

/// State of a watch between two polls.
struct Watch {
    client: Client,
    url: String,
    prefix: Box<str>,
    after: Revision,
    has_events: bool,
    era: Arc<EraLog>,
}

impl Watch {
    async fn poll(&mut self) -> Result<Vec<WatchEvent>> {
        if self.has_events {
            tokio::time::sleep(POLL_PAUSE).await;
        }
        let wait_ms = WATCH_WAIT.as_millis().to_string();
        let after = self.after.to_string();
        let req = self
            .client
            .get(&self.url)
            .query(&[
                ("pathPrefix", &*self.prefix),
                ("after", &after),
                ("waitMs", &wait_ms),
            ])
            .timeout(WATCH_WAIT + WATCH_TIMEOUT_MARGIN);
        let res = send(req).await?;
        self.era.record(&res);
        let page: EventsWire = read_json(check_status(res)?).await?;
        self.after = self.after.max(page.as_of);
        self.has_events = !page.events.is_empty();
        let mut events = Vec::with_capacity(page.events.len() + 1);
        for item in page.events {
            events.push(if item.deleted {
                WatchEvent::Deleted {
                    key: item.key,
                    revision: item.revision,
                }
            } else {
                WatchEvent::Put(item.try_into()?)
            });
        }
        // Sent also without events: confirms that the store answered and that all changes up to this revision
        // have been delivered.
        events.push(WatchEvent::Started {
            revision: self.after,
        });
        Ok(events)
    }
}

impl Store for PlatformStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        Box::pin(async move {
            match &req.range {
                KeyRange::One(key) => self.get_key(key).await,
                KeyRange::Prefix(prefix) => self.get_prefix(prefix).await,
            }
        })
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        Box::pin(self.transaction(req))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(async move {
            let body = TtlWire {
                ttl_ms: ttl.as_millis() as u64,
            };
            let req = self.request(Method::POST, "/kv-lease").json(&body);
            let grant: GrantWire = self.lease_call(req).await?;
            Ok(LeaseGrant {
                id: grant.lease,
                ttl: Duration::from_millis(grant.ttl_ms),
            })
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(async move {
            let req = self.request(Method::POST, &format!("/kv-keep/{lease}"));
            let ttl: TtlWire = self.lease_call(req).await?;
            Ok(LeaseGrant {
                id: lease,
                ttl: Duration::from_millis(ttl.ttl_ms),
            })
        })
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let req = self.request(Method::DELETE, &format!("/kv-lease-end/{lease}"));
            let res = self.send(req).await?;
            match res.status() {
                StatusCode::NOT_FOUND => Err(StoreError::LeaseNotFound),
                _ => check_status(res).map(drop),
            }
        })
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        Box::pin(async move {
            let watch = Watch {
                client: self.client.clone(),
                url: format!("{}/kv-watch", self.base),
                prefix: req.range.start().into(),
                after: req.from.map_or(0, |from| from.saturating_sub(1)),
                has_events: false,
                era: Arc::clone(&self.era),
            };
            let polls = futures::stream::unfold(Some(watch), |watch| async move {
                let mut watch = watch?;
                let (events, next) = match watch.poll().await {
                    Ok(events) => (events.into_iter().map(Ok).collect(), Some(watch)),
                    Err(e) => (vec![Err(e)], None),
                };
                Some((futures::stream::iter(events), next))
            });
            Ok(polls.flatten().boxed())
        })
    }
}
