//! Admission of requests to models: validates a request, copies it to a replica and starts it.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::core::admission;
use crate::core::document::{CustomerRule, Document};
use crate::core::explain::{Decision, Record};
use crate::core::request::{AcceptedRequest, ChatMessage, estimate_prompt_tokens};
use crate::core::verdict::Verdict;
use crate::node::{NodeContext, Phase};
use crate::ops::admit::AdmissionControl;
use crate::ops::replicate::Replicator;
use crate::ops::requests::{Entry, Requests, Snapshot};
use crate::ops::run_request::Runner;
use crate::util::time::unix_now;

/// Retry delay sent to callers by a node that is starting or leaving; another node can accept the
/// request.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay sent to callers by a node that has reached its limit of requests.
const FULL_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Request as sent by a caller.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Requested model.
    pub model: Box<str>,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Limit of answer tokens; defaults to the limit of the model.
    pub max_tokens: Option<u32>,
    /// Requested rank; defaults to the customer's first rank.
    pub rank: Option<Box<str>>,
}

/// Class of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request is not valid; a repeat without changes is refused as well.
    Invalid,
    /// The model, service or rank does not exist.
    Unknown,
    /// A limit of the customer is reached.
    OverLimit,
    /// The deadline cannot be met.
    TooLate,
    /// This node accepts no requests at present.
    Unavailable,
}

