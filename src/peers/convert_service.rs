//! Conversions of service calls between the domain types and the wire.

use std::time::Duration;

use jayhall_wire as wire;

use super::convert_request::MalformedMessage;
use crate::core::ledger::Outcome;
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::core::verdict::Verdict;
use crate::util::time::as_millis_u32;

/// Cause on the wire for an answer whose body was not stored.
const CAUSE_BODY_NOT_KEPT: &str = "body_not_kept";

impl From<ServiceCall> for wire::ServiceCallRequest {
    fn from(call: ServiceCall) -> Self {
        Self {
            customer: call.customer.into(),
            service: call.service.into(),
            key: call.key.to_string(),
            body: call.body.into(),
            content_type: call.content_type.into(),
            id: call.id.into(),
            deadline_ms: as_millis_u32(call.timeout),
        }
    }
}

impl TryFrom<wire::ServiceCallRequest> for ServiceCall {
    type Error = MalformedMessage;

    fn try_from(req: wire::ServiceCallRequest) -> Result<Self, MalformedMessage> {
        let key = req.key.parse();
        Ok(Self {
            id: req.id.into(),
            customer: req.customer.into(),
            service: req.service.into(),
            key: key.map_err(|_| MalformedMessage { field: "key" })?,
            content_type: req.content_type.into(),
            body: req.body.into(),
            timeout: Duration::from_millis(req.deadline_ms.into()),
        })
    }
}

impl From<CallReply> for wire::ServiceCallReply {
    fn from(reply: CallReply) -> Self {
        match reply {
            CallReply::Owner(owner) => Self {
                owner: owner.into(),
                verdict: Verdict::NotRun.as_str().into(),
                ..Self::default()
            },
            CallReply::Refused(refusal) => Self {
                verdict: refusal.verdict.as_str().into(),
                cause: refusal.cause.as_str().into(),
                retry_after_ms: refusal.retry_after.map_or(0, as_millis_u32),
                ..Self::default()
            },
            CallReply::Answered { outcome, is_replay } => answered(outcome, is_replay),
        }
    }
}

fn answered(outcome: Outcome, is_replay: bool) -> wire::ServiceCallReply {
    let cause = match outcome.body {
        Some(_) => "",
        None => CAUSE_BODY_NOT_KEPT,
    };
    wire::ServiceCallReply {
        status: outcome.status.into(),
        body: outcome.body.unwrap_or_default().into(),
        content_type: outcome.content_type.into(),
        verdict: Verdict::Ran.as_str().into(),
        cause: cause.into(),
        is_replay,
        ..wire::ServiceCallReply::default()
    }
}

/// A malformed reply is converted to a refusal of a call that may have run.
impl From<wire::ServiceCallReply> for CallReply {
    fn from(reply: wire::ServiceCallReply) -> Self {
        if !reply.owner.is_empty() {
            return Self::Owner(reply.owner.into());
        }
        match (&*reply.verdict, u16::try_from(reply.status)) {
            ("ran", Ok(status)) => Self::Answered {
                is_replay: reply.is_replay,
                outcome: Outcome {
                    status,
                    content_type: reply.content_type.into(),
                    body: (reply.cause != CAUSE_BODY_NOT_KEPT).then(|| reply.body.into()),
                },
            },
            (verdict, _) => Self::Refused(CallRefusal {
                verdict: match verdict {
                    "not_run" => Verdict::NotRun,
                    _ => Verdict::MayHaveRun,
                },
                cause: RefusalCause::from_name(&reply.cause),
                retry_after: (reply.retry_after_ms > 0)
                    .then(|| Duration::from_millis(reply.retry_after_ms.into())),
            }),
        }
    }
}
