//! Transfers a node's view of the store to other nodes, as a whole or as the changes since a revision.
//!
//! A node asks others if the store does not serve it, or if it follows another node instead of the
//! store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::Request;
use prost::Message;
use rand::seq::{IteratorRandom, SliceRandom};

use super::install::{self, Source};
use super::mesh::Mesh;
use super::relay::FetchTime;
use super::snapshot_wire::{
    ItemWire, MAX_SNAPSHOT_BYTES, MIN_COMPRESSED_BYTES, SnapshotWire, decode, pack,
};
use super::state::GatewayState;
use super::view::Removals;
use crate::core::gateway::members::StoreKnowledge;
use crate::core::time::Moment;
use crate::sources::http::{AnswerLimits, HttpClient};
use crate::sources::store::{KeyValue, Revision};
use crate::util::query;
use crate::util::time::as_millis_u64;

/// Path of the snapshot on the control listener.
pub const PATH: &str = "/snapshot";
/// Delay after the start before a node without a configuration asks the nodes that its settings name.
const SEED_FETCH_DELAY: Duration = Duration::from_millis(700);
/// Timeout of a fetch, in addition to the time for which the other node may wait for changes.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean delay between another node's message about a newer revision and a fetch from a node, in which
/// the change normally arrives from the store.
const STORE_WATCH_DELAY: Duration = Duration::from_millis(300);
/// Times of a fetch of changes that are known to exist.
const AT_ONCE: FetchTime = FetchTime {
    wait: Duration::ZERO,
    timeout: FETCH_TIMEOUT,
};
/// Limit on the nodes that are asked for one change.
const MAX_PEERS_ASKED: usize = 3;
/// Time without a message of a node after which it is not asked.
const NODE_TIMEOUT: Moment = Moment::from_millis(2500);
/// Time for which a node that starts asks the nodes that its settings name for their view, before it lists the
/// store itself.
const MAX_SEED_COPY_TIME: Duration = Duration::from_millis(1500);
/// Delay after which the next one of these nodes is asked while one does not answer.
const SEED_HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Time for which one of these nodes waits for its own view, which leaves time for the answer.
const SEED_VIEW_WAIT: Duration = Duration::from_millis(350);
/// Mean interval between two rounds of these requests, while the nodes have no complete view either.
const SEED_COPY_INTERVAL: Duration = Duration::from_millis(150);

/// Responds to a node that knows all changes up to the revision `era` and `after` of the query and has the
/// configuration of version `config`, with the changes since then. If there are none, waits for a change, for
/// the query's `wait_ms` at most.
pub async fn respond(state: &GatewayState, query: &str) -> Vec<u8> {
    let asking = StoreKnowledge {
        revision: Revision {
            era: query_number(query, "era"),
            number: query_number(query, "after"),
        },
        config_version: query_number(query, "config"),
    };
    let wait = Duration::from_millis(query_number(query, "wait_ms"));
    let started = state.now();
    let mut revision = state.revision.subscribe();
    let changed = revision.wait_for(|_| state.knowledge().is_ahead_of(&asking));
    // If nothing changes within the wait, the response contains no changes.
    let _ = tokio::time::timeout(wait, changed)
        .await
        .map(|seen| seen.is_ok());
    let waited = state.now().saturating_sub(started);
    let snapshot = SnapshotWire {
        waited_ms: as_millis_u64(waited),
        ..encode(state, asking)
    };
    let text = snapshot.encode_to_vec();
    match query_number(query, "may_pack") == 1 && text.len() >= MIN_COMPRESSED_BYTES {
        true => pack(&text).encode_to_vec(),
        false => text,
    }
}

