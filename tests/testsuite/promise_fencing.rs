//! A former keeper that wakes with an order in hand does no lasting harm, whether engines check fencing
//! numbers or not.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use jayhall::core::document::{Document, MachineClassRule, ModelRule};
use jayhall::core::fleet::orders::{
    EngineOrder, EngineState, Permit, Tenure, TenureRules, Versioned, reconcile,
};
use jayhall::core::fleet::{Backend, BackendKind, FleetView, Market, ModelDemand};
use jayhall::core::id::{Address, FencingNumber, VmId};
use jayhall::core::membership::{Member, MemberState, MemberView};
use jayhall::core::time::{Moment, UnixMillis};
use jayhall::node::{Blackboard, Identity, InstalledDocument, Phase};
use jayhall::ops::keep_fleet::{
    Campaign, Candidate, Clock, FleetHost, Holder, KeepFleet, KeeperSetup, Renewal,
};
use jayhall::sources::cloud::HttpCloud;
use jayhall::sources::engine::{EngineClient, EngineControl, EngineLoad, OrderOutcome, Result};
use jayhall::sources::store::{Fault, MemoryStore};
use jayhall_standins::cloud::{self, CloudSettings};
use jayhall_standins::engine::{self, EngineSettings};
use parking_lot::Mutex;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

const ZONE: &str = "addis-1";

fn secs(seconds: u64) -> Moment {
    Moment::from_secs(seconds)
}

#[test]
fn orders_wait_for_the_former_keeper_and_stop_before_the_lease_ends() {
    let rules = TenureRules::default();
    let tenure = Tenure {
        fence: 7,
        won_at: secs(100),
        holds_until: secs(110),
    };
    let renewed = tenure.kept_alive(secs(108), &rules);
    let wait = Permit::WaitUntil(secs(112));
    let cases = [
        (tenure, true, 100, Permit::Send),
        (tenure, true, 107, Permit::Send),
        (tenure, true, 108, Permit::Lapsed),
        (tenure, true, 500, Permit::Lapsed),
        (tenure, false, 100, wait),
        (tenure, false, 108, Permit::Lapsed),
        (renewed, true, 108, Permit::Send),
        (renewed, false, 111, wait),
        (renewed, false, 112, Permit::Send),
        (renewed, false, 116, Permit::Lapsed),
    ];
    for (tenure, checks, now, permit) in cases {
        let got = tenure.permit(checks, secs(now), &rules);
        assert_eq!(got, permit, "checks {checks} at {now}");
    }
}

fn states() -> impl Strategy<Value = EngineState> {
    let one = (0..3_u8, 0..3_u8).prop_map(|(name, version)| Versioned {
        name: format!("m{name}").into(),
        version: format!("{version}").into(),
    });
    let list = prop::collection::vec(one, 0..3).prop_map(|mut list| {
        list.sort();
        list.dedup_by(|a, b| a.name == b.name);
        list
    });
    (list, "(|mixed|decode)").prop_map(|(models, role)| EngineState {
        models: models.into(),
        role: role.into(),
        ..EngineState::default()
    })
}

/// Carries an order out as an engine does.
fn carry_out(state: &mut EngineState, order: EngineOrder) {
    match order {
        EngineOrder::Unload(gone) => state.models.retain(|m| m.name != gone.name),
        EngineOrder::LoadModel(new) => {
            state.models.retain(|m| m.name != new.name);
            state.models.push(new);
        }
        EngineOrder::LoadAdapter(new) => state.adapters.push(new),
        EngineOrder::SetRole(role) => state.role = role,
    }
}

#[test]
fn orders_bring_any_engine_to_the_wanted_state_once() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cases = (states(), states());
    runner
        .run(&cases, |(wanted, observed)| {
            let mut engine = observed.clone();
            for order in reconcile(&wanted, &observed) {
                carry_out(&mut engine, order);
            }
            engine.models.sort();
            prop_assert_eq!(&engine.models, &wanted.models);
            prop_assert!(wanted.role.is_empty() || engine.role == wanted.role);
            prop_assert!(reconcile(&wanted, &engine).is_empty());
            Ok(())
        })
        .unwrap();
}

async fn campaign(candidate: Candidate) -> std::result::Result<Holder, Candidate> {
    match candidate.campaign().await {
        Campaign::Won(holder) => Ok(holder),
        Campaign::Lost(candidate, _) => Err(candidate),
    }
}

