//! The back ends listed in the registry, with load, health and latency of each.
//!
//! Observations of calls are kept beside the entry from the registry until the back end's process restarts.

mod concurrency;
mod entry;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::core::gateway::brittle::{BrittleServices, REJECTED_PAUSE};
use crate::core::gateway::cache::Part;
use crate::core::gateway::concurrency::{ConcurrencySamples, Measured, SampleStart};
use crate::core::gateway::listed_process::{
    ListedProcess, PeerProcess, ProcessStart, ReportChange,
};
use crate::core::gateway::load::{CallLoad, Load};
use crate::core::gateway::observed::{Observation, Observer};
use crate::core::gateway::origin::Origin;
use crate::core::gateway::routes::ServiceName;
use crate::core::gateway::software::{SoftwareId, SoftwareVersion, software_id};
use crate::core::time::Moment;

pub use entry::Entry;

/// Name of a back end.
pub type BackendId = Box<str>;
/// Short name of a back end's process in messages between nodes; see [`process_name`].
pub type ProcessName = u32;

/// Age after which the loads reported by another node are dropped.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2500);
/// Time for which the registry may list a process that has ended.
const MAX_ENTRY_OUTLASTING: Duration = Duration::from_secs(5);
/// Time for which departed processes are kept: age of the copies from which the registry may be restored.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);
/// Weight of a new observation in moving averages.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Bounds of [`Entry::latency_ratio`].
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.6, 6.0);

/// A back end as listed in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new calls.
    pub is_leaving: bool,
    /// Start of its process in milliseconds since 1970. It distinguishes two processes of the same name.
    pub started: ProcessStart,
    /// Whether the cloud may reclaim it.
    pub is_spot: bool,
    /// Version of its software; `None` if its entry names none.
    pub software: Option<SoftwareVersion>,
}

impl Backend {
    /// Returns the identifier of its software version, or `None` if its entry names none.
    pub fn software_id(&self) -> Option<SoftwareId> {
        let version = self.software.as_deref()?;
        Some(software_id(&self.service, version))
    }
}

/// Whether the registry lists a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The registry lists the back end.
    Listed,
    /// The registry no longer lists the back end. It receives no calls from this moment on, which lies in
    /// the future if it may register again after an outage of the registry.
    Unlisted(Moment),
}

/// Outcome of a call at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It answered with an error of its own.
    Failed,
    /// It could not be reached, or its answer could not be used.
    Unreachable,
    /// It stopped responding, but its connection is not known to be broken.
    Silent,
    /// It closed the connection within the call.
    BrokeOff,
    /// It declined the call without running it.
    Declined,
}

/// Assignment of a call to a back end, from [`Backends::begin`] to [`Backends::end`].
#[derive(Clone, Debug)]
pub struct CallPlace {
    /// The back end.
    pub backend: Arc<Backend>,
    /// Load that the call adds to the back end.
    pub load: CallLoad,
    /// Whether the first event or the answer has arrived.
    pub has_begun: bool,
    /// Whether the call is charged to the back end's limit.
    pub is_charged: bool,
    /// What its sample begins with, if limits are learned from it.
    pub sample: Option<SampleStart>,
}

/// A back end that [`Backends::expire`] has removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gone {
    /// The back end.
    pub id: BackendId,
    /// Time since this node last assigned a call to it.
    pub since_last_call: Option<Duration>,
}

/// The last load report of a node or an availability zone.
#[derive(Debug, Default)]
struct LoadReport {
    at: Moment,
    /// Short names of the back ends in the report.
    backends: Vec<u32>,
}

/// All back ends.
#[derive(Debug, Default)]
pub struct Backends {
    entries: HashMap<BackendId, Entry>,
    services: HashMap<ServiceName, Vec<BackendId>>,
    slot_time_ms: HashMap<ServiceName, f64>,
    /// Back ends by their short names.
    by_short_name: HashMap<u32, BackendId>,
    /// The last load report of each other node or availability zone.
    reports: HashMap<Origin, LoadReport>,
    /// Processes that the registry ceased to list, and when.
    departed: HashMap<ProcessName, Moment>,
    /// Services whose back ends are brittle.
    brittle: BrittleServices,
    /// Samples of calls; `None` if no limits are learned.
    samples: Option<ConcurrencySamples>,
}

