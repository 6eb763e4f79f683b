//! What a node knows of the store, told to other nodes.
//!
//! A node asks others where the store does not serve it, or where it follows another node instead of
//! the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use prost::Message;
use rand::seq::IteratorRandom;
use reqwest::Client;

use super::board::Board;
use super::install::{self, Source};
use super::mesh::Mesh;
use super::view::{Deletion, Gone, KeyHash, Versioned};
use crate::core::time::Moment;
use crate::sources::store::{Key, KeyValue};
use crate::util::query;

/// Path at which a node tells what it knows.
pub const PATH: &str = "/snapshot";
/// Time after the start at which a node without a configuration asks the nodes that its settings name.
const ASK_SEEDS_AFTER: Duration = Duration::from_millis(700);
/// Longest wait for an answer that is given at once.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean time for which the store's own word is awaited after another node has told of a change.
const STORE_FIRST: Duration = Duration::from_millis(300);
/// Nodes that are asked for one change.
const MAX_ASKED: usize = 3;
/// Silence of a node after which it is not asked.
const SILENCE: Moment = Moment::from_millis(2500);
/// Bytes from which on a value is compressed for other nodes.
const PACKED_FROM: usize = 4096;

/// What a node knows, or what changed.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotWire {
    /// Revision up to which it knows all changes.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Keys with their values.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemWire>,
    /// Keys that were deleted.
    #[prost(message, repeated, tag = "3")]
    pub deletions: Vec<DeletionWire>,
    /// Whether all keys are gone but those of `items` and `kept`.
    #[prost(bool, tag = "4")]
    pub is_whole: bool,
    /// Age of the store's last word to the node, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub contact_age_ms: u64,
    /// Hashes of the keys that have not changed, where `is_whole` is set: a node that lists anew need not
    /// tell all values again.
    #[prost(fixed64, repeated, tag = "6")]
    pub kept: Vec<KeyHash>,
}

/// A key with its value.
#[derive(Clone, PartialEq, Message)]
pub struct ItemWire {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value, compressed (LZ4 block behind its length) where `is_packed` is set.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// Revision of the last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Revision at which the key was made.
    #[prost(uint64, tag = "4")]
    pub created: u64,
    /// Whether the value is compressed.
    #[prost(bool, tag = "5")]
    pub is_packed: bool,
}

/// A key that was deleted.
#[derive(Clone, PartialEq, Message)]
pub struct DeletionWire {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the deletion.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the key may have lapsed only because the store was away.
    #[prost(bool, tag = "3")]
    pub is_doubtful: bool,
}

impl TryFrom<ItemWire> for KeyValue {
    type Error = eyre::Report;

    fn try_from(wire: ItemWire) -> eyre::Result<Self> {
        let value = match wire.is_packed {
            true => lz4_flex::decompress_size_prepended(&wire.value)
                .wrap_err_with(|| format!("unpacking the value of {}", wire.key))?
                .into(),
            false => wire.value,
        };
        Ok(Self {
            key: wire.key.into(),
            value,
            create_revision: wire.created,
            mod_revision: wire.revision,
            version: 0,
            lease: None,
        })
    }
}

impl From<(Key, Versioned)> for ItemWire {
    fn from((key, item): (Key, Versioned)) -> Self {
        let is_packed = item.value.len() >= PACKED_FROM;
        Self {
            key: key.into(),
            value: match is_packed {
                true => lz4_flex::compress_prepend_size(&item.value).into(),
                false => item.value,
            },
            revision: item.revision,
            created: item.created,
            is_packed,
        }
    }
}

impl From<Deletion> for DeletionWire {
    fn from(deletion: Deletion) -> Self {
        Self {
            key: deletion.key.into(),
            revision: deletion.revision,
            is_doubtful: deletion.is_doubtful,
        }
    }
}

impl From<DeletionWire> for Deletion {
    fn from(wire: DeletionWire) -> Self {
        Self {
            key: wire.key.into(),
            revision: wire.revision,
            is_doubtful: wire.is_doubtful,
        }
    }
}

/// Answers a node that knows changes up to `after=`: with what changed since, after a wait of
/// `wait_ms=` at most for something to change.
pub async fn answer(board: &Board, query: &str) -> Vec<u8> {
    let after = number(query, "after");
    let wait = Duration::from_millis(number(query, "wait_ms"));
    let mut revision = board.revision.subscribe();
    let changed = revision.wait_for(|known| *known > after);
    // No change within the wait is an answer, too.
    let _ = tokio::time::timeout(wait, changed)
        .await
        .map(|seen| seen.is_ok());
    encode(board, after).encode_to_vec()
}

