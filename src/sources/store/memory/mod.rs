//! A small fake of the store for tests, with faults by request.
//!
//! Leases end on tokio's clock, so that tests can pause it.

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
    LeaseGrant, LeaseId, RangeReply, RangeRequest, Transaction, TransactionReply, WatchRequest,
};
use super::{Store, WatchStream};
use state::State;

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection is made.
    NotReached,
    /// The call leaves and neither takes effect nor is answered.
    Lost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call is refused for the rate limit.
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

/// How many calls of each kind were made, failed ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Ranges and transactions that only read.
    pub reads: u64,
    /// Transactions that could write, and all calls about leases.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Plan {
    standing: Option<Fault>,
    /// `None` for a write that goes well.
    next_writes: VecDeque<Option<Fault>>,
    delay: Duration,
    counts: CallCounts,
}

/// The fake store. Clones share their data and faults.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    plan: Arc<Mutex<Plan>>,
}

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

    /// Lets all calls fail with a fault from now on; `None` ends that.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.plan.lock().standing = fault;
        if fault.is_some() {
            self.state.lock().break_watches();
        }
    }

    /// Lets the next write fail with a fault, behind the faults that are already waiting.
    pub fn fail_next_write(&self, fault: Fault) {
        self.plan.lock().next_writes.push_back(Some(fault));
    }

    /// Lets the next write go well, behind the faults that are already waiting.
    pub fn pass_next_write(&self) {
        self.plan.lock().next_writes.push_back(None);
    }

    /// Lets each call take this long.
    pub fn set_delay(&self, delay: Duration) {
        self.plan.lock().delay = delay;
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.plan.lock().counts
    }

    /// Ends all watches with an error, as a broken connection does.
    pub fn break_watches(&self) {
        self.state.lock().break_watches();
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

    /// Ends the lease at its deadline, so that watchers learn of it without a call being made.
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

impl Plan {
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
        (planned.or(self.standing), self.delay)
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
