//! Reads published documents from the store.

use std::sync::Arc;

use thiserror::Error;

use crate::core::document::sections::digest;
use crate::core::id::ConfigRevision;
use crate::ops::publish::record::{DocumentKeys, Head, RecordError};
use crate::sources::store::{RangeRequest, Revision, Store, StoreError};

/// Why a published document could not be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ArchiveError {
    /// The store gave no answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store holds something else.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The store does not keep the revision, or no longer.
    #[error("revision {revision} is not kept; `jayhall history` lists those that are")]
    NotKept {
        /// The revision asked for.
        revision: ConfigRevision,
    },
}

/// The module's result.
pub(super) type Result<T> = std::result::Result<T, ArchiveError>;

/// The head and where the store counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Head, or `None` before the first publishing.
    pub head: Option<Head>,
    /// Revision of the store at the last put of the head; 0 before the first one.
    pub mod_revision: Revision,
}

impl StoredHead {
    /// Returns the revision of the document; 0 before the first one.
    pub fn revision(&self) -> ConfigRevision {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}

/// Reader of one document's records.
#[derive(Clone)]
pub struct Archive {
    store: Arc<dyn Store>,
    keys: DocumentKeys,
}

impl Archive {
    /// Opens the records of a document.
    pub fn open(store: Arc<dyn Store>, document: &str) -> Self {
        Self {
            store,
            keys: DocumentKeys::new(document),
        }
    }

    /// Returns the keys of the document.
    pub fn keys(&self) -> &DocumentKeys {
        &self.keys
    }

    /// Returns the store.
    pub fn store(&self) -> &Arc<dyn Store> {
        &self.store
    }

    /// Reads the head.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer or holds something else.
    pub async fn head(&self) -> Result<StoredHead> {
        let reply = self
            .store
            .range(RangeRequest::one(&self.keys.current()))
            .await?;
        let Some(entry) = reply.entries.first() else {
            return Ok(StoredHead {
                head: None,
                mod_revision: 0,
            });
        };
        Ok(StoredHead {
            head: Some(Head::from_value(&entry.value)?),
            mod_revision: entry.mod_revision,
        })
    }

    /// Reads the whole text of a revision.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer or does not keep the revision.
    pub async fn text(&self, revision: ConfigRevision) -> Result<Box<str>> {
        let reply = self
            .store
            .range(RangeRequest::one(&self.keys.text(revision)))
            .await?;
        let entry = reply
            .entries
            .first()
            .ok_or(ArchiveError::NotKept { revision })?;
        let text = std::str::from_utf8(&entry.value).map_err(|e| RecordError {
            cause: e.to_string().into(),
        })?;
        Ok(text.into())
    }

    /// Reads the whole text of a head and compares it with the head's digest.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer, does not keep the text or holds another one.
    pub async fn text_of(&self, head: &Head) -> Result<Box<str>> {
        let text = self.text(head.revision).await?;
        if digest(&text) != head.digest {
            let cause = format!("the text of revision {} has another digest", head.revision);
            return Err(RecordError {
                cause: cause.into(),
            }
            .into());
        }
        Ok(text)
    }

    /// Reads the heads of all revisions that are kept, latest first.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer or holds something else.
    pub async fn history(&self) -> Result<Vec<Head>> {
        let range = self.keys.changes();
        let reply = self.store.range(RangeRequest { range }).await?;
        let heads = reply.entries.iter().rev();
        heads
            .map(|entry| Head::from_value(&entry.value).map_err(Into::into))
            .collect()
    }
}
