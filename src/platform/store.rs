//! Client of the platform's key-value store: conditional writes, leases and long polling over HTTP with JSON
//! bodies.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderName};
use hyper::{Method, Request, Response, StatusCode};
use reqwest::Url;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::sources::http::{AnswerLimits, ConnectOptions, HttpClient, HttpError};
use crate::sources::store::{
    CallRate, CallRateLimiter, Compare, Condition, Era, KeyRange, KeyValue, LeaseGrant, LeaseId,
    Op, OpResult, RangeReply, RangeRequest, Result, Revision, Store, StoreError, Transaction,
    TransactionReply, WatchEvent, WatchRequest, WatchStream,
};

/// Timeout of calls other than watches.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How connections to the store are opened. Writes arrive within [`CALL_TIMEOUT`] or not at all, except from a process
/// that is suspended.
const CONNECT_OPTIONS: ConnectOptions = ConnectOptions {
    timeout: Duration::from_millis(400),
    user_timeout: Duration::from_millis(1500),
};
/// Size limit for an answer of the store. A page of a list has about 1 MB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
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
    client: HttpClient,
    base: Box<str>,
    budget: CallRateLimiter,
}

/// Header with the era of the store, in all its answers.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// An answer of the store.
struct Answer<T> {
    era: Era,
    body: T,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ItemWire {
    key: Box<str>,
    #[serde(default)]
    value: Box<str>,
    /// Revision of the last change.
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    create_rev: u64,
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
    as_of: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct KeyWire {
    #[serde(flatten)]
    item: ItemWire,
    #[serde(default)]
    as_of: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EventsWire {
    events: Vec<ItemWire>,
    as_of: u64,
}

#[derive(Serialize)]
struct ConditionWire {
    key: Box<str>,
    revision: u64,
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
    revision: u64,
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

impl ItemWire {
    /// Converts an item in an answer of this era.
    fn into_key_value(self, era: Era) -> Result<KeyValue> {
        let value = STANDARD
            .decode(self.value.as_bytes())
            .map_err(|e| answer_lost(format!("the value of {} is not base64: {e}", self.key)))?;
        let in_era = |number| Revision { era, number };
        Ok(KeyValue {
            key: self.key,
            value: value.into(),
            create_revision: in_era(self.create_rev),
            mod_revision: in_era(self.revision),
            version: 0,
            lease: (self.lease != 0).then_some(self.lease),
        })
    }
}

impl TryFrom<&Compare> for ConditionWire {
    type Error = StoreError;

    fn try_from(compare: &Compare) -> Result<Self> {
        let revision = match compare.condition {
            Condition::ModRevision(revision) => revision.number,
            Condition::CreateRevision(Revision::NONE) | Condition::Version(0) => 0,
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
    pub fn new(cfg: &PlatformStoreConfig) -> Self {
        Self {
            client: HttpClient::new(CONNECT_OPTIONS),
            base: cfg.base.trim_end_matches('/').into(),
            budget: CallRateLimiter::new(cfg.calls),
        }
    }

    fn url(&self, path: &str, query: &[(&str, &str)]) -> Result<Url> {
        url(&format!("{}{path}", self.base), query)
    }

    async fn get(&self, path: &str, query: &[(&str, &str)]) -> Result<Response<Bytes>> {
        let req = Request::get(self.url(path, query)?.as_str()).body(Full::default());
        self.send(req).await
    }

    async fn call(&self, method: Method, path: &str) -> Result<Response<Bytes>> {
        let req = Request::builder().method(method);
        let url = self.url(path, &[])?;
        self.send(req.uri(url.as_str()).body(Full::default())).await
    }

    async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Response<Bytes>> {
        let text = serde_json::to_vec(body).map_err(|e| invalid(&e))?;
        let url = self.url(path, &[])?;
        let req = Request::post(url.as_str()).header(CONTENT_TYPE, "application/json");
        self.send(req.body(text.into())).await
    }

    async fn fetch_page(&self, prefix: &str, after: Option<&str>) -> Result<Answer<PageWire>> {
        let mut query = SmallVec::<[_; 2]>::from_slice(&[("pathPrefix", prefix)]);
        query.extend(after.map(|after| ("after", after)));
        read_json(check_status(self.get("/kv-range", &query).await?)?)
    }

    async fn get_prefix(&self, prefix: &str) -> Result<RangeReply> {
        let Answer { era, body: first } = self.fetch_page(prefix, None).await?;
        // The first page's revision: a watch from there also reports changes that were made between pages.
        let revision = Revision {
            era,
            number: first.as_of,
        };
        let mut more = first.truncated;
        let mut items = first.items;
        while more {
            let last = items.last().map(|item| item.key.clone());
            let Answer { era: later, body } = self.fetch_page(prefix, last.as_deref()).await?;
            if later != era {
                return Err(answer_lost(format!(
                    "the store moved from era {era} to {later} between two pages"
                )));
            }
            more = body.truncated && !body.items.is_empty();
            items.extend(body.items);
        }
        Ok(RangeReply {
            revision,
            entries: key_values(items, era)?,
        })
    }

    async fn get_key(&self, key: &str) -> Result<RangeReply> {
        let res = self.get("/kv-key", &[("key", key)]).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(RangeReply {
                revision: Revision {
                    era: era_of(&res),
                    number: 0,
                },
                entries: Vec::new(),
            });
        }
        let Answer { era, body } = read_json::<KeyWire>(check_status(res)?)?;
        Ok(RangeReply {
            revision: Revision {
                era,
                number: body.as_of,
            },
            entries: vec![body.item.into_key_value(era)?],
        })
    }

    async fn transaction(&self, req: Transaction) -> Result<TransactionReply> {
        let wire = TransactionWire::try_from(&req)?;
        let res = self.post("/kv-txn", &wire).await?;
        if res.status() == StatusCode::PRECONDITION_FAILED {
            let Answer { era, body } = read_json::<ConflictWire>(res)?;
            let current = body.items.into_iter();
            let current = current.filter(|item| !item.deleted && item.revision > 0);
            return Ok(TransactionReply {
                revision: Revision { era, number: 0 },
                succeeded: false,
                results: vec![OpResult::Got(key_values(current, era)?)],
            });
        }
        if res.status() == StatusCode::NOT_FOUND {
            return Err(StoreError::LeaseNotFound);
        }
        let Answer { era, body } = read_json::<WrittenWire>(check_status(res)?)?;
        if req.is_based_on_other_era(era) {
            return Err(StoreError::Restored { era });
        }
        Ok(TransactionReply {
            revision: Revision {
                era,
                number: body.revision,
            },
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

    async fn send(
        &self,
        req: hyper::http::Result<Request<Full<Bytes>>>,
    ) -> Result<Response<Bytes>> {
        self.budget.take().await?;
        send(&self.client, req, CALL_TIMEOUT).await
    }
}

async fn send(
    client: &HttpClient,
    req: hyper::http::Result<Request<Full<Bytes>>>,
    timeout: Duration,
) -> Result<Response<Bytes>> {
    let limits = AnswerLimits {
        timeout,
        bytes: MAX_ANSWER_BYTES,
    };
    let req = req.map_err(|e| invalid(&e))?;
    client.send(req, limits).await.map_err(|e| match e {
        HttpError::NotReached(cause) => StoreError::NotReached { cause },
        HttpError::NoAnswer(cause) => StoreError::AnswerLost { cause },
    })
}

fn url(base: &str, query: &[(&str, &str)]) -> Result<Url> {
    let url = match query {
        [] => Url::parse(base),
        query => Url::parse_with_params(base, query),
    };
    url.map_err(|e| invalid(&e))
}

/// Returns the error for a request that cannot be made.
fn invalid(e: &dyn std::error::Error) -> StoreError {
    StoreError::Refused {
        cause: format!("the request cannot be made: {e}").into(),
    }
}

/// Decodes the answer to a call about a lease.
fn read_lease<T: DeserializeOwned>(res: Response<Bytes>) -> Result<Answer<T>> {
    if res.status() == StatusCode::NOT_FOUND {
        return Err(StoreError::LeaseNotFound);
    }
    read_json(check_status(res)?)
}

/// Converts a status other than success into an error.
fn check_status(res: Response<Bytes>) -> Result<Response<Bytes>> {
    match res.status() {
        status if status.is_success() => Ok(res),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited {
            retry_after: RATE_LIMIT_PAUSE,
        }),
        StatusCode::GONE => Err(StoreError::Compacted {
            revision: Revision::NONE,
        }),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(StoreError::Refused {
                cause: status.to_string().into(),
            })
        }
        status => Err(answer_lost(format!("status {status}"))),
    }
}

fn read_json<T: DeserializeOwned>(res: Response<Bytes>) -> Result<Answer<T>> {
    let era = era_of(&res);
    let body = serde_json::from_slice(res.body())
        .map_err(|e| answer_lost(format!("an answer of another form: {e}")))?;
    Ok(Answer { era, body })
}

/// Returns the era that an answer names; 0 if it names none.
fn era_of(res: &Response<Bytes>) -> Era {
    let value = res.headers().get(ERA);
    let era = value.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    era.unwrap_or_else(|| {
        tracing::debug!(?value, "an answer of the store names no era");
        0
    })
}

fn key_values(items: impl IntoIterator<Item = ItemWire>, era: Era) -> Result<Vec<KeyValue>> {
    let items = items.into_iter();
    items.map(|item| item.into_key_value(era)).collect()
}

/// State of a watch between two polls.
struct Watch {
    client: HttpClient,
    url: String,
    prefix: Box<str>,
    after: Revision,
    has_events: bool,
}

impl Watch {
    async fn poll(&mut self) -> Result<Vec<WatchEvent>> {
        if self.has_events {
            tokio::time::sleep(POLL_PAUSE).await;
        }
        let wait_ms = WATCH_WAIT.as_millis().to_string();
        let after = self.after.number.to_string();
        let query = [
            ("pathPrefix", &*self.prefix),
            ("after", &after),
            ("waitMs", &wait_ms),
        ];
        let req = Request::get(url(&self.url, &query)?.as_str()).body(Full::default());
        let timeout = WATCH_WAIT + WATCH_TIMEOUT_MARGIN;
        let res = check_status(send(&self.client, req, timeout).await?)?;
        let Answer { era, body } = read_json::<EventsWire>(res)?;
        if self.after != Revision::NONE && era != self.after.era {
            // The store accepts a revision of another era once it has given out its number again.
            return Err(StoreError::Compacted {
                revision: Revision { era, number: 0 },
            });
        }
        let as_of = Revision {
            era,
            number: body.as_of,
        };
        self.after = self.after.max(as_of);
        self.has_events = !body.events.is_empty();
        let mut events = Vec::with_capacity(body.events.len() + 1);
        for item in body.events {
            events.push(if item.deleted {
                WatchEvent::Deleted {
                    key: item.key,
                    revision: Revision {
                        era,
                        number: item.revision,
                    },
                }
            } else {
                WatchEvent::Put(item.into_key_value(era)?)
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
            let res = self.post("/kv-lease", &body).await?;
            let Answer { era, body } = read_lease::<GrantWire>(res)?;
            Ok(LeaseGrant {
                id: body.lease,
                ttl: Duration::from_millis(body.ttl_ms),
                era,
            })
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(async move {
            let path = format!("/kv-keep/{lease}");
            let res = self.call(Method::POST, &path).await?;
            let Answer { era, body } = read_lease::<TtlWire>(res)?;
            Ok(LeaseGrant {
                id: lease,
                ttl: Duration::from_millis(body.ttl_ms),
                era,
            })
        })
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let path = format!("/kv-lease-end/{lease}");
            let res = self.call(Method::DELETE, &path).await?;
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
                after: req.from.map_or(Revision::NONE, |from| Revision {
                    number: from.number.saturating_sub(1),
                    ..from
                }),
                has_events: false,
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
