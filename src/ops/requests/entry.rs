//! One request as a serving node or a replica holds it.
//!
//! A token is shown to callers only after the replica has it, or while there is no replica. Each node
//! that takes up the serving of a request does so in a later term. A copy that was promoted refuses
//! updates of an earlier term, so that two nodes never show different continuations of one answer; a
//! node that served in an earlier term yields to an update of a later one and keeps a copy.

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

/// Terms by which a node that serves a copy on its own goes ahead.
const PROMOTION_TERMS: Term = 1;
/// Terms by which a node that is handed a request goes ahead: it prevails over a copy that was promoted
/// meanwhile.
pub(crate) const HAND_OVER_TERMS: Term = 2;

/// One request as a serving node or a replica holds it.
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
    /// Whether the replica has the request itself.
    is_copied: bool,
    /// Tokens that the replica, or one before it, has.
    safe: TokenOffset,
    engine: Option<Attachment>,
    ended_at: Option<Instant>,
}

impl Entry {
    /// Creates a request that this node serves, without a replica so far.
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
                safe: answer.len(),
                request: snapshot.request,
                answer,
                role,
                term: snapshot.term,
                replica: None,
                is_copied: false,
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

    /// Returns what this node is to the request.
    pub fn role(&self) -> Role {
        self.state.lock().role.clone()
    }

    /// Returns whether tokens are still to come.
    pub fn is_open(&self) -> bool {
        *self.state.lock().answer.state() == AnswerState::Open
    }

    /// Returns when the request ended here.
    pub fn ended_at(&self) -> Option<Instant> {
        self.state.lock().ended_at
    }

    /// Returns the node that keeps the copy.
    pub fn replica(&self) -> Option<NodeId> {
        self.state.lock().replica.clone()
    }

    /// Returns whether the present replica has the request.
    pub fn is_copied(&self) -> bool {
        self.state.lock().is_copied
    }

    /// Returns the record of the request.
    pub fn record(&self) -> Record {
        self.state.lock().request.record.clone()
    }

    /// Returns a receiver that is told of every change.
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

    /// Returns how many tokens there are, those that callers may not see yet among them.
    pub fn token_count(&self) -> TokenOffset {
        self.state.lock().answer.len()
    }

    /// Returns everything that another node needs to go on with the request.
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

    /// Returns what a replica that has the tokens before `offset` has to be told.
    pub fn news(&self, from: NodeId, offset: TokenOffset) -> CopyUpdate {
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

    /// Returns the request, with its record.
    pub fn request(&self) -> AcceptedRequest {
        self.state.lock().request.clone()
    }

    /// Returns what a reader who has the tokens before `offset` finds.
    pub fn read(&self, offset: TokenOffset) -> Progress {
        let state = self.state.lock();
        let shown = state.shown() as usize;
        let from = offset as usize;
        if from < shown {
            return Progress::Tokens(state.answer.tokens()[from..shown].to_vec());
        }
        if let Role::HandedOver { to } | Role::Copy { from: to } = &state.role {
            return Progress::Elsewhere(to.clone());
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

    /// Returns the engine that may still make tokens of an earlier attempt.
    pub fn engine(&self) -> Option<Attachment> {
        self.state.lock().engine.clone()
    }

    /// Remembers the engine that makes the answer.
    pub fn set_engine(&self, engine: Option<Attachment>) {
        self.state.lock().engine = engine;
    }

    /// Takes tokens of an attempt.
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
        self.tell(applied);
        applied
    }

    /// Takes the end of an attempt.
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
        self.tell(applied);
        applied
    }

    /// Ends the request without its remaining tokens.
    pub fn fail(&self, failure: Failure) {
        let mut state = self.state.lock();
        state.answer.fail(failure);
        state.mark_end();
        drop(state);
        self.tell(ApplyResult::Grown);
    }

    /// Sets the node that keeps the copy; it has nothing so far.
    pub fn set_replica(&self, replica: Option<NodeId>) {
        let mut state = self.state.lock();
        state.replica = replica;
        state.is_copied = false;
        drop(state);
        self.tell(ApplyResult::Grown);
    }

    /// Remembers that the replica has the tokens before `offset`.
    pub fn set_safe(&self, replica: &str, offset: TokenOffset) {
        let mut state = self.state.lock();
        if state.replica.as_deref() != Some(replica) || state.role != Role::Serving {
            return;
        }
        state.is_copied = true;
        state.safe = state.safe.max(offset);
        drop(state);
        self.tell(ApplyResult::Grown);
    }

    /// Returns the term of the node that serves the request.
    pub fn term(&self) -> Term {
        self.state.lock().term
    }

    /// Marks the request as served by another node.
    pub fn hand_over(&self, to: NodeId) {
        let mut state = self.state.lock();
        state.role = Role::HandedOver { to };
        state.ended_at.get_or_insert_with(Instant::now);
        drop(state);
        self.tell(ApplyResult::Grown);
    }

    /// Makes the copy the serving one. Returns whether it was a copy.
    pub fn promote(&self) -> bool {
        let mut state = self.state.lock();
        let was_copy = matches!(state.role, Role::Copy { .. });
        if was_copy {
            state.role = Role::Serving;
            state.term += PROMOTION_TERMS;
            state.replica = None;
            state.safe = state.answer.len();
        }
        drop(state);
        self.tell(ApplyResult::Grown);
        was_copy
    }

    /// Takes an update of the serving node to this copy.
    ///
    /// # Errors
    ///
    /// Fails where a node serves the request in a later term than the sender's, and where tokens before
    /// those of the update are missing; nothing changes then.
    pub fn apply_update(&self, own: &NodeId, update: CopyUpdate) -> Result<(), CopyError> {
        let mut state = self.state.lock();
        let server = match &state.role {
            Role::Copy { from } => from,
            Role::Serving => own,
            Role::HandedOver { to } => to,
        };
        if (state.term, server) > (update.term, &update.from) {
            return Err(CopyError::Superseded { by: server.clone() });
        }
        if update.offset > state.answer.len() {
            return Err(CopyError::Gap);
        }
        let yields = state.role == Role::Serving;
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
        if yields {
            self.tell(ApplyResult::Grown);
        }
        Ok(())
    }

    fn tell(&self, applied: ApplyResult) {
        if applied == ApplyResult::Grown {
            self.changed.send_replace(());
        }
    }
}

impl State {
    /// Returns how many tokens callers may see.
    fn shown(&self) -> TokenOffset {
        match self.replica {
            Some(_) => self.safe.min(self.answer.len()),
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
