//! Client of the platform's store, over the JSON gateway of the etcd v3 API.

mod watch;
mod wire;
mod wire_watch;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::budget::{CallRate, CallRateLimiter};
use super::error::{Result, StoreError};
use super::types::{
    LeaseGrant, LeaseId, RangeReply, RangeRequest, Transaction, TransactionReply, WatchRequest,
};
use super::{Store, WatchStream};

/// Time after which a call that the store's rate limit refused may be retried. A time in the response
/// is not read.
const RATE_LIMIT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// gRPC status code `RESOURCE_EXHAUSTED`, which stands for an exhausted rate limit.
const CODE_RESOURCE_EXHAUSTED: i32 = 8;
/// gRPC status code `NOT_FOUND`, which stands for a lease that has expired.
const CODE_NOT_FOUND: i32 = 5;

/// Endpoints, timeouts and rate limits of the client.
#[derive(Clone, Debug)]
pub struct EtcdConfig {
    /// Base URLs such as `http://10.0.0.5:2379`; at least one. After a failure the client switches to
    /// the next one.
    pub endpoints: Vec<Box<str>>,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for a call, including the time to connect.
    pub call_timeout: Duration,
    /// This node's share of reads.
    pub reads: CallRate,
    /// This node's share of writes.
    pub writes: CallRate,
}

impl EtcdConfig {
    /// Returns a configuration for one endpoint with default timeouts and rates.
    pub fn new(endpoint: &str) -> Self {
        Self {
            endpoints: vec![endpoint.into()],
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            reads: CallRate {
                per_second: 100.0,
                burst: 100,
            },
            writes: CallRate {
                per_second: 50.0,
                burst: 50,
            },
        }
    }
}

/// Client of the platform's store.
#[derive(Debug)]
pub struct EtcdStore {
    client: Client,
    cfg: EtcdConfig,
    current_endpoint: AtomicUsize,
    reads: CallRateLimiter,
    writes: CallRateLimiter,
}

impl EtcdStore {
    /// Creates a client; connections are opened on first use.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Refused`] if there is no endpoint or the HTTP client cannot be created.
    pub fn open(cfg: EtcdConfig) -> Result<Self> {
        if cfg.endpoints.is_empty() {
            return Err(StoreError::Refused {
                cause: "the settings name no address of the store".into(),
            });
        }
        let client = Client::builder()
            .connect_timeout(cfg.connect_timeout)
            .tcp_nodelay(true)
            .build()
            .map_err(|e| StoreError::Refused {
                cause: e.to_string().into(),
            })?;
        Ok(Self {
            client,
            current_endpoint: AtomicUsize::new(0),
            reads: CallRateLimiter::new(cfg.reads),
            writes: CallRateLimiter::new(cfg.writes),
            cfg,
        })
    }

    /// Changes this node's rates, for example after a change in the number of nodes.
    pub fn set_rates(&self, reads: CallRate, writes: CallRate) {
        self.reads.set_rate(reads);
        self.writes.set_rate(writes);
    }

    async fn call<B, R>(&self, budget: &CallRateLimiter, path: &str, body: &B) -> Result<R>
    where
        B: Serialize + Sync,
        R: DeserializeOwned,
    {
        budget.take().await?;
        let exchange = async {
            let response = self.post(path, body).await?;
            response.json::<R>().await.map_err(lost)
        };
        let result = tokio::time::timeout(self.cfg.call_timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(self.no_answer()));
        if matches!(
            result,
            Err(StoreError::NotReached { .. } | StoreError::AnswerLost { .. })
        ) {
            self.current_endpoint.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn post<B: Serialize + Sync>(&self, path: &str, body: &B) -> Result<Response> {
        let index = self.current_endpoint.load(Ordering::Relaxed) % self.cfg.endpoints.len();
        let url = format!("{}{path}", self.cfg.endpoints[index]);
        let response = self.client.post(url).json(body).send().await;
        let response = response.map_err(|e| match e.is_connect() {
            true => StoreError::NotReached {
                cause: e.to_string().into(),
            },
            false => lost(e),
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(error_from_response(response).await)
    }

    fn no_answer(&self) -> StoreError {
        StoreError::AnswerLost {
            cause: format!("no answer within {} ms", self.cfg.call_timeout.as_millis()).into(),
        }
    }
}

fn lost(e: reqwest::Error) -> StoreError {
    StoreError::AnswerLost {
        cause: e.to_string().into(),
    }
}

/// Converts an error response. The API also uses 5xx for calls that timed out inside the store, so
/// these may have taken effect.
async fn error_from_response(response: Response) -> StoreError {
    let status = response.status();
    let error: wire::ErrorReply = response.json().await.unwrap_or_default();
    if status == StatusCode::TOO_MANY_REQUESTS || error.code == CODE_RESOURCE_EXHAUSTED {
        return StoreError::RateLimited {
            retry_after: RATE_LIMIT_RETRY_DELAY,
        };
    }
    let cause = format!("{status}: {}", error.text()).into();
    match (status.is_client_error(), error.code) {
        (true, CODE_NOT_FOUND) => StoreError::LeaseNotFound,
        (true, _) => StoreError::Refused { cause },
        (false, _) => StoreError::AnswerLost { cause },
    }
}

impl Store for EtcdStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        Box::pin(async move {
            let body = wire::Range::from(&req.range);
            let reply: wire::RangeReply = self.call(&self.reads, "/v3/kv/range", &body).await?;
            reply.try_into()
        })
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        Box::pin(async move {
            let budget = match req.is_write() {
                true => &self.writes,
                false => &self.reads,
            };
            let body = wire::Txn::from(&req);
            let reply: wire::TxnReply = self.call(budget, "/v3/kv/txn", &body).await?;
            reply.try_into()
        })
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(async move {
            let body = wire::LeaseGrant::from(ttl);
            let reply: wire::LeaseReply = self.call(&self.writes, "/v3/lease/grant", &body).await?;
            reply.try_into()
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(async move {
            let body = wire::LeaseRef { id: lease };
            let reply: wire::Streamed<wire::LeaseReply> = self
                .call(&self.writes, "/v3/lease/keepalive", &body)
                .await?;
            reply.result.try_into()
        })
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let body = wire::LeaseRef { id: lease };
            let _: wire::Empty = self.call(&self.writes, "/v3/lease/revoke", &body).await?;
            Ok(())
        })
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        Box::pin(async move {
            self.reads.take().await?;
            let body = wire_watch::Watch::from(&req);
            let post = self.post("/v3/watch", &body);
            let response = tokio::time::timeout(self.cfg.call_timeout, post)
                .await
                .unwrap_or_else(|_| Err(self.no_answer()))?;
            Ok(watch::events(response))
        })
    }
}
