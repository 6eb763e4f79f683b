//! One back end with its load, health and limits, as this node knows them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{AVERAGE_WEIGHT, Backend, Listing, Outcome};
use crate::core::gateway::cache::PromptCache;
use crate::core::gateway::call_limit::CallLimit;
use crate::core::gateway::concurrency::ConcurrencyLimit;
use crate::core::gateway::listed_process::ListedProcess;
use crate::core::gateway::load::Load;
use crate::core::gateway::observed::{Observation, Observed, Observer};
use crate::core::gateway::origin::Origin;
use crate::core::gateway::software::SoftwareId;
use crate::core::time::Moment;

/// Initial backoff after a back end could not be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// A back end with its load and health.
#[derive(Debug)]
pub struct Entry {
    /// Its entry in the registry.
    pub backend: Arc<Backend>,
    /// Whether the registry still lists it.
    pub listing: Listing,
    /// What is known of the process that the registry entry describes.
    pub process: ListedProcess,
    /// Load of this node's calls.
    pub own: Load,
    /// Estimated content of its prompt cache.
    pub cache: PromptCache,
    /// Moving average of the measured time until the first event, as a multiple of the nominal time.
    pub latency_ratio: f64,
    /// Moving average of the fraction of failed calls.
    pub failure_rate: f64,
    /// Moving average of the time that a call occupies a slot, in milliseconds.
    pub slot_time_ms: f64,
    peer_loads: HashMap<Origin, Load>,
    /// Sum of `peer_loads`, kept because the placement of every call reads it for every back end.
    peer_load_sum: Load,
    failures: u32,
    backoff_until: Moment,
    /// End of the pause that it asked for, or after which it counts as running although it had departed.
    pub(super) paused_until: Moment,
    /// When this node last assigned a call to it.
    pub(super) last_call: Option<Moment>,
    /// Calls a second that its answers named as its limit; `None` if they named none.
    pub(super) named_limit: Observed<Option<f64>>,
    /// Its limit, if the last answer of it to any node named one.
    pub(super) call_limit: Option<CallLimit>,
    /// Calls of all nodes that it takes well; `None` if nothing has been learned of it.
    pub(super) concurrency: Option<Box<ConcurrencyLimit>>,
    /// When this node learned, from an answer of the back end or from another node, that it is leaving.
    pub(super) leaving_since: Option<Moment>,
}

impl Entry {
    pub(super) fn new(backend: Arc<Backend>, slot_time_ms: f64) -> Self {
        Self {
            backend,
            listing: Listing::Listed,
            process: ListedProcess::default(),
            own: Load::default(),
            cache: PromptCache::default(),
            latency_ratio: 1.0,
            failure_rate: 0.0,
            slot_time_ms,
            peer_loads: HashMap::new(),
            peer_load_sum: Load::default(),
            failures: 0,
            backoff_until: Moment::ZERO,
            paused_until: Moment::ZERO,
            last_call: None,
            named_limit: Observed::default(),
            call_limit: None,
            concurrency: None,
            leaving_since: None,
        }
    }

    /// Returns the identifier of its software version; `None` if its entry names none, or another process than the
    /// listed one has its address.
    pub fn software_id(&self) -> Option<SoftwareId> {
        match self.process {
            ListedProcess::Replaced => None,
            ListedProcess::Presumed | ListedProcess::Doubtful { .. } => self.backend.software_id(),
        }
    }

    /// Returns the known load of all nodes.
    pub fn load(&self) -> Load {
        self.own.plus(&self.peer_load_sum)
    }

    /// Returns the load of this node and of the nodes that report for themselves.
    pub(super) fn node_load_sum(&self) -> Load {
        let nodes = self.peer_loads.iter().filter(|(from, _)| from.is_node());
        nodes.fold(self.own, |sum, (_, load)| sum.plus(load))
    }

    /// Replaces or removes the load of another node or availability zone.
    pub(super) fn set_peer_load(&mut self, from: &Origin, load: Option<&Load>) {
        let previous = match load {
            Some(load) => {
                self.peer_load_sum = self.peer_load_sum.plus(load);
                self.peer_loads.insert(from.clone(), *load)
            }
            None => self.peer_loads.remove(from),
        };
        if let Some(previous) = previous {
            self.peer_load_sum = self.peer_load_sum.minus(&previous);
        }
    }

