//! Simulation of a home node that chooses among its engines for multi-turn conversations.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use jayhall::core::id::VmId;
use jayhall::core::routing::{
    BLOCK_TOKENS, BlockHash, CacheEvent, CacheEventKind, Candidate, Choice, Distance, LinkBudget,
    LinkShares, NEAR_EQUAL_ENGINES, PrefixIndex, PromptBlocks, RouteRequest, choose,
};
use jayhall::core::time::Moment;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::events::EventQueue;

/// Policy by which the home chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EnginePolicy {
    /// Jayhall's policy.
    Jayhall,
    /// As `Jayhall`, but cache events are ignored, so the index contains routed prompts only.
    NoEvents,
    /// As `Jayhall`, but without cache affinity.
    NoAffinity,
    /// Round robin.
    RoundRobin,
    /// A fixed engine for each conversation.
    Sticky,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PrefixOutcome {
    /// Prompt tokens of all requests.
    pub prompt_tokens: u64,
    /// Those of `prompt_tokens` that were not cached and had to be computed.
    pub computed_tokens: u64,
    /// Mean time to the first token in milliseconds.
    pub first_token_mean_ms: u32,
    /// 99th percentile of the time to the first token in milliseconds.
    pub first_token_p99_ms: u32,
}

const ENGINES: usize = 18;
const SLOTS: u32 = 8;
/// Capacity of one engine's cache in blocks.
const CACHE_BLOCKS: usize = 3_000;
const CONVERSATIONS: usize = 600;
/// Length of the instructions in blocks with which all conversations of a customer start.
const INSTRUCTION_BLOCKS: u64 = 30;
const CUSTOMERS: u64 = 5;
/// Blocks that each turn adds to a conversation.
const BLOCKS_PER_TURN: u64 = 12;
/// Number of turns after which a conversation is replaced by a new one.
const MAX_TURNS: u64 = 12;
const ANSWER_SECONDS: f64 = 2.5;
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(500);
const RUN_TIME: Duration = Duration::from_secs(120);
const EVENT_DELAY: Duration = Duration::from_secs(1);
/// Share of cache events that are lost, in percent.
const LOST_EVENTS_PERCENT: u32 = 10;
const DEADLINE: Duration = Duration::from_secs(20);

enum Event {
    Arrive,
    Finish(usize),
    Deliver(usize, CacheEvent),
}

struct Job {
    arrived: Moment,
    prompt: PromptBlocks,
}

#[derive(Default)]
struct Engine {
    name: VmId,
    running: u32,
    queue: VecDeque<Job>,
    /// Cached blocks, each with its last use.
    cache: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    uses: u64,
    sequence: u64,
}

impl Engine {
    fn touch(&mut self, block: BlockHash) {
        self.uses += 1;
        if let Some(before) = self.cache.insert(block, self.uses) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, block);
    }

    fn evict(&mut self) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.cache.len() > CACHE_BLOCKS {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            self.cache.remove(&block);
            removed.push(block);
        }
        removed
    }
}

struct Simulation {
    policy: EnginePolicy,
    load: f64,
    events: EventQueue<Event>,
    engines: Vec<Engine>,
    index: PrefixIndex,
    link: LinkBudget,
    conversations: Vec<(u64, u64)>,
    round_robin_next: usize,
    first_tokens: Vec<u32>,
    outcome: PrefixOutcome,
    rng: ChaCha8Rng,
}

/// Simulates one policy. `load` is in multiples of the capacity of all slots without cache hits.
pub fn run(policy: EnginePolicy, load: f64, seed: u64) -> PrefixOutcome {
    let mut simulation = Simulation::new(policy, load, seed);
    while let Some((now, event)) = simulation.events.pop() {
        if now > RUN_TIME {
            break;
        }
        simulation.handle(now, event);
    }
    simulation.first_tokens.sort_unstable();
    let all = &simulation.first_tokens;
    let sum: u64 = all.iter().map(|ms| u64::from(*ms)).sum();
    PrefixOutcome {
        first_token_mean_ms: (sum / all.len().max(1) as u64) as u32,
        first_token_p99_ms: all[all.len().saturating_sub(1) * 99 / 100],
        ..simulation.outcome
    }
}

