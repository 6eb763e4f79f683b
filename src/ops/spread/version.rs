//! One revision of a spread document with its text, and its form on the wire.

use jayhall_wire::{FetchDocumentReply, Section};
use thiserror::Error;

use crate::core::document::sections::{ApplyError, SectionChange, TextDigest, apply, digest};
use crate::core::id::ConfigRevision;
use crate::ops::publish::{Head, Published};

/// One revision of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Revision, from 1.
    pub revision: ConfigRevision,
    /// Whole text.
    pub text: Box<str>,
    /// SHA-256 of the text.
    pub digest: TextDigest,
}

/// Why a reply of a peer or a head of the store gives no version.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum VersionError {
    /// The text is not the one that the sender meant.
    #[error("the text has another digest than the sender's")]
    Digest,
    /// The digest has not 32 bytes.
    #[error("the digest has not 32 bytes")]
    Malformed,
    /// Changes were sent without the base being there.
    #[error("there is no text to apply the changes to")]
    NoBase,
}

pub(super) type Result<T> = std::result::Result<T, VersionError>;

impl Version {
    /// Creates a version and works out its digest.
    pub fn new(revision: ConfigRevision, text: impl Into<Box<str>>) -> Self {
        let text = text.into();
        Self {
            revision,
            digest: digest(&text),
            text,
        }
    }

    /// Returns the version that a head of the store makes of the version before it, or `None` where
    /// the whole text has to be read.
    pub(super) fn from_head(head: &Head, base: Option<&Self>) -> Option<Self> {
        let base = base.filter(|base| base.revision + 1 == head.revision)?;
        let text = apply(&base.text, head.changes.as_ref()?, &head.digest).ok()?;
        Some(Self {
            revision: head.revision,
            text: text.into(),
            digest: head.digest,
        })
    }

    /// Reads the reply of a peer to a fetch from `base`.
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

    /// Returns the reply with the whole text.
    pub(super) fn whole_reply(&self) -> FetchDocumentReply {
        FetchDocumentReply {
            revision: self.revision,
            text: self.text.to_string(),
            sections: Vec::new(),
            is_delta: false,
            digest: self.digest.to_vec(),
        }
    }

    /// Returns the reply with changes only.
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
