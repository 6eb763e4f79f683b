//! Client of the platform's weight store, which serves model weights at a limited rate.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::Method;
use serde::Deserialize;

use crate::sources::platform::{PlatformClient, Result};

/// Timeout for fetching one set of weights.
const CALL_DEADLINE: Duration = Duration::from_secs(600);

/// The weight store. Implementations bound each call by a deadline.
pub trait WeightStore: Send + Sync {
    /// Fetches one version of a model's weights and returns their size in bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`Limited`](crate::sources::platform::PlatformError::Limited) if the store asks to
    /// retry later, and with other errors if it gives no usable response.
    fn fetch<'a>(&'a self, weights: &'a str, version: &'a str) -> BoxFuture<'a, Result<u64>>;
}

#[derive(Debug, Deserialize)]
struct WeightsWire {
    bytes: u64,
}

/// The weight store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    client: PlatformClient,
}

impl HttpWeightStore {
    /// Creates a client for the store at a URL, given without a trailing slash.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        Self::with_deadline(http, url, CALL_DEADLINE)
    }

    /// Creates a client with the given deadline.
    pub fn with_deadline(http: reqwest::Client, url: &str, deadline: Duration) -> Self {
        Self {
            client: PlatformClient::new("the weight store", http, url, deadline),
        }
    }
}

impl WeightStore for HttpWeightStore {
    fn fetch<'a>(&'a self, weights: &'a str, version: &'a str) -> BoxFuture<'a, Result<u64>> {
        async move {
            let path = format!("/v1/weights/{weights}/{version}");
            let req = self.client.request(Method::GET, &path);
            let fetched: WeightsWire = self.client.call(req).await?;
            Ok(fetched.bytes)
        }
        .boxed()
    }
}
