//! Heads and pages, which a shard stores as values.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::entry::{Entry, EntryState, Outcome};
use super::key::{EntryKey, Epoch};
use crate::core::id::{AttemptNumber, NodeId};

/// Revision of the whole store, from 1.
pub type Revision = u64;

/// Maximum size of an encoded page, in bytes.
pub const MAX_PAGE_BYTES: usize = 64 * 1024;
/// Maximum size of a body that is stored with an outcome, in bytes.
pub const MAX_BODY_BYTES: usize = 2 * 1024;
/// Size of a page up to which bodies are stored, in bytes. The space above it is reserved for
/// entries without bodies.
const MAX_PAGE_BYTES_WITH_BODIES: usize = 40 * 1024;
/// Maximum encoded size of an entry without its strings and its body, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 72;
/// Maximum encoded size of a page without its entries, in bytes.
const PAGE_OVERHEAD_BYTES: usize = 16;
/// Maximum size of a stored content type, in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 64;

/// The value that each write to a shard compares and swaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Head {
    /// Process instance that wrote last; empty before the first write.
    pub writer: NodeId,
    /// Number of the last write to the shard.
    pub sequence: u64,
    /// First retained page. Keys of earlier pages are expired, regardless of the clock.
    pub floor: Epoch,
}

/// Entries whose keys were created within one [`PAGE_SPAN`](super::PAGE_SPAN).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Page {
    entries: BTreeMap<EntryKey, Entry>,
    bytes: usize,
}

impl Page {
    /// Returns an entry.
    pub fn get(&self, key: &EntryKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns all entries, sorted by key.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&EntryKey, &Entry)> {
        self.entries.iter()
    }

    /// Returns whether a new entry fits, including the outcome without a body that will replace it.
    pub fn has_room(&self, key: &EntryKey, writer: &str) -> bool {
        self.bytes + intent_bytes(key, writer) + PAGE_OVERHEAD_BYTES <= MAX_PAGE_BYTES
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        self.bytes + PAGE_OVERHEAD_BYTES
    }

    /// Inserts or replaces an entry. Drops the parts of an outcome that are too large.
    pub fn insert(&mut self, key: EntryKey, mut entry: Entry) {
        self.remove(&key);
        if let EntryState::Answered(outcome) = &mut entry.state {
            drop_oversized_parts(outcome);
        }
        if self.bytes + entry_bytes(&key, &entry) > MAX_PAGE_BYTES_WITH_BODIES
            && let EntryState::Answered(outcome) = &mut entry.state
        {
            outcome.body = None;
        }
        self.bytes += entry_bytes(&key, &entry);
        self.entries.insert(key, entry);
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &EntryKey) {
        if let Some(old) = self.entries.remove(key) {
            self.bytes -= entry_bytes(key, &old);
        }
    }

    /// Removes those intents of a writer for which `is_void` returns true: those that it never
    /// dispatched.
    pub fn remove_void_intents(
        &mut self,
        intent_writer: &str,
        is_void: impl Fn(&EntryKey, AttemptNumber) -> bool,
    ) {
        let void: Vec<EntryKey> = self
            .entries
            .iter()
            .filter(|(key, entry)| match &entry.state {
                EntryState::Intent { writer, attempt } => {
                    &**writer == intent_writer && is_void(key, *attempt)
                }
                EntryState::Answered(_) | EntryState::MayHaveRun => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in void {
            self.remove(&key);
        }
    }
}

fn drop_oversized_parts(outcome: &mut Outcome) {
    if outcome
        .body
        .as_ref()
        .is_some_and(|body| body.len() > MAX_BODY_BYTES)
    {
        outcome.body = None;
    }
    if outcome.content_type.len() > MAX_CONTENT_TYPE_BYTES {
        outcome.content_type = Box::default();
    }
}

/// An intent reserves the space that its outcome without a body may need.
fn intent_bytes(key: &EntryKey, writer: &str) -> usize {
    ENTRY_OVERHEAD_BYTES + key.customer.len() + writer.len().max(MAX_CONTENT_TYPE_BYTES)
}

fn entry_bytes(key: &EntryKey, entry: &Entry) -> usize {
    match &entry.state {
        EntryState::Intent { writer, .. } => intent_bytes(key, writer),
        EntryState::Answered(outcome) => {
            let body = outcome.body.as_ref().map_or(0, Bytes::len);
            ENTRY_OVERHEAD_BYTES + key.customer.len() + outcome.content_type.len() + body
        }
        EntryState::MayHaveRun => ENTRY_OVERHEAD_BYTES + key.customer.len(),
    }
}
