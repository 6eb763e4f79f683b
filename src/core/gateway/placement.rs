//! Which back end a call is sent to, or why it is refused.
//!
//! Load it answers: calls whose prompts share long parts, on engines that read prompts one after the
//! other, seen by several nodes whose knowledge of each other's calls is some hundred milliseconds
//! old. A call goes where its first event is expected soonest: the reading before it, its own reading
//! less what the engine's cache holds, and what the way there costs. Engines admit urgent calls first, but
//! what they have admitted they read in turn: prompts of less urgent calls count in part.
//!
//! A call is refused at once where the wait before it, at the best back end, is longer than waiting
//! is of use. Its own length does not count in that, so that long prompts are served like short ones; nor
//! do less urgent calls, so that urgent ones are not refused for them.

use std::time::Duration;

use smallvec::SmallVec;

use super::backends::{BackendId, Backends, CallPlace, Entry};
use super::cache::Part;
use super::load::{CallLoad, rank_index};
use super::routes::EngineSize;
use crate::core::cells;
use crate::core::time::Moment;

/// Prompt tokens that an engine reads in a millisecond, before its pace is measured.
pub const READ_TOKENS_PER_MS: f64 = 50.0;
/// Time from the end of reading to the first event.
const FIRST_EVENT_MS: f64 = 55.0;
/// Time that a call holds a slot where nothing is measured yet.
const DEFAULT_HOLD_MS: f64 = 80.0;
/// What a back end in another availability zone of the region has to be faster by. Traffic between
/// zones is paid by volume.
const OTHER_ZONE_MS: f64 = 8.0;
/// What a back end in another region has to be faster by: a round trip, and traffic that costs twice.
const OTHER_REGION_MS: f64 = 100.0;
/// What a back end is taken to be slower by for each part of its calls that fail.
const FAILING_MS: f64 = 600.0;
/// What a suspect back end has to be faster by.
const SUSPECT_MS: f64 = 400.0;
/// Part of a shared prompt that the engine which all nodes prefer for it is taken to hold.
const PREFERRED_HELD: f64 = 0.95;
/// Part of the prompts of less urgent calls that engines have begun to read, so that they come before.
const ADMITTED_PART: f64 = 0.7;
/// Part of an engine's memory up to which its calls are believed to fit.
const KV_USABLE: f64 = 0.9;
/// Part of the expected time by which equal choices are spread at random.
const SPREAD: f64 = 0.06;
/// Shortest and longest time after which a refused caller may come back.
const RETURN_BOUNDS: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(3));
/// When to come back where no back end is known.
const NO_BACKEND_RETURN: Duration = Duration::from_millis(700);

/// A call that looks for a back end.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Service that is to serve it.
    pub service: &'a str,
    /// What its engines hold; `None` for a plain service.
    pub engine: Option<EngineSize>,
    /// Parts of its prompt, in order.
    pub parts: &'a [Part],
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of its answer at most.
    pub answer_tokens: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Longest wait before it that is of use.
    pub max_wait: Duration,
    /// Availability zone of the node.
    pub zone: &'a str,
    /// Back ends that it has been sent to.
    pub tried: &'a [BackendId],
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No back end of the service is there, or none but those that were tried.
    NoBackend,
    /// The wait at every back end is longer than is of use.
    Overloaded,
}

/// Where a call goes.
#[derive(Clone, Debug)]
pub enum Placement {
    /// To a back end.
    Send {
        /// Its place there.
        place: CallPlace,
        /// When its first event or answer is expected.
        expected: Duration,
        /// Wait before it, of that.
        wait: Duration,
    },
    /// Nowhere.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// When the caller may come back.
        retry_after: Duration,
        /// Wait at the best back end.
        wait: Duration,
    },
}

/// Tells which region an availability zone is in.
pub trait Regions {
    /// Returns whether two availability zones are in one region.
    fn is_same_region(&self, a: &str, b: &str) -> bool;
}

struct Estimate<'a> {
    entry: &'a Entry,
    score: f64,
    wait_ms: f64,
    expected_ms: f64,
    unread: u32,
}

/// Chooses a back end for a call. `draw` gives numbers uniform in 0 to 1.
pub fn place(
    backends: &Backends,
    regions: &dyn Regions,
    ask: &Ask<'_>,
    now: Moment,
    draw: &mut dyn FnMut() -> f64,
) -> Placement {
    let candidates: SmallVec<[&Entry; 32]> = backends
        .of_service(ask.service)
        .filter(|entry| entry.is_open(now) && !ask.tried.contains(&entry.backend.id))
        .collect();
    let preferred = preferred(&candidates, ask);
    let best = candidates
        .iter()
        .map(|entry| {
            let is_preferred = preferred.is_some_and(|preferred| std::ptr::eq(preferred, *entry));
            let held = if is_preferred { PREFERRED_HELD } else { 0.0 };
            let mut estimate = estimate(entry, regions, ask, held);
            estimate.score *= 1.0 + SPREAD * draw();
            estimate
        })
        .min_by(|a, b| a.score.total_cmp(&b.score));
    let Some(best) = best else {
        return Placement::Refuse {
            cause: RefusalCause::NoBackend,
            retry_after: none_open_return(backends, ask.service, now, draw()),
            wait: Duration::ZERO,
        };
    };
    let wait = millis(best.wait_ms);
    if wait > ask.max_wait {
        return Placement::Refuse {
            cause: RefusalCause::Overloaded,
            retry_after: return_after(wait, ask.max_wait, draw()),
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
        },
        expected: millis(best.expected_ms),
        wait,
    }
}

