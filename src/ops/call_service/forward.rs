//! Receiving node: forwards a call to the owner of its shard and retries until there is an answer
//! or the call times out.

use std::time::Duration;

use tokio::time::Instant;

use super::{CallService, ForwardError, no_owner};
use crate::core::id::NodeId;
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::core::verdict::Verdict;

/// Initial backoff between calls to the owner.
pub(super) const INITIAL_FORWARD_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff between calls to the owner.
const MAX_FORWARD_BACKOFF: Duration = Duration::from_secs(1);

/// Next step after a reply.
enum NextStep {
    /// The reply is final.
    Done(CallReply),
    /// The reply names another node as owner of the shard.
    TryOwner(NodeId),
    /// The call has to be retried with the same key.
    Retry(CallRefusal),
}

impl CallService {
    /// Runs a non-idempotent call on the node that owns its shard. After a lost answer the call is
    /// retried with the same key until it times out; the ledger deduplicates by key, so that the
    /// call does not run twice.
    pub async fn call_once(&self, call: ServiceCall) -> CallReply {
        let began = Instant::now();
        let reply = self.forward_until_answered(&call).await;
        metrics::histogram!(
            "jayhall_service_call_seconds",
            "customer" => call.customer.to_string(),
            "service" => call.service.to_string()
        )
        .record(began.elapsed());
        reply
    }

    async fn forward_until_answered(&self, call: &ServiceCall) -> CallReply {
        let deadline = Instant::now() + call.timeout;
        let mut backoff = INITIAL_FORWARD_BACKOFF;
        let mut verdict = Verdict::NotRun;
        loop {
            let last = match self.forward_round(call, deadline, verdict).await {
                Ok(reply) => return reply,
                Err(last) => last,
            };
            verdict = verdict.and(last.verdict);
            if Instant::now() + backoff >= deadline {
                return refused(last, verdict);
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_FORWARD_BACKOFF);
        }
    }

    /// Sends a call to the owner and, if that names another owner, once to the latter. Returns the
    /// refusal to report if there is no time for another round.
    async fn forward_round(
        &self,
        call: &ServiceCall,
        deadline: Instant,
        verdict: Verdict,
    ) -> Result<CallReply, CallRefusal> {
        let unavailable =
            CallRefusal::not_run(RefusalCause::NoOwner, Some(INITIAL_FORWARD_BACKOFF));
        let Some(owner) = self.owner_of(&call.entry_key()) else {
            return Err(unavailable);
        };
        let first = self.forward(&owner, call, deadline).await;
        let second = match next_step(first, verdict) {
            NextStep::Done(reply) => return Ok(reply),
            NextStep::Retry(refusal) => return Err(refusal),
            NextStep::TryOwner(owner) => self.forward(&owner, call, deadline).await,
        };
        match next_step(second, verdict) {
            NextStep::Done(reply) => Ok(reply),
            NextStep::Retry(refusal) => Err(refusal),
            NextStep::TryOwner(_) => Err(unavailable),
        }
    }

    async fn forward(
        &self,
        node: &NodeId,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Result<CallReply, ForwardError> {
        let call = ServiceCall {
            timeout: deadline.saturating_duration_since(Instant::now()),
            ..call.clone()
        };
        if *node == self.board.identity.node {
            return Ok(self.handle(call).await);
        }
        let members = self.board.members.read();
        match members.get(node) {
            Some(member) => self.owners.call(member.peer_address, call).await,
            None => Ok(no_owner()),
        }
    }
}

fn next_step(reply: Result<CallReply, ForwardError>, verdict: Verdict) -> NextStep {
    match reply {
        Ok(CallReply::Owner(owner)) => NextStep::TryOwner(owner),
        Ok(CallReply::Refused(refusal)) if is_transient(refusal.cause) => NextStep::Retry(refusal),
        Ok(CallReply::Refused(refusal)) => {
            let verdict = verdict.and(refusal.verdict);
            NextStep::Done(refused(refusal, verdict))
        }
        Ok(reply) => NextStep::Done(reply),
        Err(e) => NextStep::Retry(CallRefusal {
            verdict: e.verdict(),
            cause: RefusalCause::NoOwner,
            retry_after: Some(MAX_FORWARD_BACKOFF),
        }),
    }
}

/// Returns whether a refusal is transient, so that a retry within the caller's timeout can succeed.
fn is_transient(cause: RefusalCause) -> bool {
    matches!(cause, RefusalCause::InProgress | RefusalCause::NoOwner)
}

/// Builds a refusal with the combined verdict of all rounds: a round whose answer was lost may have
/// run the call, which only the ledger can settle.
fn refused(refusal: CallRefusal, verdict: Verdict) -> CallReply {
    CallReply::Refused(CallRefusal { verdict, ..refusal })
}
