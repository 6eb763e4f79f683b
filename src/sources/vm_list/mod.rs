//! Client of the platform's list of live and leaving VMs, which lags behind.

mod wire;

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::Method;

use crate::core::fleet::VmListing;
use crate::sources::platform::{PlatformClient, Result};

use wire::ListWire;

/// Timeout for fetching the list.
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// The platform's list of VMs. Implementations bound each call by a deadline.
pub trait VmList: Send + Sync {
    /// Returns the current list of the platform.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response. An entry that cannot be decoded is left out and
    /// reported in the listing's `rejected`.
    fn list(&self) -> BoxFuture<'_, Result<VmListing>>;
}

/// The list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: PlatformClient,
}

impl HttpVmList {
    /// Creates a client for the list at a URL, given without a trailing slash.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        Self::with_deadline(http, url, CALL_DEADLINE)
    }

    /// Creates a client with the given deadline.
    pub fn with_deadline(http: reqwest::Client, url: &str, deadline: Duration) -> Self {
        Self {
            client: PlatformClient::new("the list of VMs", http, url, deadline),
        }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<VmListing>> {
        async move {
            let req = self.client.request(Method::GET, "/v1/list");
            let list: ListWire = self.client.call(req).await?;
            Ok(list.into())
        }
        .boxed()
    }
}
