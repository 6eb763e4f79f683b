//! Environment of the nodes: the fake service, the network and the gates that simulate frozen
//! nodes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use jayhall::core::id::Address;
use jayhall::core::ledger::{IdempotencyKey, Outcome, Settlement};
use jayhall::core::service_call::{CallReply, ServiceCall};
use jayhall::ops::call_service::{CallService, ForwardError, OwnerClient};
use jayhall::sources::service::{BackendCall, BackendClient, BackendRequest};
use jayhall::sources::store::{
    LeaseGrant, LeaseId, MemoryStore, RangeReply, RangeRequest, Result as StoreResult, Store,
    Transaction, TransactionReply, WatchRequest, WatchStream,
};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Gate that holds back whatever passes it while it is closed.
#[derive(Clone)]
pub(crate) struct Gate(Arc<watch::Sender<bool>>);

impl Gate {
    pub(crate) fn open() -> Self {
        Self(Arc::new(watch::Sender::new(true)))
    }

    pub(crate) fn set_open(&self, is_open: bool) {
        self.0.send_replace(is_open);
    }

    async fn wait_until_open(&self) {
        let mut rx = self.0.subscribe();
        let _ = rx.wait_for(|is_open| *is_open).await;
    }
}

/// How the service handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Takes effect and answers.
    #[default]
    Answer,
    /// Takes effect, but the answer is lost.
    LoseAnswer,
    /// Is unreachable.
    Unreachable,
    /// Takes effect and answers after a delay.
    Slow,
}

/// A service that counts effects. It neither deduplicates calls nor checks who sends them.
#[derive(Default)]
pub(crate) struct FakeService {
    mode: Mutex<Mode>,
    effects: Mutex<HashMap<IdempotencyKey, u32>>,
}

impl FakeService {
    pub(crate) fn set_mode(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }

    pub(crate) fn effects(&self, key: IdempotencyKey) -> u32 {
        self.effects.lock().get(&key).copied().unwrap_or(0)
    }

    async fn call(&self, call: &BackendCall) -> Settlement {
        let BackendRequest::Call { key, .. } = &call.ask else {
            return Settlement::NotRun;
        };
        let mode = *self.mode.lock();
        if mode == Mode::Unreachable {
            return Settlement::NotRun;
        }
        *self.effects.lock().entry(*key).or_default() += 1;
        match mode {
            Mode::LoseAnswer => return Settlement::MayHaveRun,
            Mode::Slow => tokio::time::sleep(Duration::from_secs(5)).await,
            Mode::Answer | Mode::Unreachable => {}
        }
        Settlement::Answered(Outcome {
            status: 200,
            content_type: "application/json".into(),
            body: Some("{\"order\":1}".into()),
        })
    }
}

/// Connection of one node to the service, with a gate.
pub(super) struct GatedBackend {
    pub(super) inner: Arc<FakeService>,
    pub(super) gate: Gate,
}

impl BackendClient for GatedBackend {
    fn call(&self, call: BackendCall) -> BoxFuture<'static, Settlement> {
        let (service, gate) = (self.inner.clone(), self.gate.clone());
        Box::pin(async move {
            gate.wait_until_open().await;
            service.call(&call).await
        })
    }
}

/// Connection of one node to the store, with a gate for writes.
pub(super) struct GatedStore {
    pub(super) inner: MemoryStore,
    pub(super) gate: Gate,
}

impl Store for GatedStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, StoreResult<RangeReply>> {
        self.inner.range(req)
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, StoreResult<TransactionReply>> {
        Box::pin(async move {
            if req.is_write() {
                self.gate.wait_until_open().await;
            }
            self.inner.transact(req).await
        })
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseGrant>> {
        self.inner.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<LeaseGrant>> {
        self.inner.keep_alive(lease)
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.inner.revoke(lease)
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, StoreResult<WatchStream>> {
        self.inner.watch(req)
    }
}

/// Network between the nodes.
#[derive(Default)]
pub(super) struct Net {
    nodes: Mutex<HashMap<Address, Arc<CallService>>>,
    lossy: Mutex<HashSet<Address>>,
    calls_in_flight: Mutex<Vec<(Address, AbortHandle)>>,
}

impl Net {
    pub(super) fn add(&self, address: Address, node: Arc<CallService>) {
        self.nodes.lock().insert(address, node);
    }

    pub(super) fn get(&self, address: Address) -> Option<Arc<CallService>> {
        self.nodes.lock().get(&address).cloned()
    }

    /// Kills a node and the calls that it is handling.
    pub(super) fn remove(&self, address: Address) {
        self.nodes.lock().remove(&address);
        for (receiver, handler) in &*self.calls_in_flight.lock() {
            if *receiver == address {
                handler.abort();
            }
        }
    }

    pub(super) fn set_replies_lost(&self, address: Address, is_lossy: bool) {
        let mut lossy = self.lossy.lock();
        match is_lossy {
            true => lossy.insert(address),
            false => lossy.remove(&address),
        };
    }
}

impl OwnerClient for Net {
    fn call(
        &self,
        address: Address,
        call: ServiceCall,
    ) -> BoxFuture<'static, Result<CallReply, ForwardError>> {
        let Some(node) = self.get(address) else {
            return Box::pin(async { Err(ForwardError::NotSent) });
        };
        let is_lossy = self.lossy.lock().contains(&address);
        let handler = tokio::spawn(async move { node.handle(call).await });
        self.calls_in_flight
            .lock()
            .push((address, handler.abort_handle()));
        Box::pin(async move {
            match handler.await {
                Ok(reply) if !is_lossy => Ok(reply),
                _ => Err(ForwardError::Lost),
            }
        })
    }
}
