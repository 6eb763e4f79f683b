//! Keys of entries, and their assignment to shards and pages.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;
use uuid::{Builder, Uuid, Version};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::id::CustomerId;
use crate::core::time::UnixMillis;

/// Number of shards. Stored entries are located by it, so it must never change.
pub const SHARDS: u16 = 32;
/// Time span of the keys in one page. Stored entries are located by it, so it must never change.
pub const PAGE_SPAN: Duration = Duration::from_secs(60);
/// Maximum clock skew: how far a key's time may be ahead of the clock of the node that checks it.
pub const MAX_KEY_AHEAD: Duration = Duration::from_secs(5 * 60);

/// Index of a shard, below [`SHARDS`].
pub type ShardIndex = u16;
/// Number of a page: its time in units of [`PAGE_SPAN`].
pub type Epoch = u64;

/// The key is not a UUID of version 7.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the idempotency key is not a UUID of version 7, which carries the time of its making")]
pub struct KeyError;

/// Identifies a non-idempotent call: a UUID of version 7, which contains the time of its creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Creates a key from the time and random bytes.
    pub fn issue(now: UnixMillis, random: &[u8; 10]) -> Self {
        Self(Builder::from_unix_timestamp_millis(now, random).into_uuid())
    }

    /// Reads a key from its 16 bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a UUID of version 7.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, KeyError> {
        Self::checked(Uuid::from_slice(bytes).map_err(|_| KeyError)?)
    }

    /// Returns the 16 bytes of the key.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Returns the time at which the key was created.
    pub fn issued_at(&self) -> UnixMillis {
        let bytes = self.0.as_bytes();
        bytes[..6]
            .iter()
            .fold(0, |millis, byte| millis << 8 | UnixMillis::from(*byte))
    }

    /// Returns the page that contains the key.
    pub fn epoch(&self) -> Epoch {
        epoch_at(self.issued_at())
    }

    fn checked(uuid: Uuid) -> Result<Self, KeyError> {
        match uuid.get_version() {
            Some(Version::SortRand) => Ok(Self(uuid)),
            _ => Err(KeyError),
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        Self::checked(Uuid::parse_str(text).map_err(|_| KeyError)?)
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the page of the keys created at a time.
pub(super) fn epoch_at(time: UnixMillis) -> Epoch {
    time / PAGE_SPAN.as_millis() as u64
}

/// Identifies an entry. Equal keys of different customers identify different entries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryKey {
    /// The customer.
    pub customer: CustomerId,
    /// The customer's idempotency key.
    pub key: IdempotencyKey,
}

impl EntryKey {
    /// Returns the shard that contains the entry.
    pub fn shard(&self) -> ShardIndex {
        let seed = xxh3_64_with_seed(self.customer.as_bytes(), 0);
        let hash = xxh3_64_with_seed(self.key.as_bytes(), seed);
        (hash % u64::from(SHARDS)) as ShardIndex
    }
}
