//! Tests that a delayed order of a former keeper does no lasting harm, whether engines check fencing
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
    Campaign, Candidate, Clock, FleetHost, FleetKeeper, Holder, KeeperSetup, Renewal,
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
fn orders_wait_for_those_of_the_former_keeper_and_stop_before_the_lease_expires() {
    let rules = TenureRules::default();
    let tenure = Tenure {
        fence: 7,
        acquired_at: secs(100),
        lease_ends_at: secs(110),
    };
    let renewed = tenure.renewed(secs(108), &rules);
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
    for (tenure, checks_fencing, now, permit) in cases {
        let got = tenure.permit(checks_fencing, secs(now), &rules);
        assert_eq!(got, permit, "checks {checks_fencing} at {now}");
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

/// Applies an order to an engine's state.
fn apply_order(state: &mut EngineState, order: EngineOrder) {
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
fn reconciliation_brings_any_engine_to_the_desired_state_and_is_idempotent() {
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
                apply_order(&mut engine, order);
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
async fn one_keeper_at_a_time_with_increasing_fencing_numbers() {
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
        panic!("the lease should still be valid");
    };
    assert_eq!(first.tenure().lease_ends_at, secs(16));
    // The store is unreachable for so long that the lease expires by the holder's clock.
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
async fn a_claim_whose_reply_was_lost_is_read_back() {
    let store = MemoryStore::new();
    let clock = Clock::start();
    let shared = Arc::new(ReplyLosingStore(store.clone()));
    let candidate = Candidate::new(shared, clock, TenureRules::default(), ZONE, "a");
    let holder = campaign(candidate).await.ok().unwrap();
    assert!(holder.tenure().fence > 0);
    assert!(matches!(holder.renew().await, Renewal::Kept(_)));
}

mod lossy_store {
    use futures::future::BoxFuture;
    use jayhall::sources::store::{
        Fault, LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result, Store,
        Transaction, TransactionReply, WatchRequest, WatchStream,
    };
    use std::time::Duration;

    /// A store that applies each transaction but loses the reply.
    pub(super) struct ReplyLosingStore(pub(super) MemoryStore);

    impl Store for ReplyLosingStore {
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
use lossy_store::ReplyLosingStore;

/// An order and when it was issued.
#[derive(Clone, Debug)]
struct IssuedOrder {
    at: Instant,
    engine: Address,
    fence: FencingNumber,
    order: EngineOrder,
}

/// Engine control that records orders. If frozen, it never sends them, so that the test can deliver an
/// order late.
struct RecordingEngines {
    client: EngineClient,
    is_frozen: bool,
    issued: Mutex<Vec<IssuedOrder>>,
}

impl RecordingEngines {
    fn new(is_frozen: bool) -> Arc<Self> {
        Arc::new(Self {
            client: EngineClient::new(reqwest::Client::new()),
            is_frozen,
            issued: Mutex::new(Vec::new()),
        })
    }

    fn issued(&self) -> Vec<IssuedOrder> {
        self.issued.lock().clone()
    }
}

impl EngineControl for RecordingEngines {
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
        self.issued.lock().push(IssuedOrder {
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

/// A fleet host without demand.
struct IdleHost;

impl FleetHost for IdleHost {
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

/// Returns the blackboard of a node that is its only member and sees one engine without a model.
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
    engines: Arc<RecordingEngines>,
) -> FleetKeeper {
    let url = format!("http://{cloud}");
    FleetKeeper::spawn(KeeperSetup {
        board,
        store: Arc::new(store.clone()),
        cloud: Arc::new(HttpCloud::new(reqwest::Client::new(), &url)),
        engines,
        host: Arc::new(IdleHost),
        rules: TenureRules::default(),
        round_interval: Duration::from_secs(1),
        max_loads: 4,
    })
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..10_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("timed out waiting for the condition");
}

async fn test_delayed_order(checks_fencing: bool) {
    let settings = EngineSettings {
        models: Vec::new(),
        checks_fencing,
        load_time: Duration::ZERO,
        ..EngineSettings::default()
    };
    let engine = engine::spawn(settings).await.unwrap();
    let cloud = cloud::spawn(CloudSettings::default()).await.unwrap();
    let store = MemoryStore::new();

    let frozen = RecordingEngines::new(true);
    let former_board = board("a", document("assistant", checks_fencing), engine.address);
    let former = keeper(former_board, &store, cloud.address, frozen.clone());
    wait_until(|| !frozen.issued().is_empty()).await;
    let delayed = frozen.issued()[0].clone();
    drop(former);

    let frozen_at = Instant::now();
    let recording = RecordingEngines::new(false);
    let successor_board = board("b", document("contracts", checks_fencing), engine.address);
    let _successor = keeper(successor_board, &store, cloud.address, recording.clone());
    wait_until(|| !engine.orders().is_empty()).await;
    let first = recording.issued()[0].clone();
    assert!(first.fence > delayed.fence);
    if !checks_fencing {
        let rules = TenureRules::default();
        assert!(first.at - frozen_at >= rules.lease + rules.max_order_delay);
    }

    let client = EngineClient::new(reqwest::Client::new());
    let reply = client.order(
        delayed.engine,
        delayed.fence,
        delayed.order,
        Duration::from_secs(2),
    );
    match reply.await.unwrap() {
        OrderOutcome::Fenced { highest } => {
            assert!(checks_fencing);
            assert_eq!(highest, Some(first.fence));
        }
        OrderOutcome::Taken => {
            assert!(!checks_fencing);
            let state = client.state(engine.address).await.unwrap();
            assert_eq!(
                state.models.len(),
                2,
                "the late order should have taken effect"
            );
        }
    }
    tokio::time::sleep(Duration::from_secs(15)).await;
    let state = client.state(engine.address).await.unwrap();
    let models: Vec<&str> = state.models.iter().map(|m| &*m.name).collect();
    assert_eq!(models, ["contracts"]);
}

#[tokio::test(start_paused = true)]
async fn a_late_order_is_refused_by_engines_that_check_fencing() {
    test_delayed_order(true).await;
}

#[tokio::test(start_paused = true)]
async fn a_late_order_is_undone_on_engines_that_do_not_check_fencing() {
    test_delayed_order(false).await;
}
