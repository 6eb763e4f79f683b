//! Encoding of a node's view of the store for other nodes.

use bytes::Bytes;
use eyre::WrapErr;
use prost::Message;

use super::view::{Deletion, KeyHash, Versioned};
use crate::sources::store::{Key, KeyValue, Revision};

/// Size in bytes from which values and whole snapshots are compressed for other nodes.
pub(super) const MIN_COMPRESSED_BYTES: usize = 4096;
/// Size limit for a snapshot, as it is sent and unpacked.
pub(super) const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// A node's view of the store, or the changes since a revision.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotWire {
    /// Number of the revision up to which all changes are included.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Keys with their values, written since the requested revision.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemWire>,
    /// Keys that were deleted.
    #[prost(message, repeated, tag = "3")]
    pub deletions: Vec<DeletionWire>,
    /// Whether all keys except those of `items` and `kept` are deleted.
    #[prost(bool, tag = "4")]
    pub is_whole: bool,
    /// Time for which the node's view has not been confirmed to be complete, in milliseconds; absent if it
    /// never was.
    #[prost(uint64, optional, tag = "5")]
    pub contact_age_ms: Option<u64>,
    /// Hashes of the unchanged keys if `is_whole` is set, so that a node that has listed the store need
    /// not send all values again.
    #[prost(fixed64, repeated, tag = "6")]
    pub kept: Vec<KeyHash>,
    /// Time for which the node waited for changes before it responded, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub waited_ms: u64,
    /// All of the above as an LZ4 block preceded by its length, in place of the other fields.
    #[prost(bytes = "bytes", tag = "8")]
    pub packed: Bytes,
    /// Era of the revision.
    #[prost(uint64, tag = "9")]
    pub era: u64,
    /// Time since the era began, in milliseconds, as far as the node knows.
    #[prost(uint64, optional, tag = "10")]
    pub era_age_ms: Option<u64>,
}

/// A key with its value.
#[derive(Clone, PartialEq, Message)]
pub struct ItemWire {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value; if `is_packed` is set, compressed as an LZ4 block preceded by its length.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// Number of the revision of the last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Number of the revision at which the key was created.
    #[prost(uint64, tag = "4")]
    pub created: u64,
    /// Whether the value is compressed.
    #[prost(bool, tag = "5")]
    pub is_packed: bool,
    /// Era of both revisions.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

/// A key that was deleted.
#[derive(Clone, PartialEq, Message)]
pub struct DeletionWire {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Number of the revision of the deletion.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Era of the revision.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

impl TryFrom<ItemWire> for KeyValue {
    type Error = eyre::Report;

    fn try_from(wire: ItemWire) -> eyre::Result<Self> {
        let value = match wire.is_packed {
            true => unpack(&wire.value)
                .wrap_err_with(|| format!("unpacking the value of {}", wire.key))?
                .into(),
            false => wire.value,
        };
        let in_era = |number| Revision {
            era: wire.era,
            number,
        };
        Ok(Self {
            key: wire.key.into(),
            value,
            create_revision: in_era(wire.created),
            mod_revision: in_era(wire.revision),
            version: 0,
            lease: None,
        })
    }
}

impl From<(Key, Versioned)> for ItemWire {
    fn from((key, item): (Key, Versioned)) -> Self {
        let is_packed = item.value.len() >= MIN_COMPRESSED_BYTES;
        Self {
            key: key.into(),
            value: match is_packed {
                true => lz4_flex::compress_prepend_size(&item.value).into(),
                false => item.value,
            },
            revision: item.revision.number,
            created: item.created.number,
            is_packed,
            era: item.revision.era,
        }
    }
}

impl From<Deletion> for DeletionWire {
    fn from(deletion: Deletion) -> Self {
        Self {
            key: deletion.key.into(),
            revision: deletion.revision.number,
            era: deletion.revision.era,
        }
    }
}

impl From<DeletionWire> for Deletion {
    fn from(wire: DeletionWire) -> Self {
        Self {
            key: wire.key.into(),
            revision: Revision {
                era: wire.era,
                number: wire.revision,
            },
        }
    }
}

impl SnapshotWire {
    /// Returns the revision up to which all changes are included.
    pub fn revision(&self) -> Revision {
        Revision {
            era: self.era,
            number: self.revision,
        }
    }
}

/// Compresses an encoded snapshot.
pub(super) fn pack(text: &[u8]) -> SnapshotWire {
    SnapshotWire {
        packed: lz4_flex::compress_prepend_size(text).into(),
        ..SnapshotWire::default()
    }
}

/// Uncompresses an LZ4 block that is preceded by its length, if that is no more than [`MAX_SNAPSHOT_BYTES`].
fn unpack(packed: &[u8]) -> eyre::Result<Vec<u8>> {
    let (len, _) = lz4_flex::block::uncompressed_size(packed)?;
    eyre::ensure!(len <= MAX_SNAPSHOT_BYTES, "{len} bytes are too many");
    Ok(lz4_flex::decompress_size_prepended(packed)?)
}

/// Decodes the response of a node, which may be compressed.
///
/// # Errors
///
/// Fails if it is no snapshot, or unpacks to more than [`MAX_SNAPSHOT_BYTES`].
pub(super) fn decode(text: Bytes) -> eyre::Result<SnapshotWire> {
    let snapshot = SnapshotWire::decode(text)?;
    if snapshot.packed.is_empty() {
        return Ok(snapshot);
    }
    let text = unpack(&snapshot.packed).wrap_err("unpacking")?;
    Ok(SnapshotWire::decode(Bytes::from(text))?)
}
