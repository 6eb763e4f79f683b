//! Load balancing with cache affinity: chooses the back end of a call or refuses it.
//!
//! Designed for calls whose prompts share long prefixes, on engines that read prompts one at a time, with
//! several nodes whose knowledge of each other's calls is some hundred milliseconds old. A call is sent to the
//! back end with the earliest expected first event. The estimate adds up the prefill queue, the prefill of the
//! call's own uncached tokens, and a penalty for distance. Engines admit urgent calls first, but read admitted
//! prompts in order, so prompts of less urgent calls count in part.
//!
//! A call is refused at once if its queueing time at the best back end exceeds its longest useful wait. Its own
//! length is not part of that wait, so that long prompts are served like short ones; nor are less urgent calls,
//! so that urgent calls are not refused because of them.

use std::time::Duration;

use smallvec::SmallVec;

use super::backends::{Backend, BackendId, Backends, CallPlace, Entry};
use super::brittle::Shares;
use super::cache::Part;
use super::concurrency::SampleStart;
use super::load::{CallLoad, rank_index};
use super::rollout::candidates::Candidates;
use super::routes::EngineSize;
use super::software::AllowedSoftware;
use crate::core::cells;
use crate::core::time::Moment;

/// Nominal prefill throughput of an engine in tokens a millisecond. [`Entry::latency_ratio`] corrects it.
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Time from the end of prefill to the first event.
const FIRST_EVENT_MS: f64 = 55.0;
/// Time that a call occupies a slot, until it is measured.
const DEFAULT_SLOT_TIME_MS: f64 = 80.0;
/// Penalty of a back end in another availability zone of the region. Traffic between zones is paid by volume.
const OTHER_ZONE_PENALTY_MS: f64 = 8.0;
/// Penalty of a back end in another region: a round trip, and traffic at twice the price.
const OTHER_REGION_PENALTY_MS: f64 = 100.0;
/// Penalty of a back end whose calls all fail, scaled by the fraction of calls that fail.
const FAILING_PENALTY_MS: f64 = 600.0;
/// Penalty of a back end that may be gone.
const SUSPECT_PENALTY_MS: f64 = 400.0;
/// Fraction of a shared prompt prefix that is assumed to be cached by the engine that all nodes prefer for it.
const PREFERRED_CACHED_PART: f64 = 0.95;
/// Fraction of the unread prompts of less urgent calls that engines have already admitted and so read first.
const ADMITTED_UNREAD_PART: f64 = 0.7;
/// Usable fraction of an engine's KV cache.
const KV_USABLE_PART: f64 = 0.9;
/// Largest random increase of a score, as a fraction, which spreads calls over equally good back ends.
const SCORE_JITTER: f64 = 0.06;
/// Bounds of the retry delay that a refused caller is given.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_secs(3));
/// Mean retry delay of callers that are refused because no back end is open.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_millis(700);

/// A call to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the call.
    pub service: &'a str,
    /// Memory of the service's engines; `None` if its back ends are no model engines.
    pub engine: Option<EngineSize>,
    /// Parts of its prompt, in order.
    pub parts: &'a [Part],
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Upper bound of the tokens of its answer.
    pub answer_tokens: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Longest queueing time after which its answer is still useful.
    pub max_wait: Duration,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Back ends to which the call was sent before.
    pub tried: &'a [BackendId],
    /// Software versions at which its stream may begin or go on.
    pub software: AllowedSoftware,
    /// This node's shares in the places of the back ends, if these are brittle.
    pub shares: Option<Shares>,
    /// Back ends to which a rollout restricts the call.
    pub candidates: &'a Candidates,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The service has no open back end that the call was not sent to before.
    NoBackend,
    /// The queueing time at the best back end exceeds the longest useful wait.
    Overloaded,
    /// No back end has the software version at which the call's stream may go on.
    NoSuchSoftware,
}

