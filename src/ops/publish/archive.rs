//! Reads published documents from the store.

use std::sync::Arc;

use thiserror::Error;

use crate::core::document::sections::digest;
use crate::core::id::ConfigRevision;
use crate::ops::publish::record::{DocumentKeys, Head, RecordError};
use crate::sources::store::{RangeRequest, Revision, Store, StoreError};

/// Error when reading a published document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ArchiveError {
    /// The store call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The stored value is not a published document.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The store does not contain the revision, or no longer does.
    #[error("revision {revision} is not kept; `jayhall history` lists those that are")]
    RevisionNotFound {
        /// The requested revision.
        revision: ConfigRevision,
    },
}

/// Result type of this module.
pub(super) type Result<T> = std::result::Result<T, ArchiveError>;

/// The head, with the store revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Head, or `None` before the first publication.
    pub head: Option<Head>,
    /// Store revision of the last write of the head; [`Revision::NONE`] before the first publication.
    pub mod_revision: Revision,
}

impl StoredHead {
    /// Returns the revision of the document; 0 before the first publication.
    pub fn revision(&self) -> ConfigRevision {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}

/// Reader of the stored revisions of one document.
#[derive(Clone)]
pub struct Archive {
    store: Arc<dyn Store>,
    keys: DocumentKeys,
}

impl Archive {
    /// Creates a reader for the document with the name.
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
    /// Fails if the store call fails or the stored value cannot be parsed.
    pub async fn head(&self) -> Result<StoredHead> {
        let reply = self
            .store
            .range(RangeRequest::one(&self.keys.current()))
            .await?;
        let Some(entry) = reply.entries.first() else {
            return Ok(StoredHead {
                head: None,
                mod_revision: Revision::NONE,
            });
        };
        Ok(StoredHead {
            head: Some(Head::from_value(&entry.value)?),
            mod_revision: entry.mod_revision,
        })
    }

    /// Reads the full text of a revision.
    ///
    /// # Errors
    ///
    /// Fails if the store call fails, the store does not contain the revision or the text is not UTF-8.
    pub async fn text(&self, revision: ConfigRevision) -> Result<Box<str>> {
        let reply = self
            .store
            .range(RangeRequest::one(&self.keys.text(revision)))
            .await?;
        let entry = reply
            .entries
            .first()
            .ok_or(ArchiveError::RevisionNotFound { revision })?;
        let text = std::str::from_utf8(&entry.value).map_err(|e| RecordError {
            cause: e.to_string().into(),
        })?;
        Ok(text.into())
    }

    /// Reads the full text of a head's revision and verifies it against the head's digest.
    ///
    /// # Errors
    ///
    /// Fails if the store call fails, or if the text is missing or does not match the digest.
    pub async fn verified_text(&self, head: &Head) -> Result<Box<str>> {
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

    /// Reads the heads of all retained revisions, latest first.
    ///
    /// # Errors
    ///
    /// Fails if the store call fails or a stored value cannot be parsed.
    pub async fn history(&self) -> Result<Vec<Head>> {
        let range = self.keys.changes();
        let reply = self.store.range(RangeRequest { range }).await?;
        let heads = reply.entries.iter().rev();
        heads
            .map(|entry| Head::from_value(&entry.value).map_err(Into::into))
            .collect()
    }
}
