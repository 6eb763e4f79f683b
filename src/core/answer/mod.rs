//! The answer of one request as it grows.
//!
//! Tokens may arrive late, twice, out of order, or from an attempt that was given up. The log takes
//! each offset once, from the current attempt only, so that whatever a caller reads is a prefix of one
//! whole answer.

use std::collections::BTreeMap;

use crate::core::id::{AttemptNumber, TokenOffset};
use crate::core::request::Completion;
use crate::core::verdict::Verdict;

/// Tokens that may wait for an earlier one; more than that is a fault of the sender.
const MAX_REORDERED_TOKENS: usize = 1024;

/// What became of tokens or of an end that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The log has grown; readers may go on.
    Grown,
    /// Everything was known already, or waits for an earlier token.
    Unchanged,
    /// The sender is an attempt that was given up; it should be cancelled.
    StaleAttempt,
}

/// Why a request that was accepted gets no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// In words for the caller.
    pub cause: Box<str>,
    /// Whether an engine may have started the work.
    pub verdict: Verdict,
    /// Milliseconds after which it makes sense to ask again.
    pub retry_after_ms: u32,
}

/// How the answer stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// Tokens are still to come.
    Open,
    /// All tokens are there.
    Complete(Completion),
    /// No more tokens will come.
    GivenUp(GivenUp),
}

/// The answer of one request as it grows.
#[derive(Clone, Debug)]
pub struct Answer {
    attempt: AttemptNumber,
    tokens: Vec<Box<str>>,
    early: BTreeMap<TokenOffset, Box<str>>,
    end: Option<(TokenOffset, Completion)>,
    state: AnswerState,
}

impl Default for Answer {
    fn default() -> Self {
        Self::resumed(0, Vec::new())
    }
}

impl Answer {
    /// Creates the log of an answer of which `tokens` were made by attempts up to `attempt`.
    pub fn resumed(attempt: AttemptNumber, tokens: Vec<Box<str>>) -> Self {
        Self {
            attempt,
            tokens,
            early: BTreeMap::new(),
            end: None,
            state: AnswerState::Open,
        }
    }

    /// Starts the next attempt and returns its number. Whatever older attempts send is dropped.
    pub fn begin_attempt(&mut self) -> AttemptNumber {
        self.attempt += 1;
        self.early.clear();
        self.end = None;
        self.attempt
    }

    /// Drops the tokens from an offset on, since another node decides how the answer goes on.
    pub fn truncate(&mut self, offset: TokenOffset) {
        if offset < self.len() {
            self.tokens.truncate(offset as usize);
            self.early.clear();
            self.end = None;
            self.state = AnswerState::Open;
        }
    }

    /// Returns the number of the current attempt; 0 before the first.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns all tokens so far.
    pub fn tokens(&self) -> &[Box<str>] {
        &self.tokens
    }

    /// Returns how many tokens there are.
    pub fn len(&self) -> TokenOffset {
        TokenOffset::try_from(self.tokens.len()).unwrap_or(TokenOffset::MAX)
    }

    /// Returns whether there is no token yet.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Returns how the answer stands.
    pub fn state(&self) -> &AnswerState {
        &self.state
    }

    /// Takes tokens of an attempt, the first of them at `offset`.
    pub fn apply_tokens<I>(
        &mut self,
        attempt: AttemptNumber,
        offset: TokenOffset,
        tokens: I,
    ) -> Applied
    where
        I: IntoIterator<Item = Box<str>>,
    {
        if attempt != self.attempt {
            return Applied::StaleAttempt;
        }
        if self.state != AnswerState::Open {
            return Applied::Unchanged;
        }
        let before = self.tokens.len();
        for (token, at) in tokens.into_iter().zip(offset..) {
            self.take(at, token);
        }
        self.take_early();
        self.close_if_whole();
        self.grown_since(before)
    }

    /// Takes the end of an attempt, whose answer has `total` tokens.
    pub fn apply_end(
        &mut self,
        attempt: AttemptNumber,
        total: TokenOffset,
        completion: Completion,
    ) -> Applied {
        if attempt != self.attempt {
            return Applied::StaleAttempt;
        }
        if self.state != AnswerState::Open {
            return Applied::Unchanged;
        }
        self.end = Some((total, completion));
        self.close_if_whole();
        match self.state {
            AnswerState::Complete(_) => Applied::Grown,
            _ => Applied::Unchanged,
        }
    }

    /// Ends the answer without its remaining tokens. A whole answer stays whole.
    pub fn give_up(&mut self, given_up: GivenUp) {
        if self.state == AnswerState::Open {
            self.state = AnswerState::GivenUp(given_up);
        }
    }

    fn take(&mut self, at: TokenOffset, token: Box<str>) {
        let next = self.len();
        if at == next {
            self.tokens.push(token);
        } else if at > next && self.early.len() < MAX_REORDERED_TOKENS {
            self.early.entry(at).or_insert(token);
        }
    }

    fn take_early(&mut self) {
        while let Some(token) = self.early.remove(&self.len()) {
            self.tokens.push(token);
        }
    }

    fn close_if_whole(&mut self) {
        let next = self.len();
        if let Some((_, completion)) = self.end.take_if(|(total, _)| *total <= next) {
            self.state = AnswerState::Complete(completion);
        }
    }

    fn grown_since(&self, before: usize) -> Applied {
        if self.tokens.len() > before || self.state != AnswerState::Open {
            Applied::Grown
        } else {
            Applied::Unchanged
        }
    }
}
