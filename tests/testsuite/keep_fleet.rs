//! The keeper over the cloud and engine stand-ins: starts, orders, refusals, lost answers, retirement.

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
use jayhall::ops::keep_fleet::{FleetHost, KeepFleet, KeeperSetup};
use jayhall::sources::cloud::HttpCloud;
use jayhall::sources::engine::EngineClient;
use jayhall::sources::store::MemoryStore;
use jayhall_standins::CommonFaults;
use jayhall_standins::cloud::{self, Cloud, CloudFaults, CloudSettings, StartedVm};
use jayhall_standins::engine::{self, Engine, EngineSettings};
use parking_lot::Mutex;

const ZONES: [&str; 3] = ["addis-1", "addis-2", "hawassa-1"];

/// A node whose demand is set by the test, and which notes what leaves.
#[derive(Default)]
struct TestHost {
    urgent: Mutex<u64>,
    leaving: Mutex<Vec<VmId>>,
}

impl FleetHost for TestHost {
    fn demand(&self) -> Vec<ModelDemand> {
        vec![ModelDemand {
            model: "assistant".into(),
            tokens_per_second: [*self.urgent.lock()].into_iter().collect(),
        }]
    }

    fn announce_leaving(&self, vm: VmId, _: UnixMillis) -> BoxFuture<'_, ()> {
        self.leaving.lock().push(vm);
        futures::future::ready(()).boxed()
    }
}

/// One node that keeps all zones, the cloud, and an engine on each VM that it started.
struct Bench {
    board: Arc<Blackboard>,
    host: Arc<TestHost>,
    cloud: Cloud,
    store: MemoryStore,
    engines: Vec<(StartedVm, Engine)>,
    _keeper: KeepFleet,
}

impl Bench {
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
            _keeper: KeepFleet::spawn(setup),
        }
    }

    /// Starts an engine on each new VM and lists the running ones, as the platform does.
    async fn list(&mut self) {
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

    /// Lets the keeper work until nothing has changed for some rounds.
    async fn settle(&mut self) {
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_secs(3)).await;
            self.list().await;
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
async fn a_fleet_grows_from_nothing_over_zones_and_loads_its_model() {
    let mut bench = Bench::spawn(CloudFaults::default()).await;
    bench.settle().await;
    assert_eq!(bench.running("reclaimable"), ZONES);
    assert_eq!(bench.running("on_demand"), [""; 0]);
    for (_, engine) in &bench.engines {
        let orders = engine.orders();
        assert_eq!((orders.len(), &*orders[0].name), (1, "assistant"));
        assert!(orders[0].fence > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_start_no_second_vm() {
    let lose = CommonFaults {
        lose_answer_next: 5,
        ..CommonFaults::default()
    };
    let mut bench = Bench::spawn(CloudFaults {
        common: lose,
        ..CloudFaults::default()
    })
    .await;
    bench.settle().await;
    assert_eq!(bench.cloud.started().len(), 3);
    assert_eq!(bench.running("reclaimable"), ZONES);
}

#[tokio::test(start_paused = true)]
async fn refused_reclaimable_starts_are_made_up_for_on_demand() {
    let refuse = CloudFaults {
        refuse_starts: vec!["*/reclaimable".into()],
        ..CloudFaults::default()
    };
    let mut bench = Bench::spawn(refuse).await;
    bench.settle().await;
    assert_eq!(bench.running("on_demand").len(), 2);
    assert_eq!(bench.running("reclaimable"), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn engines_beyond_the_need_are_announced_and_stopped_when_idle() {
    let mut bench = Bench::spawn(CloudFaults::default()).await;
    *bench.host.urgent.lock() = 300;
    bench.settle().await;
    let grown = bench.running("reclaimable").len();
    assert!(grown > 3, "{grown} engines");
    *bench.host.urgent.lock() = 0;
    bench.settle().await;
    assert_eq!(
        bench.running("reclaimable").len(),
        grown,
        "a dip stops nothing"
    );
    for _ in 0..8 {
        bench.settle().await;
    }
    assert_eq!(bench.running("reclaimable"), ZONES);
    let mut leaving = bench.host.leaving.lock().clone();
    leaving.sort();
    leaving.dedup();
    assert_eq!(leaving.len(), grown - 3);
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_are_bounded_by_zones_and_time() {
    let mut bench = Bench::spawn(CloudFaults::default()).await;
    bench.settle().await;
    let before = bench.store.counts();
    bench.settle().await;
    let after = bench.store.counts();
    // A minute has 18 renewals of each zone's lease and 6 reports; both count as writes in the fake.
    let writes = after.writes - before.writes;
    assert!(writes <= 3 * (18 + 6 + 2), "{writes} writes a minute");
    assert_eq!((after.reads, after.watches), (before.reads, 0));
}
