//! A cloud API that starts reclaimable and on-demand VMs, refuses some and takes some back.
//!
//! It starts no processes. A test harness reads `GET /test/started` and starts what runs on the VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use salvo::http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use crate::faults::{CommonFaults, FaultBoard, impl_fault_set};
use crate::server::{Answer, Call, Result, Running, Standin};

/// Price of a class of VM in a zone, an hour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Availability zone.
    pub zone: Box<str>,
    /// Class of VM.
    pub class: Box<str>,
    /// Price of a reclaimable VM.
    pub reclaimable_per_hour: f64,
    /// Price of an on-demand VM.
    pub on_demand_per_hour: f64,
    /// Currency of both.
    pub currency: Box<str>,
}

/// Settings of a cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Prices; a zone and class without one is refused.
    pub prices: Vec<Price>,
}

impl Default for CloudSettings {
    fn default() -> Self {
        let zones = [("addis-1", 0.9), ("addis-2", 1.0), ("hawassa-1", 0.7)];
        let price = |(zone, price): (&str, f64)| Price {
            zone: zone.into(),
            class: "gpu-small".into(),
            reclaimable_per_hour: price,
            on_demand_per_hour: 3.0,
            currency: "USD".into(),
        };
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            prices: zones.into_iter().map(price).collect(),
        }
    }
}

/// Faults of a cloud.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CloudFaults {
    /// Faults that every stand-in has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Starts that are refused with 409 `no_capacity`: `zone`, or `zone/market`; `*` for all zones.
    pub refuse_starts: Vec<Box<str>>,
}

impl_fault_set!(CloudFaults);

/// What a VM is for and how it is paid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Availability zone.
    pub zone: Box<str>,
    /// Class of VM.
    pub class: Box<str>,
    /// `engine`, `service` or `entry`.
    pub kind: Box<str>,
    /// `reclaimable` or `on_demand`.
    pub market: Box<str>,
    /// Repeated starts with one token start one VM.
    pub token: Box<str>,
}

/// A VM that was started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StartedVm {
    /// Name.
    pub vm: Box<str>,
    /// What was asked for.
    #[serde(flatten)]
    pub request: StartRequest,
    /// Whether it still runs.
    pub is_running: bool,
}

/// A notice that a VM is taken back; times in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// VM.
    pub vm: Box<str>,
    /// When it is taken back.
    pub reclaim_at: u64,
    /// When that was announced.
    pub announced_at: u64,
}

#[derive(Debug, Deserialize)]
struct NoticeRequest {
    vm: Box<str>,
    in_ms: u64,
}

#[derive(Debug, Deserialize)]
struct WaveRequest {
    zone: Box<str>,
    in_ms: u64,
}

#[derive(Debug, Default)]
struct Vms {
    started: Vec<StartedVm>,
    notices: BTreeMap<Box<str>, (Notice, Instant)>,
}

struct Shared {
    settings: CloudSettings,
    faults: FaultBoard<CloudFaults>,
    prices: Mutex<Vec<Price>>,
    vms: Mutex<Vms>,
}

impl Vms {
    /// Stops the VMs whose time has come.
    fn reclaim(&mut self, now: Instant) {
        for vm in &mut self.started {
            let notice = self.notices.get(&vm.vm);
            if notice.is_some_and(|(_, at)| *at <= now) {
                vm.is_running = false;
            }
        }
    }

    fn announce(&mut self, vm: &str, in_ms: u64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let announced_at = now.unwrap_or(Duration::ZERO).as_millis() as u64;
        let notice = Notice {
            vm: vm.into(),
            reclaim_at: announced_at + in_ms,
            announced_at,
        };
        let at = Instant::now() + Duration::from_millis(in_ms);
        self.notices.insert(vm.into(), (notice, at));
    }
}

