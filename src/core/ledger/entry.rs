//! What the ledger knows about one call.

use bytes::Bytes;
use sha2::{Digest, Sha256};

use crate::core::id::{AttemptNumber, NodeId};

/// First half of the SHA-256 of a call: its service, content type and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyDigest(pub [u8; 16]);

impl BodyDigest {
    /// Returns the digest of a call.
    pub fn of(service: &str, content_type: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [service.as_bytes(), content_type.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut half = [0; 16];
        half.copy_from_slice(&hasher.finalize()[..16]);
        Self(half)
    }
}

/// What a service answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body; empty where there is none.
    pub content_type: Box<str>,
    /// Body; `None` where it was too large to be kept.
    pub body: Option<Bytes>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Settlement {
    /// The service answered.
    Answered(Outcome),
    /// Nothing left for the service.
    NotRun,
    /// Something left for the service, and no answer came.
    MayHaveRun,
}

/// State of an entry. A call that was not run has no entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryState {
    /// An attempt may be under way.
    Intent {
        /// Life of a process that may dispatch it; no other ever does.
        writer: NodeId,
        /// Number of the attempt among those of the writer.
        attempt: AttemptNumber,
    },
    /// The service answered.
    Answered(Outcome),
    /// The attempt's answer was lost.
    MayHaveRun,
}

/// What the ledger knows about one call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// Digest of the call that the key stands for.
    pub digest: BodyDigest,
    /// State.
    pub state: EntryState,
}