impl Simulation {
    fn new(policy: EnginePolicy, load: f64, seed: u64) -> Self {
        let engine = |index: usize| Engine {
            name: format!("e{index}").into(),
            ..Engine::default()
        };
        let mut events = EventQueue::default();
        events.schedule(Moment::ZERO, Event::Arrive);
        Self {
            policy,
            load,
            events,
            engines: (0..ENGINES).map(engine).collect(),
            index: PrefixIndex::new(PrefixIndex::MAX_ENTRIES),
            link: LinkBudget::new(LinkShares::default(), 1, Moment::ZERO),
            conversations: vec![(0, 0); CONVERSATIONS],
            round_robin_next: 0,
            first_tokens: Vec::new(),
            outcome: PrefixOutcome {
                prompt_tokens: 0,
                computed_tokens: 0,
                first_token_mean_ms: 0,
                first_token_p99_ms: 0,
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Finish(engine) => {
                self.engines[engine].running -= 1;
                self.start_waiting(now, engine);
            }
            Event::Deliver(engine, event) => {
                let name = self.engines[engine].name.clone();
                self.index.apply(&name, &[event]);
            }
        }
    }

    fn arrive(&mut self, now: Moment) {
        let conversation = self.rng.random_range(0..CONVERSATIONS);
        let prompt = self.next_prompt(conversation);
        let engine = self.choose(now, conversation, &prompt);
        let name = self.engines[engine].name.clone();
        self.index.record_routed(&name, &prompt);
        self.engines[engine].queue.push_back(Job {
            arrived: now,
            prompt,
        });
        self.start_waiting(now, engine);
        let mean_blocks = INSTRUCTION_BLOCKS + BLOCKS_PER_TURN * (MAX_TURNS + 1) / 2;
        let prefill = PREFILL_PER_TOKEN.as_secs_f64() * (mean_blocks * 16) as f64;
        let rate = self.load * f64::from(SLOTS) * ENGINES as f64 / (ANSWER_SECONDS + prefill);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.events
            .schedule(now + Duration::from_secs_f64(gap), Event::Arrive);
    }

    /// Returns the prompt of the next turn of a conversation.
    fn next_prompt(&mut self, conversation: usize) -> PromptBlocks {
        let (generation, turn) = &mut self.conversations[conversation];
        *turn += 1;
        if *turn > MAX_TURNS {
            (*generation, *turn) = (*generation + 1, 1);
        }
        let customer = conversation as u64 % CUSTOMERS;
        let name = (conversation as u64 + 1) << 32 | *generation << 16;
        let shared = (0..INSTRUCTION_BLOCKS).map(|block| customer << 8 | block);
        let own = (0..*turn * BLOCKS_PER_TURN).map(|block| name | block);
        PromptBlocks {
            hashes: shared.chain(own).collect(),
        }
    }

    fn start_waiting(&mut self, now: Moment, index: usize) {
        while self.engines[index].running < SLOTS {
            let Some(job) = self.engines[index].queue.pop_front() else {
                return;
            };
            self.engines[index].running += 1;
            let cached = self.compute(now, index, &job.prompt);
            let tokens = job.prompt.hashes.len() as u32 * BLOCK_TOKENS;
            self.outcome.prompt_tokens += u64::from(tokens);
            self.outcome.computed_tokens += u64::from(tokens - cached);
            let prefill = PREFILL_PER_TOKEN * (tokens - cached);
            let first_token = now + prefill - job.arrived;
            self.first_tokens.push(first_token.as_millis() as u32);
            let answer = ANSWER_SECONDS * self.rng.random_range(0.5..1.5);
            let end = now + prefill + Duration::from_secs_f64(answer);
            self.events.schedule(end, Event::Finish(index));
        }
    }

    /// Computes a prompt on an engine and returns how many of its tokens were cached before.
    fn compute(&mut self, now: Moment, index: usize, prompt: &PromptBlocks) -> u32 {
        let engine = &mut self.engines[index];
        let is_cached = |block: &&BlockHash| engine.cache.contains_key(*block);
        let cached = prompt.hashes.iter().take_while(is_cached).count() as u32;
        for block in prompt.hashes.iter().rev() {
            engine.touch(*block);
        }
        let removed = engine.evict();
        let stored = prompt.hashes[cached as usize..].to_vec();
        for (kind, blocks) in [
            (CacheEventKind::Stored, stored),
            (CacheEventKind::Removed, removed),
        ] {
            let engine = &mut self.engines[index];
            engine.sequence += 1;
            let event = CacheEvent {
                sequence: engine.sequence,
                kind,
                blocks,
            };
            let is_delivered = !self.rng.random_ratio(LOST_EVENTS_PERCENT, 100);
            if is_delivered && self.policy != EnginePolicy::NoEvents {
                self.events
                    .schedule(now + EVENT_DELAY, Event::Deliver(index, event));
            }
        }
        cached * BLOCK_TOKENS
    }

    fn choose(&mut self, now: Moment, conversation: usize, prompt: &PromptBlocks) -> usize {
        match self.policy {
            EnginePolicy::RoundRobin => {
                self.round_robin_next += 1;
                return self.round_robin_next % ENGINES;
            }
            EnginePolicy::Sticky => return conversation % ENGINES,
            _ => {}
        }
        let candidates: Vec<Candidate> = self
            .engines
            .iter()
            .map(|engine| self.candidate(engine, prompt))
            .collect();
        let request = RouteRequest {
            deadline: DEADLINE,
            prefill_per_token: PREFILL_PER_TOKEN,
            bytes: 0,
            near_equal: NEAR_EQUAL_ENGINES,
        };
        match choose(&candidates, &request, &mut self.link, now, &mut self.rng) {
            Choice::Local(index) | Choice::CrossRegion(index) => index,
            Choice::None => 0,
        }
    }

    fn candidate(&self, engine: &Engine, prompt: &PromptBlocks) -> Candidate {
        let cached = self.index.cached(&engine.name, prompt).expected();
        let is_full = engine.running >= SLOTS;
        let rounds = f64::from(u32::from(is_full)) * (engine.queue.len() as f64 + 1.0);
        let wait = Duration::from_secs_f64(rounds * ANSWER_SECONDS / f64::from(SLOTS));
        Candidate {
            distance: Distance::SameZone,
            wait,
            slots: SLOTS - engine.running.min(SLOTS - 1),
            cached_tokens: match self.policy {
                EnginePolicy::NoAffinity => 0,
                _ => cached,
            },
            price_per_hour: 0,
        }
    }
}
