//! The cloud API: prices, starting and stopping VMs, and reclaim notices.

mod wire;

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::{Method, StatusCode};

use crate::core::fleet::{Market, Offer, ReclaimNotice};
use crate::core::id::{MachineClass, VmId, ZoneId};
use crate::sources::platform::{PlatformClient, PlatformError, Result};

use wire::{Empty, NoticeWire, PriceWire, StartRequest, StartedWire};

/// Longest wait for the cloud.
const DEADLINE: Duration = Duration::from_secs(5);
/// What the cloud answers where it has no VM of the kind to give.
const NO_CAPACITY: &str = "no_capacity";

/// What a VM is started for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmRole {
    /// Runs models.
    Engine,
    /// Runs a plain service.
    Service,
    /// Runs a node of jayhall.
    Entry,
}

/// Asks for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartVm {
    /// Availability zone.
    pub zone: ZoneId,
    /// Class of VM.
    pub class: MachineClass,
    /// What it is started for.
    pub role: VmRole,
    /// How it is paid for.
    pub market: Market,
    /// Names the wish; the cloud starts one VM for each token, however often it is asked.
    pub token: Box<str>,
}

/// What became of a wish for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The VM starts.
    Started(VmId),
    /// The cloud has none to give in this zone and market now.
    NoCapacity,
}

/// The cloud API. Every call ends within a deadline of the implementation's own.
pub trait Cloud: Send + Sync {
    /// Returns what VMs cost.
    ///
    /// # Errors
    ///
    /// Fails where the cloud gives no usable answer.
    fn offers(&self) -> BoxFuture<'_, Result<Vec<Offer>>>;

    /// Starts a VM, once for each token.
    ///
    /// # Errors
    ///
    /// Fails where the cloud gives no usable answer. A call whose verdict is not `NotRun` is to be
    /// repeated with the same token.
    fn start_vm(&self, req: StartVm) -> BoxFuture<'_, Result<StartOutcome>>;

    /// Stops a VM; one that is gone already counts as stopped.
    ///
    /// # Errors
    ///
    /// Fails where the cloud gives no usable answer.
    fn stop_vm(&self, vm: VmId) -> BoxFuture<'_, Result<()>>;

    /// Returns the notices for the VMs named, or all of them where none is named.
    ///
    /// # Errors
    ///
    /// Fails where the cloud gives no usable answer.
    fn notices(&self, vms: Vec<VmId>) -> BoxFuture<'_, Result<Vec<ReclaimNotice>>>;
}

/// The cloud API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    client: PlatformClient,
}

impl HttpCloud {
    /// Creates a client for the API at a URL without a slash at the end.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        Self::with_deadline(http, url, DEADLINE)
    }

    /// Creates a client with a deadline of its own.
    pub fn with_deadline(http: reqwest::Client, url: &str, deadline: Duration) -> Self {
        Self {
            client: PlatformClient::new("the cloud", http, url, deadline),
        }
    }

    async fn read_offers(&self) -> Result<Vec<Offer>> {
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
        match self.client.call::<Empty>(req).await {
            Ok(_) => Ok(()),
            Err(e) if has_status(&e, StatusCode::NOT_FOUND) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn read_notices(&self, vms: &[VmId]) -> Result<Vec<ReclaimNotice>> {
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
        self.read_offers().boxed()
    }

    fn start_vm(&self, req: StartVm) -> BoxFuture<'_, Result<StartOutcome>> {
        self.start(req).boxed()
    }

    fn stop_vm(&self, vm: VmId) -> BoxFuture<'_, Result<()>> {
        async move { self.stop(&vm).await }.boxed()
    }

    fn notices(&self, vms: Vec<VmId>) -> BoxFuture<'_, Result<Vec<ReclaimNotice>>> {
        async move { self.read_notices(&vms).await }.boxed()
    }
}
