//! Publishes a document by compare-and-swap, so that of two operators one wins and the other is told.

mod archive;
mod difference;
mod record;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use uuid::Uuid;

pub use archive::{Archive, ArchiveError, StoredHead};
pub use difference::difference;
pub use record::{DocumentKeys, DocumentName, Head, PublishId, RecordError};

use crate::core::document::sections::{SectionChange, delta, digest};
use crate::core::document::{Document, Problems};
use crate::core::id::ConfigRevision;
use crate::core::time::UnixMillis;
use crate::core::verdict::Verdict;
use crate::sources::store::{
    Compare, Condition, KeyRange, MAX_VALUE_BYTES, Op, OpResult, Store, StoreError, Transaction,
};

/// Revisions that the store keeps.
pub const HISTORY_REVISIONS: u64 = 256;
/// Largest text in bytes; the store's form of it must fit into one value.
pub const MAX_TEXT_BYTES: usize = MAX_VALUE_BYTES;
/// Largest form of a head in bytes; a larger change is left out of it and the whole text read.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Attempts at one transaction, until its outcome is known.
const ATTEMPTS: u32 = 5;
/// Wait before the second attempt; it doubles with each further one.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(100);

/// A text to publish.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Whole text.
    pub text: Box<str>,
    /// Revision that its author has changed; 0 for the first one.
    pub base_revision: ConfigRevision,
    /// Text of that revision where it is at hand; it is read from the store otherwise.
    pub base_text: Option<Box<str>>,
    /// Operator, as shown in the history.
    pub author: Box<str>,
    /// Time of publishing, for the history.
    pub published_at: UnixMillis,
}

/// A text that is in force from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// What the store holds.
    pub head: Head,
    /// Whole text.
    pub text: Box<str>,
}

/// Why a text was not published.
#[derive(Clone, Debug, Error)]
pub enum PublishError {
    /// The text has mistakes.
    #[error("{0}")]
    Invalid(Problems),
    /// The text is larger than the store takes.
    #[error("the text has {bytes} bytes; the store takes {MAX_TEXT_BYTES}")]
    TooLarge {
        /// Bytes of the text.
        bytes: usize,
    },
    /// Somebody else has published since the author read the document.
    #[error(
        "revision {current} by {author} was published since; its difference to this text:\n{difference}"
    )]
    Conflict {
        /// Revision in force.
        current: ConfigRevision,
        /// Operator who published it; empty where none was.
        author: Box<str>,
        /// Unified difference from the text in force to the refused one.
        difference: Box<str>,
    },
    /// The store gave no answer. The text was not published.
    #[error("the store was not there and nothing was published: {0}")]
    Store(ArchiveError),
    /// The store's answer was lost and could not be read back. The text may have been published.
    #[error(
        "the store does not answer; the text may have been published as revision {revision}: {cause}"
    )]
    Unsettled {
        /// Revision that the text has if it was published.
        revision: ConfigRevision,
        /// Last error of the store.
        cause: StoreError,
    },
}

impl PublishError {
    /// Returns whether the text may have been published.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unsettled { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// The module's result.
pub type Result<T> = std::result::Result<T, PublishError>;

/// Publisher of one document.
#[derive(Clone)]
pub struct Publisher {
    archive: Archive,
    check: fn(&str) -> std::result::Result<(), Problems>,
}

/// What the store says of one attempt.
enum Attempt {
    Published,
    /// The head is another one; the record of our revision, if there is one, is not ours.
    Lost,
    Unknown(StoreError),
    NotRun(StoreError),
}

impl Publisher {
    /// Opens the publisher of the operators' document.
    pub fn open(store: Arc<dyn Store>) -> Self {
        Self::with_check(store, "config", |text| Document::parse(text).map(drop))
    }

    /// Opens the publisher of another document with its own check.
    pub fn with_check(
        store: Arc<dyn Store>,
        document: &str,
        check: fn(&str) -> std::result::Result<(), Problems>,
    ) -> Self {
        Self {
            archive: Archive::open(store, document),
            check,
        }
    }

    /// Returns the reader of what was published.
    pub fn archive(&self) -> &Archive {
        &self.archive
    }

    /// Publishes a text.
    ///
    /// # Errors
    ///
    /// Fails with [`PublishError::Unsettled`] where the text may have been published, and with all
    /// others where it was not.
    pub async fn publish(&self, draft: Draft) -> Result<Published> {
        (self.check)(&draft.text).map_err(PublishError::Invalid)?;
        if draft.text.len() > MAX_TEXT_BYTES {
            return Err(PublishError::TooLarge {
                bytes: draft.text.len(),
            });
        }
        let stored = self.archive.head().await.map_err(PublishError::Store)?;
        // A store that went back, or lost its data, is filled again behind the revision that the
        // author has seen: nodes would never install a lower one.
        if stored.revision() > draft.base_revision {
            return Err(self.conflict(&draft).await);
        }
        let head = self.head_of(&draft).await;
        match self.settle(&head, &draft, &stored).await? {
            true => Ok(Published {
                head,
                text: draft.text,
            }),
            false => Err(self.conflict(&draft).await),
        }
    }

