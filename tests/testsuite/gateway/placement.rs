//! Placement and refusal of calls under simulated load. The simulated engines prefill prompts in chunks, the most
//! urgent call first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jayhall::core::gateway::backends::{Backend, Backends, CallPlace, Outcome, short_name};
use jayhall::core::gateway::cache::Part;
use jayhall::core::gateway::load::Load;
use jayhall::core::gateway::placement::{self, Placement, PlacementRequest, RefusalCause, Regions};
use jayhall::core::gateway::rollout::candidates::Candidates;
use jayhall::core::gateway::routes::EngineSize;
use jayhall::core::gateway::software::AllowedSoftware;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Prefill throughput of a simulated engine in tokens a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 51.0;
/// Longest prefill of one prompt before a simulated engine checks for a more urgent one.
const PREFILL_CHUNK_MS: f64 = 40.0;
const ENGINE: EngineSize = EngineSize { kv_tokens: 600_000 };

struct OneRegion;

impl Regions for OneRegion {
    fn is_same_region(&self, a: &str, b: &str) -> bool {
        a.starts_with('r') == b.starts_with('r')
    }
}

fn backend(id: &str, zone: &str) -> Backend {
    Backend {
        id: id.into(),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.into(),
        slots: 64,
        is_leaving: false,
        started: 1,
        is_spot: true,
        software: Some("v1".into()),
    }
}

fn engines(count: usize) -> Backends {
    let mut backends = Backends::default();
    for at in 0..count {
        backends.put(backend(&format!("e{at:02}"), "r1"));
    }
    backends
}

fn ask<'a>(parts: &'a [Part], rank: u8, max_wait_ms: u64) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "llm",
        engine: Some(ENGINE),
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        answer_tokens: 100,
        rank,
        max_wait: Duration::from_millis(max_wait_ms),
        zone: "r1",
        tried: &[],
        software: AllowedSoftware::Any,
        shares: None,
        candidates: &Candidates::Any,
    }
}

/// A prompt that a simulated engine has not read completely.
struct PendingPrompt {
    rank: u8,
    arrived: u64,
    remaining_ms: f64,
    call: usize,
}

/// A simulated engine.
#[derive(Default)]
struct Engine {
    waiting: Vec<PendingPrompt>,
    free_at: f64,
}

impl Engine {
    /// Reads a chunk of the most urgent prompt. Returns the prompt once it is complete.
    fn read(&mut self, now_ms: f64) -> Option<PendingPrompt> {
        if self.free_at > now_ms {
            return None;
        }
        let next = self.waiting.iter().enumerate();
        let (at, _) = next.min_by_key(|(_, prompt)| (prompt.rank, prompt.arrived))?;
        let prompt = &mut self.waiting[at];
        let chunk = prompt.remaining_ms.min(PREFILL_CHUNK_MS);
        prompt.remaining_ms -= chunk;
        self.free_at = now_ms + chunk;
        (prompt.remaining_ms <= 0.0).then(|| self.waiting.remove(at))
    }
}

struct SimulationResult {
    first_events_ms: Vec<Option<f64>>,
    refused: usize,
}

