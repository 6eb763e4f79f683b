//! Learned limits under simulated load: nodes place calls on simulated engines, some of which are slow or slow down
//! before their places are full. Without limits, nodes send such an engine as many calls as the others, and these
//! calls are late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::ops::Range;
use std::time::Duration;

use jayhall::core::gateway::backends::{Backend, Backends, CallPlace, Outcome, short_name};
use jayhall::core::gateway::cache::Part;
use jayhall::core::gateway::concurrency::{ConcurrencyLimit, Measured, Sample};
use jayhall::core::gateway::load::Load;
use jayhall::core::gateway::observed::Observer;
use jayhall::core::gateway::origin::Origin;
use jayhall::core::gateway::placement::{self, Placement, PlacementRequest, Regions};
use jayhall::core::gateway::rollout::candidates::Candidates;
use jayhall::core::gateway::routes::EngineSize;
use jayhall::core::gateway::software::AllowedSoftware;
use jayhall::ops::gateway::samples_wire::SamplesWire;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 8;
const PLACES: u32 = 16;
const SLOW_ENGINES: usize = ENGINES / 2;
/// Interval between reports of nodes and adjustments of limits.
const ROUND_MS: u64 = 200;
/// Time from the first event of a call to its last at nominal speed.
const STREAM_MS: f64 = 2900.0;
/// Longest useful wait of a call.
const MAX_WAIT: Duration = Duration::from_millis(1000);

struct OneRegion;

impl Regions for OneRegion {
    fn is_same_region(&self, _: &str, _: &str) -> bool {
        true
    }
}

/// A simulated engine.
#[derive(Clone, Copy)]
struct Engine {
    /// Speed as a multiple of the nominal one.
    speed: f64,
    /// Running calls from which on calls take three times as long.
    knee: u32,
    running: u32,
    /// Time at which it has read the prompts that it has, one after another.
    read_ms: f64,
}

/// What a simulation plays.
#[derive(Clone)]
struct Scenario {
    nodes: usize,
    learns: bool,
    calls_per_s: f64,
    engines: Vec<Engine>,
    /// Time at which all engines become sound.
    recovers_at_ms: u64,
    /// Time by which a slow caller lengthens a stream, and the tokens of a long prompt; one call in five has each.
    slow_caller_ms: f64,
    long_prompt: u32,
    /// Factor of the times that the first node measures.
    first_node_slowness: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        let sound = Engine {
            speed: 1.0,
            knee: u32::MAX,
            running: 0,
            read_ms: 0.0,
        };
        Self {
            nodes: 12,
            learns: true,
            calls_per_s: 26.0,
            engines: vec![sound; ENGINES],
            recovers_at_ms: u64::MAX,
            slow_caller_ms: 0.0,
            long_prompt: 2000,
            first_node_slowness: 1.0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Answer(usize),
    End(usize),
    Round,
}

struct Call {
    node: usize,
    place: CallPlace,
    arrived_ms: u64,
    expected: Duration,
    engine: usize,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    views: Vec<Backends>,
    calls: Vec<Call>,
    /// Times to the last event, with the time of arrival.
    answered: Vec<(u64, f64)>,
    refused: usize,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let view = || {
            let mut backends = match scenario.learns {
                true => Backends::learning_limits(),
                false => Backends::default(),
            };
            put_all(&mut backends);
            backends
        };
        Self {
            views: (0..scenario.nodes).map(|_| view()).collect(),
            rng: ChaCha8Rng::seed_from_u64(11),
            events: [Reverse((0, Event::Arrival)), Reverse((0, Event::Round))].into(),
            calls: Vec::new(),
            answered: Vec::new(),
            refused: 0,
            scenario,
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((now_ms, event))) = self.events.pop() {
            if now_ms >= end_ms {
                self.events.push(Reverse((now_ms, event)));
                return;
            }
            if now_ms >= self.scenario.recovers_at_ms {
                self.scenario
                    .engines
                    .iter_mut()
                    .for_each(|engine| engine.knee = u32::MAX);
            }
            match event {
                Event::Arrival => self.place_call(now_ms),
                Event::Answer(call) => self.begin_answer(call, now_ms),
                Event::End(call) => self.end_call(call, now_ms),
                Event::Round => self.exchange(now_ms),
            }
        }
    }

