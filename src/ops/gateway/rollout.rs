//! Moves services to other software versions: follows the orders in the store, counts the answers of both versions and
//! writes the phases.
//!
//! Every node judges the evidence. Only the holder of the duties writes, under the condition that the store still names
//! it as the holder and that the record is the one that it knows.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::call::Call;
use super::claim;
use super::keys;
use super::rollout_wire::{decode_record, encode_record};
use super::state::{GatewayState, Phase as NodePhase};
use crate::core::gateway::backends::Backend;
use crate::core::gateway::placement;
use crate::core::gateway::rollout::evidence::{Group, RouteId, route_id, time_bucket};
use crate::core::gateway::rollout::lifecycle::{Phase, PublishedRollout, RolloutRecord};
use crate::core::gateway::rollout::{RolloutStatus, Rollouts, Surroundings, WriteTask};
use crate::core::gateway::routes::ServiceName;
use crate::sources::store::{
    Compare, Condition, KeyRange, KeyValue, Op, Result, Revision, Store, StoreError, Transaction,
};
use crate::util::time::as_millis_u64;

/// Interval between two judgements of the evidence.
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two comparisons of the records with the store, at the holder of the duties.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a failed write.
const BACKOFF: Duration = Duration::from_millis(400);

/// An answer that counts as evidence.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSample {
    route: RouteId,
    group: Group,
    /// Time that a call of this size usually takes.
    nominal: Duration,
}

impl AnswerSample {
    /// Returns how the answer to a call counts at a back end of a version; `None` if no rollout of its service runs.
    pub fn new(state: &GatewayState, call: &Call, version: Option<&str>) -> Option<Self> {
        let service = &call.service.name;
        let group = state.rollouts.lock().group_of(service, version)?;
        let (prompt_tokens, _) = call.head.tokens.unwrap_or_default();
        let is_engine = call.service.engine.is_some();
        Some(Self {
            route: route_id(&call.route.name, &call.route.path_prefix),
            group,
            nominal: placement::nominal_time(is_engine.then_some(prompt_tokens)),
        })
    }

    /// Counts the answer, whose first event or head arrived after `took`.
    pub fn record_answer(&self, state: &GatewayState, service: &str, took: Duration) {
        let bucket = time_bucket(took, self.nominal);
        let mut rollouts = state.rollouts.lock();
        rollouts.record_answer(service, self.route, self.group, bucket);
    }

    /// Counts that the answer is a failure.
    pub fn record_failure(&self, state: &GatewayState, service: &str) {
        let mut rollouts = state.rollouts.lock();
        rollouts.record_failure(service, self.route, self.group);
    }

    /// Counts that there was no answer within `lasted`.
    pub fn record_unanswered(&self, state: &GatewayState, service: &str, lasted: Duration) {
        let bucket = time_bucket(lasted, self.nominal);
        let mut rollouts = state.rollouts.lock();
        rollouts.record_unanswered(service, self.route, self.group, bucket);
    }
}

/// Counts a call that is sent to a back end.
pub fn record_send(rollouts: &mut Rollouts, backend: &Backend) {
    let version = backend.software.as_deref();
    rollouts.record_send(&backend.service, version);
    if let Some(group) = rollouts.group_of(&backend.service, version) {
        let service = backend.service.to_string();
        metrics::counter!("jayhall_gateway_rollout_calls", "service" => service, "group" => group.as_str())
            .increment(1);
    }
}

/// Judges the evidence, and writes the records while this node holds the duties, until the task is dropped.
pub async fn run(state: Arc<GatewayState>, store: Arc<dyn Store>) {
    tokio::join!(judge(&state), write_records(&state, &store));
}

async fn judge(state: &GatewayState) {
    loop {
        tokio::time::sleep(JUDGE_INTERVAL).await;
        let around = surroundings(state);
        let changed = state.rollouts.lock().update(&around);
        for status in changed {
            log_hold(state, &status);
        }
    }
}

fn surroundings(state: &GatewayState) -> Surroundings {
    Surroundings {
        has_view: state.view_age().is_some(),
        has_others: state.node_count() > 1,
        now: state.now(),
        wall: state.wall(),
    }
}

