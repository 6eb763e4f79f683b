//! Keeps on record in the store which software versions services have had lately.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::keys;
use super::state::{GatewayState, Phase};
use super::write_turn::WriteTurn;
use crate::core::gateway::software::{RecordTask, SoftwareVersion};
use crate::sources::store::{KeyValue, Result, Revision, Store, StoreError, Transaction};

/// Interval between two comparisons of the records with the registry.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of the jitter before a node writes to the store.
const MAX_WRITE_JITTER: Duration = Duration::from_millis(100);
/// Pause after a failed write.
const BACKOFF: Duration = Duration::from_millis(800);
/// Age of the view above which a node does not write: a version may have been listed again meanwhile.
const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

/// Maintains the records until the task is dropped.
pub async fn run(state: Arc<GatewayState>, store: Arc<dyn Store>) {
    let mut turn = WriteTurn::default();
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let tasks = due_tasks(&state);
        if !turn.has_come(&state, !tasks.is_empty()) {
            continue;
        }
        tokio::time::sleep(MAX_WRITE_JITTER.mul_f64(rand::random())).await;
        for task in tasks {
            if let Err(e) = write(&state, &store, task).await {
                tracing::warn!(error = %e, "failed to write the software versions of a service; retrying");
                tokio::time::sleep(BACKOFF.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }
}

/// Notes the software that the registry lists, and returns the records that differ from it.
fn due_tasks(state: &GatewayState) -> Vec<RecordTask> {
    let now = state.now();
    let mut software = state.software.lock();
    for entry in state.backends.lock().iter() {
        let backend = &entry.backend;
        software.note_listed(&backend.service, backend.software.as_deref(), now);
    }
    let is_fresh = state.view_age().is_some_and(|age| age <= MAX_VIEW_AGE);
    match is_fresh && state.phase() != Phase::Starting {
        true => software.record_tasks(now),
        false => Vec::new(),
    }
}

/// Replaces a record, unless another node was faster.
async fn write(state: &GatewayState, store: &Arc<dyn Store>, task: RecordTask) -> Result<()> {
    let text = encode(&task.versions)?;
    let put = Transaction::compare_and_swap(&keys::software(&task.service), task.revision, text);
    let reply = store.transact(put).await?;
    if reply.succeeded {
        apply(state, &task.service, task.versions, reply.revision);
        return Ok(());
    }
    match reply.found().and_then(|found| found.first()) {
        Some(found) => put_record(state, &task.service, found),
        None => remove_record(state, &task.service),
    }
    Ok(())
}

fn encode(versions: &BTreeSet<SoftwareVersion>) -> Result<bytes::Bytes> {
    let text = serde_json::to_vec(versions).map_err(|e| StoreError::Refused {
        cause: format!("the software versions cannot be written as JSON: {e}").into(),
    })?;
    Ok(text.into())
}

/// Applies the record of a service in the store.
pub fn put_record(state: &GatewayState, service: &str, item: &KeyValue) {
    match serde_json::from_slice::<BTreeSet<SoftwareVersion>>(&item.value) {
        Ok(versions) => apply(state, service, versions, item.mod_revision),
        Err(e) => {
            tracing::warn!(service, error = %e, "cannot decode the software versions of a service");
        }
    }
}

/// Applies that the store has no record of a service.
pub fn remove_record(state: &GatewayState, service: &str) {
    tracing::info!(
        service,
        "software versions of a service no longer on record"
    );
    state.software.lock().remove_record(service);
}

fn apply(
    state: &GatewayState,
    service: &str,
    versions: BTreeSet<SoftwareVersion>,
    revision: Revision,
) {
    tracing::info!(
        service,
        versions = ?versions,
        %revision,
        "software versions of a service on record"
    );
    let now = state.now();
    let mut software = state.software.lock();
    software.apply_record(service, versions, revision, now);
}
