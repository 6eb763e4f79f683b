//! Calls to plain services: the receiving node, which forwards a call, and the owner of its shard,
//! which runs it.

mod backends;
mod forward;
mod idempotent;
mod owner_client;
mod retry_budget;

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use tokio::time::Instant;

use crate::core::cells::shard_owner;
use crate::core::document::ServiceRule;
use crate::core::id::{NodeId, RegionId};
use crate::core::ledger::{EntryKey, Settlement};
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::node::Blackboard;
use crate::ops::ledger::{Clock, Dispatch, Ledger, LedgerContext};
use crate::sources::service::{BackendCall, BackendClient, BackendRequest};
use crate::sources::store::Store;
use backends::{Acquired, Backends};
pub use idempotent::IdempotentCall;
pub use owner_client::{ForwardError, OwnerClient, PeerOwnerClient};
use retry_budget::RetryBudget;

/// Limit of back ends that one call is sent to. Only the last of them may have received it.
const MAX_BACKENDS_TRIED: usize = 4;

/// Dependencies of [`CallService`].
#[derive(Clone)]
pub struct CallServiceContext {
    /// State shared by the controllers and operations of the node.
    pub board: Arc<Blackboard>,
    /// Store of the platform.
    pub store: Arc<dyn Store>,
    /// Client of other nodes.
    pub owners: Arc<dyn OwnerClient>,
    /// Client of back ends.
    pub backends: Arc<dyn BackendClient>,
    /// Region of the store, whose nodes own the shards while any of them works; `None` for all
    /// regions.
    pub store_region: Option<RegionId>,
    /// Wall clock.
    pub clock: Clock,
}

/// Calls to plain services.
pub struct CallService {
    board: Arc<Blackboard>,
    owners: Arc<dyn OwnerClient>,
    store_region: Option<RegionId>,
    sender: Arc<Sender>,
    ledger: Ledger,
    retries: RetryBudget,
}

impl fmt::Debug for CallService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallService").finish_non_exhaustive()
    }
}

impl CallService {
    /// Starts the tasks of the ledger.
    pub fn spawn(cx: CallServiceContext) -> Self {
        let sender = Arc::new(Sender {
            backends: Backends::new(cx.board.clone()),
            board: cx.board.clone(),
            client: cx.backends,
        });
        let ledger = Ledger::spawn(&LedgerContext {
            board: cx.board.clone(),
            store: cx.store,
            dispatch: Arc::new(sender.clone()),
            clock: cx.clock,
        });
        Self {
            board: cx.board,
            owners: cx.owners,
            store_region: cx.store_region,
            sender,
            ledger,
            retries: RetryBudget::default(),
        }
    }

    /// Handles a call, possibly forwarded by another node: runs it, or names the owner of its
    /// shard.
    pub async fn handle(&self, call: ServiceCall) -> CallReply {
        match self.owner_of(&call.entry_key()) {
            Some(owner) if owner == self.board.identity.node => self.run_local(call).await,
            Some(owner) => CallReply::Owner(owner),
            None => no_owner(),
        }
    }

    /// Returns the number of calls that this process has sent and whose outcome is not in the store
    /// yet. A process that leaves waits until there are none.
    pub fn unsettled(&self) -> usize {
        self.ledger.unsettled()
    }

    /// Returns the node that owns the shard of a call in this node's view of the membership.
    pub fn owner_of(&self, key: &EntryKey) -> Option<NodeId> {
        let members = self.board.members.read();
        let shard = u32::from(key.shard());
        shard_owner(shard, self.store_region.as_deref(), &members)
    }

    async fn run_local(&self, call: ServiceCall) -> CallReply {
        let config = self.board.config.read();
        if config.document.service(&call.service).is_none() {
            let refusal = CallRefusal::not_run(RefusalCause::UnknownService, None);
            return CallReply::Refused(refusal);
        }
        self.ledger.run(call).await
    }
}

fn no_owner() -> CallReply {
    CallReply::Refused(CallRefusal::not_run(
        RefusalCause::NoOwner,
        Some(forward::INITIAL_FORWARD_BACKOFF),
    ))
}

/// Sends calls to back ends with free slots.
struct Sender {
    board: Arc<Blackboard>,
    backends: Backends,
    client: Arc<dyn BackendClient>,
}

impl Sender {
    fn rule(&self, service: &str) -> Option<ServiceRule> {
        self.board.config.read().document.service(service).cloned()
    }

    /// Tries back ends in turn until one of them may have received the call.
    async fn send_to_one_backend(
        &self,
        rule: &ServiceRule,
        ask: BackendRequest,
        until: Instant,
    ) -> Settlement {
        let mut tried = Vec::new();
        while tried.len() < MAX_BACKENDS_TRIED {
            let slot = match self.backends.acquire(rule, &tried, until).await {
                Acquired::Slot(slot) => slot,
                Acquired::Unavailable => return Settlement::NotRun,
            };
            // The process may have been paused past the deadline.
            if Instant::now() >= until {
                return Settlement::NotRun;
            }
            let call = BackendCall {
                address: slot.address,
                ask: ask.clone(),
                timeout: rule.timeout,
            };
            match self.client.call(call).await {
                Settlement::NotRun => tried.push(slot.vm.clone()),
                settlement => return settlement,
            }
        }
        Settlement::NotRun
    }
}

impl Sender {
    async fn send_call(self: Arc<Self>, call: Arc<ServiceCall>, until: Instant) -> Settlement {
        let Some(rule) = self.rule(&call.service) else {
            return Settlement::NotRun;
        };
        let ask = BackendRequest::Call {
            key: call.key,
            content_type: call.content_type.clone(),
            body: call.body.clone(),
        };
        self.send_to_one_backend(&rule, ask, until).await
    }
}

/// Dispatches calls for the ledger.
impl Dispatch for Arc<Sender> {
    fn dispatch(
        &self,
        call: Arc<ServiceCall>,
        deadline: Instant,
    ) -> BoxFuture<'static, Settlement> {
        Box::pin(self.clone().send_call(call, deadline))
    }
}