/// Refusal of a request, which was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Class of the refusal.
    pub kind: RefusalKind,
    /// Explanation sent to the caller.
    pub cause: Box<str>,
    /// Delay after which a retry can succeed; `None` where it cannot.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that is not valid.
    pub fn invalid(cause: impl Into<Box<str>>) -> Self {
        Self {
            kind: RefusalKind::Invalid,
            cause: cause.into(),
            retry_after: None,
        }
    }

    fn unknown(cause: impl Into<Box<str>>) -> Self {
        Self {
            kind: RefusalKind::Unknown,
            cause: cause.into(),
            retry_after: None,
        }
    }

    fn unavailable(cause: impl Into<Box<str>>, retry_after: Duration) -> Self {
        Self {
            kind: RefusalKind::Unavailable,
            cause: cause.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Returns whether the request may have run, which is never the case for a refused one.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

impl From<admission::Refusal> for Refusal {
    fn from(refusal: admission::Refusal) -> Self {
        let kind = match refusal.cause {
            admission::Cause::DeadlineUnreachable { .. } => RefusalKind::TooLate,
            _ => RefusalKind::OverLimit,
        };
        Self {
            kind,
            cause: refusal.cause.to_string().into(),
            retry_after: Some(refusal.retry_after),
        }
    }
}

/// The module's result.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Operation that accepts requests and starts them.
#[derive(Clone, Debug)]
pub struct Accept {
    cx: NodeContext,
    requests: Arc<Requests>,
    replicator: Arc<Replicator>,
    runner: Arc<Runner>,
    admission_control: Arc<AdmissionControl>,
}

impl Accept {
    /// Creates the operation.
    pub fn new(
        cx: NodeContext,
        requests: Arc<Requests>,
        replicator: Arc<Replicator>,
        runner: Arc<Runner>,
        admission_control: Arc<AdmissionControl>,
    ) -> Self {
        Self {
            cx,
            requests,
            replicator,
            runner,
            admission_control,
        }
    }

    /// Returns the customer that owns an API key.
    pub fn customer_of(&self, key: &str) -> Option<CustomerRule> {
        let hash = Sha256::digest(key.as_bytes()).into();
        let config = self.cx.board.config.read();
        config.document.customer_by_key(&hash).cloned()
    }

    /// Accepts a request: copies it to a replica on another node before the call returns, if one
    /// answers in time, and starts it.
    ///
    /// # Errors
    ///
    /// Fails where the request is refused; it was not run then.
    pub async fn accept(&self, customer: &CustomerRule, call: ChatCall) -> Result<Arc<Entry>> {
        self.check_phase()?;
        let request = self.validate(customer, call)?;
        let charge = self.admission_control.admit(customer, &request)?;
        let entry = Arc::new(Entry::serving(Snapshot {
            request,
            term: 1,
            attempt: 0,
            tokens: Vec::new(),
            completion: None,
            engine: None,
        }));
        if !self.requests.insert(Arc::clone(&entry)) {
            self.admission_control.settle(&charge, 0);
            return Err(Refusal::unavailable("this node is full", FULL_RETRY_DELAY));
        }
        let first_candidate = self.replicator.first_candidate(&entry);
        let request = entry.request();
        // Recorded before the request is copied, so that the replica can explain the request as
        // well.
        entry.note(Decision::Accepted {
            node: self.cx.board.identity.node.clone(),
            customer: request.customer,
            rank: request.rank,
            model: request.model,
            prompt_tokens: request.prompt_tokens,
            replica: first_candidate.clone(),
        });
        let replica = self.replicator.find_replica(&entry).await;
        if replica != first_candidate {
            entry.note(Decision::ReplicaChanged {
                replica,
                cause: "the node chosen first did not answer in time".into(),
            });
        }
        self.admission_control
            .settle_at_end(charge, Arc::clone(&entry));
        self.runner.spawn(Arc::clone(&entry));
        Ok(entry)
    }

    fn check_phase(&self) -> Result<()> {
        match *self.cx.board.phase.read() {
            Phase::Serving => Ok(()),
            Phase::Starting => Err(Refusal::unavailable(
                "this node has no configuration yet",
                UNAVAILABLE_RETRY_DELAY,
            )),
            Phase::Leaving | Phase::Stopped => Err(Refusal::unavailable(
                "this node is leaving; ask the directory for another",
                UNAVAILABLE_RETRY_DELAY,
            )),
        }
    }

    fn validate(&self, customer: &CustomerRule, call: ChatCall) -> Result<AcceptedRequest> {
        let config = self.cx.board.config.read();
        let rank = requested_rank(&config.document, customer, call.rank.as_deref())?;
        let model = config.document.model(&call.model).ok_or_else(|| {
            Refusal::unknown(format!(
                "there is no model {:?}; GET /v1/models lists them",
                call.model
            ))
        })?;
        let prompt_tokens = estimate_prompt_tokens(&call.messages);
        if call.messages.is_empty() || prompt_tokens == 0 {
            return Err(Refusal::invalid("`messages` has no text"));
        }
        if prompt_tokens > model.max_prompt_tokens {
            return Err(Refusal::invalid(format!(
                "the prompt has about {prompt_tokens} tokens; the model takes {}",
                model.max_prompt_tokens
            )));
        }
        let max_tokens = call.max_tokens.unwrap_or(model.max_answer_tokens);
        if max_tokens == 0 || max_tokens > model.max_answer_tokens {
            return Err(Refusal::invalid(format!(
                "`max_tokens` must lie between 1 and {}",
                model.max_answer_tokens
            )));
        }
        Ok(AcceptedRequest {
            id: Uuid::now_v7().to_string().into(),
            customer: customer.name.clone(),
            rank,
            model: model.name.clone(),
            messages: call.messages,
            max_tokens,
            prompt_tokens,
            accepted_at: unix_now(),
            record: Record::default(),
        })
    }
}

fn requested_rank(
    doc: &Document,
    customer: &CustomerRule,
    asked: Option<&str>,
) -> Result<Box<str>> {
    let Some(asked) = asked else {
        return customer
            .ranks
            .first()
            .cloned()
            .ok_or_else(|| Refusal::invalid("the customer has no rank of work"));
    };
    if doc.rank(asked).is_none() {
        return Err(Refusal::unknown(format!("there is no rank {asked:?}")));
    }
    if !customer.ranks.iter().any(|rank| &**rank == asked) {
        return Err(Refusal::invalid(format!(
            "customer {} may not ask for rank {asked:?}",
            customer.name
        )));
    }
    Ok(asked.into())
}
