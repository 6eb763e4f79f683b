//! Tests of the fleet keeper against stand-ins of the cloud and the engines: starts, orders, refusals,
//! lost replies and retirement.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use jayhall::core::document::{Document, MachineClassRule, ModelRule, RankRule};
use jayhall::core::fleet::orders::TenureRules;
use jayhall::core::fleet::{Backend, BackendKind, FleetView, Market, ModelDemand};
use jayhall::core::id::{Address, VmId};
use jayhall::core::membership::{Member, MemberState, MemberView};
use jayhall::core::time::UnixMillis;
use jayhall::node::{Blackboard, Identity, InstalledDocument, Phase};
use jayhall::ops::keep_fleet::{FleetHost, FleetKeeper, KeeperSetup};
use jayhall::sources::cloud::HttpCloud;
use jayhall::sources::engine::EngineClient;
use jayhall::sources::store::MemoryStore;
use jayhall_standins::CommonFaults;
use jayhall_standins::cloud::{self, Cloud, CloudFaults, CloudSettings, StartedVm};
use jayhall_standins::engine::{self, Engine, EngineSettings};
use parking_lot::Mutex;

const ZONES: [&str; 3] = ["addis-1", "addis-2", "hawassa-1"];

/// A fleet host with a demand set by the test, which records announcements of leaving engines.
#[derive(Default)]
struct TestHost {
    urgent_demand: Mutex<u64>,
    announced: Mutex<Vec<VmId>>,
}

impl FleetHost for TestHost {
    fn demand(&self) -> Vec<ModelDemand> {
        vec![ModelDemand {
            model: "assistant".into(),
            tokens_per_second: [*self.urgent_demand.lock()].into_iter().collect(),
        }]
    }

    fn announce_leaving(&self, vm: VmId, _: UnixMillis) -> BoxFuture<'_, ()> {
        self.announced.lock().push(vm);
        futures::future::ready(()).boxed()
    }
}

/// One node that is the keeper of all zones, the cloud, and an engine on each started VM.
struct TestFleet {
    board: Arc<Blackboard>,
    host: Arc<TestHost>,
    cloud: Cloud,
    store: MemoryStore,
    engines: Vec<(StartedVm, Engine)>,
    _keeper: FleetKeeper,
}

impl TestFleet {
    async fn spawn(faults: CloudFaults) -> Self {
        let cloud = cloud::spawn(CloudSettings::default()).await.unwrap();
        cloud.set_faults(faults);
        let board = board();
        let host = Arc::new(TestHost::default());
        let store = MemoryStore::new();
        let url = format!("http://{}", cloud.address);
        let setup = KeeperSetup {
            board: board.clone(),
            store: Arc::new(store.clone()),
            cloud: Arc::new(HttpCloud::new(reqwest::Client::new(), &url)),
            engines: Arc::new(EngineClient::new(reqwest::Client::new())),
            host: host.clone(),
            rules: TenureRules::default(),
            round_interval: Duration::from_secs(1),
            max_loads: 8,
        };
        Self {
            board,
            host,
            cloud,
            store,
            engines: Vec::new(),
            _keeper: FleetKeeper::spawn(setup),
        }
    }

    /// Starts an engine on each new VM and writes the running ones to the fleet view, as the platform's
    /// list would.
    async fn update_fleet_view(&mut self) {
        let started = self.cloud.started();
        for vm in &started[self.engines.len()..] {
            let settings = EngineSettings {
                models: Vec::new(),
                load_time: Duration::ZERO,
                load_lag: Duration::ZERO,
                ..EngineSettings::default()
            };
            let engine = engine::spawn(settings).await.unwrap();
            self.engines.push((vm.clone(), engine));
        }
        let engines = self.engines.iter().zip(&started);
        let running = engines.filter(|(_, vm)| vm.is_running);
        let backends = running.map(|((vm, engine), _)| backend(vm, engine));
        self.board.fleet.write(FleetView {
            revision: 1,
            backends: backends.collect(),
        });
    }

    /// Lets the keeper run for a minute, updating the fleet view every 3 seconds.
    async fn settle(&mut self) {
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_secs(3)).await;
            self.update_fleet_view().await;
        }
    }

    fn running(&self, market: &str) -> Vec<String> {
        let started = self.cloud.started().into_iter();
        let running = started.filter(|vm| vm.is_running && &*vm.request.market == market);
        let mut zones: Vec<String> = running.map(|vm| vm.request.zone.to_string()).collect();
        zones.sort();
        zones
    }
}

fn backend(vm: &StartedVm, engine: &Engine) -> Backend {
    let loaded = engine.orders().into_iter().last().map(|order| order.name);
    Backend {
        vm: vm.vm.clone(),
        kind: BackendKind::Engine,
        region: "addis".into(),
        zone: vm.request.zone.clone(),
        class: vm.request.class.clone(),
        market: match &*vm.request.market {
            "on_demand" => Market::OnDemand,
            _ => Market::Reclaimable,
        },
        address: engine.address,
        serves: loaded.into_iter().collect(),
        reclaim_at: None,
        is_leaving: false,
    }
}

