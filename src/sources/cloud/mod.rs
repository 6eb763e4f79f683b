//! Client of the cloud API: prices, starting and stopping VMs, and reclaim notices.

mod wire;

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::{Method, StatusCode};

use crate::core::fleet::{Market, Offer, ReclaimNotice};
use crate::core::id::{MachineClass, VmId, ZoneId};
use crate::sources::platform::{PlatformClient, PlatformError, Result};

use wire::{IgnoredBody, NoticeWire, PriceWire, StartRequest, StartedWire};

/// Timeout for a call to the cloud.
const CALL_DEADLINE: Duration = Duration::from_secs(5);
/// Error code of the cloud if it has no capacity for the VM asked for.
const NO_CAPACITY: &str = "no_capacity";

/// Purpose of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmRole {
    /// Runs a model engine.
    Engine,
    /// Runs a plain service.
    Service,
    /// Runs a jayhall node, which accepts callers.
    Entry,
}

/// Request to start a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartVm {
    /// Availability zone.
    pub zone: ZoneId,
    /// Machine class.
    pub class: MachineClass,
    /// Purpose of the VM.
    pub role: VmRole,
    /// Reclaimable or on-demand capacity.
    pub market: Market,
    /// Idempotency token; the cloud starts one VM per token, however often it is asked.
    pub token: Box<str>,
}

/// Outcome of a request to start a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The VM was started.
    Started(VmId),
    /// The cloud has no capacity in this zone and market now.
    NoCapacity,
}

/// The cloud API. Implementations bound each call by a deadline.
pub trait Cloud: Send + Sync {
    /// Returns the current prices of VMs.
    ///
    /// # Errors
    ///
    /// Fails if the cloud gives no usable response.
    fn offers(&self) -> BoxFuture<'_, Result<Vec<Offer>>>;

    /// Starts a VM, at most one per token.
    ///
    /// # Errors
    ///
    /// Fails if the cloud gives no usable response. Unless the verdict of the error is `NotRun`, the
    /// call must be retried with the same token.
    fn start_vm(&self, req: StartVm) -> BoxFuture<'_, Result<StartOutcome>>;

    /// Stops a VM. A VM that no longer exists counts as stopped.
    ///
    /// # Errors
    ///
    /// Fails if the cloud gives no usable response.
    fn stop_vm(&self, vm: VmId) -> BoxFuture<'_, Result<()>>;

    /// Returns the reclaim notices for the given VMs, or all notices if `vms` is empty.
    ///
    /// # Errors
    ///
    /// Fails if the cloud gives no usable response.
    fn notices(&self, vms: Vec<VmId>) -> BoxFuture<'_, Result<Vec<ReclaimNotice>>>;
}

/// The cloud API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    client: PlatformClient,
}

impl HttpCloud {
    /// Creates a client for the API at a URL, given without a trailing slash.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        Self::with_deadline(http, url, CALL_DEADLINE)
    }

    /// Creates a client with the given deadline.
    pub fn with_deadline(http: reqwest::Client, url: &str, deadline: Duration) -> Self {
        Self {
            client: PlatformClient::new("the cloud", http, url, deadline),
        }
    }

    async fn fetch_offers(&self) -> Result<Vec<Offer>> {
        let req = self.client.request(Method::GET, "/v1/prices");
        let prices: Vec<PriceWire> = self.client.call(req).await?;
        let offers = prices.into_iter().map(Offer::try_from);
        offers
            .collect::<std::result::Result<_, _>>()
            .map_err(|e| self.client.malformed(&e))
    }

    async fn start(&self, req: StartVm) -> Result<StartOutcome> {
        let req = self
            .client
            .request(Method::POST, "/v1/vms")
            .json(&StartRequest::from(&req));
        match self.client.call::<StartedWire>(req).await {
            Ok(started) => Ok(StartOutcome::Started(started.vm)),
            Err(e) if is_no_capacity(&e) => Ok(StartOutcome::NoCapacity),
            Err(e) => Err(e),
        }
    }

    async fn stop(&self, vm: &str) -> Result<()> {
        let path = format!("/v1/vms/{vm}");
        let req = self.client.request(Method::DELETE, &path);
        match self.client.call::<IgnoredBody>(req).await {
            Ok(_) => Ok(()),
            Err(e) if has_status(&e, StatusCode::NOT_FOUND) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn fetch_notices(&self, vms: &[VmId]) -> Result<Vec<ReclaimNotice>> {
        let mut req = self.client.request(Method::GET, "/v1/notices");
        if !vms.is_empty() {
            req = req.query(&[("vms", vms.join(","))]);
        }
        let notices: Vec<NoticeWire> = self.client.call(req).await?;
        Ok(notices.into_iter().map(ReclaimNotice::from).collect())
    }
}

fn has_status(e: &PlatformError, wanted: StatusCode) -> bool {
    matches!(e, PlatformError::Refused { status, .. } if *status == wanted.as_u16())
}

fn is_no_capacity(e: &PlatformError) -> bool {
    matches!(e, PlatformError::Refused { body, .. } if body.contains(NO_CAPACITY))
        && has_status(e, StatusCode::CONFLICT)
}

impl Cloud for HttpCloud {
    fn offers(&self) -> BoxFuture<'_, Result<Vec<Offer>>> {
        self.fetch_offers().boxed()
    }

    fn start_vm(&self, req: StartVm) -> BoxFuture<'_, Result<StartOutcome>> {
        self.start(req).boxed()
    }

    fn stop_vm(&self, vm: VmId) -> BoxFuture<'_, Result<()>> {
        async move { self.stop(&vm).await }.boxed()
    }

    fn notices(&self, vms: Vec<VmId>) -> BoxFuture<'_, Result<Vec<ReclaimNotice>>> {
        async move { self.fetch_notices(&vms).await }.boxed()
    }
}