fn query_number(query: &str, name: &str) -> u64 {
    query::value(query, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

fn encode(state: &GatewayState, asking: StoreKnowledge) -> SnapshotWire {
    let now = state.now();
    let own = state.knowledge();
    let contact = *state.contact.lock();
    let view = state.view.lock();
    let mut changes = view.changes_since(asking.revision);
    if own.config_version > asking.config_version {
        let key = state.dialect.config_key();
        let is_included = changes.items.iter().any(|(item, _)| &**item == key);
        let table = view.get(key).filter(|_| !is_included);
        changes
            .items
            .extend(table.map(|item| (key.into(), item.clone())));
    }
    let is_whole = matches!(changes.removals, Removals::AllExcept(_));
    let (deletions, kept) = match changes.removals {
        Removals::Deleted(deletions) => (deletions, Vec::new()),
        Removals::AllExcept(kept) => (Vec::new(), kept),
    };
    SnapshotWire {
        revision: view.revision.number,
        era: view.revision.era,
        era_age_ms: contact.era_age(view.revision.era, now).map(as_millis_u64),
        items: changes.items.into_iter().map(Into::into).collect(),
        is_whole,
        deletions: deletions.into_iter().map(Into::into).collect(),
        contact_age_ms: contact.view_age(now).map(as_millis_u64),
        kept,
        ..SnapshotWire::default()
    }
}

/// Fetches changes from other nodes while the store does not serve this node, until the task is
/// dropped.
pub async fn run(state: Arc<GatewayState>, mesh: Arc<Mesh>, client: HttpClient) {
    fetch_from_seeds(&state, &client).await;
    let mut newest = mesh.newer_knowledge();
    loop {
        if newest.changed().await.is_err() {
            return;
        }
        newest.mark_unchanged();
        // Jitter: nodes learn about a change at about the same time, and must not all ask at once.
        tokio::time::sleep(STORE_WATCH_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
        catch_up(&state, &client).await;
    }
}

/// Asks nodes with a newer revision than this one's, one after the other in random order, until one
/// responds.
async fn catch_up(state: &GatewayState, client: &HttpClient) {
    for _ in 0..MAX_PEERS_ASKED {
        let known = state.knowledge();
        let peer = {
            let members = state.members.lock();
            members
                .ahead_of(known, state.now(), NODE_TIMEOUT)
                .choose(&mut rand::rng())
        };
        let Some(peer) = peer else { return };
        match fetch(state, client, peer, AT_ONCE).await {
            Ok(snapshot) => return apply(state, snapshot, peer),
            Err(e) => {
                tracing::warn!(%peer, error = %format!("{e:#}"), "failed to fetch a snapshot");
            }
        }
    }
}

/// Copies the view of a node that the settings name. Returns whether the view is complete now. A node that the
/// settings of others name does not ask, so that one of them lists the store.
pub async fn copy_from_seeds(state: &GatewayState, client: &HttpClient) -> bool {
    let own = state.settings.listen.control;
    if state.settings.seeds.contains(&own) {
        return false;
    }
    let mut seeds = state.settings.seeds.clone();
    seeds.shuffle(&mut rand::rng());
    let deadline = state.now() + MAX_SEED_COPY_TIME;
    while !seeds.is_empty() && state.now() < deadline {
        if let Some(seed) = copy_from_any(state, client, &seeds, deadline).await {
            let revision = state.view.lock().revision;
            tracing::info!(peer = %seed, %revision, "view of the store copied from a node");
            return true;
        }
        tokio::time::sleep(SEED_COPY_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
    }
    false
}

/// Asks nodes for their views, each a while after the one before, until one of them has a complete view or all have
/// answered. Returns that node.
async fn copy_from_any(
    state: &GatewayState,
    client: &HttpClient,
    seeds: &[SocketAddr],
    deadline: Moment,
) -> Option<SocketAddr> {
    let copies = (0u32..).zip(seeds).map(async |(turn, seed)| {
        tokio::time::sleep(SEED_HEDGE_DELAY * turn).await;
        let left = deadline.saturating_sub(state.now());
        let is_copied = !left.is_zero() && copy_view(state, client, *seed, left).await;
        is_copied.then_some(*seed)
    });
    let mut copies: FuturesUnordered<_> = copies.collect();
    while let Some(copied) = copies.next().await {
        if copied.is_some() {
            return copied;
        }
    }
    None
}

/// Copies the view of a node within the time `left`; the node may wait until it has one. Returns whether this node's
/// view is complete now.
async fn copy_view(
    state: &GatewayState,
    client: &HttpClient,
    peer: SocketAddr,
    left: Duration,
) -> bool {
    let is_first = state.knowledge().revision == Revision::NONE;
    let time = FetchTime {
        wait: match is_first {
            true => SEED_VIEW_WAIT,
            false => Duration::ZERO,
        },
        timeout: FETCH_TIMEOUT.min(left),
    };
    match fetch(state, client, peer, time).await {
        Ok(snapshot) => apply(state, snapshot, peer),
        Err(e) => tracing::debug!(%peer, error = %e, "failed to fetch a snapshot"),
    }
    state.view_age().is_some()
}

/// Asks the nodes that the settings name until this node has a configuration.
async fn fetch_from_seeds(state: &GatewayState, client: &HttpClient) {
    loop {
        tokio::time::sleep(SEED_FETCH_DELAY).await;
        if state.table().is_some() {
            return;
        }
        for seed in &state.settings.seeds {
            if *seed == state.settings.listen.control {
                continue;
            }
            match fetch(state, client, *seed, AT_ONCE).await {
                Ok(snapshot) => apply(state, snapshot, *seed),
                Err(e) => tracing::debug!(peer = %seed, error = %e, "failed to fetch a snapshot"),
            }
        }
    }
}

/// Fetches from a node the changes that are missing in this node's view. The contact age of the result
/// includes the time of the transfer.
///
/// # Errors
///
/// Fails if the node is not reached, or if its response cannot be decoded.
pub async fn fetch(
    state: &GatewayState,
    client: &HttpClient,
    control: SocketAddr,
    time: FetchTime,
) -> eyre::Result<SnapshotWire> {
    let StoreKnowledge {
        revision: Revision { era, number: after },
        config_version,
    } = state.knowledge();
    let wait_ms = time.wait.as_millis();
    let started = state.now();
    let url = format!(
        "http://{control}{PATH}?after={after}&era={era}&config={config_version}&wait_ms={wait_ms}&may_pack=1"
    );
    let limits = AnswerLimits {
        timeout: time.timeout,
        bytes: MAX_SNAPSHOT_BYTES,
    };
    let req = Request::get(url).body(Full::default())?;
    let res = client.send(req, limits).await?;
    eyre::ensure!(res.status().is_success(), "status {}", res.status());
    let mut snapshot = decode(res.into_body())?;
    let took = as_millis_u64(state.now().saturating_sub(started));
    let transfer = took.saturating_sub(snapshot.waited_ms);
    let with_transfer = |age_ms: u64| age_ms.saturating_add(transfer);
    snapshot.contact_age_ms = snapshot.contact_age_ms.map(with_transfer);
    snapshot.era_age_ms = snapshot.era_age_ms.map(with_transfer);
    Ok(snapshot)
}

/// Applies a snapshot from another node if it is newer than this node's view, or else its configuration if that
/// is newer. In any case the view then contains all that the other node's view did.
pub fn apply(state: &GatewayState, snapshot: SnapshotWire, peer: SocketAddr) {
    let age = snapshot.contact_age_ms.map(Duration::from_millis);
    let confirmed_at = age.map(|age| state.now().saturating_sub(age));
    if let Some(at) = confirmed_at {
        // Before the changes, as these may be due to an outage that ends with this contact.
        state.contact.lock().record_any_answer(at);
    }
    state.record_era_age(snapshot.era, snapshot.era_age_ms);
    let is_newer = snapshot.revision() > state.view.lock().revision;
    let is_applied = match is_newer {
        true => apply_changes(state, snapshot, peer),
        false => apply_table(state, snapshot, peer),
    };
    if !is_applied {
        return;
    }
    if let Some(at) = confirmed_at {
        state.contact.lock().record_copy(at);
    }
}

fn decode_items(items: Vec<ItemWire>, peer: SocketAddr) -> Option<Vec<KeyValue>> {
    let items = items.into_iter().map(TryInto::try_into);
    items
        .collect::<eyre::Result<_>>()
        .inspect_err(
            |e| tracing::warn!(%peer, error = %format!("{e:#}"), "cannot decode a snapshot"),
        )
        .ok()
}

/// Applies the configuration of a snapshot that is not newer otherwise. Returns whether it could be decoded.
fn apply_table(state: &GatewayState, mut snapshot: SnapshotWire, peer: SocketAddr) -> bool {
    let key = state.dialect.config_key();
    snapshot.items.retain(|item| item.key == key);
    let Some(items) = decode_items(snapshot.items, peer) else {
        return false;
    };
    install::put_all(state, &items, Source::Peer);
    true
}

/// Applies the changes of a snapshot. Returns whether they could be decoded.
fn apply_changes(state: &GatewayState, snapshot: SnapshotWire, peer: SocketAddr) -> bool {
    let revision = snapshot.revision();
    let count = snapshot.items.len() + snapshot.deletions.len();
    let Some(items) = decode_items(snapshot.items, peer) else {
        return false;
    };
    if snapshot.is_whole {
        install::apply_listing(state, &items, &snapshot.kept, revision, Source::Peer);
    } else {
        install::put_all(state, &items, Source::Peer);
        for deletion in snapshot.deletions {
            install::delete(state, deletion.into(), Source::Peer);
        }
        state.set_revision(revision);
    }
    tracing::debug!(%peer, %revision, changes = count, "snapshot of a node applied");
    true
}
