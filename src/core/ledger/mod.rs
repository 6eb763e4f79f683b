//! The ledger of calls that may not be repeated: what keeps each of them from running twice.
//!
//! The ledger is split into [`SHARDS`] shards and each shard, by the time of its keys, into pages. A
//! page and the shard's head are values in the store. [`Shard`] is one writer's view of a shard as a
//! pure state machine: a call is dispatched only once its intent is in the store, and every write
//! compares the head's revision, so that of two writers only one succeeds.

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
pub use step::{Arrival, Commit, CommitResult, Next, Refusal, Step, Want};
