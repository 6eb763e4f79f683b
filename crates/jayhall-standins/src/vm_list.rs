//! The platform's list of VMs, which lags behind what it is fed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use salvo::http::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use crate::faults::{CommonFaults, FaultBoard};
use crate::server::{Answer, Call, Result, Running, Standin};

/// Settings of a VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct VmListSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// How long a change stays unseen.
    pub lag: Duration,
    /// VMs at the start.
    pub vms: Vec<ListedVm>,
}

impl Default for VmListSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Duration::from_secs(2),
            vms: Vec::new(),
        }
    }
}

/// One VM of the list, as it is on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name.
    pub vm: Box<str>,
    /// `entry`, `engine` or `service`.
    pub kind: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Region.
    pub region: Box<str>,
    /// Class of VM.
    #[serde(default)]
    pub class: Box<str>,
    /// `reclaimable` or `on_demand`.
    pub market: Box<str>,
    /// `live` or `leaving`.
    pub state: Box<str>,
    /// Where callers or requests go.
    pub address: SocketAddr,
    /// Where other nodes connect, for entry VMs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Models or services.
    #[serde(default)]
    pub serves: Vec<Box<str>>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct List {
    revision: u64,
    vms: Vec<ListedVm>,
}

#[derive(Debug, Deserialize)]
struct LagRequest {
    lag_ms: u64,
}

struct Shared {
    faults: FaultBoard<CommonFaults>,
    lag: Mutex<Duration>,
    /// Versions of the list with the instant of their change, oldest first.
    versions: Mutex<VecDeque<(Instant, List)>>,
}

impl Shared {
    fn answer_now(&self, call: &Call) -> std::result::Result<Answer, Answer> {
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["v1", "list"]) => return Ok(Answer::ok(&self.visible())),
            (&Method::PUT, ["test", "vms"]) => {
                let vms = call.json()?;
                self.change(|list| *list = vms);
            }
            (&Method::POST, ["test", "vms"]) => {
                let vm: ListedVm = call.json()?;
                self.change(|list| upsert(list, vm));
            }
            (&Method::DELETE, ["test", "vms", name]) => {
                self.change(|list| list.retain(|vm| &*vm.vm != *name));
            }
            (&Method::PUT, ["test", "lag"]) => {
                let req: LagRequest = call.json()?;
                *self.lag.lock() = Duration::from_millis(req.lag_ms);
            }
            _ => return Err(Answer::not_found()),
        }
        Ok(Answer::ok(&json!({})))
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        let mut versions = self.versions.lock();
        let mut next = versions
            .back()
            .map_or_else(List::default, |(_, list)| list.clone());
        next.revision += 1;
        change(&mut next.vms);
        versions.push_back((Instant::now(), next));
    }

    /// Returns the newest version that is older than the lag.
    fn visible(&self) -> List {
        let lag = *self.lag.lock();
        let now = Instant::now();
        let mut versions = self.versions.lock();
        while versions.len() > 1 && versions[1].0 + lag <= now {
            versions.pop_front();
        }
        match versions.front() {
            Some((_, list)) => list.clone(),
            None => List::default(),
        }
    }
}

fn upsert(list: &mut Vec<ListedVm>, vm: ListedVm) {
    match list.iter_mut().find(|other| other.vm == vm.vm) {
        Some(slot) => *slot = vm,
        None => list.push(vm),
    }
}

impl Standin for Shared {
    type Faults = CommonFaults;

    fn faults(&self) -> &FaultBoard<CommonFaults> {
        &self.faults
    }

    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Answer> {
        async move { self.answer_now(&call).unwrap_or_else(|answer| answer) }.boxed()
    }
}

/// A running VM list; stops when dropped.
pub struct VmList {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Running,
}

/// Starts a VM list.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn spawn(settings: VmListSettings) -> Result<VmList> {
    let first = List {
        revision: 1,
        vms: settings.vms,
    };
    let shared = Arc::new(Shared {
        faults: FaultBoard::new(),
        lag: Mutex::new(settings.lag),
        versions: Mutex::new(VecDeque::from([(Instant::now(), first)])),
    });
    let server = Running::spawn(settings.listen, shared.clone()).await?;
    Ok(VmList {
        address: server.address,
        shared,
        server,
    })
}

impl VmList {
    /// Sets the faults.
    pub fn set_faults(&self, faults: CommonFaults) {
        self.shared.faults.set(faults);
    }

    /// Replaces all VMs.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.shared.change(|list| *list = vms);
    }

    /// Adds or replaces one VM.
    pub fn upsert(&self, vm: ListedVm) {
        self.shared.change(|list| upsert(list, vm));
    }

    /// Waits until the list has stopped.
    pub async fn wait(mut self) {
        self.server.wait().await;
    }
}