#[tokio::test(start_paused = true)]
async fn one_keeper_at_a_time_with_growing_numbers() {
    let store = MemoryStore::new();
    let clock = Clock::start();
    let candidate = |node: &str| {
        let store = Arc::new(store.clone());
        Candidate::new(store, clock, TenureRules::default(), ZONE, node)
    };
    let first = campaign(candidate("a")).await.ok().unwrap();
    let second = campaign(candidate("b")).await.err().unwrap();
    tokio::time::advance(secs(6)).await;
    let Renewal::Kept(first) = first.renew().await else {
        panic!("the lease was alive");
    };
    assert_eq!(first.tenure().holds_until, secs(16));
    // The store is out for so long that the lease ends in the holder's own eyes.
    store.set_fault(Some(Fault::NotReached));
    tokio::time::advance(secs(11)).await;
    let fence = first.tenure().fence;
    assert!(matches!(first.renew().await, Renewal::Ended(_)));
    store.set_fault(None);
    store.fail_next_write(Fault::Lost);
    let second = campaign(second).await.err().unwrap();
    let second = campaign(second).await.ok().unwrap();
    assert!(second.tenure().fence > fence);
    let second = second.resign().await;
    assert!(campaign(candidate("a")).await.is_ok());
    assert!(campaign(second).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_was_lost_is_read_back() {
    let store = MemoryStore::new();
    let clock = Clock::start();
    let shared = Arc::new(AnswerLostOnClaim(store.clone()));
    let candidate = Candidate::new(shared, clock, TenureRules::default(), ZONE, "a");
    let holder = campaign(candidate).await.ok().unwrap();
    assert!(holder.tenure().fence > 0);
    assert!(matches!(holder.renew().await, Renewal::Kept(_)));
}

mod lossy {
    use futures::future::BoxFuture;
    use jayhall::sources::store::{
        Fault, LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result, Store,
        Transaction, TransactionReply, WatchRequest, WatchStream,
    };
    use std::time::Duration;

    /// A store that loses the answer to each transaction after its effect.
    pub(super) struct AnswerLostOnClaim(pub(super) MemoryStore);

    impl Store for AnswerLostOnClaim {
        fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
            self.0.range(req)
        }

        fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
            self.0.fail_next_write(Fault::AnswerLost);
            self.0.transact(req)
        }

        fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
            self.0.grant_lease(ttl)
        }

        fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
            self.0.keep_alive(lease)
        }

        fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
            self.0.revoke(lease)
        }

        fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
            self.0.watch(req)
        }
    }
}
use lossy::AnswerLostOnClaim;

/// An order and when it was given.
#[derive(Clone, Debug)]
struct Given {
    at: Instant,
    engine: Address,
    fence: FencingNumber,
    order: EngineOrder,
}

/// Control of engines that notes orders. A frozen one holds them in hand instead of sending them.
struct Watched {
    client: EngineClient,
    is_frozen: bool,
    given: Mutex<Vec<Given>>,
}

impl Watched {
    fn new(is_frozen: bool) -> Arc<Self> {
        Arc::new(Self {
            client: EngineClient::new(reqwest::Client::new()),
            is_frozen,
            given: Mutex::new(Vec::new()),
        })
    }

    fn given(&self) -> Vec<Given> {
        self.given.lock().clone()
    }
}

impl EngineControl for Watched {
    fn state(&self, engine: Address) -> BoxFuture<'_, Result<EngineState>> {
        self.client.state(engine)
    }

    fn load(&self, engine: Address) -> BoxFuture<'_, Result<EngineLoad>> {
        self.client.load(engine)
    }

    fn order(
        &self,
        engine: Address,
        fence: FencingNumber,
        order: EngineOrder,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<OrderOutcome>> {
        self.given.lock().push(Given {
            at: Instant::now(),
            engine,
            fence,
            order: order.clone(),
        });
        if self.is_frozen {
            return futures::future::pending().boxed();
        }
        self.client.order(engine, fence, order, deadline)
    }
}

/// A node without demand.
struct Quiet;

impl FleetHost for Quiet {
    fn demand(&self) -> Vec<ModelDemand> {
        Vec::new()
    }

    fn announce_leaving(&self, _: VmId, _: UnixMillis) -> BoxFuture<'_, ()> {
        futures::future::ready(()).boxed()
    }
}