async fn write_records(state: &GatewayState, store: &Arc<dyn Store>) {
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        let Some(claim) = claim::claim_of(state) else {
            continue;
        };
        if state.phase() != NodePhase::Serving {
            continue;
        }
        for task in write_tasks(state) {
            if let Err(e) = write(state, store, &task, claim).await {
                tracing::warn!(
                    service = &*task.service,
                    phase = task.record.phase.as_str(),
                    error = %e,
                    "failed to write the phase of a rollout; retrying"
                );
                tokio::time::sleep(BACKOFF.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }
}

fn write_tasks(state: &GatewayState) -> Vec<WriteTask> {
    let around = surroundings(state);
    let published = published(state);
    let rollouts = state.rollouts.lock();
    let backends = state.backends.lock();
    rollouts.write_tasks(&backends, &around, &published)
}

/// Returns what the store has of the rollouts for operators.
fn published(state: &GatewayState) -> HashMap<ServiceName, PublishedRollout> {
    let services = state.rollouts.lock().services();
    let view = state.view.lock();
    let published = services.into_iter().filter_map(|service| {
        let item = view.get(&state.dialect.rollout_status_key(&service))?;
        // What cannot be decoded is written anew.
        let status = state.dialect.decode_rollout_status(&item.value).ok()?;
        Some((service, status))
    });
    published.collect()
}

/// Writes a record with its status, if the store still names this node as the holder under `claim`.
async fn write(
    state: &GatewayState,
    store: &Arc<dyn Store>,
    task: &WriteTask,
    claim: Revision,
) -> Result<()> {
    let key = keys::rollout(&task.service);
    let reply = store
        .transact(transaction(state, task, &key, claim)?)
        .await?;
    if reply.succeeded {
        log_written(state, task, reply.revision);
        apply(state, &task.service, task.record.clone(), reply.revision);
        return Ok(());
    }
    let found = reply.found().unwrap_or_default();
    if let Some(found) = found.iter().find(|item| *item.key == *key) {
        put_record(state, &task.service, found);
    }
    Ok(())
}

fn transaction(
    state: &GatewayState,
    task: &WriteTask,
    key: &str,
    claim: Revision,
) -> Result<Transaction> {
    let record = encode_record(&task.record).map_err(|e| StoreError::Refused {
        cause: format!("the rollout cannot be written as JSON: {e}").into(),
    })?;
    let status_key = state.dialect.rollout_status_key(&task.service);
    let status = state
        .dialect
        .encode_rollout_status(&task.record.published());
    let compare = |key: &str, revision| Compare {
        key: key.into(),
        condition: Condition::ModRevision(revision),
    };
    let put = |key: &str, value: Vec<u8>| Op::Put {
        key: key.into(),
        value: value.into(),
        lease: None,
    };
    Ok(Transaction {
        compares: vec![compare(key, task.revision), compare(keys::HOLDER, claim)],
        then: vec![put(key, record), put(&status_key, status)],
        otherwise: vec![Op::Get(KeyRange::One(key.into()))],
    })
}

/// Applies an order of the operators.
pub fn put_order(state: &GatewayState, service: &str, item: &KeyValue) {
    let order = match state.dialect.decode_rollout_order(service, &item.value) {
        Ok(order) => order,
        Err(e) => {
            tracing::warn!(service, revision = %item.mod_revision, error = %format!("{e:#}"), "cannot decode the order of a rollout");
            return;
        }
    };
    let wall = state.wall();
    let (target, duration) = (order.target.clone(), order.duration);
    let (nodes, draw) = (state.node_count(), rand::random());
    if state.rollouts.lock().put_order(order, nodes, wall, draw) {
        tracing::info!(
            service,
            target = &*target,
            duration_ms = as_millis_u64(duration),
            revision = %item.mod_revision,
            view_age_ms = state.view_age().map(as_millis_u64),
            "rollout ordered"
        );
    }
}

/// Applies that the operators have withdrawn an order.
pub fn remove_order(state: &GatewayState, service: &str) {
    tracing::info!(service, "order of a rollout withdrawn");
    state.rollouts.lock().remove_order(service);
}

/// Applies the record of a rollout in the store.
pub fn put_record(state: &GatewayState, service: &str, item: &KeyValue) {
    match decode_record(&item.value) {
        Ok(record) => apply(state, service, record, item.mod_revision),
        Err(e) => {
            tracing::warn!(service, revision = %item.mod_revision, error = %e, "cannot decode the record of a rollout");
        }
    }
}

/// Applies that the store has no record of a rollout.
pub fn remove_record(state: &GatewayState, service: &str) {
    tracing::info!(service, "rollout no longer on record");
    state.rollouts.lock().remove_record(service);
}

fn apply(state: &GatewayState, service: &str, record: RolloutRecord, revision: Revision) {
    let (target, phase) = (record.target.clone(), record.phase);
    if state.rollouts.lock().put_record(service, record, revision) {
        tracing::info!(
            service,
            target = &*target,
            phase = phase.as_str(),
            %revision,
            view_age_ms = state.view_age().map(as_millis_u64),
            "rollout phase in force"
        );
    }
}

fn log_written(state: &GatewayState, task: &WriteTask, revision: Revision) {
    let status = state.rollouts.lock().status(&task.service);
    let Some(status) = status else {
        return;
    };
    let record = &task.record;
    let wall = state.wall();
    tracing::info!(
        service = &*task.service,
        target = &*record.target,
        phase = record.phase.as_str(),
        before = status.phase.map(Phase::as_str),
        verdict = ?status.verdict,
        old_answers = status.old.0,
        old_failures = status.old.1,
        new_answers = status.new.0,
        new_failures = status.new.1,
        since_order_ms = wall.saturating_sub(record.ordered_at),
        to_deadline_ms = record.deadline().saturating_sub(wall),
        %revision,
        "rollout phase written"
    );
}

fn log_hold(state: &GatewayState, status: &RolloutStatus) {
    let message = match status.held {
        Some(_) => "new version held back",
        None => "new version no longer held back",
    };
    tracing::info!(
        service = &*status.service,
        target = &*status.target,
        phase = status.phase.map(Phase::as_str),
        reason = ?status.held,
        verdict = ?status.verdict,
        sent = status.sent,
        exposed = status.exposed,
        old_answers = status.old.0,
        old_failures = status.old.1,
        new_answers = status.new.0,
        new_failures = status.new.1,
        report_age_ms = status.report_age.map(as_millis_u64),
        view_age_ms = state.view_age().map(as_millis_u64),
        "{message}"
    );
}
