//! The side that callers reach: finds the owner of a call's shard and asks until there is an
//! answer.

use std::time::Duration;

use tokio::time::Instant;

use super::{AskError, CallService, no_owner};
use crate::core::id::NodeId;
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::core::verdict::Verdict;

/// Pause before the owner is asked again.
pub(super) const OWNER_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before the owner is asked again.
const MAX_OWNER_PAUSE: Duration = Duration::from_secs(1);

/// What to do after one answer.
enum AfterAsk {
    /// The answer is final.
    Done(CallReply),
    /// Another node may own the shard.
    Ask(NodeId),
    /// The same key is asked again.
    Again(CallRefusal),
}

impl CallService {
    /// Runs a call that may not be repeated, on the node that owns its shard. A lost answer is
    /// asked for again with the same key, which the ledger answers without a second run, until the
    /// call's time is over.
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

    /// Asks the owner, and once the node that it names instead. Returns what to tell if that was
    /// the last time.
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

/// Returns whether the next answer may be another one within a caller's time.
fn is_passing(cause: RefusalCause) -> bool {
    matches!(cause, RefusalCause::InProgress | RefusalCause::NoOwner)
}

/// An earlier ask that got no answer keeps its verdict: only the ledger can settle it.
fn refused(refusal: CallRefusal, verdict: Verdict) -> CallReply {
    CallReply::Refused(CallRefusal { verdict, ..refusal })
}