/// Simulates calls `(at_ms, rank, parts, max_wait_ms)` on `count` engines. Returns the time to the first event of
/// each call, `None` for refused calls. With `at_random`, calls are sent to a random engine and none is refused.
fn simulate(
    count: usize,
    calls: &[(u64, u8, Vec<Part>, u64)],
    at_random: bool,
) -> SimulationResult {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut backends = engines(count);
    let mut engines: BTreeMap<Box<str>, Engine> = BTreeMap::new();
    let mut places: Vec<Option<CallPlace>> = vec![None; calls.len()];
    let mut first_events_ms: Vec<Option<f64>> = vec![None; calls.len()];
    let mut refused = 0;
    let end = calls.last().map_or(0, |call| call.0) + 20_000;
    let mut next = 0;
    for now_ms in 0..end {
        let now = Duration::from_millis(now_ms);
        while next < calls.len() && calls[next].0 <= now_ms {
            let (_, rank, parts, max_wait) = &calls[next];
            let mut draw = || rng.random::<f64>();
            let mut placed = placement::place(
                &backends,
                &OneRegion,
                &ask(parts, *rank, *max_wait),
                now,
                &mut draw,
            );
            if at_random {
                let id = format!("e{:02}", rng.random_range(0..count));
                let entry = backends.get(&id).unwrap();
                let unread = parts.iter().map(|part| part.tokens).sum::<u32>()
                    - entry.cache.cached_tokens(parts);
                let place = CallPlace {
                    backend: entry.backend.clone(),
                    load: jayhall::core::gateway::load::CallLoad {
                        rank: usize::from(*rank),
                        unread,
                        kv_tokens: 0,
                    },
                    has_begun: false,
                    is_charged: false,
                    sample: None,
                };
                placed = Placement::Send {
                    place,
                    expected: Duration::ZERO,
                    wait: Duration::ZERO,
                };
            }
            match placed {
                Placement::Send { mut place, .. } => {
                    let cached = backends
                        .get(&place.backend.id)
                        .unwrap()
                        .cache
                        .cached_tokens(parts);
                    let unread = parts.iter().map(|part| part.tokens).sum::<u32>() - cached;
                    backends.begin(&mut place, parts, u64::from(ENGINE.kv_tokens), now);
                    let engine = engines.entry(place.backend.id.clone()).or_default();
                    engine.waiting.push(PendingPrompt {
                        rank: *rank,
                        arrived: now_ms,
                        remaining_ms: f64::from(unread) / PREFILL_TOKENS_PER_MS,
                        call: next,
                    });
                    places[next] = Some(place);
                }
                Placement::Refuse { .. } => refused += 1,
            }
            next += 1;
        }
        for engine in engines.values_mut() {
            let Some(prompt) = engine.read(now_ms as f64) else {
                continue;
            };
            let (at, call) = (prompt.arrived, prompt.call);
            first_events_ms[call] = Some(engine.free_at - at as f64);
            // A node learns of the first event when it arrives; here already when the last chunk begins.
            if let Some(place) = &mut places[call] {
                let took = Duration::from_secs_f64((engine.free_at - at as f64) / 1e3);
                backends.first_event(place, took, took);
                backends.end(place, Outcome::Answered, took, now);
            }
        }
    }
    SimulationResult {
        first_events_ms,
        refused,
    }
}

/// Returns a mix of long prompts with shared first parts, as sent by the analysis of contracts, and short urgent
/// prompts.
fn mixed_load(seed: u64, per_s: f64, seconds: u64) -> Vec<(u64, u8, Vec<Part>, u64)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut own = 1_000_000;
    let mut calls = Vec::new();
    while at < seconds as f64 * 1e3 {
        at += -(1.0 - rng.random::<f64>()).ln() * 1e3 / per_s;
        own += 1;
        let own_part = |tokens| Part { id: own, tokens };
        calls.push(if rng.random_bool(0.4) {
            let shared = Part {
                id: rng.random_range(0..80),
                tokens: 13_000,
            };
            let tokens = if rng.random_bool(0.1) { 30_000 } else { 2_000 };
            (at as u64, 1, vec![shared, own_part(tokens)], 1000)
        } else {
            (at as u64, 0, vec![own_part(1_100)], 500)
        });
    }
    calls
}

fn share_within(
    result: &SimulationResult,
    calls: &[(u64, u8, Vec<Part>, u64)],
    rank: u8,
    ms: f64,
) -> f64 {
    let of_rank = calls
        .iter()
        .zip(&result.first_events_ms)
        .filter(|(call, _)| call.1 == rank);
    let total = of_rank.clone().count();
    let within = of_rank
        .filter(|(_, first)| first.is_some_and(|first| first <= ms))
        .count();
    within as f64 / total as f64
}

#[test]
fn placement_serves_more_long_prompts_in_time_than_random_choice() {
    let calls = mixed_load(1, 60.0, 20);
    let placed = simulate(6, &calls, false);
    let random = simulate(6, &calls, true);
    let (placed_long, random_long) = (
        share_within(&placed, &calls, 1, 1000.0),
        share_within(&random, &calls, 1, 1000.0),
    );
    assert!(
        placed_long > random_long + 0.05,
        "{placed_long} against {random_long} at random"
    );
    assert!(share_within(&placed, &calls, 0, 500.0) >= 0.95);
}

