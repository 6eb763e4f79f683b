//! Publishes a document by compare-and-swap: of two operators who publish concurrently, one succeeds and
//! the other gets an error with the difference.

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

/// Revisions retained in the store.
pub const HISTORY_REVISIONS: u64 = 256;
/// Maximum size of a text in bytes; the text is stored as a single value.
pub const MAX_TEXT_BYTES: usize = MAX_VALUE_BYTES;
/// Maximum size of an encoded head in bytes. If the changes exceed it, they are left out of the head and
/// nodes read the full text instead.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of attempts to learn the outcome of a transaction.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before the second attempt; doubles with each further attempt.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A text to publish.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Full text.
    pub text: Box<str>,
    /// Revision on which the author based the text; 0 for the first publication.
    pub base_revision: ConfigRevision,
    /// Text of the base revision if available locally; otherwise it is read from the store.
    pub base_text: Option<Box<str>>,
    /// Name of the operator, as shown in the history.
    pub author: Box<str>,
    /// Time of publication, as shown in the history.
    pub published_at: UnixMillis,
}

/// A published text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// The head as stored.
    pub head: Head,
    /// Full text.
    pub text: Box<str>,
}

/// Error when publishing a text.
#[derive(Clone, Debug, Error)]
pub enum PublishError {
    /// The text is invalid.
    #[error("{0}")]
    Invalid(Problems),
    /// The text exceeds the store's size limit.
    #[error("the text has {bytes} bytes; the store takes {MAX_TEXT_BYTES}")]
    TooLarge {
        /// Size of the text in bytes.
        bytes: usize,
    },
    /// Another revision was published since the author read the document.
    #[error(
        "revision {current} by {author} was published since; its difference to this text:\n{difference}"
    )]
    Conflict {
        /// Revision in force.
        current: ConfigRevision,
        /// Operator who published it; empty if the store has no revision.
        author: Box<str>,
        /// Unified diff from the text in force to the refused text.
        difference: Box<str>,
    },
    /// The store call failed. The text was not published.
    #[error("the store was not there and nothing was published: {0}")]
    Store(ArchiveError),
    /// The store's reply was lost and the outcome could not be read back. The text may have been
    /// published.
    #[error(
        "the store does not answer; the text may have been published as revision {revision}: {cause}"
    )]
    Unsettled {
        /// Revision of the text if it was published.
        revision: ConfigRevision,
        /// Last error of an attempt whose outcome is unknown.
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

/// Result type of this module.
pub type Result<T> = std::result::Result<T, PublishError>;

/// Publisher of one document.
#[derive(Clone)]
pub struct Publisher {
    archive: Archive,
    check: fn(&str) -> std::result::Result<(), Problems>,
}

/// Outcome of one attempt.
enum Attempt {
    Published,
    /// Another call has changed the head; a record of this revision, if any, is not from this call.
    Conflict,
    Unknown(StoreError),
    NotRun(StoreError),
}

impl Publisher {
    /// Creates a publisher of the configuration document.
    pub fn open(store: Arc<dyn Store>) -> Self {
        Self::with_check(store, "config", |text| Document::parse(text).map(drop))
    }

    /// Creates a publisher of another document, with the function that validates it.
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

    /// Returns the reader of the published revisions.
    pub fn archive(&self) -> &Archive {
        &self.archive
    }

    /// Publishes a text.
    ///
    /// # Errors
    ///
    /// Fails with [`PublishError::Unsettled`] if the text may have been published. With every other
    /// error it was not published.
    pub async fn publish(&self, draft: Draft) -> Result<Published> {
        (self.check)(&draft.text).map_err(PublishError::Invalid)?;
        if draft.text.len() > MAX_TEXT_BYTES {
            return Err(PublishError::TooLarge {
                bytes: draft.text.len(),
            });
        }
        let stored = self.archive.head().await.map_err(PublishError::Store)?;
        // The stored revision is lower if the store was restored from a backup or lost its data. The new
        // revision still follows the author's base, since nodes never install a lower revision.
        if stored.revision() > draft.base_revision {
            return Err(self.conflict(&draft).await);
        }
        let head = self.build_head(&draft).await;
        match self.transact_with_retries(&head, &draft, &stored).await? {
            true => Ok(Published {
                head,
                text: draft.text,
            }),
            false => Err(self.conflict(&draft).await),
        }
    }

    async fn build_head(&self, draft: &Draft) -> Head {
        let mut head = Head {
            revision: draft.base_revision + 1,
            publish_id: Uuid::new_v4().to_string().into(),
            author: draft.author.clone(),
            published_at: draft.published_at,
            digest: digest(&draft.text),
            changes: self.changes_since_base(draft).await,
        };
        if head.to_value().len() > MAX_HEAD_BYTES {
            head.changes = None;
        }
        head
    }

    async fn changes_since_base(&self, draft: &Draft) -> Option<Vec<SectionChange>> {
        if draft.base_revision == 0 {
            return None;
        }
        let base = match &draft.base_text {
            Some(text) => text.clone(),
            None => self.archive.text(draft.base_revision).await.ok()?,
        };
        delta(&base, &draft.text)
    }

    /// Retries the transaction until its outcome is known. Returns whether the text was published.
    ///
    /// Retries are idempotent: all attempts compare the same store revision, so that at most one takes
    /// effect, and the publish ID in the record shows whether an earlier attempt of this call did.
    async fn transact_with_retries(
        &self,
        head: &Head,
        draft: &Draft,
        stored: &StoredHead,
    ) -> Result<bool> {
        let mut unknown_error = None;
        let mut not_run_error = None;
        let mut delay = INITIAL_RETRY_DELAY;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(delay).await;
                delay *= 2;
            }
            match self.attempt(head, draft, stored).await {
                Attempt::Published => return Ok(true),
                Attempt::Conflict => return Ok(false),
                Attempt::Unknown(e) => unknown_error = Some(e),
                Attempt::NotRun(e) => not_run_error = Some(e),
            }
        }
        match (unknown_error, not_run_error) {
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
            Ok(reply) if has_publish_id(&reply.results, head) => Attempt::Published,
            Ok(_) => Attempt::Conflict,
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
            Some(head) => match self.archive.verified_text(head).await {
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

fn has_publish_id(results: &[OpResult], head: &Head) -> bool {
    let found = results.iter().filter_map(|result| match result {
        OpResult::Got(entries) => entries.first(),
        OpResult::Put | OpResult::Deleted(_) => None,
    });
    found
        .filter_map(|entry| Head::from_value(&entry.value).ok())
        .any(|other| other.publish_id == head.publish_id)
}