/// Result of placing a call.
#[derive(Clone, Debug)]
pub enum Placement {
    /// The call is sent to a back end.
    Send {
        /// The back end, and the load that the call adds to it.
        place: CallPlace,
        /// Expected time until the first event or the answer.
        expected: Duration,
        /// Part of `expected` that the call spends in the queue.
        wait: Duration,
    },
    /// The call is refused.
    Refuse {
        /// Why it is refused.
        cause: RefusalCause,
        /// Delay after which the caller may retry.
        retry_after: Duration,
        /// Queueing time at the best back end.
        wait: Duration,
    },
}

/// Compares the regions of availability zones.
pub trait Regions {
    /// Returns whether two availability zones are in the same region.
    fn is_same_region(&self, a: &str, b: &str) -> bool;
}

#[derive(Clone, Copy)]
struct Estimate<'a> {
    entry: &'a Entry,
    score: f64,
    /// What the score of a back end above its learned limit has in addition.
    limit_wait_ms: f64,
    wait_ms: f64,
    /// Time that the back end needs for the prompts before the call and the call itself at nominal speed.
    nominal_ms: f64,
    expected_ms: f64,
    unread: u32,
}

/// Chooses a back end for a call. `draw` returns random numbers that are uniform between 0 and 1.
pub fn place(
    backends: &Backends,
    regions: &dyn Regions,
    ask: &PlacementRequest<'_>,
    now: Moment,
    draw: &mut dyn FnMut() -> f64,
) -> Placement {
    let candidates: SmallVec<[&Entry; 32]> = backends
        .of_service(ask.service)
        .filter(|entry| entry.is_open(now) && !ask.tried.contains(&entry.backend.id))
        .filter(|entry| allows_software(ask, entry) && ask.candidates.allow(entry))
        .filter(|entry| ask.shares.is_none_or(|shares| has_room(shares, entry)))
        .collect();
    let preferred = preferred_engine(&candidates, ask);
    let estimates = candidates.iter().map(|entry| {
        let is_preferred = preferred.is_some_and(|engine| std::ptr::eq(engine, *entry));
        let cached = if is_preferred {
            PREFERRED_CACHED_PART
        } else {
            0.0
        };
        let mut estimate = estimate(entry, regions, ask, cached);
        estimate.score *= 1.0 + SCORE_JITTER * draw();
        estimate
    });
    let Some(best) = choose(estimates, ask.max_wait) else {
        return Placement::Refuse {
            cause: cause_of_none_open(backends, ask, now),
            retry_after: retry_after_none_open(backends, ask.service, now, draw()),
            wait: Duration::ZERO,
        };
    };
    let wait = millis(best.wait_ms);
    if wait > ask.max_wait {
        return Placement::Refuse {
            cause: RefusalCause::Overloaded,
            retry_after: retry_after_overload(wait, ask.max_wait, draw()),
            wait,
        };
    }
    Placement::Send {
        place: CallPlace {
            backend: best.entry.backend.clone(),
            load: CallLoad {
                rank: rank_index(ask.rank),
                unread: best.unread,
                kv_tokens: ask.prompt_tokens + ask.answer_tokens,
            },
            has_begun: false,
            is_charged: false,
            sample: backends
                .learns_limits()
                .then(|| sample_start(&best, regions, ask))
                .flatten(),
        },
        expected: millis(best.expected_ms),
        wait,
    }
}

/// Chooses the back end with the lowest score. Learned limits count unless the call would be refused because of them.
fn choose<'a>(
    estimates: impl Iterator<Item = Estimate<'a>>,
    max_wait: Duration,
) -> Option<Estimate<'a>> {
    let with_limit = |estimate: &Estimate<'_>| estimate.score + estimate.limit_wait_ms;
    let mut within_limits: Option<Estimate<'a>> = None;
    let mut within_places: Option<Estimate<'a>> = None;
    for estimate in estimates {
        if within_places
            .as_ref()
            .is_none_or(|best| estimate.score < best.score)
        {
            within_places = Some(estimate);
        }
        if within_limits
            .as_ref()
            .is_none_or(|best| with_limit(&estimate) < with_limit(best))
        {
            within_limits = Some(estimate);
        }
    }
    match within_limits {
        Some(best) if millis(best.wait_ms) <= max_wait => Some(best),
        _ => within_places,
    }
}

