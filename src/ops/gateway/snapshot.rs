//! What a node knows of the store, told to another one that the store does not serve.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use reqwest::Client;

use super::board::Board;
use super::install::{self, Source};
use super::mesh::Mesh;
use crate::sources::store::KeyValue;

/// Path at which a node tells what it knows.
pub const PATH: &str = "/snapshot";
/// Age of the last word from the store after which a node asks others.
const STALE: Duration = Duration::from_millis(700);
/// Longest wait for an answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two fetches.
const FETCH_INTERVAL: Duration = Duration::from_millis(250);

/// What a node knows.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotWire {
    /// Revision up to which it knows all changes.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Keys with their values.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemWire>,
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

/// Encodes what this node knows.
pub fn encode(board: &Board) -> Vec<u8> {
    let view = board.view.lock();
    SnapshotWire {
        revision: view.revision,
        items: view
            .iter()
            .map(|(key, item)| ItemWire {
                key: key.to_string(),
                value: item.value.clone(),
                revision: item.revision,
                created: item.created,
            })
            .collect(),
    }
    .encode_to_vec()
}

/// Fetches what others know while the store does not serve this node, until the task is dropped.
pub async fn run(board: Arc<Board>, mesh: Arc<Mesh>, client: Client) {
    fetch_from_seeds(&board, &client).await;
    let mut newer = mesh.newer();
    loop {
        if newer.changed().await.is_err() {
            return;
        }
        let Some(peer) = *newer.borrow_and_update() else {
            continue;
        };
        // The store's own word is usually on its way.
        tokio::time::sleep(FETCH_INTERVAL).await;
        if board.view.lock().revision >= peer.revision {
            continue;
        }
        match fetch(&client, &peer.control.to_string()).await {
            Ok(snapshot) => take(&board, snapshot, &peer.control.to_string()),
            Err(e) => tracing::warn!(peer = %peer.control, error = %e, "state of a node not fetched"),
        }
    }
}

/// Asks the nodes that the settings name while this node knows nothing.
async fn fetch_from_seeds(board: &Board, client: &Client) {
    loop {
        tokio::time::sleep(STALE).await;
        if board.table().is_some() {
            return;
        }
        for seed in &board.settings.seeds {
            if *seed == board.settings.listen.control {
                continue;
            }
            match fetch(client, &seed.to_string()).await {
                Ok(snapshot) => take(board, snapshot, &seed.to_string()),
                Err(e) => tracing::debug!(peer = %seed, error = %e, "state of a node not fetched"),
            }
        }
    }
}

async fn fetch(client: &Client, control: &str) -> eyre::Result<SnapshotWire> {
    let res = client
        .get(format!("http://{control}{PATH}"))
        .timeout(FETCH_TIMEOUT)
        .send()
        .await?
        .error_for_status()?;
    Ok(SnapshotWire::decode(res.bytes().await?)?)
}

fn take(board: &Board, snapshot: SnapshotWire, peer: &str) {
    if snapshot.revision <= board.view.lock().revision {
        return;
    }
    let revision = snapshot.revision;
    let items: Vec<KeyValue> = snapshot.items.into_iter().map(Into::into).collect();
    install::list(board, &items, revision, Source::Peer);
    tracing::info!(peer, revision, items = items.len(), "state taken from a node");
}

