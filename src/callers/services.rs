//! Endpoints for calls of services other than models.

use std::time::Duration;

use bytes::Bytes;
use salvo::http::header::{self, HeaderValue};
use salvo::prelude::*;
use serde::Serialize;
use uuid::Uuid;

use super::answer::set_request_id;
use super::problem::Problem;
use super::{CallerContext, read_body};
use crate::core::document::ServiceRule;
use crate::core::explain::Decision;
use crate::core::id::RequestId;
use crate::core::ledger::{IdempotencyKey, Outcome};
use crate::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use crate::node::Phase;
use crate::ops::call_service::IdempotentCall;
use crate::sources::service::BackendRequest;
use crate::util::time::{as_millis_u32, unix_now};

/// Request header with the key that deduplicates a call, so that it runs at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header that marks a replayed outcome.
const IDEMPOTENT_REPLAYED_HEADER: &str = "idempotent-replayed";
/// Delay after which a caller should try another node, when this node accepts no calls.
const RETRY_ANOTHER_NODE_AFTER: Duration = Duration::from_millis(100);

/// Issues idempotency keys.
#[derive(Clone, Debug)]
pub(super) struct IssueKey(pub(super) CallerContext);

#[derive(Debug, Serialize)]
struct KeyBody {
    key: Box<str>,
}

#[handler]
impl IssueKey {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(problem) = self.0.customer(req) {
            problem.write(res);
            return;
        }
        let key = IdempotencyKey::issue(unix_now(), &rand::random());
        res.render(Json(KeyBody {
            key: key.to_string().into(),
        }));
    }
}

/// Handles calls of a service.
#[derive(Clone, Debug)]
pub(super) struct Call(pub(super) CallerContext);

#[handler]
impl Call {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(problem) = self.call(req, res).await {
            problem.write(res);
        }
    }
}

impl Call {
    async fn call(&self, req: &mut Request, res: &mut Response) -> Result<(), Problem> {
        let cx = &self.0;
        let customer = cx.customer(req)?;
        let rule = self.service(req)?;
        self.check_phase()?;
        let parsed = ParsedCall::read(&rule, req).await?;
        let id: RequestId = Uuid::now_v7().to_string().into();
        set_request_id(res, &id);
        let accepted = Decision::CallAccepted {
            node: cx.cx.board.identity.node.clone(),
            customer: customer.name.clone(),
            service: rule.name.clone(),
        };
        cx.records.begin(&id, &customer.name, accepted);
        let reply = match parsed {
            ParsedCall::AtMostOnce(key, content_type, body) => {
                let call = ServiceCall {
                    id: id.clone(),
                    customer: customer.name,
                    service: rule.name,
                    key,
                    content_type,
                    body,
                    timeout: rule.timeout,
                };
                let shard = call.entry_key().shard();
                cx.records.note(&id, Decision::CallRecorded { shard });
                cx.calls.call_once(call).await
            }
            ParsedCall::Repeatable(ask) => {
                let call = IdempotentCall {
                    service: rule.name,
                    ask,
                    timeout: rule.timeout,
                };
                cx.calls.call_idempotent(call).await
            }
        };
        self.answer(res, &id, reply)
    }

    fn service(&self, req: &Request) -> Result<ServiceRule, Problem> {
        let name = req.param::<String>("service").unwrap_or_default();
        let config = self.0.cx.board.config.read();
        config.document.service(&name).cloned().ok_or_else(|| {
            Problem::not_run(
                StatusCode::NOT_FOUND,
                "Unknown name",
                format!("there is no service {name:?}"),
            )
        })
    }

    fn check_phase(&self) -> Result<(), Problem> {
        if *self.0.cx.board.phase.read() == Phase::Serving {
            return Ok(());
        }
        Err(Problem::node_unavailable(
            "this node takes no new calls; ask the directory for another",
            RETRY_ANOTHER_NODE_AFTER,
        ))
    }

    fn answer(&self, res: &mut Response, id: &str, reply: CallReply) -> Result<(), Problem> {
        match reply {
            CallReply::Answered { outcome, is_replay } => {
                let status = outcome.status;
                let ended = Decision::CallEnded { status, is_replay };
                self.0.records.note(id, ended);
                write_outcome(res, &outcome, is_replay);
                Ok(())
            }
            CallReply::Refused(refusal) => {
                let retry_after = refusal.retry_after.unwrap_or_default();
                self.0.records.note(
                    id,
                    Decision::Refused {
                        cause: cause_clause(refusal.cause),
                        verdict: refusal.verdict,
                        retry_after_ms: as_millis_u32(retry_after),
                    },
                );
                Err(refusal_problem(&refusal).for_request(id))
            }
            CallReply::Owner(_) => Err(refusal_problem(&CallRefusal::not_run(
                RefusalCause::NoOwner,
                Some(RETRY_ANOTHER_NODE_AFTER),
            ))),
        }
    }
}

