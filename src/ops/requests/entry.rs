//! A request on its serving node or on a replica.
//!
//! A token is shown to callers only once the replica has it, or while there is no replica. Each
//! node that takes over a request serves it in a higher term. A promoted copy rejects updates of
//! lower terms, so that two nodes never show different continuations of one answer; a node that
//! served in a lower term becomes a replica when it receives an update of a higher one.

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::types::{CopyError, CopyUpdate, Progress, Role, Snapshot};
use crate::core::answer::{Answer, AnswerState, ApplyResult, Failure};
use crate::core::dispatch::Attachment;
use crate::core::explain::{Decision, Record, RecordEntry};
use crate::core::id::{AttemptNumber, CustomerId, NodeId, RequestId, Term, TokenOffset};
use crate::core::request::{AcceptedRequest, Completion};
use crate::util::time::unix_now;

/// Increment of the term when a replica promotes its copy.
const PROMOTION_TERM_STEP: Term = 1;
/// Increment of the term on a hand-over. It is larger than that of a promotion, so that a hand-over
/// prevails over a copy that was promoted meanwhile.
pub(crate) const HAND_OVER_TERM_STEP: Term = 2;

/// A request on its serving node or on a replica.
#[derive(Debug)]
pub struct Entry {
    id: RequestId,
    customer: CustomerId,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    request: AcceptedRequest,
    answer: Answer,
    role: Role,
    term: Term,
    replica: Option<NodeId>,
    /// Whether the present replica has received the request.
    replica_has_copy: bool,
    /// Number of tokens that the present replica or an earlier one has acknowledged.
    acked_len: TokenOffset,
    engine: Option<Attachment>,
    ended_at: Option<Instant>,
}

impl Entry {
    /// Creates a request that this node serves and that has no replica yet.
    pub fn serving(snapshot: Snapshot) -> Self {
        Self::with_role(snapshot, Role::Serving)
    }

    /// Creates a copy of a request that another node serves.
    pub fn copy(snapshot: Snapshot, from: NodeId) -> Self {
        Self::with_role(snapshot, Role::Copy { from })
    }

    fn with_role(snapshot: Snapshot, role: Role) -> Self {
        let mut answer = Answer::resumed(snapshot.attempt, snapshot.tokens);
        if let Some(completion) = snapshot.completion {
            answer.apply_end(snapshot.attempt, answer.len(), completion);
        }
        let ended_at = (*answer.state() != AnswerState::Open).then(Instant::now);
        Self {
            id: snapshot.request.id.clone(),
            customer: snapshot.request.customer.clone(),
            state: Mutex::new(State {
                acked_len: answer.len(),
                request: snapshot.request,
                answer,
                role,
                term: snapshot.term,
                replica: None,
                replica_has_copy: false,
                engine: snapshot.engine,
                ended_at,
            }),
            changed: watch::Sender::new(()),
        }
    }

    /// Returns the request's id.
    pub fn id(&self) -> &RequestId {
        &self.id
    }

    /// Returns the customer who may read the answer.
    pub fn customer(&self) -> &CustomerId {
        &self.customer
    }

    /// Returns this node's role for the request.
    pub fn role(&self) -> Role {
        self.state.lock().role.clone()
    }

    /// Returns whether more tokens can follow.
    pub fn is_open(&self) -> bool {
        *self.state.lock().answer.state() == AnswerState::Open
    }

    /// Returns when the request ended on this node.
    pub fn ended_at(&self) -> Option<Instant> {
        self.state.lock().ended_at
    }

    /// Returns the node chosen as replica.
    pub fn replica(&self) -> Option<NodeId> {
        self.state.lock().replica.clone()
    }

    /// Returns whether the present replica has received the request.
    pub fn replica_has_copy(&self) -> bool {
        self.state.lock().replica_has_copy
    }

    /// Returns the request's record of decisions.
    pub fn record(&self) -> Record {
        self.state.lock().request.record.clone()
    }

    /// Returns a receiver that is notified of changes.
    pub fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Adds a decision to the record.
    pub fn note(&self, decision: Decision) {
        let at = unix_now();
        self.state
            .lock()
            .request
            .record
            .push(RecordEntry { at, decision });
    }

    /// Returns the number of tokens, including those that are not shown to callers yet.
    pub fn token_count(&self) -> TokenOffset {
        self.state.lock().answer.len()
    }