/// Returns what the sample of a call begins with. Calls to other regions and calls that wait for memory give none, as
/// their time is that of the network or of the queue.
fn sample_start(
    estimate: &Estimate<'_>,
    regions: &dyn Regions,
    ask: &PlacementRequest<'_>,
) -> Option<SampleStart> {
    let backend = &estimate.entry.backend;
    let load = estimate.entry.load();
    let lacks_memory = |engine: EngineSize| kv_shortage(&engine, load.kv_tokens, ask) > 0.0;
    if !regions.is_same_region(ask.zone, &backend.zone) || ask.engine.is_some_and(lacks_memory) {
        return None;
    }
    Some(SampleStart {
        calls: load.calls + 1,
        nominal: millis(estimate.nominal_ms),
    })
}

/// Returns how much longer the queue of a back end is for a new call if calls above its learned limit count as
/// queued.
fn limit_wait_ms(entry: &Entry, calls: u32, slot_time_ms: f64) -> f64 {
    let Some(limit) = entry.concurrency().filter(|limit| limit.is_reduced()) else {
        return 0.0;
    };
    let queue_ms = |places: u32| {
        let over = (f64::from(calls) + 1.0 - f64::from(places)).max(0.0);
        over * slot_time_ms / f64::from(places)
    };
    queue_ms(limit.calls()) - queue_ms(entry.backend.slots.max(1))
}

/// Returns the engine that all nodes prefer for a prompt: the one with the largest rendezvous hash weight for
/// the prompt's longest shared part. The choice does not depend on load, which nodes know with different
/// delays, so that one engine reads a part, however many nodes there are. The engine may be in another region:
/// callers of all regions together use a part more often than those of one region, and engines evict parts
/// that have not been used for long.
fn preferred_engine<'a>(candidates: &[&'a Entry], ask: &PlacementRequest<'_>) -> Option<&'a Entry> {
    let shared = ask.parts.len().saturating_sub(1);
    let anchor = ask.parts[..shared].iter().max_by_key(|part| part.tokens)?;
    let weight = |entry: &&&Entry| cells::weight_of(anchor.id, &entry.backend.id);
    // Only few nodes may send calls to an engine with a limit.
    let open_to_all = candidates.iter().filter(|entry| !entry.is_limited());
    open_to_all.max_by_key(weight).copied()
}

fn estimate<'a>(
    entry: &'a Entry,
    regions: &dyn Regions,
    ask: &PlacementRequest<'_>,
    preferred_cached: f64,
) -> Estimate<'a> {
    let load = entry.load();
    let rank = rank_index(ask.rank);
    let slot_time_ms = if entry.slot_time_ms > 0.0 {
        entry.slot_time_ms
    } else {
        DEFAULT_SLOT_TIME_MS
    };
    let slots = f64::from(entry.backend.slots.max(1));
    let over_slots = (f64::from(load.calls) + 1.0 - slots).max(0.0);
    let mut wait_ms = over_slots * slot_time_ms / slots;
    let mut service_ms = slot_time_ms;
    let mut nominal_ms = DEFAULT_SLOT_TIME_MS;
    let mut unread = 0;
    let mut lower_rank_ms = 0.0;
    if let Some(engine) = ask.engine {
        let cached = f64::from(entry.cache.cached_tokens(ask.parts));
        let cached = cached.max(shared_tokens(ask.parts) * preferred_cached);
        unread = (f64::from(ask.prompt_tokens) - cached).max(0.0) as u32;
        let read_ms = |tokens: u32| f64::from(tokens) / PREFILL_TOKENS_PER_MS * entry.latency_ratio;
        wait_ms += read_ms(load.unread_before(rank));
        lower_rank_ms = read_ms(load.unread_after(rank)) * ADMITTED_UNREAD_PART;
        wait_ms += slot_time_ms * kv_shortage(&engine, load.kv_tokens, ask);
        service_ms =
            (f64::from(unread) / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS) * entry.latency_ratio;
        nominal_ms =
            (read_ms(load.unread_before(rank)) + lower_rank_ms + service_ms) / entry.latency_ratio;
    }
    let expected_ms = wait_ms + lower_rank_ms + service_ms;
    Estimate {
        entry,
        score: expected_ms + distance_ms(entry, regions, ask.zone) + penalty_ms(entry),
        limit_wait_ms: limit_wait_ms(entry, load.calls, slot_time_ms),
        wait_ms,
        nominal_ms,
        expected_ms,
        unread,
    }
}

