//! Receiving node: forwards a call to the owner of its shard and retries until there is an answer
//! or the call times out.

use std::time::Duration;

use tokio::time::Instant;

use super::{AskError, CallService, no_owner};
use crate::core::id::NodeId;
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::core::verdict::Verdict;

/// Initial backoff between calls to the owner.
pub(super) const OWNER_PAUSE: Duration = Duration::from_millis(100);
/// Maximum backoff between calls to the owner.
const MAX_OWNER_PAUSE: Duration = Duration::from_secs(1);

/// Next step after a reply.
enum AfterAsk {
    /// The reply is final.
    Done(CallReply),
    /// The reply names another node as owner of the shard.
    Ask(NodeId),
    /// The call has to be retried with the same key.
    Again(CallRefusal),
}

impl CallService {
    /// Runs a call that is not idempotent on the node that owns its shard. After a lost answer the
    /// call is retried with the same key until it times out; the ledger deduplicates by key, so
    /// that the call does not run twice.
    pub async fn call_once(&self, call: ServiceCall) -> CallReply {
        let began = Instant::now();
        let reply = self.ask_until_answered(&call).await;
        metrics::histogram!(
            "jayhall_service_call_seconds",
            "customer" => call.customer.to_string(),
            "service" => call.service.to_string()
        )
        .record(began.elapsed());
        reply
    }

    async fn ask_until_answered(&self, call: &ServiceCall) -> CallReply {
        let deadline = Instant::now() + call.timeout;
        let mut pause = OWNER_PAUSE;
        let mut verdict = Verdict::NotRun;
        loop {
            let last = match self.ask_round(call, deadline, verdict).await {
                Ok(reply) => return reply,
                Err(last) => last,
            };
            verdict = verdict.and(last.verdict);
            if Instant::now() + pause >= deadline {
                return refused(last, verdict);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_OWNER_PAUSE);
        }
    }

    /// Sends a call to the owner and, if that names another owner, once to the latter. Returns the
    /// refusal to report if there is no time for another round.
    async fn ask_round(
        &self,
        call: &ServiceCall,
        deadline: Instant,
        verdict: Verdict,
    ) -> Result<CallReply, CallRefusal> {
        let nobody = CallRefusal::not_run(RefusalCause::NoOwner, Some(OWNER_PAUSE));
        let Some(owner) = self.owner_of(&call.entry_key()) else {
            return Err(nobody);
        };
        let first = self.ask(&owner, call, deadline).await;
        let second = match after(first, verdict) {
            AfterAsk::Done(reply) => return Ok(reply),
            AfterAsk::Again(refusal) => return Err(refusal),
            AfterAsk::Ask(owner) => self.ask(&owner, call, deadline).await,
        };
        match after(second, verdict) {
            AfterAsk::Done(reply) => Ok(reply),
            AfterAsk::Again(refusal) => Err(refusal),
            AfterAsk::Ask(_) => Err(nobody),
        }
    }

    async fn ask(
        &self,
        node: &NodeId,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Result<CallReply, AskError> {
        let call = ServiceCall {
            timeout: deadline.saturating_duration_since(Instant::now()),
            ..call.clone()
        };
        if *node == self.board.identity.node {
            return Ok(self.handle(call).await);
        }
        let members = self.board.members.read();
        match members.get(node) {
            Some(member) => self.owners.ask(member.peer_address, call).await,
            None => Ok(no_owner()),
        }
    }
}

fn after(reply: Result<CallReply, AskError>, verdict: Verdict) -> AfterAsk {
    match reply {
        Ok(CallReply::Owner(owner)) => AfterAsk::Ask(owner),
        Ok(CallReply::Refused(refusal)) if is_passing(refusal.cause) => AfterAsk::Again(refusal),
        Ok(CallReply::Refused(refusal)) => {
            let verdict = verdict.and(refusal.verdict);
            AfterAsk::Done(refused(refusal, verdict))
        }
        Ok(reply) => AfterAsk::Done(reply),
        Err(e) => AfterAsk::Again(CallRefusal {
            verdict: e.verdict(),
            cause: RefusalCause::NoOwner,
            retry_after: Some(MAX_OWNER_PAUSE),
        }),
    }
}

/// Returns whether a refusal is transient, so that a retry within the caller's timeout can succeed.
fn is_passing(cause: RefusalCause) -> bool {
    matches!(cause, RefusalCause::InProgress | RefusalCause::NoOwner)
}

/// Builds a refusal with the combined verdict of all rounds: a round whose answer was lost may have
/// run the call, which only the ledger can settle.
fn refused(refusal: CallRefusal, verdict: Verdict) -> CallReply {
    CallReply::Refused(CallRefusal { verdict, ..refusal })
}
