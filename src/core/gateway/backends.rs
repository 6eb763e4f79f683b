//! The back ends that a registry names, and what is known of each.
//!
//! The registry says which back ends there are; what a call saw of one is kept beside it until the
//! back end starts anew.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::cache::PromptCache;
use super::load::{CallLoad, Load};
use super::origin::Origin;
use super::routes::ServiceName;
use crate::core::time::Moment;

/// Name of a back end's process.
pub type BackendId = Box<str>;

/// Age after which what another node told of its calls counts no more.
const LOAD_MAX_AGE: Duration = Duration::from_millis(2500);
/// First time for which a back end is left out after a failure to reach it.
const FIRST_BACKOFF: Duration = Duration::from_millis(400);
/// Longest time for which a back end is left out.
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);
/// Weight of a new observation in averages.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Bounds of the measured pace, as a part of the expected time.
const PACE_BOUNDS: (f64, f64) = (0.6, 6.0);

/// A back end as the registry names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new calls.
    pub is_leaving: bool,
    /// Start of its process in milliseconds since 1970; tells two starts under one name apart.
    pub started: u64,
    /// Whether the cloud may take it back.
    pub is_spot: bool,
}

/// Where a back end stands with the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is named.
    Listed,
    /// It is not named, but the registry was away; it counts as gone at this moment.
    Unlisted(Moment),
}

/// What happened to a call at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It was not reached, broke off or fell silent.
    Unreachable,
    /// It said that it did not run the call.
    Declined,
}

/// A back end with what is known of it.
#[derive(Debug)]
pub struct Entry {
    /// What the registry says.
    pub backend: Arc<Backend>,
    /// Whether the registry still says so.
    pub standing: Standing,
    /// Calls of this node.
    pub own: Load,
    /// What its prompt cache is believed to hold.
    pub cache: PromptCache,
    /// Measured time as a part of the expected time.
    pub pace: f64,
    /// Part of the calls that failed of late.
    pub failing: f64,
    /// Average time that a call keeps a slot, in milliseconds.
    pub hold_ms: f64,
    peers: HashMap<Origin, Load>,
    /// Sum of `peers`: every call that looks for a back end reads it of each.
    peers_sum: Load,
    failures: u32,
    closed_until: Moment,
    /// Until when it asked to be left alone.
    away_until: Moment,
    /// When an answer of it, to this node or another, said that it is leaving.
    leaving_since: Option<Moment>,
}

impl Entry {
    fn new(backend: Arc<Backend>, hold_ms: f64) -> Self {
        Self {
            backend,
            standing: Standing::Listed,
            own: Load::default(),
            cache: PromptCache::default(),
            pace: 1.0,
            failing: 0.0,
            hold_ms,
            peers: HashMap::new(),
            peers_sum: Load::default(),
            failures: 0,
            closed_until: Moment::ZERO,
            away_until: Moment::ZERO,
            leaving_since: None,
        }
    }

    /// Returns the calls of all nodes, as far as is known.
    pub fn load(&self) -> Load {
        self.own.plus(&self.peers_sum)
    }

    /// Returns the calls of this node and of those that told of themselves.
    fn load_of_nodes(&self) -> Load {
        let nodes = self.peers.iter().filter(|(from, _)| from.is_node());
        nodes.fold(self.own, |sum, (_, load)| sum.plus(load))
    }

    /// Takes the calls of another node here, or that it has none.
    fn set_peer(&mut self, from: &Origin, load: Option<&Load>) {
        let before = match load {
            Some(load) => {
                self.peers_sum = self.peers_sum.plus(load);
                self.peers.insert(from.clone(), *load)
            }
            None => self.peers.remove(from),
        };
        if let Some(before) = before {
            self.peers_sum = self.peers_sum.minus(&before);
        }
    }

    /// Returns whether calls may be sent there: it accepts them, and it was reached of late. Of
    /// back ends that were not reached, one call at a time finds out whether they are back.
    pub fn is_open(&self, now: Moment) -> bool {
        let probing = self.failures > 0 && self.own.calls > 0;
        self.accepts(now) && now >= self.closed_until && !probing
    }

    /// Returns whether it takes calls of this node: it is not leaving, and did not ask to be left alone.
    pub fn accepts(&self, now: Moment) -> bool {
        !self.is_leaving() && now >= self.away_until
    }

    /// Returns whether it is leaving, as the registry or one of its answers said.
    pub fn is_leaving(&self) -> bool {
        self.backend.is_leaving || self.leaving_since.is_some()
    }

