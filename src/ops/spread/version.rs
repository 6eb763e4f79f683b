//! A version of a distributed document, and its conversion from and to wire messages.

use jayhall_wire::{FetchDocumentReply, Section};
use thiserror::Error;

use crate::core::document::sections::{ApplyError, SectionChange, TextDigest, apply, digest};
use crate::core::id::ConfigRevision;
use crate::ops::publish::{Head, Published};

/// A version of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Revision; starts at 1.
    pub revision: ConfigRevision,
    /// Full text.
    pub text: Box<str>,
    /// SHA-256 of the text.
    pub digest: TextDigest,
}

/// Error when converting a peer's reply to a version.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum VersionError {
    /// The text does not match the sender's digest.
    #[error("the text has another digest than the sender's")]
    Digest,
    /// The digest is not 32 bytes long.
    #[error("the digest has not 32 bytes")]
    Malformed,
    /// The reply is a delta, but there is no base text.
    #[error("there is no text to apply the changes to")]
    NoBase,
}

pub(super) type Result<T> = std::result::Result<T, VersionError>;

impl Version {
    /// Creates a version and computes its digest.
    pub fn new(revision: ConfigRevision, text: impl Into<Box<str>>) -> Self {
        let text = text.into();
        Self {
            revision,
            digest: digest(&text),
            text,
        }
    }

    /// Applies the changes in a stored head to the previous version. Returns `None` if that is not
    /// possible and the full text has to be read.
    pub(super) fn from_head(head: &Head, base: Option<&Self>) -> Option<Self> {
        let base = base.filter(|base| base.revision + 1 == head.revision)?;
        let text = apply(&base.text, head.changes.as_ref()?, &head.digest).ok()?;
        Some(Self {
            revision: head.revision,
            text: text.into(),
            digest: head.digest,
        })
    }

    /// Converts a peer's reply to a fetch with the revision of `base`.
    pub(super) fn from_reply(reply: &FetchDocumentReply, base: Option<&Self>) -> Result<Self> {
        let expected = TextDigest::try_from(&*reply.digest).map_err(|_| VersionError::Malformed)?;
        let text = match reply.is_delta {
            true => {
                let base = base.ok_or(VersionError::NoBase)?;
                let changes: Vec<_> = reply.sections.iter().map(SectionChange::from).collect();
                apply(&base.text, &changes, &expected)?
            }
            false if digest(&reply.text) == expected => reply.text.clone(),
            false => return Err(VersionError::Digest),
        };
        Ok(Self {
            revision: reply.revision,
            text: text.into(),
            digest: expected,
        })
    }

    /// Returns a fetch reply with the full text.
    pub(super) fn full_reply(&self) -> FetchDocumentReply {
        FetchDocumentReply {
            revision: self.revision,
            text: self.text.to_string(),
            sections: Vec::new(),
            is_delta: false,
            digest: self.digest.to_vec(),
        }
    }

    /// Returns a fetch reply with only the changes.
    pub(super) fn delta_reply(&self, changes: &[SectionChange]) -> FetchDocumentReply {
        FetchDocumentReply {
            revision: self.revision,
            text: String::new(),
            sections: changes.iter().map(Section::from).collect(),
            is_delta: true,
            digest: self.digest.to_vec(),
        }
    }
}

impl From<Published> for Version {
    fn from(published: Published) -> Self {
        Self {
            revision: published.head.revision,
            text: published.text,
            digest: published.head.digest,
        }
    }
}

impl From<ApplyError> for VersionError {
    fn from(e: ApplyError) -> Self {
        match e {
            ApplyError::Digest => Self::Digest,
        }
    }
}

impl From<&Section> for SectionChange {
    fn from(section: &Section) -> Self {
        Self {
            heading: section.heading.as_str().into(),
            text: (!section.removed).then(|| section.text.as_str().into()),
        }
    }
}

impl From<&SectionChange> for Section {
    fn from(change: &SectionChange) -> Self {
        Self {
            heading: change.heading.to_string(),
            text: change.text.as_deref().unwrap_or_default().to_owned(),
            removed: change.text.is_none(),
        }
    }
}