#[test]
fn urgent_calls_are_in_time_at_twice_the_engines_capacity() {
    let calls = mixed_load(2, 160.0, 20);
    let placed = simulate(3, &calls, false);
    assert!(placed.refused > 0);
    let urgent = share_within(&placed, &calls, 0, 500.0);
    assert!(urgent >= 0.9, "{urgent}");
    // Calls that are not refused are served within a bounded time.
    let served: Vec<f64> = placed.first_events_ms.iter().flatten().copied().collect();
    let in_time = served.iter().filter(|first| **first <= 2500.0).count();
    assert!(
        in_time as f64 >= 0.9 * served.len() as f64,
        "{in_time} of {}",
        served.len()
    );
}

#[test]
fn large_prompts_are_served_at_least_half_as_often_as_all() {
    let calls = mixed_load(3, 160.0, 20);
    let placed = simulate(3, &calls, false);
    let size =
        |call: &(u64, u8, Vec<Part>, u64)| call.2.iter().map(|part| part.tokens).sum::<u32>();
    let served = |large: bool| {
        let all = calls
            .iter()
            .zip(&placed.first_events_ms)
            .filter(|(call, _)| call.1 == 1 && (!large || size(call) > 40_000));
        let total = all.clone().count();
        all.filter(|(_, first)| first.is_some()).count() as f64 / total as f64
    };
    assert!(
        served(true) >= 0.5 * served(false),
        "{} of {}",
        served(true),
        served(false)
    );
}

#[test]
fn nodes_without_reports_send_a_prompt_to_the_same_engine() {
    let parts = [
        Part {
            id: 42,
            tokens: 13_000,
        },
        Part { id: 1, tokens: 500 },
    ];
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let backends = engines(8);
        let mut draw = || rng.random::<f64>();
        let placed = placement::place(
            &backends,
            &OneRegion,
            &ask(&parts, 1, 1000),
            Duration::ZERO,
            &mut draw,
        );
        let Placement::Send { place, .. } = placed else {
            panic!("refused with idle engines");
        };
        chosen.insert(place.backend.id.clone());
    }
    assert_eq!(chosen.len(), 1, "{chosen:?}");
}

#[test]
fn leaving_removed_and_unreachable_engines_get_no_call() {
    let mut backends = engines(1);
    let parts = [Part { id: 1, tokens: 100 }];
    let place = |backends: &Backends, ms| {
        placement::place(
            backends,
            &OneRegion,
            &ask(&parts, 0, 500),
            Duration::from_millis(ms),
            &mut || 0.5,
        )
    };
    let Placement::Send {
        place: mut first, ..
    } = place(&backends, 0)
    else {
        panic!("refused by an idle engine");
    };
    backends.begin(&mut first, &parts, 1000, Duration::ZERO);
    backends.end(&first, Outcome::Unreachable, Duration::ZERO, Duration::ZERO);
    let is_refused = |placement| {
        matches!(
            placement,
            Placement::Refuse {
                cause: RefusalCause::NoBackend,
                ..
            }
        )
    };
    assert!(is_refused(place(&backends, 100)));
    assert!(!is_refused(place(&backends, 2000)));
    backends.put(Backend {
        is_leaving: true,
        ..backend("e00", "r1")
    });
    assert!(is_refused(place(&backends, 2000)));
    // A new process with the same name counts as another back end.
    backends.put(Backend {
        started: 2,
        ..backend("e00", "r1")
    });
    assert!(!is_refused(place(&backends, 2000)));
    backends.unlist("e00", Duration::from_secs(3));
    assert!(!is_refused(place(&backends, 2000)));
    backends.expire(Duration::from_secs(3));
    assert!(is_refused(place(&backends, 3000)));
}

/// The prompt cache of an engine in [`shared_token_hit_rate`]: parts with the time of their last use.
#[derive(Default)]
struct SimulatedCache(BTreeMap<u64, (u64, u32)>);

