//! Runs non-idempotent calls at most once, recorded in the ledger.
//!
//! One task per shard owns a [`Shard`](crate::core::ledger::Shard) and batches its writes: at most one
//! write and one read per [`COMMIT_INTERVAL`], so that the store's load is bounded by the number of
//! shards and does not grow with calls or nodes.

mod persist;
mod refusal;
mod task;
mod waiters;

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::core::id::NodeId;
use crate::core::ledger::{SHARDS, Settlement};
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::core::time::UnixMillis;
use crate::core::verdict::Verdict;
use crate::node::Blackboard;
use crate::sources::store::Store;
use task::ShardTask;
use waiters::Waiter;

/// Minimum interval between two writes of a shard, and between two reads.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Capacity of a shard's queue of incoming calls.
const CALL_QUEUE_CAPACITY: usize = 1024;
/// Retry delay sent to callers when a shard's queue is full.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Function that returns the wall-clock time.
pub type Clock = Arc<dyn Fn() -> UnixMillis + Send + Sync>;

/// Dispatches calls whose intent is recorded in the ledger.
pub trait Dispatch: Send + Sync {
    /// Dispatches a call at most once, and not at all after `deadline`.
    fn dispatch(&self, call: Arc<ServiceCall>, deadline: Instant)
    -> BoxFuture<'static, Settlement>;
}

/// Dependencies of the ledger.
#[derive(Clone)]
pub struct LedgerContext {
    /// Shared state of the node.
    pub board: Arc<Blackboard>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Dispatches calls.
    pub dispatch: Arc<dyn Dispatch>,
    /// Wall clock.
    pub clock: Clock,
}

struct IncomingCall {
    call: Arc<ServiceCall>,
    waiter: Waiter,
}

/// Handle to the tasks of all shards. The tasks end without further writes when it is dropped.
pub struct Ledger {
    shards: Vec<mpsc::Sender<IncomingCall>>,
    unsettled: Arc<AtomicUsize>,
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger").finish_non_exhaustive()
    }
}

impl Ledger {
    /// Starts the tasks. Each start writes under a new unique name, so that intents of an earlier
    /// process on this node are not mistaken for this one's.
    pub fn spawn(cx: &LedgerContext) -> Self {
        let unsettled = Arc::new(AtomicUsize::new(0));
        let start_id = uuid::Uuid::new_v4().simple().to_string();
        let writer: NodeId = format!("{}/{}", cx.board.identity.node, &start_id[..16]).into();
        let spawn = |index| {
            let (tx, rx) = mpsc::channel(CALL_QUEUE_CAPACITY);
            let task = ShardTask::new(index, writer.clone(), cx.clone(), rx, unsettled.clone());
            tokio::spawn(task.run());
            tx
        };
        Self {
            shards: (0..SHARDS).map(spawn).collect(),
            unsettled,
        }
    }

    /// Runs a call unless a call with its key has run before. Replies within the call's timeout.
    pub async fn run(&self, call: ServiceCall) -> CallReply {
        let shard = usize::from(call.entry_key().shard());
        let (tx, rx) = oneshot::channel();
        let incoming = IncomingCall {
            waiter: Waiter::new(Instant::now() + call.timeout, tx),
            call: Arc::new(call),
        };
        if self.shards[shard].try_send(incoming).is_err() {
            return CallReply::Refused(CallRefusal::not_run(
                RefusalCause::Busy,
                Some(BUSY_RETRY_DELAY),
            ));
        }
        rx.await.unwrap_or({
            CallReply::Refused(CallRefusal {
                verdict: Verdict::MayHaveRun,
                cause: RefusalCause::InProgress,
                retry_after: Some(BUSY_RETRY_DELAY),
            })
        })
    }

    /// Returns the number of calls dispatched by this process whose outcome is not yet in the store. A
    /// process that shuts down waits until there are none.
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::Relaxed)
    }
}