    fn place_call(&mut self, now_ms: u64) {
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() * 1000.0 / self.scenario.calls_per_s;
        self.push(now_ms as f64 + gap_ms.max(1.0), Event::Arrival);
        let node = self.rng.random_range(0..self.scenario.nodes);
        let is_long = self.rng.random_bool(0.2);
        let tokens = if is_long {
            self.scenario.long_prompt
        } else {
            2000
        };
        let id = self.rng.random();
        let parts = [Part { id, tokens }];
        let ask = ask(&parts, tokens);
        let now = Duration::from_millis(now_ms);
        let rng = &mut self.rng;
        let mut draw = || rng.random::<f64>();
        let placed = placement::place(&self.views[node], &OneRegion, &ask, now, &mut draw);
        let Placement::Send {
            mut place,
            expected,
            ..
        } = placed
        else {
            self.refused += 1;
            return;
        };
        self.views[node].begin(&mut place, &parts, 600_000, now);
        let engine: usize = place.backend.id[1..].parse().unwrap();
        let model = &mut self.scenario.engines[engine];
        model.running += 1;
        let slowdown = if model.running > model.knee { 3.0 } else { 1.0 };
        let factor = slowdown / model.speed * self.rng.random_range(0.8..1.2);
        let over_places = f64::from(model.running.saturating_sub(PLACES));
        let wait_ms = over_places * STREAM_MS / f64::from(PLACES);
        let begin_ms = model.read_ms.max(now_ms as f64 + wait_ms);
        model.read_ms = begin_ms + f64::from(tokens) / 50.0 * factor;
        let first_ms = model.read_ms + 55.0 * factor;
        let is_slow_caller = self.rng.random_bool(0.2);
        let reading_ms = if is_slow_caller {
            self.scenario.slow_caller_ms
        } else {
            0.0
        };
        let call = self.calls.len();
        self.push(first_ms, Event::Answer(call));
        self.push(first_ms + STREAM_MS * factor + reading_ms, Event::End(call));
        self.calls.push(Call {
            node,
            place,
            arrived_ms: now_ms,
            expected,
            engine,
        });
    }

    fn begin_answer(&mut self, call: usize, now_ms: u64) {
        let call = &mut self.calls[call];
        let took_ms = (now_ms - call.arrived_ms) as f64;
        let slowness = if call.node == 0 {
            self.scenario.first_node_slowness
        } else {
            1.0
        };
        let took = Duration::from_secs_f64(took_ms * slowness / 1e3);
        let view = &mut self.views[call.node];
        view.record_time(&call.place, took, Duration::from_millis(now_ms));
        view.first_event(&mut call.place, took, call.expected);
    }

    fn end_call(&mut self, call: usize, now_ms: u64) {
        let call = &self.calls[call];
        self.scenario.engines[call.engine].running -= 1;
        let now = Duration::from_millis(now_ms);
        let occupied = Duration::from_millis(now_ms - call.arrived_ms);
        self.answered
            .push((call.arrived_ms, occupied.as_secs_f64() * 1e3));
        self.views[call.node].end(&call.place, Outcome::Answered, occupied, now);
    }

