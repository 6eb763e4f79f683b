//! Keeps the quarantine of calls in the platform's store, and finds the causes of crashes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::keys;
use super::state::GatewayState;
use super::write_turn::WriteTurn;
use crate::core::gateway::cache::PartId;
use crate::core::gateway::crashes::CrashCause;
use crate::core::gateway::quarantine::{EntryId, EntryValue, StoreTask};
use crate::core::gateway::request_id::RequestId;
use crate::core::gateway::suspects::{Suspect, Suspects, parts_of, request_of};
use crate::core::time::UnixMillis;
use crate::sources::store::{Compare, Condition, KeyRange, KeyValue, Op, Result, Revision};
use crate::sources::store::{Store, StoreError, Transaction};
use crate::util::time::as_millis_u64;

/// Interval between two searches for causes of crashes.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of the jitter before a node writes to the store.
const MAX_WRITE_JITTER: Duration = Duration::from_millis(150);
/// Pause after a round with writes, within which they arrive in this node's view of the store.
const WRITE_PAUSE: Duration = Duration::from_millis(400);
/// Initial backoff after a failed write.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// An entry in the store.
#[derive(Serialize, Deserialize)]
struct EntryWire {
    /// Ids of the parts of prompts.
    parts: SmallVec<[PartId; 4]>,
    /// Identity of the request, if only this one is quarantined.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    request: Option<RequestId>,
    probe_at_ms: UnixMillis,
    interval_ms: u64,
}

impl From<&EntryValue> for EntryWire {
    fn from(value: &EntryValue) -> Self {
        Self {
            parts: parts_of(&value.suspects),
            request: request_of(&value.suspects),
            probe_at_ms: value.probe_at,
            interval_ms: as_millis_u64(value.interval),
        }
    }
}

impl From<EntryWire> for EntryValue {
    fn from(wire: EntryWire) -> Self {
        let parts = wire.parts.into_iter().map(Suspect::Part);
        let request = wire.request.map(Suspect::Request);
        let mut suspects: Suspects = parts.chain(request).collect();
        suspects.sort_unstable();
        Self {
            suspects,
            probe_at: wire.probe_at_ms,
            interval: Duration::from_millis(wire.interval_ms),
        }
    }
}

