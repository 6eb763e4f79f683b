//! Inputs and outputs of the shard state machine.

use std::time::Duration;

use super::entry::Outcome;
use super::key::{EntryKey, Epoch};
use super::page::{Head, Page, Revision};
use crate::core::id::{AttemptNumber, NodeId};
use crate::core::verdict::Verdict;

/// Reason for refusing a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The key was used before for a call with another body.
    BodyDiffers,
    /// The key's time is too far ahead.
    KeyAhead,
    /// The key is older than the ledger's retention.
    KeyExpired,
    /// The page of the key is full; keys issued after this time have room.
    PageFull {
        /// Time until newly issued keys belong to the next page.
        next_page_in: Duration,
    },
    /// Too many calls are waiting for the store.
    QueueFull,
    /// The store does not answer.
    StoreDown,
    /// Another process may have dispatched the call, or may still dispatch it.
    StartedElsewhere {
        /// Process instance that wrote the intent.
        writer: NodeId,
    },
    /// The attempt's answer was lost.
    AnswerLost,
    /// The attempt ended before any byte was sent to the service.
    NotDispatched,
}

impl Refusal {
    /// Returns whether the refused call may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::KeyExpired | Self::StartedElsewhere { .. } | Self::AnswerLost => {
                Verdict::MayHaveRun
            }
            Self::BodyDiffers
            | Self::KeyAhead
            | Self::PageFull { .. }
            | Self::QueueFull
            | Self::StoreDown
            | Self::NotDispatched => Verdict::NotRun,
        }
    }
}

/// Immediate result of [`Shard::arrive`](super::Shard::arrive).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Arrival {
    /// The call waits for the store; a [`Step`] follows.
    Queued,
    /// The same call is in progress; its [`Step`] or its outcome applies to this call, too.
    Joined,
    /// The call ran before; its recorded outcome is returned again.
    Replay(Outcome),
    /// The call is refused.
    Refused(Refusal),
}

/// Result for a call that has waited for the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// The intent is in the store: this writer, and no other, dispatches the call.
    Dispatch(EntryKey, AttemptNumber),
    /// The call ran before; its recorded outcome is returned again.
    Replay(EntryKey, Outcome),
    /// The call is refused.
    Refuse(EntryKey, Refusal),
}

/// Kind of store call that a shard needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallKind {
    /// No call, or one is in progress.
    Nothing,
    /// A read.
    Load,
    /// A write.
    Commit,
}

/// Next store call of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStoreCall {
    /// No call is needed.
    Idle,
    /// The previous call has not been answered yet.
    Wait,
    /// Read the head and these pages at one revision.
    Load(Vec<Epoch>),
    /// Write a transaction.
    Commit(Commit),
}

/// One write transaction. It applies atomically, and only if the head is still at `expected`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Revision of the head that the write replaces; 0 for none.
    pub expected: Revision,
    /// New head.
    pub head: Head,
    /// Pages to be set.
    pub pages: Vec<(Epoch, Page)>,
    /// Pages to be deleted.
    pub deleted_pages: Vec<Epoch>,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommitResult {
    /// The write took effect at this revision.
    Applied(Revision),
    /// The head was at another revision; nothing was written.
    Conflict,
    /// The write has not taken effect and never will; the store does not answer.
    NotApplied,
    /// The write may have taken effect, or may still do so.
    Unknown,
}
