//! Ledger of non-idempotent calls, which guarantees that each of them runs at most once.
//!
//! The ledger is split into [`SHARDS`] shards, and each shard into pages by the time in its keys. Each
//! page and each shard's head is a value in the store. [`Shard`] is one writer's view of a shard as a
//! pure state machine: a call is dispatched only after its intent is in the store, and every write
//! is a compare-and-swap on the head's revision, so that only one of two concurrent writers succeeds.

mod codec;
mod entry;
mod key;
mod page;
mod shard;
mod step;

pub use codec::{CodecError, FORMAT};
pub use entry::{BodyDigest, Entry, EntryState, Outcome, Settlement};
pub use key::{
    EntryKey, Epoch, IdempotencyKey, KeyError, MAX_KEY_AHEAD, PAGE_SPAN, SHARDS, ShardIndex,
};
pub use page::{Head, MAX_BODY_BYTES, MAX_PAGE_BYTES, Page, Revision};
pub use shard::{Shard, Snapshot};
pub use step::{Arrival, Commit, CommitResult, NextStoreCall, Refusal, Step, StoreCallKind};
