//! Stored form of a published document.
//!
//! The head holds only the changes of a revision, so that the cost of a watch depends on the size of a
//! change and not on the size of the document.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::document::sections::{SectionChange, TextDigest};
use crate::core::id::ConfigRevision;
use crate::core::time::UnixMillis;
use crate::sources::store::{Key, KeyRange};

/// Unique ID of one call to publish, by which the call recognizes its own record.
pub type PublishId = Box<str>;
/// Name of a distributed document: `config` or `fleet`.
pub type DocumentName = Box<str>;

/// Store keys of one document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentKeys {
    document: DocumentName,
}

impl DocumentKeys {
    /// Creates the keys of the document with the name.
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

    /// Returns the key of the retained head of a revision.
    pub fn change(&self, revision: ConfigRevision) -> Key {
        format!("{}/changes/{revision:020}", self.document).into()
    }

    /// Returns the key range of all retained heads.
    pub fn changes(&self) -> KeyRange {
        KeyRange::Prefix(format!("{}/changes/", self.document).into())
    }

    /// Returns the key of the full text of a revision.
    pub fn text(&self, revision: ConfigRevision) -> Key {
        format!("{}/history/{revision:020}", self.document).into()
    }
}

/// Metadata and changes of a published revision, without the full text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Revision of the document.
    pub revision: ConfigRevision,
    /// ID of the call that published the revision.
    pub publish_id: PublishId,
    /// Operator who published the revision.
    pub author: Box<str>,
    /// Time of publication.
    pub published_at: UnixMillis,
    /// SHA-256 of the full text.
    pub digest: TextDigest,
    /// Changes since the previous revision, if known and small enough.
    pub changes: Option<Vec<SectionChange>>,
}

/// Error when parsing a stored value.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the store's value is not a published document: {cause}")]
pub struct RecordError {
    /// Description of the problem.
    pub cause: Box<str>,
}

/// Result type of this module.
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
    /// Encodes the head for the store.
    pub fn to_value(&self) -> Bytes {
        let wire = HeadWire::from(self);
        serde_json::to_vec(&wire).map_or_else(|_| Bytes::new(), Bytes::from)
    }

    /// Decodes a head from the store.
    ///
    /// # Errors
    ///
    /// Fails if the value is not an encoded head.
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
