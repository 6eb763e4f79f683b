//! Idempotent calls: sent to back ends directly by the receiving node and retried after failures.

use std::time::Duration;

use tokio::time::Instant;

use super::CallService;
use super::backends::Acquired;
use crate::core::document::ServiceRule;
use crate::core::id::{ServiceName, VmId};
use crate::core::ledger::Settlement;
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause};
use crate::core::verdict::Verdict;
use crate::sources::service::{BackendCall, BackendRequest};

/// Retry delay sent to callers when no back end answered.
const NO_BACKEND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotentCall {
    /// Service to call.
    pub service: ServiceName,
    /// Request to the service.
    pub ask: BackendRequest,
    /// Remaining time of the caller's timeout.
    pub timeout: Duration,
}

impl CallService {
    /// Runs an idempotent call. After a failure the call is retried on another back end while the
    /// retry budget allows; it is never sent to two back ends at once.
    pub async fn call_idempotent(&self, call: IdempotentCall) -> CallReply {
        let config = self.board.config.read();
        let Some(rule) = config.document.service(&call.service) else {
            let refusal = CallRefusal::not_run(RefusalCause::UnknownService, None);
            return CallReply::Refused(refusal);
        };
        if !rule.is_idempotent {
            let refusal = CallRefusal::not_run(RefusalCause::Unknown, None);
            return CallReply::Refused(refusal);
        }
        self.retries
            .record_first_attempt(config.document.rules.retry_percent);
        self.try_backends(rule, &call).await
    }

    async fn try_backends(&self, rule: &ServiceRule, call: &IdempotentCall) -> CallReply {
        let until = Instant::now() + call.timeout;
        let mut tried: Vec<VmId> = Vec::new();
        let mut verdict = Verdict::NotRun;
        loop {
            let acquired = self.sender.backends.acquire(rule, &tried, until).await;
            let Acquired::Slot(slot) = acquired else {
                return no_backend(verdict);
            };
            let backend_call = BackendCall {
                address: slot.address,
                ask: call.ask.clone(),
                timeout: rule
                    .timeout
                    .min(until.saturating_duration_since(Instant::now())),
            };
            match self.sender.client.call(backend_call).await {
                Settlement::Answered(outcome) => {
                    return CallReply::Answered {
                        outcome,
                        is_replay: false,
                    };
                }
                Settlement::NotRun => {}
                Settlement::MayHaveRun => verdict = Verdict::MayHaveRun,
            }
            tried.push(slot.vm.clone());
            if Instant::now() >= until || !self.retries.take_retry() {
                return no_backend(verdict);
            }
        }
    }
}

fn no_backend(verdict: Verdict) -> CallReply {
    CallReply::Refused(CallRefusal {
        verdict,
        cause: RefusalCause::NoBackend,
        retry_after: Some(NO_BACKEND_RETRY_DELAY),
    })
}
