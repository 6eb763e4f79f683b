//! A call as it is received from a caller: its route, customer, deadline and charge against the quota.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HOST;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Uri};
use tokio::time::Instant;

use super::body_memory::{self, MEMORY_WAIT, ReadError};
use super::dialect::CallHead;
use super::quota::{self, ChargeError, Charged};
use super::record;
use super::refusal::{Cause, Refusal};
use super::startup;
use super::state::{GatewayState, GivenUp};
use crate::core::gateway::precedence::{self, Priority};
use crate::core::gateway::quota::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, Work};
use crate::core::gateway::request_id::{RequestId, request_id};
use crate::core::gateway::routes::{Customer, Route, RouteTable, Service};
use crate::core::gateway::suspects::{Suspects, suspects_of};
use crate::sources::http::ReceivedBody;

/// Timeout of a call where neither the caller names a deadline nor the route a timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Subtracted from a call's deadline, so that the response still reaches the caller in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// `Retry-After` while the node has no configuration, or the configuration has no such service.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `Retry-After` of a call for whose body there was no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// `Retry-After` of a call whose quota no node holds at the moment.
const NO_HOLDER_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Longest wait of a call for leases of its customer's quota, as a fraction of the route's target latency.
const MAX_LEASE_WAIT_FRACTION: f64 = 0.25;
/// Upper bound of this wait.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(500);
/// Time within which the body of a refused call arrives.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Number of route ranks within one customer rank.
const ROUTE_RANK_COUNT: u8 = precedence::RANKS as u8;
/// Largest random part by which the longest retry delays of refused callers differ, as a fraction.
const MAX_RETRY_SPREAD: f64 = 0.25;

/// A call whose head and body have been read.
#[derive(Clone, Debug)]
pub struct Call {
    /// Decoded head.
    pub head: CallHead,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All request headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Identity of the request over all its attempts.
    pub id: RequestId,
    /// What the call has that may crash back ends.
    pub suspects: Suspects,
    /// Matched route.
    pub route: Arc<Route>,
    /// Service chosen from the route.
    pub service: Arc<Service>,
    /// Customer that the call is charged to.
    pub customer: Option<Arc<Customer>>,
    /// Version of the configuration that the call is served with.
    pub config_version: u64,
    /// Time at which the head had been read.
    pub received: Instant,
    /// Time at which the gateway stops trying.
    pub deadline: Instant,
    /// Charge against the customer's quota.
    pub charged: Option<Charged>,
    /// Largest number of back ends to which the call may be sent.
    pub max_backends: u32,
}