/// Returns the engine that all nodes prefer for a prompt: the one with the largest rendezvous weight for the
/// prompt's longest shared part. It depends on nothing that nodes know differently, so that a part is read
/// by one engine however many nodes there are. It may be in another region: callers of all regions use a
/// part more often than those of one, and engines forget what is not used for long.
fn preferred<'a>(candidates: &[&'a Entry], ask: &Ask<'_>) -> Option<&'a Entry> {
    let shared = ask.parts.len().saturating_sub(1);
    let anchor = ask.parts[..shared].iter().max_by_key(|part| part.tokens)?;
    let weight = |entry: &&&Entry| cells::weight_of(anchor.id, &entry.backend.id);
    candidates.iter().max_by_key(weight).copied()
}

fn estimate<'a>(
    entry: &'a Entry,
    regions: &dyn Regions,
    ask: &Ask<'_>,
    preferred_held: f64,
) -> Estimate<'a> {
    let load = entry.load();
    let rank = rank_index(ask.rank);
    let hold_ms = if entry.hold_ms > 0.0 {
        entry.hold_ms
    } else {
        DEFAULT_HOLD_MS
    };
    let slots = f64::from(entry.backend.slots.max(1));
    let over_slots = (f64::from(load.calls) + 1.0 - slots).max(0.0);
    let mut wait_ms = over_slots * hold_ms / slots;
    let mut own_ms = hold_ms;
    let mut unread = 0;
    let mut behind_ms = 0.0;
    if let Some(engine) = ask.engine {
        let held = f64::from(entry.cache.held_tokens(ask.parts));
        let held = held.max(shared_tokens(ask.parts) * preferred_held);
        unread = (f64::from(ask.prompt_tokens) - held).max(0.0) as u32;
        let read_ms = |tokens: u32| f64::from(tokens) / READ_TOKENS_PER_MS * entry.pace;
        wait_ms += read_ms(load.unread_before(rank));
        behind_ms = read_ms(load.unread_after(rank)) * ADMITTED_PART;
        wait_ms += hold_ms * kv_shortage(&engine, load.kv_tokens, ask);
        own_ms = (f64::from(unread) / READ_TOKENS_PER_MS + FIRST_EVENT_MS) * entry.pace;
    }
    let expected_ms = wait_ms + behind_ms + own_ms;
    Estimate {
        entry,
        score: expected_ms + distance_ms(entry, regions, ask.zone) + penalty_ms(entry),
        wait_ms,
        expected_ms,
        unread,
    }
}

/// Returns the tokens of all parts but the last, which belongs to the call alone.
fn shared_tokens(parts: &[Part]) -> f64 {
    let shared = parts.len().saturating_sub(1);
    parts[..shared]
        .iter()
        .map(|part| f64::from(part.tokens))
        .sum()
}

/// Returns how much of a call's memory is missing at an engine, as a part of what it needs.
fn kv_shortage(engine: &EngineSize, used: u32, ask: &Ask<'_>) -> f64 {
    let needed = f64::from(ask.prompt_tokens + ask.answer_tokens).max(1.0);
    let room = f64::from(engine.kv_tokens) * KV_USABLE - f64::from(used);
    ((needed - room) / needed).clamp(0.0, 2.0)
}

fn distance_ms(entry: &Entry, regions: &dyn Regions, zone: &str) -> f64 {
    if *entry.backend.zone == *zone {
        0.0
    } else if regions.is_same_region(zone, &entry.backend.zone) {
        OTHER_ZONE_MS
    } else {
        OTHER_REGION_MS
    }
}

fn penalty_ms(entry: &Entry) -> f64 {
    let suspect = if entry.is_suspect() { SUSPECT_MS } else { 0.0 };
    suspect + entry.failing * FAILING_MS
}

/// Returns when a caller may come back that finds no back end open: once the first of those that asked to
/// be left alone takes calls again, if there are any.
fn none_open_return(backends: &Backends, service: &str, now: Moment, draw: f64) -> Duration {
    let away = backends.of_service(service);
    match away.filter_map(|entry| entry.away_for(now)).min() {
        Some(first) => first + NO_BACKEND_RETURN.mul_f64(draw / 2.0),
        None => NO_BACKEND_RETURN.mul_f64(0.75 + draw / 2.0),
    }
}

/// Returns when a refused caller may come back: once the wait is short enough, spread at random so
/// that callers do not return together.
fn return_after(wait: Duration, max_wait: Duration, draw: f64) -> Duration {
    let excess = wait.saturating_sub(max_wait / 2);
    let (least, most) = RETURN_BOUNDS;
    excess.mul_f64(0.75 + draw / 2.0).clamp(least, most)
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
