//! Reads and writes a shard's head and pages in the store.

use crate::core::ledger::{
    CodecError, Commit, CommitResult, Epoch, Head, Page, ShardIndex, Snapshot,
};
use crate::sources::store::{
    Compare, Condition, Key, KeyRange, KeyValue, Op, OpResult, Store, StoreError, Transaction,
};

/// Result of a shard's store call.
pub(super) enum StoreAnswer {
    Loaded(Snapshot),
    LoadFailed(LoadError),
    Committed(CommitResult),
}

/// Error when reading a shard.
#[derive(Debug, thiserror::Error)]
pub(super) enum LoadError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Codec(#[from] CodecError),
}

fn head_key(shard: ShardIndex) -> Key {
    format!("ledger/{shard:02}").into()
}

fn page_key(shard: ShardIndex, epoch: Epoch) -> Key {
    format!("ledger/{shard:02}/{epoch:010}").into()
}

/// Reads the head and pages at a single store revision.
pub(super) async fn load(store: &dyn Store, shard: ShardIndex, epochs: Vec<Epoch>) -> StoreAnswer {
    match try_load(store, shard, &epochs).await {
        Ok(snapshot) => StoreAnswer::Loaded(snapshot),
        Err(e) => StoreAnswer::LoadFailed(e),
    }
}

async fn try_load(
    store: &dyn Store,
    shard: ShardIndex,
    epochs: &[Epoch],
) -> Result<Snapshot, LoadError> {
    let pages = epochs.iter().map(|epoch| page_key(shard, *epoch));
    let keys = std::iter::once(head_key(shard)).chain(pages);
    let req = Transaction {
        then: keys.map(|key| Op::Get(KeyRange::One(key))).collect(),
        ..Transaction::default()
    };
    let reply = store.transact(req).await?;
    let mut found = reply.results.into_iter().map(first_entry);
    let (revision, head) = match found.next().flatten() {
        Some(entry) => (entry.mod_revision.number, Head::decode(&entry.value)?),
        None => (0, Head::default()),
    };
    let pages: Result<Vec<_>, CodecError> = epochs
        .iter()
        .zip(found)
        .map(|(epoch, entry)| Ok((*epoch, decode_page(entry)?)))
        .collect();
    Ok(Snapshot {
        revision,
        head,
        pages: pages?,
    })
}

fn first_entry(result: OpResult) -> Option<KeyValue> {
    match result {
        OpResult::Got(entries) => entries.into_iter().next(),
        OpResult::Put | OpResult::Deleted(_) => None,
    }
}

fn decode_page(entry: Option<KeyValue>) -> Result<Page, CodecError> {
    entry.map_or_else(|| Ok(Page::default()), |entry| Page::decode(&entry.value))
}

/// Writes a commit if the head is still at the expected revision.
pub(super) async fn commit(store: &dyn Store, shard: ShardIndex, commit: Commit) -> StoreAnswer {
    let req = transaction(shard, &commit);
    StoreAnswer::Committed(match store.transact(req).await {
        Ok(reply) if reply.succeeded => CommitResult::Applied(reply.revision.number),
        Ok(_) => CommitResult::Conflict,
        Err(StoreError::AnswerLost { .. }) => CommitResult::Unknown,
        Err(_) => CommitResult::NotApplied,
    })
}

fn transaction(shard: ShardIndex, commit: &Commit) -> Transaction {
    let put = |key, value| Op::Put {
        key,
        value,
        lease: None,
    };
    let pages = commit.pages.iter();
    let puts = pages.map(|(epoch, page)| put(page_key(shard, *epoch), page.encode()));
    let deleted_pages = commit.deleted_pages.iter();
    let deletes = deleted_pages.map(|epoch| Op::Delete(KeyRange::One(page_key(shard, *epoch))));
    Transaction {
        compares: vec![Compare {
            key: head_key(shard),
            condition: Condition::ModRevision(commit.expected.into()),
        }],
        then: std::iter::once(put(head_key(shard), commit.head.encode()))
            .chain(puts)
            .chain(deletes)
            .collect(),
        otherwise: Vec::new(),
    }
}
