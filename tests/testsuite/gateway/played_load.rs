//! Placement and refusal under a load that is played on engines which read prompts in chunks, those of
//! the most urgent call first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jayhall::core::gateway::backends::{Backend, Backends, CallPlace, Outcome, short_name};
use jayhall::core::gateway::cache::Part;
use jayhall::core::gateway::load::Load;
use jayhall::core::gateway::placement::{self, Ask, Placement, RefusalCause, Regions};
use jayhall::core::gateway::routes::EngineSize;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Prompt tokens that an engine of the play reads in a millisecond.
const READ_PER_MS: f64 = 51.0;
/// Longest time for which an engine of the play reads one prompt before it looks for a more urgent one.
const CHUNK_MS: f64 = 40.0;
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
    }
}

fn engines(count: usize) -> Backends {
    let mut backends = Backends::default();
    for at in 0..count {
        backends.put(backend(&format!("e{at:02}"), "r1"));
    }
    backends
}

fn ask<'a>(parts: &'a [Part], rank: u8, max_wait_ms: u64) -> Ask<'a> {
    Ask {
        service: "llm",
        engine: Some(ENGINE),
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        answer_tokens: 100,
        rank,
        max_wait: Duration::from_millis(max_wait_ms),
        zone: "r1",
        tried: &[],
    }
}

/// A prompt that an engine of the play has yet to read.
struct Reading {
    rank: u8,
    arrived: u64,
    left_ms: f64,
    call: usize,
}

/// An engine of the play.
#[derive(Default)]
struct Engine {
    waiting: Vec<Reading>,
    free_at: f64,
}

impl Engine {
    /// Reads a chunk of the most urgent prompt. Returns it once it is read as a whole.
    fn read(&mut self, now_ms: f64) -> Option<Reading> {
        if self.free_at > now_ms {
            return None;
        }
        let next = self.waiting.iter().enumerate();
        let (at, _) = next.min_by_key(|(_, prompt)| (prompt.rank, prompt.arrived))?;
        let prompt = &mut self.waiting[at];
        let chunk = prompt.left_ms.min(CHUNK_MS);
        prompt.left_ms -= chunk;
        self.free_at = now_ms + chunk;
        (prompt.left_ms <= 0.0).then(|| self.waiting.remove(at))
    }
}

struct Played {
    calls: Vec<Option<f64>>,
    refused: usize,
}