    /// Returns the time until which it asked to be left alone, where that is all that keeps calls away.
    pub fn away_for(&self, now: Moment) -> Option<Duration> {
        let left = self.away_until.saturating_sub(now);
        (!self.is_leaving() && !left.is_zero()).then_some(left)
    }

    /// Returns whether it is suspected not to be there any more.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0 || self.standing != Standing::Listed
    }

    fn note(&mut self, outcome: Outcome, now: Moment) {
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Declined => return,
            Outcome::Unreachable => {
                let backoff = FIRST_BACKOFF * 2_u32.pow(self.failures.min(4));
                self.failures += 1;
                self.closed_until = now + backoff.min(LONGEST_BACKOFF);
                1.0
            }
        };
        if outcome != Outcome::Unreachable {
            self.failures = 0;
        }
        self.failing += (failed - self.failing) * AVERAGE_WEIGHT;
    }
}

/// A call's place at a back end. It ends with [`Backends::end`].
#[derive(Clone, Debug)]
pub struct CallPlace {
    /// The back end.
    pub backend: Arc<Backend>,
    /// What the call adds to its load.
    pub load: CallLoad,
    /// Whether the first event or the answer has come.
    pub has_begun: bool,
}

/// Calls that a node or an availability zone told of.
#[derive(Debug, Default)]
struct ToldLoads {
    at: Moment,
    /// Short names of the back ends that have such calls.
    backends: Vec<u32>,
}

/// All back ends.
#[derive(Debug, Default)]
pub struct Backends {
    entries: HashMap<BackendId, Entry>,
    services: HashMap<ServiceName, Vec<BackendId>>,
    hold_ms: HashMap<ServiceName, f64>,
    /// Back ends by their short names.
    by_short_name: HashMap<u32, BackendId>,
    /// When others last told of their calls, and at which back ends these are.
    told: HashMap<Origin, ToldLoads>,
}

impl Backends {
    /// Takes what the registry says of a back end. Returns whether anything changed.
    pub fn put(&mut self, backend: Backend) -> bool {
        if let Some(entry) = self.entries.get_mut(&backend.id) {
            let is_same_process = entry.backend.started == backend.started
                && entry.backend.address == backend.address
                && entry.backend.service == backend.service;
            if is_same_process {
                let changed = *entry.backend != backend || entry.standing != Standing::Listed;
                entry.backend = Arc::new(backend);
                entry.standing = Standing::Listed;
                return changed;
            }
            let id = backend.id.clone();
            self.remove(&id);
        }
        let hold_ms = self.hold_ms.get(&backend.service).copied().unwrap_or(0.0);
        let ids = self.services.entry(backend.service.clone()).or_default();
        ids.push(backend.id.clone());
        ids.sort_unstable();
        let id = backend.id.clone();
        self.by_short_name.insert(short_name(&id), id.clone());
        self.entries
            .insert(id, Entry::new(Arc::new(backend), hold_ms));
        true
    }

    /// Notes that the registry no longer names a back end, which counts as gone from `gone_at` on.
    pub fn unlist(&mut self, id: &str, gone_at: Moment) {
        let listed = self.entries.get_mut(id);
        if let Some(entry) = listed.filter(|entry| entry.standing == Standing::Listed) {
            entry.standing = Standing::Unlisted(gone_at);
        }
    }

    /// Forgets back ends that count as gone. Returns their names.
    pub fn expire(&mut self, now: Moment) -> Vec<BackendId> {
        let gone: Vec<BackendId> = self
            .entries
            .values()
            .filter(|entry| matches!(entry.standing, Standing::Unlisted(at) if at <= now))
            .map(|entry| entry.backend.id.clone())
            .collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Returns a back end by name.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns the back ends of a service, in the order of their names.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Entry> {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.entries.get(id))
    }

    /// Puts a call at a back end.
    pub fn begin(&mut self, place: &CallPlace, parts: &[super::cache::Part], cache_tokens: u64) {
        let Some(entry) = self.same_process(&place.backend) else {
            return;
        };
        let load = &mut entry.own;
        load.calls += 1;
        load.waiting[place.load.rank] += 1;
        load.unread[place.load.rank] += place.load.unread;
        load.kv_tokens += place.load.kv_tokens;
        entry.cache.read(parts, cache_tokens);
    }

