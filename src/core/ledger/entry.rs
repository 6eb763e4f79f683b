//! Entries: the recorded state of one call each.

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

/// Answer of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body; empty where there is none.
    pub content_type: Box<str>,
    /// Body; `None` where it was too large to store.
    pub body: Option<Bytes>,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Settlement {
    /// The service answered.
    Answered(Outcome),
    /// No byte of the call was sent to the service.
    NotRun,
    /// Part of the call was sent to the service, and no answer was received.
    MayHaveRun,
}

/// State of an entry. A call that was not run has no entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryState {
    /// An attempt may be in progress.
    Intent {
        /// Process instance that may dispatch the attempt; no other one ever does.
        writer: NodeId,
        /// Number of the attempt, unique for the writer.
        attempt: AttemptNumber,
    },
    /// The service answered.
    Answered(Outcome),
    /// The attempt's answer was lost.
    MayHaveRun,
}

/// Recorded state of one call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// Digest of the call that the key identifies.
    pub digest: BodyDigest,
    /// State of the call.
    pub state: EntryState,
}
