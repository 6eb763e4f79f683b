//! What a shard asks of its driver, and what it is told.

use std::time::Duration;

use super::entry::Outcome;
use super::key::{EntryKey, Epoch};
use super::page::{Head, Page, Revision};
use crate::core::id::{AttemptNumber, NodeId};
use crate::core::verdict::Verdict;

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The key stands for a call with another body.
    BodyDiffers,
    /// The key's time is too far ahead.
    KeyAhead,
    /// The key is older than the ledger's retention.
    KeyExpired,
    /// The page of the key is full; a key made after this time has room.
    PageFull {
        /// Time until keys of the next page are made.
        next_page_in: Duration,
    },
    /// Too many calls wait for the store.
    QueueFull,
    /// The store gives no answers.
    StoreDown,
    /// Another process may have dispatched the call, or may still be at it.
    StartedElsewhere {
        /// Life of the process.
        writer: NodeId,
    },
    /// The attempt's answer was lost.
    AnswerLost,
    /// The attempt ended before anything left for the service.
    NotDispatched,
}

impl Refusal {
    /// Returns whether the call that is refused may have run.
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

/// What becomes of a call that has arrived.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Arrival {
    /// It waits for the store; a [`Step`] follows.
    Queued,
    /// The same call is under way; its [`Step`] or its end is this call's, too.
    Joined,
    /// The call ran before.
    Replay(Outcome),
    /// The call is refused.
    Refused(Refusal),
}

/// What becomes of a call that has waited for the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// The intent is in the store: the call is to be dispatched, by this writer only.
    Dispatch(EntryKey, AttemptNumber),
    /// The call ran before.
    Replay(EntryKey, Outcome),
    /// The call is refused.
    Refuse(EntryKey, Refusal),
}

/// Kind of call that a shard would make next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// None, or one is under way.
    Nothing,
    /// A read.
    Load,
    /// A write.
    Commit,
}

/// What a shard needs from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Idle,
    /// An answer to what it asked before.
    Wait,
    /// The head and these pages, read at one revision.
    Load(Vec<Epoch>),
    /// A write.
    Commit(Commit),
}

/// One write: all of it or nothing, and only if the head is still at `expected`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Revision of the head that the write replaces; 0 for none.
    pub expected: Revision,
    /// New head.
    pub head: Head,
    /// Pages to be set.
    pub pages: Vec<(Epoch, Page)>,
    /// Pages to be deleted.
    pub dropped: Vec<Epoch>,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommitResult {
    /// It is in the store at this revision.
    Applied(Revision),
    /// The head had changed; nothing was written.
    Conflict,
    /// It never takes effect, and the store gives no answers.
    NotApplied,
    /// It may have taken effect, or may still do so.
    Unknown,
}