    async fn head_of(&self, draft: &Draft) -> Head {
        let mut head = Head {
            revision: draft.base_revision + 1,
            publish_id: Uuid::new_v4().to_string().into(),
            author: draft.author.clone(),
            published_at: draft.published_at,
            digest: digest(&draft.text),
            changes: self.changes_of(draft).await,
        };
        if head.to_value().len() > MAX_HEAD_BYTES {
            head.changes = None;
        }
        head
    }

    async fn changes_of(&self, draft: &Draft) -> Option<Vec<SectionChange>> {
        if draft.base_revision == 0 {
            return None;
        }
        let base = match &draft.base_text {
            Some(text) => text.clone(),
            None => self.archive.text(draft.base_revision).await.ok()?,
        };
        delta(&base, &draft.text)
    }

    /// Runs the transaction until its outcome is known. Returns whether the text was published.
    ///
    /// A repeated attempt is harmless: it compares the same revision of the store, so that at most
    /// one of all attempts takes effect, and the record of our revision names the call that made it.
    async fn settle(&self, head: &Head, draft: &Draft, stored: &StoredHead) -> Result<bool> {
        let mut lost_answer = None;
        let mut last = None;
        let mut wait = FIRST_RETRY_WAIT;
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(wait).await;
                wait *= 2;
            }
            match self.attempt(head, draft, stored).await {
                Attempt::Published => return Ok(true),
                Attempt::Lost => return Ok(false),
                Attempt::Unknown(e) => lost_answer = Some(e),
                Attempt::NotRun(e) => last = Some(e),
            }
        }
        match (lost_answer, last) {
            (Some(cause), _) => Err(PublishError::Unsettled {
                revision: head.revision,
                cause,
            }),
            (None, Some(e)) => Err(PublishError::Store(e.into())),
            (None, None) => Ok(false),
        }
    }

    async fn attempt(&self, head: &Head, draft: &Draft, stored: &StoredHead) -> Attempt {
        let req = self.transaction(head, draft, stored);
        match self.archive.store().transact(req).await {
            Ok(reply) if reply.succeeded => Attempt::Published,
            Ok(reply) if is_ours(&reply.results, head) => Attempt::Published,
            Ok(_) => Attempt::Lost,
            Err(e) if e.verdict() == Verdict::NotRun => Attempt::NotRun(e),
            Err(e) => Attempt::Unknown(e),
        }
    }

    fn transaction(&self, head: &Head, draft: &Draft, stored: &StoredHead) -> Transaction {
        let keys = self.archive.keys();
        let value = head.to_value();
        let mut then = vec![
            put(keys.current(), value.clone()),
            put(keys.change(head.revision), value),
            put(
                keys.text(head.revision),
                Bytes::copy_from_slice(draft.text.as_bytes()),
            ),
        ];
        if let Some(oldest) = head.revision.checked_sub(HISTORY_REVISIONS) {
            then.push(Op::Delete(KeyRange::One(keys.change(oldest))));
            then.push(Op::Delete(KeyRange::One(keys.text(oldest))));
        }
        Transaction {
            compares: vec![Compare {
                key: keys.current(),
                condition: Condition::ModRevision(stored.mod_revision),
            }],
            then,
            otherwise: vec![Op::Get(KeyRange::One(keys.change(head.revision)))],
        }
    }

    async fn conflict(&self, draft: &Draft) -> PublishError {
        let stored = match self.archive.head().await {
            Ok(stored) => stored,
            Err(e) => return PublishError::Store(e),
        };
        let (author, text) = match &stored.head {
            Some(head) => match self.archive.text_of(head).await {
                Ok(text) => (head.author.clone(), text),
                Err(e) => return PublishError::Store(e),
            },
            None => ("".into(), "".into()),
        };
        let names = (
            format!("revision {}", stored.revision()),
            format!("refused text, made from revision {}", draft.base_revision),
        );
        PublishError::Conflict {
            current: stored.revision(),
            author,
            difference: difference((&names.0, &text), (&names.1, &draft.text)),
        }
    }
}

fn put(key: Box<str>, value: Bytes) -> Op {
    Op::Put {
        key,
        value,
        lease: None,
    }
}

fn is_ours(results: &[OpResult], head: &Head) -> bool {
    let found = results.iter().filter_map(|result| match result {
        OpResult::Got(entries) => entries.first(),
        OpResult::Put | OpResult::Deleted(_) => None,
    });
    found
        .filter_map(|entry| Head::from_value(&entry.value).ok())
        .any(|other| other.publish_id == head.publish_id)
}