    /// Lets every node report to all others, and adjust its limits.
    fn exchange(&mut self, now_ms: u64) {
        self.push((now_ms + ROUND_MS) as f64, Event::Round);
        let now = Duration::from_millis(now_ms);
        let report = |view: &Backends| -> (HashMap<u32, Load>, Option<SamplesWire>) {
            (
                view.local_loads().into_iter().collect(),
                SamplesWire::of_node(view, now),
            )
        };
        let reports: Vec<_> = self.views.iter().map(report).collect();
        for (at, view) in self.views.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(from, _)| *from != at);
            for (from, (loads, samples)) in others {
                let from = Origin::from(&*format!("n{from}"));
                view.apply_report(&from, loads, now);
                if let Some(samples) = samples {
                    view.apply_samples(&from, 1, &samples.samples(), Observer::Fleet, now);
                }
            }
            view.adjust_limits(now);
        }
    }

    fn push(&mut self, at_ms: f64, event: Event) {
        self.events.push(Reverse((at_ms as u64, event)));
    }

    /// Returns the limit of an engine as node `node` knows it.
    fn limit(&self, node: usize, engine: usize) -> u32 {
        let entry = self.views[node].get(&backend(engine).id).unwrap();
        entry.concurrency().map_or(PLACES, ConcurrencyLimit::calls)
    }

    /// Returns the mean limit of the engines that slow down over 6 s from now on, as known by the first node.
    fn mean_limit(&mut self, from_ms: u64) -> f64 {
        let mut limits = Vec::new();
        for round in 1..=30 {
            self.run_until(from_ms + round * ROUND_MS);
            limits.extend((0..SLOW_ENGINES).map(|engine| self.limit(0, engine)));
        }
        f64::from(limits.iter().sum::<u32>()) / limits.len() as f64
    }

    /// Returns the smallest limit of any engine at any node.
    fn smallest_limit(&self) -> u32 {
        let nodes = 0..self.scenario.nodes;
        let limits =
            nodes.flat_map(|node| (0..ENGINES).map(move |engine| self.limit(node, engine)));
        limits.min().unwrap()
    }

    /// Returns the mean time to the last event of calls that arrived within this span.
    fn mean_ms(&self, arrived: Range<u64>) -> f64 {
        let times = self.answered.iter().filter(|(at, _)| arrived.contains(at));
        times.clone().map(|(_, ms)| ms).sum::<f64>() / times.count() as f64
    }
}

fn backend(at: usize) -> Backend {
    Backend {
        id: format!("e{at}").into(),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        slots: PLACES,
        is_leaving: false,
        started: 1,
        is_spot: false,
        software: None,
    }
}

fn put_all(backends: &mut Backends) {
    for at in 0..ENGINES {
        backends.put(backend(at));
    }
}

fn ask(parts: &[Part], tokens: u32) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "llm",
        engine: Some(EngineSize { kv_tokens: 600_000 }),
        parts,
        prompt_tokens: tokens,
        answer_tokens: 100,
        rank: 1,
        max_wait: MAX_WAIT,
        zone: "z",
        tried: &[],
        software: AllowedSoftware::Any,
        candidates: &Candidates::Any,
        shares: None,
    }
}

/// Engines of which the first half slows down from half of its places on. The others alone cannot take all calls.
fn half_slow_down() -> Vec<Engine> {
    let mut engines = Scenario::default().engines;
    for engine in &mut engines[..SLOW_ENGINES] {
        engine.knee = PLACES / 2;
    }
    engines
}

/// Plays a scenario with and without limits. Returns the mean times to the last event, with limits first.
fn compare(engines: Vec<Engine>) -> (f64, f64) {
    let play = |learns| {
        let mut simulation = Simulation::new(Scenario {
            learns,
            engines: engines.clone(),
            ..Scenario::default()
        });
        simulation.run_until(45_000);
        (simulation.mean_ms(10_000..34_000), simulation.refused)
    };
    let (with, refused) = play(true);
    assert_eq!(refused, 0, "there is room for all calls");
    (with, play(false).0)
}

#[test]
fn engines_that_slow_down_at_half_of_their_places_get_about_half_of_the_calls_at_once() {
    let mut simulation = Simulation::new(Scenario {
        engines: half_slow_down(),
        ..Scenario::default()
    });
    simulation.run_until(20_000);
    let limit = simulation.mean_limit(20_000);
    let knee = f64::from(PLACES / 2);
    assert!((0.5 * knee..=1.5 * knee).contains(&limit), "{limit}");
    let (with, without) = compare(half_slow_down());
    assert!(
        with < without,
        "{with} ms with limits, {without} ms without"
    );
}

#[test]
fn callers_wait_no_longer_if_an_engine_has_a_third_of_the_speed() {
    let mut engines = Scenario::default().engines;
    engines[0].speed = 1.0 / 3.0;
    let (with, without) = compare(engines);
    assert!(
        with <= without,
        "{with} ms with limits, {without} ms without"
    );
}

#[test]
fn a_limit_grows_again_within_seconds_after_the_engine_has_recovered() {
    let mut simulation = Simulation::new(Scenario {
        engines: half_slow_down(),
        recovers_at_ms: 20_000,
        ..Scenario::default()
    });
    simulation.run_until(14_000);
    let before = simulation.mean_limit(14_000);
    assert!(before <= f64::from(PLACES) * 0.75, "{before}");
    simulation.run_until(35_000);
    let after = simulation.mean_limit(35_000);
    assert!(after >= f64::from(PLACES) * 0.9, "{after}");
}

