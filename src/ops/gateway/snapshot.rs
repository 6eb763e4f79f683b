//! What a node knows of the store, told to other nodes.
//!
//! A node asks others where the store does not serve it, or where it follows another node instead of
//! the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use reqwest::Client;

use super::board::Board;
use super::install::{self, Source};
use super::mesh::Mesh;
use super::view::{Deletion, Versioned};
use crate::sources::store::{Key, KeyValue};

/// Path at which a node tells what it knows.
pub const PATH: &str = "/snapshot";
/// Time after the start at which a node without a configuration asks the nodes that its settings name.
const ASK_SEEDS_AFTER: Duration = Duration::from_millis(700);
/// Longest wait for an answer that is given at once.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which the store's own word is awaited after another node has told of a change.
const STORE_FIRST: Duration = Duration::from_millis(250);

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
    /// Whether `items` is everything, so that all other keys are gone.
    #[prost(bool, tag = "4")]
    pub is_whole: bool,
    /// Age of the store's last word to the node, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub contact_age_ms: u64,
}

/// A key with its value.
#[derive(Clone, PartialEq, Message)]
pub struct ItemWire {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// Revision of the last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Revision at which the key was made.
    #[prost(uint64, tag = "4")]
    pub created: u64,
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

impl From<ItemWire> for KeyValue {
    fn from(wire: ItemWire) -> Self {
        Self {
            key: wire.key.into(),
            value: wire.value,
            create_revision: wire.created,
            mod_revision: wire.revision,
            version: 0,
            lease: None,
        }
    }
}

impl From<(Key, Versioned)> for ItemWire {
    fn from((key, item): (Key, Versioned)) -> Self {
        Self {
            key: key.into(),
            value: item.value,
            revision: item.revision,
            created: item.created,
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
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn encode(board: &Board, after: u64) -> SnapshotWire {
    let now = board.now();
    let view = board.view.lock();
    let changes = view.since(after);
    let contact = view.contact.unwrap_or_default();
    SnapshotWire {
        revision: view.revision,
        items: changes.items.into_iter().map(Into::into).collect(),
        is_whole: changes.deletions.is_none(),
        deletions: changes
            .deletions
            .into_iter()
            .flatten()
            .map(Into::into)
            .collect(),
        contact_age_ms: now.saturating_sub(contact).as_millis() as u64,
    }
}

/// Fetches what others know while the store does not serve this node, until the task is dropped.
pub async fn run(board: Arc<Board>, mesh: Arc<Mesh>, client: Client) {
    ask_seeds(&board, &client).await;
    let mut newer = mesh.newer();
    loop {
        if newer.changed().await.is_err() {
            return;
        }
        let Some(peer) = *newer.borrow_and_update() else {
            continue;
        };
        tokio::time::sleep(STORE_FIRST).await;
        if board.view.lock().revision >= peer.revision {
            continue;
        }
        match fetch(&board, &client, peer.control, Duration::ZERO).await {
            Ok(snapshot) => take(&board, snapshot, peer.control),
            Err(e) => {
                tracing::warn!(peer = %peer.control, error = %e, "state of a node not fetched");
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
    let items: Vec<KeyValue> = snapshot.items.into_iter().map(Into::into).collect();
    if snapshot.is_whole {
        install::list(board, &items, revision, Source::Peer);
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