fn document(model: &str, checks_fencing: bool) -> Document {
    Document {
        models: vec![ModelRule {
            name: model.into(),
            weights: model.into(),
            slots_per_engine: 8,
            max_prompt_tokens: 1000,
            max_answer_tokens: 1000,
            min_engines: 1,
            max_engines: 1,
        }],
        machine_classes: vec![MachineClassRule {
            name: "gpu-small".into(),
            checks_fencing,
            accelerators: 1,
        }],
        ..Document::default()
    }
}

/// Returns the blackboard of a node that knows itself and one engine without a model.
fn board(node: &str, document: Document, engine: Address) -> Arc<Blackboard> {
    let unused: Address = "127.0.0.1:9".parse().unwrap();
    let identity = Identity {
        node: node.into(),
        vm: node.into(),
        region: "addis".into(),
        zone: ZONE.into(),
        peer_address: unused,
        caller_address: unused,
        operator_address: unused,
    };
    let board = Blackboard::new(identity);
    board.members.write(MemberView {
        members: vec![Member {
            node: node.into(),
            vm: node.into(),
            region: "addis".into(),
            zone: ZONE.into(),
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
        document,
    });
    board.fleet.write(FleetView {
        revision: 1,
        backends: vec![Backend {
            vm: "engine-1".into(),
            kind: BackendKind::Engine,
            region: "addis".into(),
            zone: ZONE.into(),
            class: "gpu-small".into(),
            market: Market::OnDemand,
            address: engine,
            serves: Vec::new().into(),
            reclaim_at: None,
            is_leaving: false,
        }],
    });
    board.phase.write(Phase::Serving);
    board
}

fn keeper(
    board: Arc<Blackboard>,
    store: &MemoryStore,
    cloud: Address,
    engines: Arc<Watched>,
) -> KeepFleet {
    let url = format!("http://{cloud}");
    KeepFleet::spawn(KeeperSetup {
        board,
        store: Arc::new(store.clone()),
        cloud: Arc::new(HttpCloud::new(reqwest::Client::new(), &url)),
        engines,
        host: Arc::new(Quiet),
        rules: TenureRules::default(),
        round_interval: Duration::from_secs(1),
        max_loads: 4,
    })
}

async fn until(mut condition: impl FnMut() -> bool) {
    for _ in 0..10_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the condition did not come true");
}

async fn a_frozen_keeper_wakes(checks_fencing: bool) {
    let settings = EngineSettings {
        models: Vec::new(),
        checks_fencing,
        load_time: Duration::ZERO,
        ..EngineSettings::default()
    };
    let engine = engine::spawn(settings).await.unwrap();
    let cloud = cloud::spawn(CloudSettings::default()).await.unwrap();
    let store = MemoryStore::new();

    let frozen = Watched::new(true);
    let old = board("a", document("assistant", checks_fencing), engine.address);
    let former = keeper(old, &store, cloud.address, frozen.clone());
    until(|| !frozen.given().is_empty()).await;
    let in_hand = frozen.given()[0].clone();
    drop(former);

    let frozen_at = Instant::now();
    let watched = Watched::new(false);
    let new = board("b", document("contracts", checks_fencing), engine.address);
    let _successor = keeper(new, &store, cloud.address, watched.clone());
    until(|| !engine.orders().is_empty()).await;
    let first = watched.given()[0].clone();
    assert!(first.fence > in_hand.fence);
    if !checks_fencing {
        let rules = TenureRules::default();
        assert!(first.at - frozen_at >= rules.lease + rules.longest_order);
    }

    let client = EngineClient::new(reqwest::Client::new());
    let late = client.order(
        in_hand.engine,
        in_hand.fence,
        in_hand.order,
        Duration::from_secs(2),
    );
    match late.await.unwrap() {
        OrderOutcome::Fenced { highest } => {
            assert!(checks_fencing);
            assert_eq!(highest, Some(first.fence));
        }
        OrderOutcome::Taken => {
            assert!(!checks_fencing);
            let state = client.state(engine.address).await.unwrap();
            assert_eq!(state.models.len(), 2, "the late order took effect");
        }
    }
    tokio::time::sleep(Duration::from_secs(15)).await;
    let state = client.state(engine.address).await.unwrap();
    let models: Vec<&str> = state.models.iter().map(|m| &*m.name).collect();
    assert_eq!(models, ["contracts"]);
}

#[tokio::test(start_paused = true)]
async fn a_late_order_is_refused_where_numbers_are_checked() {
    a_frozen_keeper_wakes(true).await;
}

#[tokio::test(start_paused = true)]
async fn a_late_order_is_undone_where_numbers_are_not_checked() {
    a_frozen_keeper_wakes(false).await;
}