/// Searches for causes of crashes and writes the quarantine to the store until the task is dropped.
pub async fn run(state: Arc<GatewayState>, store: Arc<dyn Store>) {
    let mut backoff = INITIAL_BACKOFF;
    let mut turn = WriteTurn::default();
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        find_causes(&state);
        if !turn.has_come(&state, has_tasks(&state)) {
            continue;
        }
        tokio::time::sleep(MAX_WRITE_JITTER.mul_f64(rand::random())).await;
        match write(&state, &store).await {
            Ok(()) => {
                backoff = INITIAL_BACKOFF;
                tokio::time::sleep(WRITE_PAUSE).await;
            }
            Err(e) => {
                tracing::warn!(error = %e, "failed to write the quarantine; retrying");
                tokio::time::sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Quarantines the causes of crashes that the known crashes show. The search holds no lock, as each call takes that of
/// the quarantine.
fn find_causes(state: &GatewayState) {
    loop {
        let open = state.quarantine.lock().crashes.open_crashes(state.now());
        let Some(cause) = open.find_cause() else {
            return;
        };
        let value = EntryValue::new(cause.suspects.clone(), state.wall());
        let mut quarantine = state.quarantine.lock();
        if !quarantine.crashes.confirm(&cause) {
            continue;
        }
        let is_new = quarantine.add(value);
        drop(quarantine);
        log_cause(state, &cause, is_new);
    }
}

fn log_cause(state: &GatewayState, cause: &CrashCause, is_new: bool) {
    let now = state.now();
    metrics::counter!("jayhall_gateway_quarantined").increment(u64::from(is_new));
    tracing::info!(
        request = request_hex(&cause.suspects),
        part_ids = hex(&parts_of(&cause.suspects)),
        processes = cause.processes,
        first_crash_ms = as_millis_u64(now.saturating_sub(cause.first)),
        last_crash_ms = as_millis_u64(now.saturating_sub(cause.last)),
        is_new,
        "calls quarantined that crash back ends"
    );
}

/// Returns ids of parts in hexadecimal, separated by commas.
pub fn hex(parts: &[PartId]) -> String {
    let ids: SmallVec<[String; 4]> = parts.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

/// Returns the request among suspects in hexadecimal, if there is one.
fn request_hex(suspects: &[Suspect]) -> Option<String> {
    request_of(suspects).map(|request| format!("{request:x}"))
}

fn has_tasks(state: &GatewayState) -> bool {
    let wall = state.wall();
    !state.quarantine.lock().store_tasks(wall).is_empty()
}

async fn write(state: &GatewayState, store: &Arc<dyn Store>) -> Result<()> {
    let wall = state.wall();
    let tasks = state.quarantine.lock().store_tasks(wall);
    for task in tasks {
        match task {
            StoreTask::Create(value) => create(state, store, value).await?,
            StoreTask::ClaimProbe(value, revision) => {
                claim_probe(state, store, value, revision).await?;
            }
            StoreTask::Release(id, revision) => release(state, store, id, revision).await?,
        }
    }
    Ok(())
}

/// Creates an entry, unless the store has one already.
async fn create(state: &GatewayState, store: &Arc<dyn Store>, value: EntryValue) -> Result<()> {
    let put = Transaction::compare_and_swap(
        &keys::quarantine(value.id()),
        Revision::NONE,
        encode(&value)?,
    );
    let reply = store.transact(put).await?;
    if reply.succeeded {
        state.quarantine.lock().apply(value, reply.revision);
    } else if let Some(found) = reply.found().and_then(|found| found.first()) {
        put_entry(state, found);
    }
    Ok(())
}

/// Claims the probe of an entry for this node. Another node may have been faster.
async fn claim_probe(
    state: &GatewayState,
    store: &Arc<dyn Store>,
    value: EntryValue,
    revision: Revision,
) -> Result<()> {
    let put =
        Transaction::compare_and_swap(&keys::quarantine(value.id()), revision, encode(&value)?);
    let reply = store.transact(put).await?;
    if reply.succeeded {
        tracing::info!(
            request = request_hex(&value.suspects),
            part_ids = hex(&parts_of(&value.suspects)),
            interval_ms = as_millis_u64(value.interval),
            "probe of quarantined calls claimed"
        );
        state.quarantine.lock().grant_probe(value, reply.revision);
    } else if let Some(found) = reply.found().and_then(|found| found.first()) {
        put_entry(state, found);
    } else {
        state.quarantine.lock().remove(value.id());
    }
    Ok(())
}

async fn release(
    state: &GatewayState,
    store: &Arc<dyn Store>,
    id: EntryId,
    revision: Revision,
) -> Result<()> {
    let key = keys::quarantine(id);
    let delete = Transaction {
        compares: vec![Compare {
            key: key.as_str().into(),
            condition: Condition::ModRevision(revision),
        }],
        then: vec![Op::Delete(KeyRange::One(key.as_str().into()))],
        otherwise: Vec::new(),
    };
    if store.transact(delete).await?.succeeded {
        tracing::info!(id, "quarantine entry released");
        state.quarantine.lock().remove(id);
    }
    Ok(())
}

fn encode(value: &EntryValue) -> Result<bytes::Bytes> {
    let text = serde_json::to_vec(&EntryWire::from(value)).map_err(|e| StoreError::Refused {
        cause: format!("the entry cannot be written as JSON: {e}").into(),
    })?;
    Ok(text.into())
}

/// Applies an entry of the store.
pub fn put_entry(state: &GatewayState, item: &KeyValue) {
    match serde_json::from_slice::<EntryWire>(&item.value) {
        Ok(wire) => {
            let value = EntryValue::from(wire);
            tracing::info!(
                request = request_hex(&value.suspects),
                part_ids = hex(&parts_of(&value.suspects)),
                revision = %item.mod_revision,
                probe_at_ms = value.probe_at,
                "quarantine entry listed"
            );
            state.quarantine.lock().apply(value, item.mod_revision);
        }
        Err(e) => {
            tracing::warn!(key = &*item.key, error = %e, "cannot decode an entry of the quarantine");
        }
    }
}

/// Applies the deletion of an entry, by the part of its key after the prefix.
pub fn remove_entry(state: &GatewayState, id: &str) {
    match EntryId::from_str_radix(id, 16) {
        Ok(number) => {
            tracing::info!(id, "quarantine entry no longer listed");
            state.quarantine.lock().remove(number);
        }
        Err(e) => tracing::warn!(id, error = %e, "key of the quarantine without an id"),
    }
}
