//! One attempt at its home node, from the queue to its end.
//!
//! A run buffers its tokens until it is dropped, so that a serving node that lost its connection
//! can subscribe again without losing any.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;
use tokio::time::Instant;

use super::UNREAD_RUN_TTL;
use crate::core::dispatch::{Attachment, DispatchEvent, DispatchOrder};
use crate::core::id::{AttemptNumber, TokenOffset, VmId};
use crate::core::request::Completion;
use crate::core::verdict::Verdict;

/// Limit of tokens buffered out of order while an earlier one is missing.
const MAX_OUT_OF_ORDER_TOKENS: usize = 64;

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(super) enum RunEnd {
    /// The engine completed the answer.
    Finished(Completion),
    /// The deadline passed while the request was queued.
    Expired { retry_after_ms: u32 },
    /// The remainder of the answer has to be computed by another attempt.
    Moved {
        cause: Box<str>,
        engine_continues: bool,
        kv_blob: Option<Box<[u8]>>,
        verdict: Verdict,
    },
    /// The attempt was cancelled: superseded by another attempt, or left without a reader.
    Cancelled,
}

/// The engine that runs an attempt.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) engine: VmId,
    pub(super) engine_attempt: AttemptNumber,
    pub(super) waited_ms: u32,
}

/// State of a run that its readers observe.
#[derive(Clone, Debug, Default)]
pub(super) struct RunState {
    pub(super) position: u32,
    pub(super) expected_wait_ms: u32,
    pub(super) running: Option<Running>,
    pub(super) tokens: Vec<Box<str>>,
    /// Tokens that arrived out of order, before an earlier token.
    out_of_order: BTreeMap<TokenOffset, Box<str>>,
    pub(super) ended: Option<RunEnd>,
    is_moving: bool,
    unread_since: Option<Instant>,
}

/// One attempt at its home node.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) order: DispatchOrder,
    pub(super) attempt: AttemptNumber,
    /// Offset in the answer of the first token that this run generates.
    pub(super) base: TokenOffset,
    pub(super) received_at: Instant,
    pub(super) state: watch::Sender<RunState>,
    readers: AtomicU32,
}

