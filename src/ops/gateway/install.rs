//! Applies changes of the store to the state from which calls are served: configuration, back ends and
//! nodes.

use std::collections::HashSet;
use std::time::Duration;

use super::decided_counts;
use super::keys;
use super::node_wire;
use super::quarantine;
use super::rollout;
use super::software;
use super::state::{GatewayState, Phase};
use super::view::{self, Deletion, KeyHash};
use crate::core::gateway::backends::{Backend, Listing};
use crate::core::gateway::call_limit::SenderChoice;
use crate::core::time::Moment;
use crate::sources::store::{Key, KeyValue, Revision};
use crate::util::time::as_millis_u64;

/// Time since the last message of a node for which it is kept after its entry in the store has expired.
const NODE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Where a change was received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From another node.
    Peer,
}

/// Whether a value was written later than the one known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOrder {
    /// It was.
    Later,
    /// It may be earlier: the store has come back from a copy, which may contain it.
    Unknown,
}

/// Order in which values are applied that arrive together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ApplyOrder {
    /// Rollouts restrict which calls go to the back ends that are listed beside them.
    Rollout,
    Other,
    /// The mark says that the view has what was written before it.
    SettledEra,
    /// With the configuration this node begins to serve calls, for which it needs back ends.
    Config,
}

impl ApplyOrder {
    fn of(state: &GatewayState, key: &str) -> Self {
        if key == state.dialect.config_key() {
            Self::Config
        } else if key == keys::SETTLED_ERA {
            Self::SettledEra
        } else if is_of_rollout(state, key) {
            Self::Rollout
        } else {
            Self::Other
        }
    }
}

/// Applies a put.
pub fn put(state: &GatewayState, item: &KeyValue, source: Source) {
    put_in_order(state, item, source, WriteOrder::Later);
}

/// Applies puts that belong together.
pub fn put_all(state: &GatewayState, items: &[KeyValue], source: Source) {
    put_all_in_order(state, items, source, WriteOrder::Later);
}

/// Applies puts in the order in which they depend on each other.
fn put_all_in_order(state: &GatewayState, items: &[KeyValue], source: Source, order: WriteOrder) {
    let mut items: Vec<&KeyValue> = items.iter().collect();
    items.sort_by_key(|item| ApplyOrder::of(state, &item.key));
    for item in items {
        put_in_order(state, item, source, order);
    }
}

fn put_in_order(state: &GatewayState, item: &KeyValue, source: Source, order: WriteOrder) {
    let key: &str = &item.key;
    if key.starts_with(keys::STREAMS) {
        return;
    }
    if key == state.dialect.config_key() {
        put_table(state, item, source);
        return;
    }
    if !state.view.lock().put(item) {
        return;
    }
    if let Some(id) = key.strip_prefix(state.dialect.backend_prefix()) {
        install_backend(state, id, item, source, order);
    } else if key.starts_with(keys::QUARANTINE) {
        quarantine::put_entry(state, item);
    } else if let Some(service) = key.strip_prefix(keys::SOFTWARE) {
        software::put_record(state, service, item);
    } else if let Some(service) = key.strip_prefix(state.dialect.rollout_prefix()) {
        rollout::put_order(state, service, item);
    } else if let Some(service) = key.strip_prefix(keys::ROLLOUTS) {
        rollout::put_record(state, service, item);
    } else if let Some(name) = key.strip_prefix(keys::NODES) {
        // Living nodes register again; the copy may list others, or earlier processes.
        if order == WriteOrder::Unknown {
            return;
        }
        match node_wire::decode(&item.value) {
            Ok(member) => {
                tracing::info!(
                    node = name,
                    revision = %item.mod_revision,
                    ready = member.is_ready,
                    "node listed"
                );
                let is_own = member.name == state.settings.name;
                if is_own && member.incarnation != state.incarnation {
                    state.quotas.note_predecessor();
                }
                state.members.lock().put(member, state.now());
            }
            Err(e) => tracing::warn!(node = name, error = %e, "cannot decode the entry of a node"),
        }
    }
}

/// Applies a deletion.
pub fn delete(state: &GatewayState, deletion: Deletion, source: Source) {
    if deletion.key.starts_with(keys::STREAMS) {
        return;
    }
    if state.view.lock().delete(deletion.clone()) {
        handle_deletion(state, &deletion, source);
    }
}

