//! Simulation of one home's queue and slots under load, with different scheduling policies.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jayhall::core::admission::{DrainRate, RankArrivals, WaitInputs, check_deadline};
use jayhall::core::estimate::{Estimator, work_tokens};
use jayhall::core::queue::{Dequeued, FairQueue, QueueRules, QueuedRequest};
use jayhall::core::time::Moment;
use serde::Serialize;

use crate::events::EventQueue;
use crate::workload::{Arrival, CUSTOMERS, DEADLINES, FLOORS, SLOTS};

/// Policy by which waiting requests are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderPolicy {
    /// Jayhall's policy.
    Jayhall,
    /// As `Jayhall`, but without admission control: requests are refused only at their deadline.
    NoAdmission,
    /// As `Jayhall`, but without floors.
    NoFloor,
    /// As `Jayhall`, but without fair queueing among customers.
    NoFairness,
    /// As `Jayhall`, but with a fixed estimate of 128 tokens per answer.
    BlindEstimate,
    /// As `Jayhall`, but a prompt token costs as much as an answer token.
    RawTokens,
    /// First come, first served, without refusals.
    FirstCome,
}

/// Model names for the estimator: one per rank, so that answer lengths are estimated by rank.
const MODELS: [&str; 3] = ["urgent", "normal", "long"];
/// Upper limit of estimated answer lengths.
const MAX_ANSWER_TOKENS: u32 = 4_000;
/// Interval at which expired requests are removed from the queue.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of the requests of one customer and rank.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests that started before their deadline.
    pub in_time: u32,
    /// Requests that started after their deadline.
    pub late: u32,
    /// Requests that were refused at arrival.
    pub refused: u32,
    /// Requests that expired in the queue.
    pub expired: u32,
    /// Slot-seconds of requests that started in time.
    pub useful_seconds: f64,
    /// Work tokens of requests that started in time.
    pub useful_work: u64,
    /// Wait of each started request in milliseconds.
    #[serde(skip)]
    pub waits: Vec<u32>,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.expired += other.expired;
        self.useful_seconds += other.useful_seconds;
        self.useful_work += other.useful_work;
        self.waits.extend(&other.waits);
    }

    /// Returns the percentage of offered requests that started in time.
    pub fn in_time_percent(&self) -> f64 {
        f64::from(self.in_time) * 100.0 / f64::from(self.offered.max(1))
    }

    /// Returns a percentile of the waits of started requests, in milliseconds.
    pub fn wait_percentile(&self, percent: usize) -> u32 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let last = waits.len().saturating_sub(1);
        waits.get(last * percent / 100).copied().unwrap_or(0)
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct ServiceOutcome {
    tallies: BTreeMap<(usize, u8), Tally>,
    /// Slot-seconds of requests that started in time, as a percentage of all slot-seconds.
    pub useful_percent: f64,
}

impl ServiceOutcome {
    /// Returns the tally of a rank, summed over customers.
    pub fn rank(&self, level: u8) -> Tally {
        self.sum(|(_, l)| *l == level)
    }

    /// Returns the tally of a customer, summed over ranks.
    pub fn customer(&self, customer: usize) -> Tally {
        self.sum(|(c, _)| *c == customer)
    }

    /// Returns the tally of one customer and rank.
    pub fn tally(&self, customer: usize, level: u8) -> Tally {
        self.sum(|key| *key == (customer, level))
    }

    /// Returns the share of a rank in all useful work tokens, in percent.
    pub fn work_percent(&self, level: u8) -> f64 {
        let all = self.sum(|_| true).useful_work.max(1);
        self.rank(level).useful_work as f64 * 100.0 / all as f64
    }

    fn sum(&self, is_counted: impl Fn(&(usize, u8)) -> bool) -> Tally {
        let mut total = Tally::default();
        for (_, tally) in self.tallies.iter().filter(|(key, _)| is_counted(key)) {
            total.add(tally);
        }
        total
    }
}

enum Event {
    Arrive(usize),
    Finish(usize, u32),
    Sweep,
}

struct Simulation<'a> {
    policy: OrderPolicy,
    arrivals: &'a [Arrival],
    events: EventQueue<Event>,
    queue: FairQueue,
    fifo: VecDeque<usize>,
    estimator: Estimator,
    drain_rate: DrainRate,
    arrival_rates: RankArrivals,
    free_slots: u32,
    outcome: ServiceOutcome,
}

/// Simulates one policy until `length` has passed. Requests that still wait then do not count as
/// started.
pub fn run(policy: OrderPolicy, arrivals: &[Arrival], length: Duration) -> ServiceOutcome {
    let mut rules = QueueRules::default();
    if policy != OrderPolicy::NoFloor {
        rules.floors = FLOORS.into_iter().collect();
    }
    let mut simulation = Simulation {
        policy,
        arrivals,
        events: EventQueue::default(),
        queue: FairQueue::new(rules),
        fifo: VecDeque::new(),
        estimator: Estimator::default(),
        drain_rate: DrainRate::default(),
        arrival_rates: RankArrivals::default(),
        free_slots: SLOTS,
        outcome: ServiceOutcome::default(),
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        simulation.events.schedule(arrival.at, Event::Arrive(index));
    }
    simulation.events.schedule(Moment::ZERO, Event::Sweep);
    while let Some((now, event)) = simulation.events.pop() {
        if now > length {
            break;
        }
        simulation.handle(now, event);
    }
    let useful: f64 = simulation
        .outcome
        .tallies
        .values()
        .map(|t| t.useful_seconds)
        .sum();
    let all = length.as_secs_f64() * f64::from(SLOTS);
    simulation.outcome.useful_percent = useful * 100.0 / all;
    simulation.outcome
}