fn document() -> Document {
    Document {
        ranks: vec![RankRule {
            name: "urgent".into(),
            level: 0,
            first_token_target: Duration::from_millis(500),
            token_interval_target: Duration::from_millis(100),
            deadline: Duration::from_secs(10),
            floor_percent: 0,
        }],
        models: vec![ModelRule {
            name: "assistant".into(),
            weights: "assistant".into(),
            slots_per_engine: 10,
            max_prompt_tokens: 1000,
            max_answer_tokens: 1000,
            min_engines: 2,
            max_engines: 20,
        }],
        machine_classes: vec![MachineClassRule {
            name: "gpu-small".into(),
            checks_fencing: true,
            accelerators: 1,
        }],
        ..Document::default()
    }
}

fn board() -> Arc<Blackboard> {
    let unused: Address = "127.0.0.1:9".parse().unwrap();
    let identity = Identity {
        node: "a".into(),
        vm: "entry-1".into(),
        region: "addis".into(),
        zone: ZONES[0].into(),
        peer_address: unused,
        caller_address: unused,
        operator_address: unused,
    };
    let board = Blackboard::new(identity);
    board.members.write(MemberView {
        members: vec![Member {
            node: "a".into(),
            vm: "entry-1".into(),
            region: "addis".into(),
            zone: ZONES[0].into(),
            peer_address: unused,
            caller_address: unused,
            operator_address: unused,
            state: MemberState::Alive,
            incarnation: 0,
        }],
    });
    board.config.write(InstalledDocument {
        revision: 1,
        text: "".into(),
        document: document(),
    });
    board.phase.write(Phase::Serving);
    board
}

#[tokio::test(start_paused = true)]
async fn an_empty_fleet_grows_in_all_zones_and_loads_its_model() {
    let mut fleet = TestFleet::spawn(CloudFaults::default()).await;
    fleet.settle().await;
    assert_eq!(fleet.running("reclaimable"), ZONES);
    assert_eq!(fleet.running("on_demand"), [""; 0]);
    for (_, engine) in &fleet.engines {
        let orders = engine.orders();
        assert_eq!((orders.len(), &*orders[0].name), (1, "assistant"));
        assert!(orders[0].fence > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_start_reply_starts_no_second_vm() {
    let lost_replies = CommonFaults {
        lose_answer_next: 5,
        ..CommonFaults::default()
    };
    let mut fleet = TestFleet::spawn(CloudFaults {
        common: lost_replies,
        ..CloudFaults::default()
    })
    .await;
    fleet.settle().await;
    assert_eq!(fleet.cloud.started().len(), 3);
    assert_eq!(fleet.running("reclaimable"), ZONES);
}

#[tokio::test(start_paused = true)]
async fn refused_reclaimable_starts_are_replaced_by_on_demand_vms() {
    let refusals = CloudFaults {
        refuse_starts: vec!["*/reclaimable".into()],
        ..CloudFaults::default()
    };
    let mut fleet = TestFleet::spawn(refusals).await;
    fleet.settle().await;
    assert_eq!(fleet.running("on_demand").len(), 2);
    assert_eq!(fleet.running("reclaimable"), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn excess_engines_are_announced_and_stopped_when_idle() {
    let mut fleet = TestFleet::spawn(CloudFaults::default()).await;
    *fleet.host.urgent_demand.lock() = 300;
    fleet.settle().await;
    let grown = fleet.running("reclaimable").len();
    assert!(grown > 3, "{grown} engines");
    *fleet.host.urgent_demand.lock() = 0;
    fleet.settle().await;
    assert_eq!(
        fleet.running("reclaimable").len(),
        grown,
        "a short dip in demand stops no engine"
    );
    for _ in 0..8 {
        fleet.settle().await;
    }
    assert_eq!(fleet.running("reclaimable"), ZONES);
    let mut announced = fleet.host.announced.lock().clone();
    announced.sort();
    announced.dedup();
    assert_eq!(announced.len(), grown - 3);
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_are_bounded_by_zones_and_time() {
    let mut fleet = TestFleet::spawn(CloudFaults::default()).await;
    fleet.settle().await;
    let before = fleet.store.counts();
    fleet.settle().await;
    let after = fleet.store.counts();
    // Per minute and zone there are 18 lease renewals and 6 reports; the in-memory store counts both as
    // writes.
    let writes = after.writes - before.writes;
    assert!(writes <= 3 * (18 + 6 + 2), "{writes} writes a minute");
    assert_eq!((after.reads, after.watches), (before.reads, 0));
}