/// Guard that counts as a reader of a run until it is dropped.
pub(super) struct ReaderGuard(Arc<Run>);

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.0.readers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Run {
    pub(super) fn new(order: DispatchOrder) -> Self {
        Self {
            attempt: order.attempt,
            base: TokenOffset::try_from(order.prior_tokens.len()).unwrap_or(TokenOffset::MAX),
            received_at: Instant::now(),
            state: watch::Sender::new(RunState::default()),
            readers: AtomicU32::new(0),
            order,
        }
    }

    /// Registers a reader; dropping the guard unregisters it.
    pub(super) fn add_reader(self: &Arc<Self>) -> ReaderGuard {
        self.readers.fetch_add(1, Ordering::Relaxed);
        ReaderGuard(Arc::clone(self))
    }

    /// Returns whether the sender of `order` can continue from the tokens it has with those that
    /// this run generates.
    pub(super) fn can_continue(&self, order: &DispatchOrder) -> bool {
        let state = self.state.borrow();
        let reader_tokens = order.prior_tokens.len();
        let base = self.base as usize;
        let is_useful = matches!(state.ended, None | Some(RunEnd::Finished(_)));
        is_useful && reader_tokens >= base && reader_tokens <= base + state.tokens.len()
    }

    pub(super) fn set_queue_position(&self, position: u32, expected_wait_ms: u32) {
        self.state.send_if_modified(|state| {
            let changed = state.position != position;
            state.position = position;
            state.expected_wait_ms = expected_wait_ms;
            changed
        });
    }

    pub(super) fn begin_running(&self, engine: &VmId, engine_attempt: AttemptNumber) {
        let waited_ms = crate::util::time::as_millis_u32(self.received_at.elapsed());
        self.state.send_modify(|state| {
            state.running = Some(Running {
                engine: engine.clone(),
                engine_attempt,
                waited_ms,
            });
        });
    }

    /// Adds a token, which may arrive out of order. Returns whether the stream can be read on: too
    /// many tokens after a gap mean that the missing one was lost.
    pub(super) fn add_token(&self, offset: TokenOffset, text: Box<str>) -> bool {
        let mut can_read_on = true;
        self.state.send_if_modified(|state| {
            let before = state.tokens.len();
            let next = |state: &RunState| self.base + state.token_count();
            if state.ended.is_none() && offset >= next(state) {
                state.out_of_order.entry(offset).or_insert(text);
            }
            while let Some(text) = state.out_of_order.remove(&next(state)) {
                state.tokens.push(text);
            }
            can_read_on = state.out_of_order.len() <= MAX_OUT_OF_ORDER_TOKENS;
            state.tokens.len() > before
        });
        can_read_on
    }

    /// Returns the offset of the next token in order.
    pub(super) fn next_offset(&self) -> TokenOffset {
        self.base + self.state.borrow().token_count()
    }

    /// Ends the run unless it has ended already.
    pub(super) fn end(&self, ended: RunEnd) {
        self.state.send_if_modified(|state| {
            let is_first = state.ended.is_none();
            if is_first {
                state.ended = Some(ended);
            }
            is_first
        });
    }

    pub(super) fn cancel(&self) {
        self.end(RunEnd::Cancelled);
    }

    pub(super) fn has_ended(&self) -> bool {
        self.state.borrow().ended.is_some()
    }

    pub(super) fn engine(&self) -> Option<VmId> {
        let state = self.state.borrow();
        let running = state.running.as_ref()?;
        state.ended.is_none().then(|| running.engine.clone())
    }

    /// Returns whether the run is being moved off its engine.
    pub(super) fn is_moving(&self) -> bool {
        self.state.borrow().is_moving
    }

    /// Marks the run as being moved. Returns whether this call was the first to do so.
    pub(super) fn begin_move(&self) -> bool {
        let mut is_first = false;
        self.state.send_if_modified(|state| {
            is_first = !state.is_moving;
            state.is_moving = true;
            false
        });
        is_first
    }

    /// Returns whether the run had no reader for [`UNREAD_RUN_TTL`], so that it can be dropped;
    /// cancels it then.
    pub(super) fn expire_unread(&self) -> bool {
        if self.readers.load(Ordering::Relaxed) > 0 {
            self.state.send_if_modified(|state| {
                state.unread_since = None;
                false
            });
            return false;
        }
        let mut since = Instant::now();
        self.state.send_if_modified(|state| {
            since = *state.unread_since.get_or_insert(since);
            false
        });
        let is_expired = since.elapsed() >= UNREAD_RUN_TTL;
        if is_expired {
            self.cancel();
        }
        is_expired
    }
}

impl RunState {
    /// Returns the number of tokens that the run has received in order.
    fn token_count(&self) -> TokenOffset {
        TokenOffset::try_from(self.tokens.len()).unwrap_or(TokenOffset::MAX)
    }
}

impl RunEnd {
    /// Returns the event that reports the end of the run to a serving node.
    pub(super) fn event(&self, run: &Run, state: &RunState) -> DispatchEvent {
        match self {
            Self::Finished(completion) => DispatchEvent::Finished {
                total: run.base + u32::try_from(state.tokens.len()).unwrap_or(u32::MAX),
                completion: completion.clone(),
            },
            Self::Expired { retry_after_ms } => DispatchEvent::Refused {
                cause: "no engine became free before its deadline".into(),
                verdict: Verdict::NotRun,
                retry_after_ms: *retry_after_ms,
            },
            Self::Moved {
                cause,
                engine_continues,
                kv_blob,
                verdict,
            } => DispatchEvent::Moved {
                cause: cause.clone(),
                attachment: state
                    .running
                    .as_ref()
                    .filter(|_| *engine_continues)
                    .map(Running::attachment),
                kv_blob: kv_blob.clone(),
                verdict: match state.running {
                    Some(_) => Verdict::MayHaveRun,
                    None => *verdict,
                },
            },
            Self::Cancelled => DispatchEvent::Moved {
                cause: "another attempt took its place".into(),
                attachment: None,
                kv_blob: None,
                verdict: Verdict::MayHaveRun,
            },
        }
    }
}

impl Running {
    fn attachment(&self) -> Attachment {
        Attachment {
            engine: self.engine.clone(),
            attempt: self.engine_attempt,
        }
    }
}
