//! An in-memory fake of the store for tests, with fault injection.
//!
//! Leases expire by tokio's clock, which tests can pause.

mod state;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::error::{Result, StoreError};
use super::types::{
    Era, LeaseGrant, LeaseId, RangeReply, RangeRequest, Transaction, TransactionReply, WatchRequest,
};
use super::{Store, WatchStream};
use state::{Data, State};

/// A fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection can be made.
    NotReached,
    /// The call is sent; it neither takes effect nor gets a response.
    Lost,
    /// The call takes effect, and its response is lost.
    AnswerLost,
    /// The call is refused because of the rate limit.
    RateLimited(Duration),
}

impl Fault {
    fn has_effect(self) -> bool {
        self == Self::AnswerLost
    }

    fn error(self) -> StoreError {
        match self {
            Self::NotReached => StoreError::NotReached {
                cause: "connection refused".into(),
            },
            Self::Lost | Self::AnswerLost => StoreError::AnswerLost {
                cause: "connection closed".into(),
            },
            Self::RateLimited(retry_after) => StoreError::RateLimited { retry_after },
        }
    }
}

/// Number of calls by kind, including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Ranges and read-only transactions.
    pub reads: u64,
    /// Transactions that may write, and all lease calls.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct FaultPlan {
    fault_for_all: Option<Fault>,
    /// Faults of the next writes in order; `None` for a write that succeeds.
    next_writes: VecDeque<Option<Fault>>,
    delay: Duration,
    counts: CallCounts,
}

/// The fake store. Clones share data and faults.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    plan: Arc<Mutex<FaultPlan>>,
}

/// A copy of the data of a store.
#[derive(Clone, Debug)]
pub struct StoreCopy(Data);

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Watch,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Injects a fault into all calls from now on; `None` ends that.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.plan.lock().fault_for_all = fault;
        if fault.is_some() {
            self.state.lock().break_watches();
        }
    }

    /// Queues a fault for a write, after the writes that are already planned.
    pub fn fail_next_write(&self, fault: Fault) {
        self.plan.lock().next_writes.push_back(Some(fault));
    }

    /// Queues a success for a write, after the writes that are already planned.
    pub fn pass_next_write(&self) {
        self.plan.lock().next_writes.push_back(None);
    }

    /// Sets the duration of each call.
    pub fn set_delay(&self, delay: Duration) {
        self.plan.lock().delay = delay;
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.plan.lock().counts
    }

    /// Ends all watches with an error, as a broken connection would.
    pub fn break_watches(&self) {
        self.state.lock().break_watches();
    }

    /// Copies the data, for [`MemoryStore::restore`].
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().data())
    }

    /// Replaces the data by a copy made before, as if the store had come back from a backup. All writes and
    /// leases since then are lost, and their numbers are given out again. Watches end with an error.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock();
        state.restore(copy.0.clone());
        for (lease, ttl) in state.leases() {
            self.spawn_expiry(lease, ttl);
        }
    }

    /// Returns the era: how often the data was restored from a copy.
    pub fn era(&self) -> Era {
        self.state.lock().era()
    }

    async fn run<T>(
        &self,
        kind: CallKind,
        effect: impl FnOnce(&mut State) -> Result<T>,
    ) -> Result<T> {
        let (fault, delay) = self.plan.lock().begin(kind);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match fault {
            Some(fault) if !fault.has_effect() => Err(fault.error()),
            fault => {
                let result = effect(&mut self.state.lock())?;
                fault.map_or(Ok(result), |fault| Err(fault.error()))
            }
        }
    }

    /// Expires the lease at its deadline, so that watchers are notified even if no call is made.
    fn spawn_expiry(&self, lease: LeaseId, ttl: Duration) {
        let state = Arc::downgrade(&self.state);
        let mut deadline = Instant::now() + ttl;
        tokio::spawn(async move {
            loop {
                tokio::time::sleep_until(deadline).await;
                let Some(state) = state.upgrade() else { return };
                match state.lock().deadline_of(lease) {
                    Some(later) => deadline = later,
                    None => return,
                }
            }
        });
    }
}

impl FaultPlan {
    fn begin(&mut self, kind: CallKind) -> (Option<Fault>, Duration) {
        let counter = match kind {
            CallKind::Read => &mut self.counts.reads,
            CallKind::Write => &mut self.counts.writes,
            CallKind::Watch => &mut self.counts.watches,
        };
        *counter += 1;
        let planned = match kind {
            CallKind::Write => self.next_writes.pop_front().flatten(),
            CallKind::Read | CallKind::Watch => None,
        };
        (planned.or(self.fault_for_all), self.delay)
    }
}

impl Store for MemoryStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        Box::pin(self.run(CallKind::Read, move |state| Ok(state.range(&req.range))))
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        let kind = if req.is_write() {
            CallKind::Write
        } else {
            CallKind::Read
        };
        Box::pin(self.run(kind, move |state| state.transact(&req)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.run(CallKind::Write, move |state| {
            let grant = state.grant(ttl);
            self.spawn_expiry(grant.id, grant.ttl);
            Ok(grant)
        }))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        Box::pin(self.run(CallKind::Write, move |state| state.keep_alive(lease)))
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        Box::pin(self.run(CallKind::Write, move |state| state.revoke(lease)))
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        Box::pin(async move {
            let rx = self
                .run(CallKind::Watch, move |state| Ok(state.watch(req)))
                .await?;
            Ok(UnboundedReceiverStream::new(rx).boxed())
        })
    }
}