#[test]
fn slow_callers_long_prompts_and_a_busy_node_lower_no_limit() {
    let slow_callers = Scenario {
        slow_caller_ms: 3000.0,
        calls_per_s: 15.0,
        ..Scenario::default()
    };
    let long_prompts = Scenario {
        long_prompt: 20_000,
        calls_per_s: 15.0,
        ..Scenario::default()
    };
    let busy_node = Scenario {
        nodes: 8,
        first_node_slowness: 3.0,
        ..Scenario::default()
    };
    let scenarios = [slow_callers, long_prompts, busy_node];
    for (at, scenario) in scenarios.into_iter().enumerate() {
        let mut simulation = Simulation::new(scenario);
        for end_s in 1..=30 {
            simulation.run_until(end_s * 1000);
            let smallest = simulation.smallest_limit();
            assert_eq!(smallest, PLACES, "scenario {at} at {end_s} s");
        }
    }
}

#[test]
fn many_nodes_with_few_calls_each_reach_about_the_limits_of_one_node_with_all_calls() {
    let limit_of = |nodes| {
        let mut simulation = Simulation::new(Scenario {
            nodes,
            engines: half_slow_down(),
            ..Scenario::default()
        });
        simulation.run_until(14_000);
        simulation.mean_limit(14_000)
    };
    let (one, many) = (limit_of(1), limit_of(61));
    assert!(
        (one - many).abs() <= f64::from(PLACES) / 4.0,
        "{one} {many}"
    );
}

#[test]
fn a_limit_refuses_no_call_that_is_taken_without_it() {
    let mut views = [Backends::learning_limits(), Backends::default()];
    for view in &mut views {
        put_all(view);
    }
    let slow_when_busy = (0..40).map(|at| {
        let (band, relative) = if at % 2 == 0 { (0, 1.0) } else { (6, 4.0) };
        let sample = Sample {
            backend: short_name("e0"),
            band,
            measured: Measured::Relative(relative),
        };
        (at + 1, sample)
    });
    let now = Duration::from_secs(1);
    let slow_when_busy: Vec<_> = slow_when_busy.collect();
    views[0].apply_samples(&"a".into(), 1, &slow_when_busy, Observer::Zone, now);
    assert_eq!(views[0].adjust_limits(now).len(), 1);
    let ask = PlacementRequest {
        engine: None,
        max_wait: Duration::from_millis(15),
        ..ask(&[], 0)
    };
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..500 {
        let mut load = |at: usize| {
            let calls = rng.random_range(if at == 0 { PLACES / 2 } else { PLACES }..2 * PLACES);
            let load = Load {
                calls,
                ..Load::default()
            };
            (short_name(&backend(at).id), load)
        };
        let loads: HashMap<u32, Load> = (0..ENGINES).map(&mut load).collect();
        let [with, without] = views.each_mut().map(|view| {
            view.apply_report(&"b".into(), &loads, now);
            let placed = placement::place(view, &OneRegion, &ask, now, &mut || 0.5);
            matches!(placed, Placement::Send { .. })
        });
        assert_eq!(with, without, "{loads:?}");
        *if with { &mut sent } else { &mut refused } += 1;
    }
    assert!(sent > 50 && refused > 50, "{sent} {refused}");
}

#[test]
fn samples_are_applied_once_and_keep_their_meaning_in_messages() {
    let mut sender = Simulation::new(Scenario {
        nodes: 1,
        ..Scenario::default()
    });
    sender.run_until(3_000);
    let now = Duration::from_millis(3_000);
    let message = SamplesWire::of_node(&sender.views[0], now).unwrap();
    let reported = message.samples();
    assert_eq!(SamplesWire::from(&reported[..]), message);
    let mut receiver = Backends::learning_limits();
    put_all(&mut receiver);
    for _ in 0..2 {
        receiver.apply_samples(&"a".into(), 1, &reported, Observer::Zone, now);
    }
    let forwarded = receiver.samples_to_report(Observer::Zone, usize::MAX, now);
    assert_eq!(forwarded.len(), reported.len());
    assert!(
        receiver
            .samples_to_report(Observer::Node, usize::MAX, now)
            .is_empty()
    );
}