/// Applies a listing of the store at a revision: keys that are neither in `items` nor have a hash in
/// `kept` are deleted. A listing that is older than the view is left out, as it lacks later deletions.
/// Returns whether it was applied.
pub fn apply_listing(
    state: &GatewayState,
    items: &[KeyValue],
    kept: &[KeyHash],
    revision: Revision,
    source: Source,
) -> bool {
    let known = state.view.lock().revision;
    if revision < known {
        tracing::info!(%revision, %known, ?source, "older listing left out");
        return false;
    }
    let is_restored = known != Revision::NONE && revision.era > known.era;
    let order = match is_restored {
        true => WriteOrder::Unknown,
        false => WriteOrder::Later,
    };
    put_all_in_order(state, items, source, order);
    let missing = missing_keys(state, items, kept, revision);
    let (lost, missing): (Vec<Key>, Vec<Key>) = missing
        .into_iter()
        .partition(|key| is_lost_value(state, key, revision));
    for key in missing {
        delete(state, Deletion { key, revision }, source);
    }
    if is_restored {
        tracing::warn!(%revision, %known, ?source, lost = lost.len(), "the store has come back from an older copy");
        state
            .quarantine
            .lock()
            .forget_revisions_before(revision.era);
        state.software.lock().forget_revisions_before(revision.era);
        state.rollouts.lock().forget_revisions_before(revision.era);
    }
    state.view.lock().compact_deletions(revision);
    state.set_revision(revision);
    true
}

/// Returns whether a key is that of an order or a record of a rollout.
pub fn is_of_rollout(state: &GatewayState, key: &str) -> bool {
    key.starts_with(keys::ROLLOUTS) || key.starts_with(state.dialect.rollout_prefix())
}

/// Returns whether a missing value was lost in a restore and stays in force nevertheless.
fn is_lost_value(state: &GatewayState, key: &str, listed_at: Revision) -> bool {
    let known = state.view.lock().get(key).map(|known| known.revision);
    known.is_some_and(|known| known.era < listed_at.era) && is_kept_without_store(state, key)
}

/// Returns whether a value stays in force when the store loses it: the configuration until a newer one is
/// written, decided counts for as long as they may be reported, orders of rollouts, which operators write again, and
/// the quarantine, the software versions of services and the rollouts, which this node writes again.
fn is_kept_without_store(state: &GatewayState, key: &str) -> bool {
    let is_reportable = |window| window >= decided_counts::first_reportable_window(state);
    key == state.dialect.config_key()
        || key.starts_with(keys::QUARANTINE)
        || key.starts_with(keys::SOFTWARE)
        || is_of_rollout(state, key)
        || keys::usage_window(key).is_some_and(is_reportable)
}

/// Returns the keys of the view that a listing at a revision lacks.
fn missing_keys(
    state: &GatewayState,
    items: &[KeyValue],
    kept: &[KeyHash],
    revision: Revision,
) -> Vec<Key> {
    let listed = items.iter().map(|item| view::hash_key(&item.key));
    let listed: HashSet<KeyHash> = listed.chain(kept.iter().copied()).collect();
    let view = state.view.lock();
    let older = view.iter().filter(|(_, known)| known.revision < revision);
    older
        .map(|(key, _)| key.clone())
        .filter(|key| !listed.contains(&view::hash_key(key)))
        .collect()
}

/// Updates this node's shares in the call limits of back ends.
pub fn assign_limit_shares(state: &GatewayState) {
    if !state.backends.lock().has_limits() {
        return;
    }
    let now = state.now();
    let members = state.members.lock();
    let choice = SenderChoice::new(&state.settings.name, &members, state.regions(), now);
    let share = |backend: &Backend| choice.share(backend);
    state.backends.lock().assign_limit_shares(share, now);
}

/// Removes back ends whose grace period is over, and other nodes that have neither an entry in the store nor
/// sent a message lately.
pub fn expire(state: &GatewayState) {
    let now = state.now();
    for gone in state.backends.lock().expire(now) {
        tracing::info!(
            backend = &*gone.id,
            last_call_ms = gone.since_last_call.map(as_millis_u64),
            "back end gone"
        );
    }
    let mut members = state.members.lock();
    let removed: Vec<_> = {
        let view = state.view.lock();
        members
            .iter()
            .map(|member| &member.name)
            .filter(|name| **name != state.settings.name)
            .filter(|name| !members.is_fresh(name, now, NODE_TIMEOUT))
            .filter(|name| view.get(&keys::node(name)).is_none())
            .cloned()
            .collect()
    };
    for name in removed {
        members.remove(&name);
        state.quotas.forget(&name);
        tracing::info!(node = &*name, "node gone");
    }
}

