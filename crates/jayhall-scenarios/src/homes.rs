//! Simulation of entry nodes that choose among home nodes by delayed load reports.

use std::collections::VecDeque;
use std::time::Duration;

use jayhall::core::id::NodeId;
use jayhall::core::routing::{
    Candidate, Choice, Distance, LinkBudget, LinkShares, LoadEstimate, LoadReport, LoadTable,
    NEAR_EQUAL_HOMES, RouteRequest, SentRequest, choose,
};
use jayhall::core::time::Moment;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::events::EventQueue;

/// Policy by which an entry node chooses a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HomePolicy {
    /// Jayhall's policy.
    Jayhall,
    /// Round robin.
    RoundRobin,
    /// The home with the shortest wait according to its last report.
    LeastReported,
    /// As `LeastReported`, including the requests that the entry node sent since the report.
    LeastCorrected,
    /// Power of two choices: the better of two random homes, including the requests that the entry
    /// node sent since the report.
    TwoChoices,
}

/// Parameters of a run. Every entry node receives the same load.
#[derive(Clone, Copy, Debug)]
pub struct HomesRun {
    /// Policy of the entry nodes.
    pub policy: HomePolicy,
    /// Number of nodes; each is both an entry node and a home.
    pub nodes: usize,
    /// Load in multiples of the capacity of all slots.
    pub load: f64,
    /// Interval between two reports of a home.
    pub report_interval: Duration,
    /// Delay from measurement to delivery of a report.
    pub report_delay: Duration,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HomesOutcome {
    /// Median wait in milliseconds.
    pub wait_p50_ms: u32,
    /// 99th percentile of the wait in milliseconds.
    pub wait_p99_ms: u32,
    /// Longest queue of any home.
    pub longest_queue: usize,
}

/// Slots of the homes, repeated for more nodes. Some homes have lost engines.
const SLOTS: [u32; 8] = [24, 24, 24, 24, 16, 16, 8, 8];
const MEAN_SERVICE_SECONDS: f64 = 2.65;
const COST_TOKENS: u32 = 119;
const RUN_TIME: Duration = Duration::from_secs(120);
const DEADLINE: Duration = Duration::from_secs(20);

enum Event {
    Arrive(usize),
    Finish(usize),
    Measure(usize),
    Deliver(usize, LoadReport),
}

#[derive(Default)]
struct Home {
    name: NodeId,
    slots: u32,
    running: u32,
    queue: VecDeque<Moment>,
    sequence: u64,
}

struct Simulation {
    run: HomesRun,
    events: EventQueue<Event>,
    homes: Vec<Home>,
    load_tables: Vec<LoadTable>,
    links: Vec<LinkBudget>,
    round_robin_next: Vec<usize>,
    waits: Vec<u32>,
    longest_queue: usize,
    rng: ChaCha8Rng,
}

/// Simulates one policy.
pub fn run(run: &HomesRun, seed: u64) -> HomesOutcome {
    let mut simulation = Simulation::new(run, seed);
    while let Some((now, event)) = simulation.events.pop() {
        if now > RUN_TIME {
            break;
        }
        simulation.handle(now, event);
    }
    simulation.waits.sort_unstable();
    let at =
        |percent: usize| simulation.waits[simulation.waits.len().saturating_sub(1) * percent / 100];
    HomesOutcome {
        wait_p50_ms: at(50),
        wait_p99_ms: at(99),
        longest_queue: simulation.longest_queue,
    }
}

impl Simulation {
    fn new(run: &HomesRun, seed: u64) -> Self {
        let home = |index: usize| Home {
            name: format!("n{index}").into(),
            slots: SLOTS[index % SLOTS.len()],
            ..Home::default()
        };
        let mut events = EventQueue::default();
        for node in 0..run.nodes {
            // Stagger the reports of the homes.
            let offset = run.report_interval * node as u32 / run.nodes as u32;
            events.schedule(offset, Event::Measure(node));
            events.schedule(Moment::ZERO, Event::Arrive(node));
        }
        let link = LinkBudget::new(LinkShares::default(), 1, Moment::ZERO);
        Self {
            run: *run,
            events,
            homes: (0..run.nodes).map(home).collect(),
            load_tables: (0..run.nodes).map(|_| LoadTable::default()).collect(),
            links: vec![link; run.nodes],
            round_robin_next: (0..run.nodes).collect(),
            waits: Vec::new(),
            longest_queue: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Arrive(node) => self.arrive(now, node),
            Event::Finish(home) => {
                self.homes[home].running -= 1;
                self.start_waiting(now, home);
            }
            Event::Measure(home) => self.measure(now, home),
            Event::Deliver(home, report) => {
                let name = self.homes[home].name.clone();
                for loads in &mut self.load_tables {
                    loads.report(&name, report.clone());
                }
            }
        }
    }