impl Backends {
    /// Inserts or updates a back end that a restored registry lists. The entry may be older than what was known
    /// before: a process that was leaving still is, and one that had departed gets calls only if it is listed
    /// for longer than an entry outlasts its process. Returns whether anything changed.
    pub fn put_restored(&mut self, backend: Backend, now: Moment) -> bool {
        let name = process_name(&backend);
        let known = self.same_process(&backend);
        let was_leaving = known.as_ref().is_some_and(|entry| entry.is_leaving());
        let has_departed = self.departed.contains_key(&name);
        let id = backend.id.clone();
        let changed = self.put(backend);
        if let Some(entry) = self.entries.get_mut(&id) {
            if was_leaving {
                entry.leaving_since.get_or_insert(now);
            }
            if has_departed {
                entry.paused_until = entry.paused_until.max(now + MAX_ENTRY_OUTLASTING);
            }
        }
        changed
    }

    /// Inserts or updates a back end from the registry. Returns whether anything changed.
    pub fn put(&mut self, backend: Backend) -> bool {
        self.departed.remove(&process_name(&backend));
        if let Some(entry) = self.entries.get_mut(&backend.id) {
            let is_same_process = entry.backend.started == backend.started
                && entry.backend.address == backend.address
                && entry.backend.service == backend.service;
            if is_same_process {
                let changed = *entry.backend != backend || entry.listing != Listing::Listed;
                entry.backend = Arc::new(backend);
                entry.listing = Listing::Listed;
                return changed;
            }
            let id = backend.id.clone();
            self.remove(&id);
        }
        let slot_time_ms = self
            .slot_time_ms
            .get(&backend.service)
            .copied()
            .unwrap_or(0.0);
        let ids = self.services.entry(backend.service.clone()).or_default();
        ids.push(backend.id.clone());
        ids.sort_unstable();
        let id = backend.id.clone();
        self.by_short_name.insert(short_name(&id), id.clone());
        self.entries
            .insert(id, Entry::new(Arc::new(backend), slot_time_ms));
        true
    }

    /// Records that the registry no longer lists a back end, which receives no calls from `gone_at` on.
    pub fn unlist(&mut self, id: &str, gone_at: Moment) {
        let listed = self.entries.get_mut(id);
        if let Some(entry) = listed.filter(|entry| entry.listing == Listing::Listed) {
            entry.listing = Listing::Unlisted(gone_at);
            let name = process_name(&entry.backend);
            self.departed.insert(name, gone_at);
        }
    }

    /// Removes back ends that are gone, and returns them.
    pub fn expire(&mut self, now: Moment) -> Vec<Gone> {
        let is_recent = |at: Moment| now.saturating_sub(at) <= DEPARTED_RETENTION;
        self.departed.retain(|_, at| is_recent(*at));
        let gone: Vec<Gone> = self
            .entries
            .values()
            .filter(|entry| entry.is_gone(now))
            .map(|entry| Gone {
                id: entry.backend.id.clone(),
                since_last_call: entry.since_last_call(now),
            })
            .collect();
        for gone in &gone {
            self.remove(&gone.id);
        }
        gone
    }