fn handle_deletion(state: &GatewayState, deletion: &Deletion, source: Source) {
    if let Some(id) = deletion.key.strip_prefix(keys::QUARANTINE) {
        quarantine::remove_entry(state, id);
        return;
    }
    if let Some(service) = deletion.key.strip_prefix(keys::SOFTWARE) {
        software::remove_record(state, service);
        return;
    }
    if let Some(service) = deletion.key.strip_prefix(keys::ROLLOUTS) {
        rollout::remove_record(state, service);
        return;
    }
    if let Some(service) = deletion.key.strip_prefix(state.dialect.rollout_prefix()) {
        rollout::remove_order(state, service);
        return;
    }
    if let Some(id) = deletion.key.strip_prefix(state.dialect.backend_prefix()) {
        let now = state.now();
        let contact = *state.contact.lock();
        let gone_at = contact.reregistration_deadline(now).unwrap_or(now);
        state.backends.lock().unlist(id, gone_at);
        tracing::info!(
            backend = id,
            revision = %deletion.revision,
            ?source,
            view_age_ms = contact.view_age(now).map(as_millis_u64),
            grace_ms = as_millis_u64(gone_at - now),
            last_call_ms = last_call_ms(state, id, now),
            "back end no longer listed"
        );
    }
}

fn put_table(state: &GatewayState, item: &KeyValue, source: Source) {
    let known = state.view.lock().get(&item.key).map(|known| known.revision);
    if known != Some(item.mod_revision) {
        install_table(state, item, source);
    }
}

/// Installs a configuration. Its version decides whether it is newer, not the revision of the store, which may
/// have come back with an older one.
fn install_table(state: &GatewayState, item: &KeyValue, source: Source) {
    let table = match state.dialect.decode_table(&item.value) {
        Ok(table) => table,
        Err(e) => {
            tracing::error!(revision = %item.mod_revision, error = %format!("{e:#}"), "cannot decode the configuration; the previous one stays in force");
            return;
        }
    };
    let version = table.version;
    let mut current = state.table.write();
    let before = current.as_ref().map_or(0, |table| table.version);
    if before >= version && current.is_some() {
        tracing::warn!(version, before, "older configuration left out");
        return;
    }
    state.quotas.set_table(&table);
    *current = Some(std::sync::Arc::new(table));
    drop(current);
    state.view.lock().replace(item);
    tracing::info!(
        version,
        before,
        revision = %item.mod_revision,
        ?source,
        "configuration in force"
    );
    state.phase.send_if_modified(|phase| {
        std::mem::replace(phase, phase_with_configuration(*phase)) == Phase::Starting
    });
}

fn phase_with_configuration(phase: Phase) -> Phase {
    match phase {
        Phase::Starting => Phase::Serving,
        other => other,
    }
}

fn install_backend(
    state: &GatewayState,
    id: &str,
    item: &KeyValue,
    source: Source,
    order: WriteOrder,
) {
    match state.dialect.decode_backend(id, &item.value) {
        Ok(backend) => {
            let leaving = backend.is_leaving;
            let (address, service) = (backend.address, backend.service.clone());
            let software = backend.software.clone();
            let now = state.now();
            state
                .software
                .lock()
                .note_listed(&service, software.as_deref(), now);
            let changed = match order {
                WriteOrder::Later => state.backends.lock().put(backend),
                WriteOrder::Unknown => state.backends.lock().put_restored(backend, now),
            };
            if changed {
                tracing::info!(
                    backend = id,
                    service = &*service,
                    %address,
                    software = software.as_deref(),
                    leaving,
                    revision = %item.mod_revision,
                    ?source,
                    view_age_ms = state.view_age().map(as_millis_u64),
                    last_call_ms = last_call_ms(state, id, state.now()),
                    "back end listed"
                );
            }
        }
        Err(e) => {
            tracing::warn!(backend = id, revision = %item.mod_revision, error = %format!("{e:#}"), "cannot decode the entry of a back end");
            let is_known = state
                .backends
                .lock()
                .get(id)
                .is_some_and(|entry| entry.listing == Listing::Listed);
            if is_known {
                tracing::info!(
                    backend = id,
                    "the previous entry of the back end stays in force"
                );
            }
        }
    }
}

/// Returns the time since this node last assigned a call to a back end, in milliseconds.
fn last_call_ms(state: &GatewayState, id: &str, now: Moment) -> Option<u64> {
    let backends = state.backends.lock();
    backends.get(id)?.since_last_call(now).map(as_millis_u64)
}
