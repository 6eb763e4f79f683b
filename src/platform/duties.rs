//! Client for the cloud's API of duties: usage reports and scaling orders, which only the leader sends.

use std::time::Duration;

use eyre::WrapErr;
use futures::future::BoxFuture;
use reqwest::{Client, StatusCode};
use serde::Serialize;

use super::headers::{DUTY_HOLDER, FENCE};
use crate::core::gateway::scaling::Order;
use crate::core::gateway::usage::{Counts, Window};
use crate::ops::gateway::dialect::{Duties, DutyReply, Holder, Result};

/// Timeout of a call. It is shorter than the time that a new leader waits before its first call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the cloud's API for duties.
#[derive(Clone, Debug)]
pub struct CloudDuties {
    client: Client,
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
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be created.
    pub fn open(base: &str) -> Result<Self> {
        let client = Client::builder()
            .timeout(CALL_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .wrap_err("setting up the client of the cloud")?;
        Ok(Self {
            client,
            base: base.trim_end_matches('/').into(),
        })
    }

    async fn post<T: Serialize>(&self, holder: Holder, path: &str, body: &T) -> DutyReply {
        let sent = self
            .client
            .post(format!("{}{path}", self.base))
            .header(DUTY_HOLDER, &*holder.node)
            .header(FENCE, holder.fence)
            .json(body)
            .send()
            .await;
        match sent.map(|answer| answer.status()) {
            Ok(status) if status.is_success() => DutyReply::Taken,
            Ok(StatusCode::CONFLICT) => DutyReply::NoneThere,
            Ok(status) => DutyReply::Refused(status.as_u16()),
            Err(e) => {
                tracing::warn!(path, error = %e, "request to the cloud got no answer");
                DutyReply::NoAnswer
            }
        }
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