    /// Returns a back end by name.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns all back ends.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the back ends of a service, in the order of their names.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Entry> {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.entries.get(id))
    }

    /// Returns the back ends of a service that accept calls of this node, whether or not it reaches them.
    pub fn accepting(&self, service: &str, now: Moment) -> impl Iterator<Item = &Entry> {
        self.of_service(service)
            .filter(move |entry| entry.accepts(now))
    }

    /// Adds a call to the load and the prompt cache of its back end, and charges it to the back end's limit.
    pub fn begin(&mut self, place: &mut CallPlace, parts: &[Part], cache_tokens: u64, now: Moment) {
        let Some(entry) = self.same_process(&place.backend) else {
            return;
        };
        entry.last_call = Some(now);
        if let Some(limit) = &mut entry.call_limit {
            place.is_charged = limit.try_take(now);
        }
        let load = &mut entry.own;
        load.calls += 1;
        load.waiting[place.load.rank] += 1;
        load.unread[place.load.rank] += place.load.unread;
        load.kv_tokens += place.load.kv_tokens;
        entry.cache.read(parts, cache_tokens);
    }

    /// Records the first event or the answer of a call, which arrived after `took` instead of `expected`.
    pub fn first_event(&mut self, place: &mut CallPlace, took: Duration, expected: Duration) {
        if place.has_begun {
            return;
        }
        place.has_begun = true;
        let rank = place.load.rank;
        let unread = place.load.unread;
        if let Some(entry) = self.same_process(&place.backend) {
            entry.own.waiting[rank] = entry.own.waiting[rank].saturating_sub(1);
            entry.own.unread[rank] = entry.own.unread[rank].saturating_sub(unread);
            let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.02);
            let latency_ratio = entry.latency_ratio * (1.0 - AVERAGE_WEIGHT)
                + ratio * entry.latency_ratio * AVERAGE_WEIGHT;
            entry.latency_ratio =
                latency_ratio.clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
        }
    }

    /// Removes an ended call from the load of its back end, where it occupied a slot for `occupied`.
    pub fn end(&mut self, place: &CallPlace, outcome: Outcome, occupied: Duration, now: Moment) {
        let Some(entry) = self.same_process(&place.backend) else {
            return;
        };
        let rank = place.load.rank;
        let load = &mut entry.own;
        load.calls = load.calls.saturating_sub(1);
        load.kv_tokens = load.kv_tokens.saturating_sub(place.load.kv_tokens);
        if !place.has_begun {
            load.waiting[rank] = load.waiting[rank].saturating_sub(1);
            load.unread[rank] = load.unread[rank].saturating_sub(place.load.unread);
        }
        entry.record_outcome(outcome, now);
        if outcome == Outcome::Answered {
            let occupied_ms = occupied.as_secs_f64() * 1e3;
            entry.slot_time_ms += (occupied_ms - entry.slot_time_ms) * AVERAGE_WEIGHT;
            let mean = self
                .slot_time_ms
                .entry(place.backend.service.clone())
                .or_insert(occupied_ms);
            *mean += (occupied_ms - *mean) * AVERAGE_WEIGHT * 0.2;
        }
        if matches!(outcome, Outcome::Failed | Outcome::Silent) {
            self.record_sample(place, Measured::Failed, now);
        }
    }

    /// Records that a back end is silent within a call, so that new calls go to others.
    pub fn record_silent(&mut self, id: &str, now: Moment) {
        let entry = self.entries.get_mut(id);
        if let Some(entry) = entry {
            entry.record_outcome(Outcome::Silent, now);
        }
    }

    /// Records that a back end that was silent has sent something.
    pub fn record_went_on(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.reset_backoff();
        }
    }

    /// Applies a load report of a node or of an availability zone, by short names of back ends. Back ends that
    /// are not in the report have none of its calls.
    pub fn apply_report(&mut self, from: &Origin, loads: &HashMap<u32, Load>, now: Moment) {
        let report = LoadReport {
            at: now,
            backends: loads.keys().copied().collect(),
        };
        let previous = self
            .reports
            .insert(from.clone(), report)
            .unwrap_or_default();
        for name in previous
            .backends
            .iter()
            .filter(|name| !loads.contains_key(name))
        {
            self.set_peer_load(*name, from, None);
        }
        for (name, load) in loads {
            self.set_peer_load(*name, from, Some(load));
        }
    }

    fn set_peer_load(&mut self, name: u32, from: &Origin, load: Option<&Load>) {
        let id = self.by_short_name.get(&name);
        if let Some(entry) = id.and_then(|id| self.entries.get_mut(id)) {
            entry.set_peer_load(from, load);
        }
    }

    /// Removes the loads of nodes and zones whose last report is too old.
    pub fn expire_loads(&mut self, now: Moment) {
        let is_silent = |report: &LoadReport| now.saturating_sub(report.at) > MAX_LOAD_AGE;
        let silent: Vec<_> = self
            .reports
            .extract_if(|_, report| is_silent(report))
            .collect();
        for (from, report) in silent {
            for name in report.backends {
                self.set_peer_load(name, &from, None);
            }
        }
    }

    /// Records that a back end announced in an answer that it is leaving. Returns whether this is new.
    pub fn record_leaving(&mut self, backend: &Backend, now: Moment) -> bool {
        let Some(entry) = self.same_process(backend) else {
            return false;
        };
        let is_new = !entry.is_leaving();
        entry.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that an answer of a back end said that it is brittle, and whether it rejected the call. Returns whether
    /// this is new of its service.
    pub fn record_brittle(&mut self, backend: &Backend, is_rejected: bool, now: Moment) -> bool {
        if is_rejected {
            self.record_pause(backend, REJECTED_PAUSE, now);
        }
        self.brittle.record(&backend.service, now)
    }

    /// Returns whether the back ends of a service are brittle.
    pub fn is_brittle(&self, service: &str, now: Moment) -> bool {
        self.brittle.is_brittle(service, now)
    }

    /// Records the call limit that an answer of a back end to this node named, if any. Returns whether the
    /// limit has changed.
    pub fn record_call_limit(
        &mut self,
        backend: &Backend,
        limit: Option<f64>,
        now: Moment,
    ) -> bool {
        let Some(entry) = self.same_process(backend) else {
            return false;
        };
        if limit.is_none() && entry.named_limit.last().is_none() {
            return false;
        }
        let named = Observation {
            at: now,
            value: limit,
        };
        entry.apply_named_limit(named, Observer::Node, now)
    }

    /// Applies reports of other nodes on the call limits that processes of back ends named. Returns the back
    /// ends whose limit has changed.
    pub fn apply_call_limits(
        &mut self,
        named: &HashMap<ProcessName, Observation<Option<f64>>>,
        observer: Observer,
        now: Moment,
    ) -> Vec<(BackendId, Option<f64>)> {
        let mut changed = Vec::new();
        if named.is_empty() {
            return changed;
        }
        for entry in self.entries.values_mut() {
            let Some(named) = named.get(&process_name(&entry.backend)) else {
                continue;
            };
            if entry.apply_named_limit(*named, observer, now) {
                changed.push((entry.backend.id.clone(), entry.limit_per_second()));
            }
        }
        changed
    }

    /// Returns the call limits that back ends named to `observer` or a smaller group of nodes within `age`,
    /// the latest ones first.
    pub fn call_limits_to_report(
        &self,
        observer: Observer,
        now: Moment,
        age: Duration,
    ) -> Vec<(ProcessName, Observation<Option<f64>>)> {
        let entries = self.entries.values();
        let mut named: Vec<_> = entries
            .filter_map(|entry| Some((entry, entry.named_limit.last_of(observer)?)))
            .filter(|(_, named)| now.saturating_sub(named.at) <= age)
            .map(|(entry, named)| (process_name(&entry.backend), named))
            .collect();
        named.sort_unstable_by_key(|(_, named)| Reverse(named.at));
        named
    }

    /// Updates this node's shares in the limits of back ends.
    pub fn assign_limit_shares(&mut self, share: impl Fn(&Backend) -> f64, now: Moment) {
        for entry in self.entries.values_mut() {
            if let Some(limit) = &mut entry.call_limit {
                limit.set_share(share(&entry.backend), now);
            }
        }
    }

    /// Returns whether any back end names a limit.
    pub fn has_limits(&self) -> bool {
        self.entries.values().any(Entry::is_limited)
    }

    /// Records that a back end asked this node to send no calls for the time `stay_away`.
    pub fn record_pause(&mut self, backend: &Backend, stay_away: Duration, now: Moment) {
        if let Some(entry) = self.same_process(backend) {
            entry.paused_until = entry.paused_until.max(now + stay_away);
        }
    }

    /// Ends the backoff of the back ends of a service, after this node could reach none of them for a while.
    pub fn reset_backoff(&mut self, service: &str) {
        for id in self.services.get(service).into_iter().flatten() {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.reset_backoff();
            }
        }
    }

    /// Records that the back end closed a connection that was not in use.
    pub fn record_closed_connection(&mut self, backend: &Backend, now: Moment) {
        if let Some(entry) = self.same_process(backend) {
            entry.process.record_break(now);
        }
    }

    /// Records that a report requested at `requested_at` is from the process that started at `reported`.
    pub fn record_report(
        &mut self,
        backend: &Backend,
        reported: ProcessStart,
        requested_at: Moment,
    ) -> ReportChange {
        match self.same_process(backend) {
            Some(entry) => {
                let listed = backend.started;
                entry.process.record_report(listed, reported, requested_at)
            }
            None => ReportChange::None,
        }
    }

    /// Records that a report of a back end was requested in vain.
    pub fn record_no_report(&mut self, backend: &Backend, now: Moment) {
        if let Some(entry) = self.same_process(backend) {
            entry.process.record_no_report(now);
        }
    }

    /// Returns whether a new stream at a back end should request a report first.
    pub fn needs_report(&self, backend: &Backend, now: Moment) -> bool {
        let entry = self.entries.get(&backend.id);
        entry.is_some_and(|entry| {
            entry.backend.started == backend.started && entry.process.needs_report(now)
        })
    }

    /// Returns which process is at the other end of a connection to a back end on which the process that started at
    /// `reported` has given a report, if any has.
    pub fn peer_process(&self, backend: &Backend, reported: Option<ProcessStart>) -> PeerProcess {
        let listed = backend.started;
        match self.entries.get(&backend.id) {
            Some(entry) if entry.backend.started == listed => {
                entry.process.behind(listed, reported)
            }
            Some(_) if reported != Some(listed) => PeerProcess::Replaced,
            Some(_) => PeerProcess::Confirmed,
            None => ListedProcess::default().behind(listed, reported),
        }
    }

    /// Returns whether the process to which a call was assigned still runs and accepts calls of this node.
    pub fn accepts(&self, backend: &Backend, now: Moment) -> bool {
        let entry = self.entries.get(&backend.id);
        entry.is_some_and(|entry| entry.backend.started == backend.started && entry.accepts(now))
    }

    /// Returns whether a call may be sent to the back end that it was assigned to. A limit that was not known
    /// at the assignment has not been charged.
    pub fn may_send(&self, place: &CallPlace, now: Moment) -> bool {
        let is_limited = self.get(&place.backend.id).is_some_and(Entry::is_limited);
        self.accepts(&place.backend, now) && (place.is_charged || !is_limited)
    }

    /// Returns short names of the processes of back ends that were found to be leaving within `age`.
    pub fn leaving(&self, now: Moment, age: Duration) -> Vec<u32> {
        let is_recent = |at: Moment| now.saturating_sub(at) <= age;
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.leaving_since.is_some_and(is_recent))
            .map(|entry| process_name(&entry.backend))
            .collect()
    }

    /// Applies another node's report of leaving processes, by short names. Returns the back ends for which
    /// this is new.
    pub fn apply_leaving_report(&mut self, processes: &[u32], now: Moment) -> Vec<BackendId> {
        if processes.is_empty() {
            return Vec::new();
        }
        let mut newly_leaving = Vec::new();
        for entry in self.entries.values_mut() {
            if !entry.is_leaving() && processes.contains(&process_name(&entry.backend)) {
                entry.leaving_since = Some(now);
                newly_leaving.push(entry.backend.id.clone());
            }
        }
        newly_leaving
    }

    /// Returns the loads of this node's calls by short names of back ends.
    pub fn local_loads(&self) -> Vec<(u32, Load)> {
        self.entries
            .values()
            .filter(|entry| !entry.own.is_idle())
            .map(|entry| (short_name(&entry.backend.id), entry.own))
            .collect()
    }

    /// Returns the loads of this node and of the nodes that report for themselves, by short names of back
    /// ends.
    pub fn node_loads(&self) -> Vec<(u32, Load)> {
        let loads = self.entries.values();
        loads
            .map(|entry| (short_name(&entry.backend.id), entry.node_load_sum()))
            .filter(|(_, load)| !load.is_idle())
            .collect()
    }

    fn same_process(&mut self, backend: &Backend) -> Option<&mut Entry> {
        self.entries
            .get_mut(&backend.id)
            .filter(|entry| entry.backend.started == backend.started)
    }

    fn remove(&mut self, id: &str) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.by_short_name.remove(&short_name(id));
        if let Some(ids) = self.services.get_mut(&entry.backend.service) {
            ids.retain(|other| **other != *id);
        }
    }
}

/// Returns a hash of a back end's name and start time that identifies its process in messages between nodes.
pub fn process_name(backend: &Backend) -> ProcessName {
    xxhash_rust::xxh3::xxh3_64_with_seed(backend.id.as_bytes(), backend.started) as u32
}

/// Returns a hash of a back end's name that identifies it in messages between nodes.
pub fn short_name(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}
