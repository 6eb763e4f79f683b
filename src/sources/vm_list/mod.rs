//! The platform's lagging list of live and leaving VMs.

mod wire;

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::Method;

use crate::core::fleet::VmListing;
use crate::sources::platform::{PlatformClient, Result};

use wire::ListWire;

/// Longest wait for the list.
const DEADLINE: Duration = Duration::from_secs(3);

/// The platform's list of VMs. Every call ends within a deadline of the implementation's own.
pub trait VmList: Send + Sync {
    /// Returns the list as the platform shows it now.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no usable answer. A VM that makes no sense is left out of the
    /// listing and named in it.
    fn list(&self) -> BoxFuture<'_, Result<VmListing>>;
}

/// The list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: PlatformClient,
}

impl HttpVmList {
    /// Creates a client for the list at a URL without a slash at the end.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        Self::with_deadline(http, url, DEADLINE)
    }

    /// Creates a client with a deadline of its own.
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