    /// Notes the first event or the answer of a call, which came after `took` where `expected` was
    /// expected.
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
            let pace = entry.pace * (1.0 - AVERAGE_WEIGHT) + ratio * entry.pace * AVERAGE_WEIGHT;
            entry.pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        }
    }

    /// Takes a call away from its back end, which it kept busy for `held`.
    pub fn end(&mut self, place: &CallPlace, outcome: Outcome, held: Duration, now: Moment) {
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
        entry.note(outcome, now);
        if outcome == Outcome::Answered {
            let held_ms = held.as_secs_f64() * 1e3;
            entry.hold_ms += (held_ms - entry.hold_ms) * AVERAGE_WEIGHT;
            let mean = self
                .hold_ms
                .entry(place.backend.service.clone())
                .or_insert(held_ms);
            *mean += (held_ms - *mean) * AVERAGE_WEIGHT * 0.2;
        }
    }

    /// Takes what another node told of its calls, or of those of its availability zone, by short names of
    /// back ends. What it does not name has none of these calls.
    pub fn told(&mut self, from: &Origin, loads: &HashMap<u32, Load>, now: Moment) {
        let told = ToldLoads {
            at: now,
            backends: loads.keys().copied().collect(),
        };
        let before = self.told.insert(from.clone(), told).unwrap_or_default();
        for name in before
            .backends
            .iter()
            .filter(|name| !loads.contains_key(name))
        {
            self.set_peer(*name, from, None);
        }
        for (name, load) in loads {
            self.set_peer(*name, from, Some(load));
        }
    }

    fn set_peer(&mut self, name: u32, from: &Origin, load: Option<&Load>) {
        let id = self.by_short_name.get(&name);
        if let Some(entry) = id.and_then(|id| self.entries.get_mut(id)) {
            entry.set_peer(from, load);
        }
    }

    /// Forgets the calls of nodes that have not told of any for long.
    pub fn forget_silent(&mut self, now: Moment) {
        let is_silent = |told: &ToldLoads| now.saturating_sub(told.at) > LOAD_MAX_AGE;
        let silent: Vec<_> = self.told.extract_if(|_, told| is_silent(told)).collect();
        for (from, told) in silent {
            for name in told.backends {
                self.set_peer(name, &from, None);
            }
        }
    }

    /// Notes that an answer of a back end said that it is leaving. Returns whether that is news.
    pub fn note_leaving(&mut self, backend: &Backend, now: Moment) -> bool {
        let Some(entry) = self.same_process(backend) else {
            return false;
        };
        let is_news = !entry.is_leaving();
        entry.leaving_since.get_or_insert(now);
        is_news
    }

    /// Notes that a back end wants no calls of this node for a while.
    pub fn note_away(&mut self, backend: &Backend, stay_away: Duration, now: Moment) {
        if let Some(entry) = self.same_process(backend) {
            entry.away_until = entry.away_until.max(now + stay_away);
        }
    }

    /// Returns whether the process that a call was placed at takes calls of this node.
    pub fn accepts(&self, backend: &Backend, now: Moment) -> bool {
        let entry = self.entries.get(&backend.id);
        entry.is_some_and(|entry| entry.backend.started == backend.started && entry.accepts(now))
    }

    /// Returns the processes of back ends that said within `age` that they are leaving, by short names.
    pub fn leaving(&self, now: Moment, age: Duration) -> Vec<u32> {
        let is_recent = |at: Moment| now.saturating_sub(at) <= age;
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.leaving_since.is_some_and(is_recent))
            .map(|entry| process_name(&entry.backend))
            .collect()
    }

    /// Takes what another node told: processes of back ends, by short names, that said that they are
    /// leaving. Returns those of which that is news.
    pub fn told_leaving(&mut self, processes: &[u32], now: Moment) -> Vec<BackendId> {
        if processes.is_empty() {
            return Vec::new();
        }
        let mut news = Vec::new();
        for entry in self.entries.values_mut() {
            if !entry.is_leaving() && processes.contains(&process_name(&entry.backend)) {
                entry.leaving_since = Some(now);
                news.push(entry.backend.id.clone());
            }
        }
        news
    }

    /// Returns this node's calls, by short names of back ends.
    pub fn own_loads(&self) -> Vec<(u32, Load)> {
        self.entries
            .values()
            .filter(|entry| !entry.own.is_idle())
            .map(|entry| (short_name(&entry.backend.id), entry.own))
            .collect()
    }

    /// Returns the calls of this node and of those that told of themselves, by short names of back ends.
    pub fn loads_of_nodes(&self) -> Vec<(u32, Load)> {
        let loads = self.entries.values();
        loads
            .map(|entry| (short_name(&entry.backend.id), entry.load_of_nodes()))
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

/// Returns a short name of one start of a back end's process for messages between nodes.
pub fn process_name(backend: &Backend) -> u32 {
    xxhash_rust::xxh3::xxh3_64_with_seed(backend.id.as_bytes(), backend.started) as u32
}

/// Returns a short name of a back end for messages between nodes.
pub fn short_name(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}