/// Returns the time until the first event of a call at an idle engine that has nothing of its prompt cached, or until
/// the answer of a back end that is no model engine.
pub fn nominal_time(prompt_tokens: Option<u32>) -> Duration {
    millis(match prompt_tokens {
        Some(tokens) => f64::from(tokens) / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS,
        None => DEFAULT_SLOT_TIME_MS,
    })
}

/// Returns the tokens of all parts but the last, which is specific to the call.
fn shared_tokens(parts: &[Part]) -> f64 {
    let shared = parts.len().saturating_sub(1);
    parts[..shared]
        .iter()
        .map(|part| f64::from(part.tokens))
        .sum()
}

/// Returns the KV cache space that an engine lacks for a call, as a fraction of the space that the call needs.
fn kv_shortage(engine: &EngineSize, used: u32, ask: &PlacementRequest<'_>) -> f64 {
    let needed = f64::from(ask.prompt_tokens + ask.answer_tokens).max(1.0);
    let room = f64::from(engine.kv_tokens) * KV_USABLE_PART - f64::from(used);
    ((needed - room) / needed).clamp(0.0, 2.0)
}

fn distance_ms(entry: &Entry, regions: &dyn Regions, zone: &str) -> f64 {
    if *entry.backend.zone == *zone {
        0.0
    } else if regions.is_same_region(zone, &entry.backend.zone) {
        OTHER_ZONE_PENALTY_MS
    } else {
        OTHER_REGION_PENALTY_MS
    }
}

fn has_room(shares: Shares, entry: &Entry) -> bool {
    let Backend { id, slots, .. } = &*entry.backend;
    let known = entry.load().calls;
    shares.has_room(id, *slots, entry.own.calls, known)
}

fn allows_software(ask: &PlacementRequest<'_>, entry: &Entry) -> bool {
    ask.software == AllowedSoftware::Any || ask.software.allows(entry.software_id())
}

/// Returns why no back end is open for a call.
fn cause_of_none_open(
    backends: &Backends,
    ask: &PlacementRequest<'_>,
    now: Moment,
) -> RefusalCause {
    let mut staying = backends
        .of_service(ask.service)
        .filter(|entry| !entry.is_gone(now) && !entry.is_leaving());
    let may_open =
        |entry: &Entry| allows_software(ask, entry) && !ask.candidates.exclude_for_good(entry);
    match ask.software == AllowedSoftware::Any || staying.any(may_open) {
        true => RefusalCause::NoBackend,
        false => RefusalCause::NoSuchSoftware,
    }
}

fn penalty_ms(entry: &Entry) -> f64 {
    let suspect = if entry.is_suspect() {
        SUSPECT_PENALTY_MS
    } else {
        0.0
    };
    suspect + entry.failure_rate * FAILING_PENALTY_MS
}

/// Returns the retry delay of a caller if no back end is open: until the first of the back ends that have paused
/// or named a limit accepts calls again, if there are any.
fn retry_after_none_open(backends: &Backends, service: &str, now: Moment, draw: f64) -> Duration {
    let closed = backends.of_service(service);
    match closed.filter_map(|entry| entry.closed_for(now)).min() {
        Some(first) => first + NO_BACKEND_RETRY_AFTER.mul_f64(draw / 2.0),
        None => NO_BACKEND_RETRY_AFTER.mul_f64(0.75 + draw / 2.0),
    }
}

/// Returns the retry delay of a refused caller: the time until the queue is short enough, with jitter so that
/// callers do not retry all at once.
fn retry_after_overload(wait: Duration, max_wait: Duration, draw: f64) -> Duration {
    let excess = wait.saturating_sub(max_wait / 2);
    let (min, max) = RETRY_AFTER_BOUNDS;
    excess.mul_f64(0.75 + draw / 2.0).clamp(min, max)
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