impl SimulatedCache {
    /// Uses a part and returns whether it was cached. The least recently used parts are evicted.
    fn use_part(&mut self, part: Part, now: u64, capacity: u32) -> bool {
        let was_cached = self.0.insert(part.id, (now, part.tokens)).is_some();
        while self.0.values().map(|(_, tokens)| tokens).sum::<u32>() > capacity {
            let oldest = self.0.iter().min_by_key(|(_, (at, _))| *at);
            let oldest = oldest.map(|(id, _)| *id);
            self.0.remove(&oldest.unwrap());
        }
        was_cached
    }
}

/// Simulates calls with shared parts on nodes of two regions. Each node knows only its own calls, and the cache of
/// each engine has space for a fraction of all parts. Returns the cache hit rate of the shared tokens.
fn shared_token_hit_rate() -> f64 {
    let (nodes, engines, shared_parts, capacity) = (12, 12, 240_u64, 400_000);
    let all_engines = || {
        let mut backends = Backends::default();
        for at in 0..engines {
            let zone = if at % 2 == 0 { "r1" } else { "other" };
            backends.put(backend(&format!("e{at:02}"), zone));
        }
        backends
    };
    let mut node_views: Vec<Backends> = (0..nodes).map(|_| all_engines()).collect();
    let mut caches: BTreeMap<Box<str>, SimulatedCache> = BTreeMap::new();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (mut requested, mut found) = (0, 0);
    for call in 0..2400_u64 {
        let node = rng.random_range(0..nodes);
        let shared = Part {
            id: rng.random_range(0..shared_parts),
            tokens: 13_000,
        };
        let parts = [
            shared,
            Part {
                id: 1_000_000 + call,
                tokens: 3_700,
            },
        ];
        let zone = if node % 2 == 0 { "r1" } else { "other" };
        let ask = PlacementRequest {
            zone,
            ..ask(&parts, 1, 1000)
        };
        let now = Duration::from_millis(call * 20);
        let mut draw = || rng.random::<f64>();
        let placed = placement::place(&node_views[node], &OneRegion, &ask, now, &mut draw);
        let Placement::Send { mut place, .. } = placed else {
            panic!("refused with idle engines");
        };
        let cache = caches.entry(place.backend.id.clone()).or_default();
        requested += shared.tokens;
        if cache.use_part(shared, call, capacity) {
            found += shared.tokens;
        }
        cache.use_part(parts[1], call, capacity);
        node_views[node].begin(&mut place, &parts, 1000, now);
        node_views[node].end(&place, Outcome::Answered, Duration::ZERO, Duration::ZERO);
    }
    f64::from(found) / f64::from(requested)
}

#[test]
fn nodes_of_two_regions_find_most_shared_parts_in_the_engines_caches() {
    let found = shared_token_hit_rate();
    assert!(found > 0.7, "{found}");
}

#[test]
fn the_load_of_a_back_end_is_the_sum_of_the_recent_reports() {
    let mut backends = engines(1);
    let load = |calls, unread| {
        let mut load = Load {
            calls,
            kv_tokens: 10 * calls,
            ..Load::default()
        };
        load.unread[2] = unread;
        HashMap::from([(short_name("e00"), load)])
    };
    let at = Duration::from_millis;
    let summary = |backends: &Backends| {
        let load = backends.get("e00").unwrap().load();
        (load.calls, load.kv_tokens, load.unread_before(2))
    };
    backends.apply_report(&"a".into(), &load(2, 500), at(0));
    backends.apply_report(&"b".into(), &load(3, 700), at(1000));
    assert_eq!(summary(&backends), (5, 50, 1200));
    // A later report replaces the earlier one. A report without the engine means that it has none of the node's
    // calls.
    backends.apply_report(&"b".into(), &load(1, 100), at(1200));
    assert_eq!(summary(&backends), (3, 30, 600));
    backends.expire_loads(at(2500));
    assert_eq!(summary(&backends), (3, 30, 600));
    backends.expire_loads(at(2501));
    assert_eq!(summary(&backends), (1, 10, 100));
    backends.apply_report(&"b".into(), &HashMap::new(), at(2600));
    assert_eq!(summary(&backends), (0, 0, 0));
}