fn number(query: &str, name: &str) -> u64 {
    query::value(query, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

fn encode(board: &Board, after: u64) -> SnapshotWire {
    let now = board.now();
    let view = board.view.lock();
    let changes = view.since(after);
    let contact = view.contact.unwrap_or_default();
    let is_whole = matches!(changes.gone, Gone::AllBut(_));
    let (deletions, kept) = match changes.gone {
        Gone::Deleted(deletions) => (deletions, Vec::new()),
        Gone::AllBut(kept) => (Vec::new(), kept),
    };
    SnapshotWire {
        revision: view.revision,
        items: changes.items.into_iter().map(Into::into).collect(),
        is_whole,
        deletions: deletions.into_iter().map(Into::into).collect(),
        contact_age_ms: now.saturating_sub(contact).as_millis() as u64,
        kept,
    }
}

/// Fetches what others know while the store does not serve this node, until the task is dropped.
pub async fn run(board: Arc<Board>, mesh: Arc<Mesh>, client: Client) {
    ask_seeds(&board, &client).await;
    let mut newest = mesh.newest();
    loop {
        if newest.changed().await.is_err() {
            return;
        }
        newest.mark_unchanged();
        // Nodes hear of a change at about the same time; they do not all ask at once.
        tokio::time::sleep(STORE_FIRST.mul_f64(0.5 + rand::random::<f64>())).await;
        catch_up(&board, &client).await;
    }
}

/// Asks nodes that know more than this one, one after the other and chosen at random, until one answers.
async fn catch_up(board: &Board, client: &Client) {
    for _ in 0..MAX_ASKED {
        let known = board.view.lock().revision;
        let peer = {
            let members = board.members.lock();
            members
                .ahead_of(known, board.now(), SILENCE)
                .choose(&mut rand::rng())
        };
        let Some(peer) = peer else { return };
        match fetch(board, client, peer, Duration::ZERO).await {
            Ok(snapshot) => return take(board, snapshot, peer),
            Err(e) => {
                tracing::warn!(%peer, error = %format!("{e:#}"), "state of a node not fetched");
            }
        }
    }
}

/// Asks the nodes that the settings name while this node knows nothing.
async fn ask_seeds(board: &Board, client: &Client) {
    loop {
        tokio::time::sleep(ASK_SEEDS_AFTER).await;
        if board.table().is_some() {
            return;
        }
        for seed in &board.settings.seeds {
            if *seed == board.settings.listen.control {
                continue;
            }
            match fetch(board, client, *seed, Duration::ZERO).await {
                Ok(snapshot) => take(board, snapshot, *seed),
                Err(e) => tracing::debug!(peer = %seed, error = %e, "state of a node not fetched"),
            }
        }
    }
}

/// Fetches what a node knows beyond what this node does.
///
/// # Errors
///
/// Fails where the node is not reached or answers in another form.
pub async fn fetch(
    board: &Board,
    client: &Client,
    control: SocketAddr,
    wait: Duration,
) -> eyre::Result<SnapshotWire> {
    let after = board.view.lock().revision;
    let wait_ms = wait.as_millis();
    let res = client
        .get(format!(
            "http://{control}{PATH}?after={after}&wait_ms={wait_ms}"
        ))
        .timeout(FETCH_TIMEOUT + wait)
        .send()
        .await?
        .error_for_status()?;
    Ok(SnapshotWire::decode(res.bytes().await?)?)
}

/// Takes what a node told.
pub fn take(board: &Board, snapshot: SnapshotWire, peer: SocketAddr) {
    if snapshot.revision <= board.view.lock().revision {
        return;
    }
    let revision = snapshot.revision;
    let count = snapshot.items.len() + snapshot.deletions.len();
    let items = snapshot.items.into_iter().map(TryInto::try_into);
    let items = match items.collect::<eyre::Result<Vec<KeyValue>>>() {
        Ok(items) => items,
        Err(e) => {
            tracing::warn!(%peer, error = %format!("{e:#}"), "state of a node cannot be read");
            return;
        }
    };
    if snapshot.is_whole {
        install::list(board, &items, &snapshot.kept, revision, Source::Peer);
    } else {
        for item in &items {
            install::put(board, item, Source::Peer);
        }
        for deletion in snapshot.deletions {
            install::delete(board, deletion.into());
        }
        board.set_revision(revision);
    }
    tracing::debug!(%peer, revision, changes = count, "state taken from a node");
}
