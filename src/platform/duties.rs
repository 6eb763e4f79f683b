//! Client for the cloud's API of duties: usage reports and scaling orders, which only the leader sends.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use serde::Serialize;

use super::headers::{DUTY_HOLDER, FENCE};
use crate::core::gateway::scaling::Order;
use crate::core::gateway::tenure::CALL_TIMEOUT;
use crate::core::gateway::usage::{Counts, Window};
use crate::ops::gateway::dialect::{Duties, DutyReply, Holder, Result};
use crate::sources::http::{AnswerLimits, ConnectOptions, HttpClient};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Limits on the answers of the cloud.
const ANSWER_LIMITS: AnswerLimits = AnswerLimits {
    timeout: CALL_TIMEOUT,
    bytes: 64 * 1024,
};

/// Client of the cloud's API for duties.
#[derive(Clone, Debug)]
pub struct CloudDuties {
    client: HttpClient,
    base: Box<str>,
}

#[derive(Serialize)]
struct UsageWire<'a> {
    window: Window,
    counts: &'a Counts,
}

#[derive(Serialize)]
struct OrderWire<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

impl CloudDuties {
    /// Creates a client for the cloud at the base URL `base`, such as `http://10.0.0.1:8225`.
    pub fn new(base: &str) -> Self {
        Self {
            client: HttpClient::new(ConnectOptions {
                timeout: CONNECT_TIMEOUT,
                user_timeout: CALL_TIMEOUT,
            }),
            base: base.trim_end_matches('/').into(),
        }
    }

    async fn post<T: Serialize>(&self, holder: Holder, path: &str, body: &T) -> DutyReply {
        let sent = match self.request(holder, path, body) {
            Ok(req) => self.client.send(req, ANSWER_LIMITS).await,
            Err(e) => {
                tracing::error!(path, error = %e, "request to the cloud cannot be made");
                return DutyReply::NoAnswer;
            }
        };
        match sent.map(|res| res.status()) {
            Ok(status) if status.is_success() => DutyReply::Taken,
            Ok(StatusCode::CONFLICT) => DutyReply::NoneThere,
            Ok(status) => DutyReply::Refused(status.as_u16()),
            Err(e) => {
                tracing::warn!(path, error = %e, "request to the cloud got no answer");
                DutyReply::NoAnswer
            }
        }
    }

    fn request<T: Serialize>(
        &self,
        holder: Holder,
        path: &str,
        body: &T,
    ) -> Result<Request<Full<Bytes>>> {
        let req = Request::post(format!("{}{path}", self.base))
            .header(DUTY_HOLDER, &*holder.node)
            .header(FENCE, holder.fence)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(serde_json::to_vec(body)?))?;
        Ok(req)
    }
}

impl Duties for CloudDuties {
    fn report_usage(
        &self,
        holder: Holder,
        window: Window,
        counts: Counts,
    ) -> BoxFuture<'_, DutyReply> {
        Box::pin(async move {
            let body = UsageWire {
                window,
                counts: &counts,
            };
            self.post(holder, "/usage", &body).await
        })
    }

    fn order(&self, holder: Holder, service: Box<str>, order: Order) -> BoxFuture<'_, DutyReply> {
        Box::pin(async move {
            let body = OrderWire {
                service: &service,
                zone: &order.zone,
                desired: order.desired,
                spot: order.spot,
            };
            self.post(holder, "/scale", &body).await
        })
    }
}