    /// Returns the state that another node needs to continue the request.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.state.lock();
        Snapshot {
            request: state.request.clone(),
            term: state.term,
            attempt: state.answer.attempt(),
            tokens: state.answer.tokens().to_vec(),
            completion: state.completion(),
            engine: state.engine.clone(),
        }
    }

    /// Returns the update for a replica that has the tokens before `offset`.
    pub fn update_since(&self, from: NodeId, offset: TokenOffset) -> CopyUpdate {
        let state = self.state.lock();
        CopyUpdate {
            from,
            term: state.term,
            attempt: state.answer.attempt(),
            offset,
            tokens: state.answer.tokens()[offset as usize..].to_vec(),
            completion: state.completion(),
            engine: state.engine.clone(),
        }
    }

    /// Returns the request with its record.
    pub fn request(&self) -> AcceptedRequest {
        self.state.lock().request.clone()
    }

    /// Returns the progress for a reader that has the tokens before `offset`.
    pub fn read(&self, offset: TokenOffset) -> Progress {
        let state = self.state.lock();
        let visible = state.visible_len() as usize;
        let from = offset as usize;
        if from < visible {
            return Progress::Tokens(state.answer.tokens()[from..visible].to_vec());
        }
        if let Role::HandedOver { to } | Role::Copy { from: to } = &state.role {
            return Progress::ServedBy(to.clone());
        }
        match state.answer.state() {
            AnswerState::Complete(completion) if from >= state.answer.tokens().len() => {
                Progress::Complete(completion.clone())
            }
            AnswerState::Failure(failure) => Progress::Failure(failure.clone()),
            _ => Progress::Pending,
        }
    }

    /// Starts the next attempt and returns its number.
    pub fn begin_attempt(&self) -> AttemptNumber {
        self.state.lock().answer.begin_attempt()
    }

    /// Returns the engine that may still be generating the answer of an earlier attempt.
    pub fn engine(&self) -> Option<Attachment> {
        self.state.lock().engine.clone()
    }

    /// Sets the engine that generates the answer.
    pub fn set_engine(&self, engine: Option<Attachment>) {
        self.state.lock().engine = engine;
    }

    /// Appends tokens of an attempt.
    pub fn apply_tokens(
        &self,
        attempt: AttemptNumber,
        offset: TokenOffset,
        tokens: Vec<Box<str>>,
    ) -> ApplyResult {
        let applied = self
            .state
            .lock()
            .answer
            .apply_tokens(attempt, offset, tokens);
        self.notify(applied);
        applied
    }

    /// Completes the answer with the end of an attempt.
    pub fn apply_end(
        &self,
        attempt: AttemptNumber,
        total: TokenOffset,
        completion: Completion,
    ) -> ApplyResult {
        let mut state = self.state.lock();
        let applied = state.answer.apply_end(attempt, total, completion);
        state.mark_end();
        drop(state);
        self.notify(applied);
        applied
    }

    /// Ends the request without an answer or with an incomplete one.
    pub fn fail(&self, failure: Failure) {
        let mut state = self.state.lock();
        state.answer.fail(failure);
        state.mark_end();
        drop(state);
        self.notify(ApplyResult::Grown);
    }

    /// Sets the replica, which has no copy yet.
    pub fn set_replica(&self, replica: Option<NodeId>) {
        let mut state = self.state.lock();
        state.replica = replica;
        state.replica_has_copy = false;
        drop(state);
        self.notify(ApplyResult::Grown);
    }

    /// Records that the replica has acknowledged the tokens before `offset`.
    pub fn record_ack(&self, replica: &str, offset: TokenOffset) {
        let mut state = self.state.lock();
        if state.replica.as_deref() != Some(replica) || state.role != Role::Serving {
            return;
        }
        state.replica_has_copy = true;
        state.acked_len = state.acked_len.max(offset);
        drop(state);
        self.notify(ApplyResult::Grown);
    }

    /// Returns the term in which the request is served.
    pub fn term(&self) -> Term {
        self.state.lock().term
    }

    /// Marks the request as served by another node.
    pub fn hand_over(&self, to: NodeId) {
        let mut state = self.state.lock();
        state.role = Role::HandedOver { to };
        state.ended_at.get_or_insert_with(Instant::now);
        drop(state);
        self.notify(ApplyResult::Grown);
    }

    /// Promotes a copy: this node serves the request from now on. Returns whether it was a copy.
    pub fn promote(&self) -> bool {
        let mut state = self.state.lock();
        let was_copy = matches!(state.role, Role::Copy { .. });
        if was_copy {
            state.role = Role::Serving;
            state.term += PROMOTION_TERM_STEP;
            state.replica = None;
            state.acked_len = state.answer.len();
        }
        drop(state);
        self.notify(ApplyResult::Grown);
        was_copy
    }

    /// Applies an update from the serving node to this copy.
    ///
    /// # Errors
    ///
    /// Fails where a node serves the request in a higher term than the sender's, or where tokens
    /// before those of the update are missing; nothing is changed then.
    pub fn apply_update(&self, own_node: &NodeId, update: CopyUpdate) -> Result<(), CopyError> {
        let mut state = self.state.lock();
        let serving_node = match &state.role {
            Role::Copy { from } => from,
            Role::Serving => own_node,
            Role::HandedOver { to } => to,
        };
        if (state.term, serving_node) > (update.term, &update.from) {
            return Err(CopyError::Superseded {
                by: serving_node.clone(),
            });
        }
        if update.offset > state.answer.len() {
            return Err(CopyError::Gap);
        }
        let was_serving = state.role == Role::Serving;
        state.role = Role::Copy { from: update.from };
        state.term = update.term;
        state.answer.truncate(update.offset);
        while state.answer.attempt() < update.attempt {
            state.answer.begin_attempt();
        }
        let attempt = update.attempt;
        state
            .answer
            .apply_tokens(attempt, update.offset, update.tokens);
        if let Some(completion) = update.completion {
            let total = state.answer.len();
            state.answer.apply_end(attempt, total, completion);
        }
        state.engine = update.engine;
        state.mark_end();
        drop(state);
        if was_serving {
            self.notify(ApplyResult::Grown);
        }
        Ok(())
    }

    fn notify(&self, applied: ApplyResult) {
        if applied == ApplyResult::Grown {
            self.changed.send_replace(());
        }
    }
}

impl State {
    /// Returns the number of tokens that may be shown to callers.
    fn visible_len(&self) -> TokenOffset {
        match self.replica {
            Some(_) => self.acked_len.min(self.answer.len()),
            None => self.answer.len(),
        }
    }

    fn completion(&self) -> Option<Completion> {
        match self.answer.state() {
            AnswerState::Complete(completion) => Some(completion.clone()),
            _ => None,
        }
    }

    fn mark_end(&mut self) {
        if *self.answer.state() != AnswerState::Open {
            self.ended_at.get_or_insert_with(Instant::now);
        }
    }
}