impl Shared {
    fn answer_now(&self, call: &Call) -> std::result::Result<Answer, Answer> {
        self.vms.lock().reclaim(Instant::now());
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["v1", "prices"]) => Ok(Answer::ok(&*self.prices.lock())),
            (&Method::POST, ["v1", "vms"]) => Ok(self.start(call.json()?)),
            (&Method::DELETE, ["v1", "vms", vm]) => Ok(self.stop(vm)),
            (&Method::GET, ["v1", "notices"]) => Ok(self.notices(call)),
            (&Method::GET, ["test", "started"]) => Ok(Answer::ok(&self.vms.lock().started)),
            (&Method::PUT, ["test", "prices"]) => {
                *self.prices.lock() = call.json()?;
                Ok(Answer::ok(&json!({})))
            }
            (&Method::POST, ["test", "notice"]) => {
                let req: NoticeRequest = call.json()?;
                self.vms.lock().announce(&req.vm, req.in_ms);
                Ok(Answer::ok(&json!({})))
            }
            (&Method::POST, ["test", "wave"]) => Ok(self.wave(&call.json()?)),
            _ => Err(Answer::not_found()),
        }
    }

    fn start(&self, request: StartRequest) -> Answer {
        let mut vms = self.vms.lock();
        if let Some(vm) = vms
            .started
            .iter()
            .find(|vm| vm.request.token == request.token)
        {
            return Answer::ok(&json!({"vm": vm.vm}));
        }
        let prices = self.prices.lock();
        let is_sold = |price: &Price| price.zone == request.zone && price.class == request.class;
        if !prices.iter().any(is_sold) {
            return Answer::error(StatusCode::BAD_REQUEST, "no such zone and class");
        }
        if self.faults.get().refuses(&request) {
            let error = json!({"error": {"code": "no_capacity", "message": "no capacity"}});
            return Answer::Json(StatusCode::CONFLICT, error);
        }
        let vm: Box<str> = format!("vm-{}", vms.started.len() + 1).into();
        vms.started.push(StartedVm {
            vm: vm.clone(),
            request,
            is_running: true,
        });
        Answer::ok(&json!({"vm": vm}))
    }

    fn stop(&self, name: &str) -> Answer {
        let mut vms = self.vms.lock();
        match vms.started.iter_mut().find(|vm| &*vm.vm == name) {
            Some(vm) => {
                vm.is_running = false;
                Answer::ok(&json!({}))
            }
            None => Answer::error(StatusCode::NOT_FOUND, "no such VM"),
        }
    }

    fn notices(&self, call: &Call) -> Answer {
        let vms = self.vms.lock();
        let asked: Option<Vec<&str>> = call.query("vms").map(|vms| vms.split(',').collect());
        let notices = vms.notices.values().map(|(notice, _)| notice);
        let wanted = notices.filter(|n| asked.as_ref().is_none_or(|vms| vms.contains(&&*n.vm)));
        Answer::ok(&wanted.collect::<Vec<_>>())
    }

    fn wave(&self, req: &WaveRequest) -> Answer {
        let mut vms = self.vms.lock();
        let hit = vms.started.iter().filter(|vm| vm.is_running);
        let hit =
            hit.filter(|vm| vm.request.zone == req.zone && &*vm.request.market != "on_demand");
        let hit: Vec<Box<str>> = hit.map(|vm| vm.vm.clone()).collect();
        for vm in &hit {
            vms.announce(vm, req.in_ms);
        }
        Answer::ok(&hit)
    }
}

impl CloudFaults {
    fn refuses(&self, request: &StartRequest) -> bool {
        self.refuse_starts.iter().any(|refused| {
            let (zone, market) = match refused.split_once('/') {
                Some((zone, market)) => (zone, Some(market)),
                None => (&**refused, None),
            };
            let in_zone = zone == "*" || zone == &*request.zone;
            in_zone && market.is_none_or(|market| market == &*request.market)
        })
    }
}

impl Standin for Shared {
    type Faults = CloudFaults;

    fn faults(&self) -> &FaultBoard<CloudFaults> {
        &self.faults
    }

    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Answer> {
        async move { self.answer_now(&call).unwrap_or_else(|answer| answer) }.boxed()
    }
}

/// A running cloud; stops when dropped.
pub struct Cloud {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Running,
}

/// Starts a cloud.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn spawn(settings: CloudSettings) -> Result<Cloud> {
    let shared = Arc::new(Shared {
        faults: FaultBoard::new(),
        prices: Mutex::new(settings.prices.clone()),
        vms: Mutex::new(Vms::default()),
        settings,
    });
    let server = Running::spawn(shared.settings.listen, shared.clone()).await?;
    Ok(Cloud {
        address: server.address,
        shared,
        server,
    })
}

impl Cloud {
    /// Sets the faults.
    pub fn set_faults(&self, faults: CloudFaults) {
        self.shared.faults.set(faults);
    }

    /// Announces that a VM is taken back.
    pub fn announce(&self, vm: &str, after: Duration) {
        let mut vms = self.shared.vms.lock();
        vms.announce(vm, after.as_millis() as u64);
    }

    /// Returns all VMs that were started, in order.
    pub fn started(&self) -> Vec<StartedVm> {
        let mut vms = self.shared.vms.lock();
        vms.reclaim(Instant::now());
        vms.started.clone()
    }

    /// Waits until the cloud has stopped.
    pub async fn wait(mut self) {
        self.server.wait().await;
    }
}