impl Call {
    /// Reads the body of a call with the decoded `head`, and checks its route, key and size.
    ///
    /// # Errors
    ///
    /// Fails with the reason for the refusal; the call has not run.
    pub async fn read(
        state: &GatewayState,
        head: CallHead,
        req: Request<ReceivedBody>,
    ) -> Result<Self, Refusal> {
        let received = Instant::now();
        let table = startup::wait_for_table(state, head.deadline).await;
        let table = table.ok_or(Refusal::retry_later(
            Cause::NoConfiguration,
            STARTUP_RETRY_AFTER,
        ))?;
        let route = find_route(&table, &req)?;
        let customer = find_customer(&table, &route, &head)?;
        let service = find_service(&table, &route)?;
        let timeout = if route.timeout.is_zero() {
            DEFAULT_TIMEOUT
        } else {
            route.timeout
        };
        let deadline = received + head.deadline.unwrap_or(timeout).min(timeout) - RESPONSE_MARGIN;
        let max_body = table.limits.body_bytes;
        let (parts, body) = req.into_parts();
        let body = read_body(state, body, max_body, deadline).await?;
        let stop_by = *state.stop_by.borrow();
        let deadline = stop_by.map_or(deadline, |stop| deadline.min(stop));
        let path = parts.uri.path_and_query();
        let id = request_id(
            parts.method.as_str(),
            path.map_or("", PathAndQuery::as_str),
            customer.as_ref().map(|customer| &*customer.name),
            &body,
        );
        Ok(Self {
            max_backends: route.max_backends,
            suspects: suspects_of(&head.parts, id),
            head,
            id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            route,
            service,
            customer,
            config_version: table.version,
            received,
            deadline,
            charged: None,
        })
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the name of the customer.
    pub fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|customer| &*customer.name)
    }

    /// Returns the rank of the call, ordered by the customer's rank and then by the route's.
    pub fn rank(&self) -> u8 {
        let customer_rank = self.customer.as_ref().and_then(|customer| customer.rank);
        customer_rank
            .unwrap_or(0)
            .saturating_mul(ROUTE_RANK_COUNT)
            .saturating_add(self.route_rank())
    }

    /// Returns the rank of the call among the calls of its customer.
    pub fn route_rank(&self) -> u8 {
        self.route.rank.min(ROUTE_RANK_COUNT - 1)
    }

    /// Returns the priority of the call among the calls of its customer.
    fn priority(&self) -> Priority {
        // A retry that comes later than that would be served late.
        let useful = match self.route.target_latency / 2 {
            Duration::ZERO => MAX_RETRY_AFTER,
            half => half.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        };
        let spread = 1.0 + MAX_RETRY_SPREAD * rand::random::<f64>();
        Priority {
            rank: self.route_rank(),
            request: Some(self.id),
            max_retry_after: useful.mul_f64(spread).min(self.remaining() / 3),
        }
    }

    /// Returns the units that the call is charged against its customer's quota.
    fn units(&self) -> f64 {
        let quota = self.customer.as_ref().and_then(|customer| customer.quota);
        match (quota, self.head.tokens) {
            (Some(quota), Some((prompt_tokens, answer_tokens))) if quota.counts_tokens => {
                f64::from(prompt_tokens) + f64::from(answer_tokens)
            }
            (Some(quota), None) if quota.counts_tokens => quota.plain_call,
            _ => 1.0,
        }
    }

    /// Returns whether the call resumes a stream.
    pub fn is_resumption(&self) -> bool {
        let is_resumed = self.head.last_event.is_some() || self.head.resumes.is_some();
        is_resumed && self.route.kind.is_stream()
    }

    /// Charges the call against its customer's quota.
    ///
    /// # Errors
    ///
    /// Fails if the quota is used up, or if no node that holds it answers; the call has not run.
    pub async fn charge_quota(&mut self, state: &GatewayState, work: Work) -> Result<(), Refusal> {
        let Some(customer) = &self.customer else {
            return Ok(());
        };
        if customer.quota.is_none() {
            return Ok(());
        }
        let units = self.units();
        let latency = self.route.target_latency;
        let lease_wait = MAX_LEASE_WAIT.min(latency.mul_f64(MAX_LEASE_WAIT_FRACTION));
        let priority = self.priority();
        let charged = quota::charge(
            state,
            &customer.name,
            units,
            work,
            priority,
            self.deadline,
            lease_wait,
        )
        .await;
        let (cause, after) = match charged {
            Ok(charged) => {
                self.charged = Some(charged);
                return Ok(());
            }
            Err(ChargeError::Over { holder, shortage }) => {
                record::over_quota(state, self, units, &holder, &shortage);
                (Cause::OverQuota, shortage.retry_after)
            }
            Err(ChargeError::NoHolder { asked }) => {
                record::quota_unknown(state, self, units, asked);
                (Cause::QuotaUnknown, NO_HOLDER_RETRY_AFTER)
            }
        };
        Err(Refusal::retry_later(cause, after.min(self.remaining() / 3)))
    }
}

fn find_route(table: &RouteTable, req: &Request<ReceivedBody>) -> Result<Arc<Route>, Refusal> {
    let host = req
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| req.uri().host())
        .unwrap_or_default();
    let name = host.split(':').next().unwrap_or_default();
    table
        .find(&name.to_ascii_lowercase(), req.uri().path())
        .cloned()
        .ok_or(Refusal::not_run(Cause::NoRoute))
}

fn find_customer(
    table: &RouteTable,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Customer>>, Refusal> {
    let known = head.key.as_deref().and_then(|key| table.customer(key));
    match known {
        Some(customer) => Ok(Some(customer.clone())),
        None if route.is_public || table.customers.is_empty() => Ok(None),
        None => Err(Refusal::not_run(Cause::UnknownKey)),
    }
}

fn find_service(table: &RouteTable, route: &Route) -> Result<Arc<Service>, Refusal> {
    let name = route.choose_service(rand::random());
    table
        .services
        .get(name)
        .cloned()
        .ok_or(Refusal::retry_later(Cause::NoBackend, STARTUP_RETRY_AFTER))
}

async fn read_body(
    state: &GatewayState,
    mut body: ReceivedBody,
    max: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let budget = &state.bodies.calls;
    let read = body_memory::read_body(&mut body, budget, max, MEMORY_WAIT);
    let read = match state.run_until(deadline, read).await {
        Ok(read) => read,
        Err(GivenUp::Deadline) => return Err(Refusal::not_run(Cause::BodyIncomplete)),
        Err(GivenUp::Stopping) => return Err(Refusal::not_run(Cause::Stopping)),
    };
    match read {
        Ok(body) => Ok(body),
        Err(ReadError::TooLarge { .. }) => Err(Refusal::not_run(Cause::BodyTooLarge)),
        Err(ReadError::NoMemory) => {
            let reserved = budget.reserved_bytes();
            tracing::info!(reserved, "no memory for the body of a call");
            let discarded = body_memory::discard_body(&mut body, max, DISCARD_TIME);
            if tokio::time::timeout_at(deadline, discarded).await.is_err() {
                tracing::debug!("the call ended before the rest of its body arrived");
            }
            Err(Refusal::retry_later(Cause::NoMemory, MEMORY_RETRY_AFTER))
        }
        Err(e @ ReadError::Incomplete(_)) => {
            tracing::debug!(error = %e, "failed to read the body of a call");
            Err(Refusal::not_run(Cause::BodyIncomplete))
        }
    }
}