impl Simulation<'_> {
    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(now, index),
            Event::Finish(index, estimated) => self.finish(index, estimated),
            Event::Sweep => {
                for item in self.queue.expire(now) {
                    self.count_expired(&item);
                }
                self.events.schedule(now + SWEEP_INTERVAL, Event::Sweep);
            }
        }
        self.fill_slots(now);
    }

    fn arrive(&mut self, now: Moment, index: usize) {
        self.tally(index).offered += 1;
        if self.policy == OrderPolicy::FirstCome {
            self.fifo.push_back(index);
            return;
        }
        let item = self.queue_item(index);
        if self.policy != OrderPolicy::NoAdmission && !self.is_admitted(now, &item) {
            self.tally(index).refused += 1;
            return;
        }
        self.arrival_rates
            .observe(item.level, item.cost_tokens, now);
        // Ids are unique, so that `push` cannot fail.
        let _ = self.queue.push(item);
    }

    fn is_admitted(&mut self, now: Moment, item: &QueuedRequest) -> bool {
        let service = self.drain_rate.mean_service().unwrap_or_default();
        let wait = WaitInputs {
            free_slots: self.free_slots,
            tokens_ahead: self.queue.ahead_of(item).tokens,
            tokens_per_second: self.drain_rate.tokens_per_second(SLOTS),
            urgent_tokens_per_second: self.arrival_rates.rate_above(item.level, now),
            floor_percent: FLOORS[usize::from(item.level)],
            floors_below_percent: self.queue.floors_below(item.level),
            next_free_slot: service / SLOTS,
        };
        check_deadline(&wait, item.deadline - now).is_ok()
    }

    fn queue_item(&self, index: usize) -> QueuedRequest {
        let arrival = &self.arrivals[index];
        let name = CUSTOMERS[arrival.customer].0;
        let model = MODELS[usize::from(arrival.level)];
        let answer = match self.policy {
            OrderPolicy::BlindEstimate => 128,
            _ => {
                let estimate = self.estimator.estimate(name, model, 0, MAX_ANSWER_TOKENS);
                estimate.answer_tokens
            }
        };
        let cost_tokens = self.cost(arrival.prompt_tokens, answer);
        let customer = match self.policy {
            OrderPolicy::NoFairness => "all",
            _ => name,
        };
        QueuedRequest {
            id: index.to_string().into(),
            customer: customer.into(),
            level: arrival.level,
            weight: 1,
            cost_tokens,
            deadline: arrival.at + DEADLINES[usize::from(arrival.level)],
            arrived: arrival.at,
            preferred_engine: None,
            is_resumed: false,
        }
    }

    fn fill_slots(&mut self, now: Moment) {
        while self.free_slots > 0 {
            let Some((index, estimated)) = self.next_request(now) else {
                return;
            };
            let arrival = self.arrivals[index];
            let wait = now - arrival.at;
            let is_in_time = wait <= DEADLINES[usize::from(arrival.level)];
            let tally = self.tally(index);
            tally.waits.push(wait.as_millis() as u32);
            if is_in_time {
                tally.in_time += 1;
                tally.useful_seconds += arrival.service_time().as_secs_f64();
                tally.useful_work +=
                    u64::from(work_tokens(arrival.prompt_tokens, arrival.answer_tokens));
            } else {
                tally.late += 1;
            }
            self.free_slots -= 1;
            self.events.schedule(
                now + arrival.service_time(),
                Event::Finish(index, estimated),
            );
        }
    }

    fn next_request(&mut self, now: Moment) -> Option<(usize, u32)> {
        if self.policy == OrderPolicy::FirstCome {
            return self.fifo.pop_front().map(|index| (index, 0));
        }
        loop {
            match self.queue.pop(now) {
                Dequeued::Serve(item) => return Some((index_of(&item), item.cost_tokens)),
                Dequeued::Expired(item) => self.count_expired(&item),
                Dequeued::Empty => return None,
            }
        }
    }

    fn finish(&mut self, index: usize, estimated: u32) {
        self.free_slots += 1;
        let arrival = self.arrivals[index];
        let name = CUSTOMERS[arrival.customer].0;
        let model = MODELS[usize::from(arrival.level)];
        self.estimator.observe(name, model, arrival.answer_tokens);
        let actual = self.cost(arrival.prompt_tokens, arrival.answer_tokens);
        self.drain_rate.observe(actual, arrival.service_time());
        let customer = match self.policy {
            OrderPolicy::NoFairness => "all",
            _ => name,
        };
        self.queue
            .settle(customer, arrival.level, estimated, actual);
    }

    fn cost(&self, prompt_tokens: u32, answer_tokens: u32) -> u32 {
        match self.policy {
            OrderPolicy::RawTokens => prompt_tokens + answer_tokens,
            _ => work_tokens(prompt_tokens, answer_tokens),
        }
    }

    fn count_expired(&mut self, item: &QueuedRequest) {
        self.tally(index_of(item)).expired += 1;
    }

    fn tally(&mut self, index: usize) -> &mut Tally {
        let arrival = &self.arrivals[index];
        let key = (arrival.customer, arrival.level);
        self.outcome.tallies.entry(key).or_default()
    }
}

fn index_of(item: &QueuedRequest) -> usize {
    item.id.parse().unwrap_or(0)
}
