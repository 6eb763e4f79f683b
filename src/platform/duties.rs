//! Calls to the cloud that one node at a time may make.

use std::time::Duration;

use eyre::WrapErr;
use futures::future::BoxFuture;
use reqwest::{Client, StatusCode};
use serde::Serialize;

use super::headers::{DUTY_HOLDER, FENCE};
use crate::core::gateway::scaling::Order;
use crate::core::gateway::usage::{Counts, Window};
use crate::ops::gateway::dialect::{Duties, DutyReply, Holder, Result};

/// Longest wait for an answer. It is shorter than the time that a new holder of a duty waits.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The cloud's interface for duties.
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
    /// Creates an adapter for the cloud at `base`, such as `http://10.0.0.1:8225`.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP client cannot be made.
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
                tracing::warn!(path, error = %e, "no answer to the call of a duty");
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