    /// Returns whether calls may be sent to the back end: it accepts calls and is not in backoff. After a
    /// failure, only one call at a time probes whether it is reachable again.
    pub fn is_open(&self, now: Moment) -> bool {
        let is_probing = self.failures > 0 && self.own.calls > 0;
        let is_within_limit = self.call_limit.as_ref().is_none_or(|l| l.has_token(now));
        self.accepts(now) && now >= self.backoff_until && !is_probing && is_within_limit
    }

    /// Returns whether it names a limit on the calls of all nodes.
    pub fn is_limited(&self) -> bool {
        self.call_limit.is_some()
    }

    /// Returns what has been learned of the calls that it takes well, if anything has.
    pub fn concurrency(&self) -> Option<&ConcurrencyLimit> {
        self.concurrency.as_deref()
    }

    /// Returns whether it accepts calls of this node: it is neither gone nor leaving nor paused.
    pub fn accepts(&self, now: Moment) -> bool {
        !self.is_gone(now) && !self.is_leaving() && now >= self.paused_until
    }

    /// Returns whether it has left the registry for good.
    pub fn is_gone(&self, now: Moment) -> bool {
        matches!(self.listing, Listing::Unlisted(at) if at <= now)
    }

    /// Returns whether it is leaving, according to the registry or to one of its answers.
    pub fn is_leaving(&self) -> bool {
        self.backend.is_leaving || self.leaving_since.is_some()
    }

    /// Returns the time until it takes a call of this node, if it has asked for a pause or named a limit;
    /// `None` if it is leaving, or takes calls of other nodes only.
    pub fn closed_for(&self, now: Moment) -> Option<Duration> {
        if self.is_leaving() {
            return None;
        }
        let pause = self.paused_until.saturating_sub(now);
        let wait = match &self.call_limit {
            Some(limit) => pause.max(limit.next_token_in(now)?),
            None => pause,
        };
        (!wait.is_zero()).then_some(wait)
    }

    /// Returns the time since this node last assigned a call to it, or `None` if it never did.
    pub fn since_last_call(&self, now: Moment) -> Option<Duration> {
        self.last_call.map(|at| now.saturating_sub(at))
    }

    /// Returns whether it may be gone: its last call failed to reach it, or it is no longer listed.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0 || self.listing != Listing::Listed
    }

    /// Forgets that calls could not reach it.
    pub(super) fn reset_backoff(&mut self) {
        self.failures = 0;
        self.backoff_until = Moment::ZERO;
    }

    /// Applies what an answer named as the limit. Returns whether the limit has changed.
    pub(super) fn apply_named_limit(
        &mut self,
        named: Observation<Option<f64>>,
        observer: Observer,
        now: Moment,
    ) -> bool {
        self.named_limit.record(named, observer);
        let last = self.named_limit.last().and_then(|named| named.value);
        let before = self.limit_per_second();
        match (&mut self.call_limit, last) {
            (Some(limit), Some(per_second)) => limit.set_per_second(per_second, now),
            (limit, last) => *limit = last.map(|per_second| CallLimit::new(per_second, now)),
        }
        before != last
    }

    pub(super) fn limit_per_second(&self) -> Option<f64> {
        self.call_limit.as_ref().map(CallLimit::per_second)
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Moment) {
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Declined => return,
            // The calls that one silence ends count once.
            Outcome::Silent if self.is_suspect() => return,
            Outcome::Unreachable | Outcome::Silent | Outcome::BrokeOff => {
                let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(4));
                self.failures += 1;
                self.backoff_until = now + backoff.min(MAX_BACKOFF);
                if outcome != Outcome::Silent {
                    self.process.record_break(now);
                }
                1.0
            }
        };
        if matches!(outcome, Outcome::Answered | Outcome::Failed) {
            self.failures = 0;
        }
        self.failure_rate += (failed - self.failure_rate) * AVERAGE_WEIGHT;
    }
}
