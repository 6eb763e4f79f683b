//! What the store holds of a published document.
//!
//! The head is small, so that a watch costs the size of a change and not the size of the document.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::document::sections::{SectionChange, TextDigest};
use crate::core::id::ConfigRevision;
use crate::core::time::UnixMillis;
use crate::sources::store::{Key, KeyRange};

/// Names one call to publish, so that its author knows its own record again.
pub type PublishId = Box<str>;
/// Names a spread document: `config` or `fleet`.
pub type DocumentName = Box<str>;

/// Keys of one document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentKeys {
    document: DocumentName,
}

impl DocumentKeys {
    /// Returns the keys of the document with the name.
    pub fn new(document: &str) -> Self {
        Self {
            document: document.into(),
        }
    }

    /// Returns the name of the document.
    pub fn document(&self) -> &str {
        &self.document
    }

    /// Returns the key of the head.
    pub fn current(&self) -> Key {
        format!("{}/current", self.document).into()
    }

    /// Returns the key under which the head of a revision is kept.
    pub fn change(&self, revision: ConfigRevision) -> Key {
        format!("{}/changes/{revision:020}", self.document).into()
    }

    /// Returns the keys of all heads that are kept.
    pub fn changes(&self) -> KeyRange {
        KeyRange::Prefix(format!("{}/changes/", self.document).into())
    }

    /// Returns the key of the whole text of a revision.
    pub fn text(&self, revision: ConfigRevision) -> Key {
        format!("{}/history/{revision:020}", self.document).into()
    }
}

/// What was published last, without its whole text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Revision of the document.
    pub revision: ConfigRevision,
    /// Call that published it.
    pub publish_id: PublishId,
    /// Operator who published it.
    pub author: Box<str>,
    /// Time of publishing.
    pub published_at: UnixMillis,
    /// SHA-256 of the whole text.
    pub digest: TextDigest,
    /// Changes since the revision before, where they are known and small.
    pub changes: Option<Vec<SectionChange>>,
}

/// A value of the store that cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the store's value is not a published document: {cause}")]
pub struct RecordError {
    /// What is wrong with it.
    pub cause: Box<str>,
}

/// The module's result.
pub(super) type Result<T> = std::result::Result<T, RecordError>;

#[derive(Serialize, Deserialize)]
struct HeadWire {
    revision: u64,
    publish_id: Box<str>,
    author: Box<str>,
    published_at: u64,
    digest: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<Vec<ChangeWire>>,
}

#[derive(Serialize, Deserialize)]
struct ChangeWire {
    heading: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<Box<str>>,
}

impl Head {
    /// Returns the store's form.
    pub fn to_value(&self) -> Bytes {
        let wire = HeadWire::from(self);
        serde_json::to_vec(&wire).map_or_else(|_| Bytes::new(), Bytes::from)
    }

    /// Reads the store's form.
    ///
    /// # Errors
    ///
    /// Fails where the value was not written by [`Head::to_value`].
    pub fn from_value(value: &[u8]) -> Result<Self> {
        let wire: HeadWire = serde_json::from_slice(value).map_err(|e| RecordError {
            cause: e.to_string().into(),
        })?;
        Self::try_from(wire)
    }
}

impl From<&Head> for HeadWire {
    fn from(head: &Head) -> Self {
        Self {
            revision: head.revision,
            publish_id: head.publish_id.clone(),
            author: head.author.clone(),
            published_at: head.published_at,
            digest: hex::encode(head.digest).into(),
            changes: head
                .changes
                .as_ref()
                .map(|changes| changes.iter().map(ChangeWire::from).collect()),
        }
    }
}

impl TryFrom<HeadWire> for Head {
    type Error = RecordError;

    fn try_from(wire: HeadWire) -> Result<Self> {
        let mut digest = TextDigest::default();
        hex::decode_to_slice(&*wire.digest, &mut digest).map_err(|e| RecordError {
            cause: format!("digest: {e}").into(),
        })?;
        let changes = wire.changes;
        Ok(Self {
            revision: wire.revision,
            publish_id: wire.publish_id,
            author: wire.author,
            published_at: wire.published_at,
            digest,
            changes: changes.map(|changes| changes.into_iter().map(Into::into).collect()),
        })
    }
}

impl From<&SectionChange> for ChangeWire {
    fn from(change: &SectionChange) -> Self {
        Self {
            heading: change.heading.clone(),
            text: change.text.clone(),
        }
    }
}

impl From<ChangeWire> for SectionChange {
    fn from(wire: ChangeWire) -> Self {
        Self {
            heading: wire.heading,
            text: wire.text,
        }
    }
}