    fn arrive(&mut self, now: Moment, node: usize) {
        let home = self.choose(now, node);
        let sent = SentRequest {
            at: now,
            level: 0,
            cost_tokens: COST_TOKENS,
        };
        if self.run.policy != HomePolicy::LeastReported {
            self.load_tables[node].record_sent(&self.homes[home].name, sent);
        }
        self.homes[home].queue.push_back(now);
        self.start_waiting(now, home);
        self.longest_queue = self.longest_queue.max(self.homes[home].queue.len());
        let slots: u32 = self.homes.iter().map(|home| home.slots).sum();
        let rate = self.run.load * f64::from(slots) / MEAN_SERVICE_SECONDS / self.run.nodes as f64;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.events
            .schedule(now + Duration::from_secs_f64(gap), Event::Arrive(node));
    }

    fn start_waiting(&mut self, now: Moment, home: usize) {
        while self.homes[home].running < self.homes[home].slots {
            let Some(arrived) = self.homes[home].queue.pop_front() else {
                return;
            };
            self.waits.push((now - arrived).as_millis() as u32);
            self.homes[home].running += 1;
            let service = MEAN_SERVICE_SECONDS * self.rng.random_range(0.5..1.5);
            self.events
                .schedule(now + Duration::from_secs_f64(service), Event::Finish(home));
        }
    }

    fn measure(&mut self, now: Moment, index: usize) {
        let home = &mut self.homes[index];
        home.sequence += 1;
        let waiting = home.queue.len() as u32;
        let report = LoadReport {
            sequence: home.sequence,
            as_of: now,
            slots: home.slots,
            running: home.running,
            waiting,
            waiting_tokens: [u64::from(waiting * COST_TOKENS)].into_iter().collect(),
            tokens_per_second: (f64::from(home.slots * COST_TOKENS) / MEAN_SERVICE_SECONDS) as u32,
        };
        self.events
            .schedule(now + self.run.report_delay, Event::Deliver(index, report));
        self.events
            .schedule(now + self.run.report_interval, Event::Measure(index));
    }

    fn choose(&mut self, now: Moment, node: usize) -> usize {
        if self.run.policy == HomePolicy::RoundRobin {
            self.round_robin_next[node] += 1;
            return self.round_robin_next[node] % self.homes.len();
        }
        let candidates: Vec<Candidate> = (0..self.homes.len())
            .map(|home| self.candidate(now, node, home))
            .collect();
        if self.run.policy == HomePolicy::TwoChoices {
            let mut draw = || self.rng.random_range(0..candidates.len());
            let (one, other) = (draw(), draw());
            let is_other_better = candidates[other].wait < candidates[one].wait;
            return if is_other_better { other } else { one };
        }
        if self.run.policy != HomePolicy::Jayhall {
            let waits = candidates.iter().map(|c| c.wait);
            let least = waits.enumerate().min_by_key(|(_, wait)| *wait);
            return least.map_or(0, |(index, _)| index);
        }
        let request = RouteRequest {
            deadline: DEADLINE,
            prefill_per_token: Duration::ZERO,
            bytes: 0,
            near_equal: NEAR_EQUAL_HOMES,
        };
        match choose(
            &candidates,
            &request,
            &mut self.links[node],
            now,
            &mut self.rng,
        ) {
            Choice::Local(index) | Choice::CrossRegion(index) => index,
            Choice::None => 0,
        }
    }

    fn candidate(&self, now: Moment, node: usize, home: usize) -> Candidate {
        let estimate = self.load_tables[node].estimate(&self.homes[home].name, 0, now);
        let load = estimate.unwrap_or(LoadEstimate {
            slots: 1,
            free_slots: 1,
            ..LoadEstimate::default()
        });
        Candidate {
            distance: Distance::SameZone,
            wait: load.wait(0),
            slots: load.slots,
            cached_tokens: 0,
            price_per_hour: 0,
        }
    }
}
