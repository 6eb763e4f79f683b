//! One attempt of a request on the engine.

use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::text::{BLOCK_TOKENS, Script, block_hashes};

/// Names an attempt: the request and its number.
pub(crate) type JobKey = (Box<str>, u32);

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Is in the waiting list.
    Waiting,
    /// Has a slot.
    Running,
    /// Made its whole answer.
    Finished,
    /// Was cancelled by request.
    Cancelled,
    /// Was stopped by an export of its KV cache.
    Exported,
    /// Had no reader for too long.
    Abandoned,
    /// Was cut off when the engine died.
    Died,
}

impl JobState {
    /// Returns whether no more tokens follow.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

/// How far an attempt has got; what readers wait on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Offset behind the last token made.
    pub(crate) made: u32,
    /// Tokens of the prompt and the prior tokens.
    pub(crate) prompt_tokens: u32,
    /// Those of them that were not computed again.
    pub(crate) cached_tokens: u32,
    pub(crate) state: JobState,
}

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) key: JobKey,
    pub(crate) model: Box<str>,
    pub(crate) priority: u32,
    pub(crate) arrival: u64,
    pub(crate) script: Script,
    /// Tokens that were made elsewhere.
    pub(crate) prior: u32,
    /// Prompt and prior tokens; empty once the attempt has ended.
    pub(crate) context: Vec<Box<str>>,
    /// Leading tokens that an imported KV cache covers.
    pub(crate) imported: u32,
    /// Tokens still to compute before the first new token.
    pub(crate) prefill_left: f64,
    pub(crate) readers: u32,
    pub(crate) unread_since: Option<Instant>,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Job {
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_modify(change);
    }

    pub(crate) fn is_prefilling(&self) -> bool {
        self.prefill_left > 0.0
    }

    /// Returns the tokens that the job holds outside of the prefix cache.
    pub(crate) fn private_tokens(&self) -> u64 {
        let progress = self.progress();
        if self.is_prefilling() {
            return u64::from(progress.prompt_tokens - progress.cached_tokens);
        }
        let tail = progress.prompt_tokens as usize % BLOCK_TOKENS;
        tail as u64 + u64::from(progress.made - self.prior)
    }

    /// Returns the blocks of the prompt, the prior tokens and the tokens made so far.
    pub(crate) fn all_blocks(&self) -> Vec<u64> {
        let mut tokens = self.context.clone();
        let made = self.prior..self.progress().made;
        tokens.extend(made.map(|offset| self.script.token(offset).into()));
        block_hashes(&self.model, &tokens)
    }

    /// Returns the record of the attempt.
    pub(crate) fn record(&self) -> Record {
        let progress = self.progress();
        Record {
            request_id: self.key.0.clone(),
            attempt: self.key.1,
            tokens: progress.made - self.prior,
            prompt_tokens: progress.prompt_tokens,
            cached_tokens: progress.cached_tokens,
            state: progress.state,
        }
    }
}

/// What ran on the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Request.
    pub request_id: Box<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Tokens made by this attempt.
    pub tokens: u32,
    /// Tokens of the prompt and the prior tokens.
    pub prompt_tokens: u32,
    /// Those of them that were not computed again.
    pub cached_tokens: u32,
    /// What became of it.
    pub state: JobState,
}
