//! Selection of back ends and retries of idempotent calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use jayhall::core::document::{Document, Rules, ServiceRule};
use jayhall::core::fleet::{Backend, BackendKind, FleetView, Market};
use jayhall::core::ledger::{Outcome, Settlement};
use jayhall::core::service_call::{CallReply, RefusalCause, ServiceCall};
use jayhall::core::verdict::Verdict;
use jayhall::node::{Blackboard, Identity, InstalledDocument};
use jayhall::ops::call_service::{
    CallService, CallServiceContext, ForwardError, IdempotentCall, OwnerClient,
};
use jayhall::sources::service::{BackendCall, BackendClient, BackendRequest};
use jayhall::sources::store::MemoryStore;
use parking_lot::Mutex;

use crate::service_nodes::assert_refused;

const SLOTS: u16 = 2;

struct UnreachableOwners;

impl OwnerClient for UnreachableOwners {
    fn call(
        &self,
        _: SocketAddr,
        _: ServiceCall,
    ) -> BoxFuture<'static, Result<CallReply, ForwardError>> {
        Box::pin(async { Err(ForwardError::NotSent) })
    }
}

/// Fake back ends by port, with the faults set for them and counters of the calls they received.
#[derive(Default)]
struct Backends {
    faults: Mutex<HashMap<u16, Settlement>>,
    calls: Mutex<HashMap<u16, u32>>,
    in_flight: Mutex<HashMap<u16, u32>>,
    max_in_flight: Mutex<u32>,
}

impl Backends {
    fn calls(&self, port: u16) -> u32 {
        self.calls.lock().get(&port).copied().unwrap_or(0)
    }

    fn record_call(&self, port: u16) {
        *self.calls.lock().entry(port).or_default() += 1;
        let mut in_flight = self.in_flight.lock();
        let count = in_flight.entry(port).or_default();
        *count += 1;
        let mut max = self.max_in_flight.lock();
        *max = (*max).max(*count);
    }
}

struct FakeBackendClient(Arc<Backends>);

impl BackendClient for FakeBackendClient {
    fn call(&self, call: BackendCall) -> BoxFuture<'static, Settlement> {
        let backends = self.0.clone();
        Box::pin(async move {
            let port = call.address.port();
            backends.record_call(port);
            tokio::time::sleep(Duration::from_millis(100)).await;
            *backends.in_flight.lock().entry(port).or_default() -= 1;
            let fault = backends.faults.lock().get(&port).cloned();
            fault.unwrap_or(Settlement::Answered(Outcome {
                status: 200,
                content_type: "".into(),
                body: None,
            }))
        })
    }
}

fn backend(port: u16, is_leaving: bool) -> Backend {
    Backend {
        vm: format!("s{port}").into(),
        kind: BackendKind::Service,
        region: "addis".into(),
        zone: "addis-1".into(),
        class: "small".into(),
        market: Market::OnDemand,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        serves: ["catalogue".into()].into_iter().collect(),
        reclaim_at: None,
        is_leaving,
    }
}

fn start(fleet: Vec<Backend>) -> (CallService, Arc<Backends>) {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let board = Blackboard::new(Identity {
        node: "n0".into(),
        vm: "n0".into(),
        region: "addis".into(),
        zone: "addis-1".into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    });
    let catalogue = ServiceRule {
        name: "catalogue".into(),
        is_idempotent: true,
        rank: "quick".into(),
        timeout: Duration::from_secs(1),
        slots_per_backend: SLOTS,
    };
    board.config.write(InstalledDocument {
        revision: 1,
        text: "".into(),
        document: Document {
            services: vec![catalogue],
            rules: Rules {
                retry_percent: 10,
                ..Rules::default()
            },
            ..Document::default()
        },
    });
    board.fleet.write(FleetView {
        revision: 1,
        backends: fleet,
    });
    let backends = Arc::new(Backends::default());
    let service = CallService::spawn(CallServiceContext {
        board,
        store: Arc::new(MemoryStore::new()),
        owners: Arc::new(UnreachableOwners),
        backends: Arc::new(FakeBackendClient(backends.clone())),
        store_region: None,
        clock: Arc::new(|| 0),
    });
    (service, backends)
}

fn lookup() -> IdempotentCall {
    IdempotentCall {
        service: "catalogue".into(),
        ask: BackendRequest::Lookup {
            query: "q=hoop".into(),
        },
        timeout: Duration::from_secs(5),
    }
}

#[tokio::test(start_paused = true)]
async fn a_failed_lookup_is_sent_to_another_back_end() {
    let (service, backends) = start(vec![backend(1, false), backend(2, false)]);
    backends.faults.lock().insert(1, Settlement::MayHaveRun);
    let reply = service.call_idempotent(lookup()).await;
    assert!(matches!(reply, CallReply::Answered { .. }), "{reply:?}");
    assert_eq!((backends.calls(1), backends.calls(2)), (1, 1));
}

/// Guards against retries that multiply the load: when all back ends fail, retries have to stay a
/// share of first attempts.
#[tokio::test(start_paused = true)]
async fn retries_do_not_multiply_the_load() {
    let (service, backends) = start(vec![backend(1, false), backend(2, false)]);
    backends.faults.lock().insert(1, Settlement::NotRun);
    backends.faults.lock().insert(2, Settlement::NotRun);
    for _ in 0..200 {
        let reply = service.call_idempotent(lookup()).await;
        assert_refused(&reply, Verdict::NotRun, RefusalCause::NoBackend);
    }
    let calls = backends.calls(1) + backends.calls(2);
    // 10% of 200 first attempts, and a burst of 5 retries.
    assert!(calls <= 200 + 20 + 5, "{calls} calls");
    assert!(calls > 200);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_back_end_gets_nothing() {
    let (service, backends) = start(vec![backend(1, true), backend(2, false)]);
    for _ in 0..20 {
        service.call_idempotent(lookup()).await;
    }
    assert_eq!((backends.calls(1), backends.calls(2)), (0, 20));
}

#[tokio::test(start_paused = true)]
async fn calls_are_spread_and_no_back_end_gets_more_than_its_slots() {
    let (service, backends) = start(vec![backend(1, false), backend(2, false)]);
    let asked: Vec<_> = (0..40).map(|_| service.call_idempotent(lookup())).collect();
    for reply in futures::future::join_all(asked).await {
        assert!(matches!(reply, CallReply::Answered { .. }), "{reply:?}");
    }
    assert_eq!(*backends.max_in_flight.lock(), u32::from(SLOTS));
    assert_eq!((backends.calls(1), backends.calls(2)), (20, 20));
}

#[tokio::test(start_paused = true)]
async fn without_a_back_end_a_lookup_is_refused_at_once() {
    let (service, _) = start(vec![]);
    let began = tokio::time::Instant::now();
    let reply = service.call_idempotent(lookup()).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::NoBackend);
    assert!(began.elapsed() < Duration::from_millis(10));
}