/// A parsed call of a service.
enum ParsedCall {
    /// A call that must run at most once: idempotency key, content type and body.
    AtMostOnce(IdempotencyKey, Box<str>, Bytes),
    /// An idempotent call, which may be sent more than once.
    Repeatable(BackendRequest),
}

impl ParsedCall {
    async fn read(rule: &ServiceRule, req: &mut Request) -> Result<Self, Problem> {
        if req.method() == salvo::http::Method::GET {
            return Self::lookup(rule, req);
        }
        let key = if rule.is_idempotent {
            IdempotencyKey::issue(unix_now(), &rand::random())
        } else {
            required_key(req)?
        };
        let content_type = header_text(req, header::CONTENT_TYPE.as_str());
        let body = Bytes::from(read_body(req).await?);
        Ok(if rule.is_idempotent {
            Self::Repeatable(BackendRequest::Call {
                key,
                content_type,
                body,
            })
        } else {
            Self::AtMostOnce(key, content_type, body)
        })
    }

    fn lookup(rule: &ServiceRule, req: &Request) -> Result<Self, Problem> {
        if !rule.is_idempotent {
            return Err(Problem::not_run(
                StatusCode::METHOD_NOT_ALLOWED,
                "Not a lookup",
                "calls of this service run at most once; send POST with an `Idempotency-Key`",
            ));
        }
        let query = req.uri().query().unwrap_or_default().into();
        Ok(Self::Repeatable(BackendRequest::Lookup { query }))
    }
}

fn required_key(req: &Request) -> Result<IdempotencyKey, Problem> {
    let invalid =
        |detail| Problem::not_run(StatusCode::BAD_REQUEST, "Idempotency key needed", detail);
    let key = header_text(req, IDEMPOTENCY_KEY_HEADER);
    if key.is_empty() {
        return Err(invalid(
            "calls of this service run at most once and need an `Idempotency-Key` header; get a key \
             from POST /v1/idempotency-keys",
        ));
    }
    key.parse().map_err(|_| {
        invalid(
            "the `Idempotency-Key` must be a UUID of version 7; get one from POST \
             /v1/idempotency-keys",
        )
    })
}

fn header_text(req: &Request, name: &str) -> Box<str> {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .into()
}

fn write_outcome(res: &mut Response, outcome: &Outcome, is_replay: bool) {
    if let Ok(status) = StatusCode::from_u16(outcome.status) {
        res.status_code(status);
    }
    let headers = res.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&outcome.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if is_replay {
        headers.insert(IDEMPOTENT_REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    let _ = res.write_body(outcome.body.clone().unwrap_or_default());
}

fn refusal_problem(refusal: &CallRefusal) -> Problem {
    let (status, title) = match refusal.cause {
        RefusalCause::BodyDiffers => (StatusCode::UNPROCESSABLE_ENTITY, "Key used before"),
        RefusalCause::KeyAhead | RefusalCause::KeyExpired => {
            (StatusCode::BAD_REQUEST, "Key not valid now")
        }
        RefusalCause::InProgress => (StatusCode::CONFLICT, "Under way"),
        RefusalCause::UnknownService => (StatusCode::NOT_FOUND, "Unknown name"),
        RefusalCause::Busy | RefusalCause::LedgerFull => {
            (StatusCode::TOO_MANY_REQUESTS, "Limit reached")
        }
        _ => (StatusCode::SERVICE_UNAVAILABLE, "Not available now"),
    };
    let problem = Problem {
        verdict: refusal.verdict,
        ..Problem::not_run(status, title, refusal.cause.sentence())
    };
    match refusal.retry_after {
        Some(after) => problem.retry_after(after),
        None => problem,
    }
}

/// Returns the cause as a clause that can follow "because": lower case and without the full stop.
fn cause_clause(cause: RefusalCause) -> Box<str> {
    let sentence = cause.sentence().trim_end_matches('.');
    let mut chars = sentence.chars();
    match chars.next() {
        Some(first) => format!("{}{}", first.to_lowercase(), chars.as_str()).into(),
        None => "".into(),
    }
}