/// Plays calls `(at_ms, rank, parts, max_wait_ms)` on `count` engines. Returns the time to the first event of each
/// call, `None` for refused ones. With `at_random`, calls go to any engine and none is refused.
fn play(count: usize, calls: &[(u64, u8, Vec<Part>, u64)], at_random: bool) -> Played {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut backends = engines(count);
    let mut engines: BTreeMap<Box<str>, Engine> = BTreeMap::new();
    let mut places: Vec<Option<CallPlace>> = vec![None; calls.len()];
    let mut firsts: Vec<Option<f64>> = vec![None; calls.len()];
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
                    - entry.cache.held_tokens(parts);
                let place = CallPlace {
                    backend: entry.backend.clone(),
                    load: jayhall::core::gateway::load::CallLoad {
                        rank: usize::from(*rank),
                        unread,
                        kv_tokens: 0,
                    },
                    has_begun: false,
                };
                placed = Placement::Send {
                    place,
                    expected: Duration::ZERO,
                    wait: Duration::ZERO,
                };
            }
            match placed {
                Placement::Send { place, .. } => {
                    let held = backends
                        .get(&place.backend.id)
                        .unwrap()
                        .cache
                        .held_tokens(parts);
                    let unread = parts.iter().map(|part| part.tokens).sum::<u32>() - held;
                    backends.begin(&place, parts, u64::from(ENGINE.kv_tokens));
                    let engine = engines.entry(place.backend.id.clone()).or_default();
                    engine.waiting.push(Reading {
                        rank: *rank,
                        arrived: now_ms,
                        left_ms: f64::from(unread) / READ_PER_MS,
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
            firsts[call] = Some(engine.free_at - at as f64);
            // The node learns of the first event when it comes; here as soon as reading begins.
            if let Some(place) = &mut places[call] {
                let took = Duration::from_secs_f64((engine.free_at - at as f64) / 1e3);
                backends.first_event(place, took, took);
                backends.end(place, Outcome::Answered, took, now);
            }
        }
    }
    Played {
        calls: firsts,
        refused,
    }
}

/// Long prompts with shared first parts, as contract reading sends them, and short urgent ones.
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

fn share_within(played: &Played, calls: &[(u64, u8, Vec<Part>, u64)], rank: u8, ms: f64) -> f64 {
    let of_rank = calls
        .iter()
        .zip(&played.calls)
        .filter(|(call, _)| call.1 == rank);
    let total = of_rank.clone().count();
    let within = of_rank
        .filter(|(_, first)| first.is_some_and(|first| first <= ms))
        .count();
    within as f64 / total as f64
}

#[test]
fn more_long_prompts_are_read_in_time_than_at_random() {
    let calls = mixed_load(1, 60.0, 20);
    let placed = play(6, &calls, false);
    let random = play(6, &calls, true);
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
fn under_twice_the_load_that_engines_can_read_urgent_calls_are_still_in_time() {
    let calls = mixed_load(2, 160.0, 20);
    let placed = play(3, &calls, false);
    assert!(placed.refused > 0);
    let urgent = share_within(&placed, &calls, 0, 500.0);
    assert!(urgent >= 0.9, "{urgent}");
    // Those that are not refused are served within a bounded time, not all too late.
    let served: Vec<f64> = placed.calls.iter().flatten().copied().collect();
    let in_time = served.iter().filter(|first| **first <= 2500.0).count();
    assert!(
        in_time as f64 >= 0.9 * served.len() as f64,
        "{in_time} of {}",
        served.len()
    );
}

#[test]
fn large_prompts_are_served_half_as_often_as_all_at_least() {
    let calls = mixed_load(3, 160.0, 20);
    let placed = play(3, &calls, false);
    let size =
        |call: &(u64, u8, Vec<Part>, u64)| call.2.iter().map(|part| part.tokens).sum::<u32>();
    let served = |large: bool| {
        let all = calls
            .iter()
            .zip(&placed.calls)
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
fn nodes_that_know_nothing_of_each_other_send_a_prompt_to_the_same_engine() {
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
fn engines_that_leave_are_gone_or_were_not_reached_get_no_call() {
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
    let Placement::Send { place: first, .. } = place(&backends, 0) else {
        panic!("refused by an idle engine");
    };
    backends.begin(&first, &parts, 1000);
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
    // Its next start is another back end under the same name.
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

/// What an engine of [`shared_tokens_found`] holds: parts with the time of their last use.
#[derive(Default)]
struct Held(BTreeMap<u64, (u64, u32)>);

impl Held {
    /// Uses a part and returns whether it was held; parts not used for longest make room.
    fn use_part(&mut self, part: Part, now: u64, room: u32) -> bool {
        let was_held = self.0.insert(part.id, (now, part.tokens)).is_some();
        while self.0.values().map(|(_, tokens)| tokens).sum::<u32>() > room {
            let oldest = self.0.iter().min_by_key(|(_, (at, _))| *at);
            let oldest = oldest.map(|(id, _)| *id);
            self.0.remove(&oldest.unwrap());
        }
        was_held
    }
}

/// Plays calls with shared parts on nodes of two regions, each of which sees only its own calls, and
/// engines whose caches hold a quarter of all parts each. Returns the part of the shared tokens that the
/// engines found in their caches.
fn shared_tokens_found() -> f64 {
    let (nodes, engines, things, room) = (12, 12, 240_u64, 400_000);
    let all_engines = || {
        let mut backends = Backends::default();
        for at in 0..engines {
            let zone = if at % 2 == 0 { "r1" } else { "other" };
            backends.put(backend(&format!("e{at:02}"), zone));
        }
        backends
    };
    let mut views: Vec<Backends> = (0..nodes).map(|_| all_engines()).collect();
    let mut caches: BTreeMap<Box<str>, Held> = BTreeMap::new();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (mut asked, mut found) = (0, 0);
    for call in 0..2400_u64 {
        let node = rng.random_range(0..nodes);
        let shared = Part {
            id: rng.random_range(0..things),
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
        let ask = Ask {
            zone,
            ..ask(&parts, 1, 1000)
        };
        let now = Duration::from_millis(call * 20);
        let mut draw = || rng.random::<f64>();
        let placed = placement::place(&views[node], &OneRegion, &ask, now, &mut draw);
        let Placement::Send { place, .. } = placed else {
            panic!("refused with idle engines");
        };
        let cache = caches.entry(place.backend.id.clone()).or_default();
        asked += shared.tokens;
        if cache.use_part(shared, call, room) {
            found += shared.tokens;
        }
        cache.use_part(parts[1], call, room);
        views[node].begin(&place, &parts, 1000);
        views[node].end(&place, Outcome::Answered, Duration::ZERO, Duration::ZERO);
    }
    f64::from(found) / f64::from(asked)
}

#[test]
fn nodes_of_two_regions_find_most_shared_parts_in_the_engines_caches() {
    let found = shared_tokens_found();
    assert!(found > 0.7, "{found}");
}

#[test]
fn a_back_ends_load_is_the_sum_of_what_nodes_told_last_but_for_silent_ones() {
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
    let known = |backends: &Backends| {
        let load = backends.get("e00").unwrap().load();
        (load.calls, load.kv_tokens, load.unread_before(2))
    };
    backends.told(&"a".into(), &load(2, 500), at(0));
    backends.told(&"b".into(), &load(3, 700), at(1000));
    assert_eq!(known(&backends), (5, 50, 1200));
    // A later message replaces the one before; one that does not name the engine says that it has no calls.
    backends.told(&"b".into(), &load(1, 100), at(1200));
    assert_eq!(known(&backends), (3, 30, 600));
    backends.forget_silent(at(2500));
    assert_eq!(known(&backends), (3, 30, 600));
    backends.forget_silent(at(2501));
    assert_eq!(known(&backends), (1, 10, 100));
    backends.told(&"b".into(), &HashMap::new(), at(2600));
    assert_eq!(known(&backends), (0, 0, 0));
}
