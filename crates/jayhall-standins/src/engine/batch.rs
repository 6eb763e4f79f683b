//! The continuous batch: admission by priority, prefill in chunks, one token a step for each request.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::EngineSettings;
use super::cache::{CacheEventKind, EventLog, PrefixCache};
use super::job::{Job, JobKey, JobState, Record};
use super::text::{BLOCK_TOKENS, block_hashes};

/// Tokens of prompts that one step computes.
const PREFILL_CHUNK_TOKENS: f64 = 512.0;
/// Attempts that are kept after their end, for readers that come back and for audits.
const MAX_ENDED_JOBS: usize = 20_000;
/// Load reports kept for the lag.
const MAX_LOAD_REPORTS: usize = 4096;

/// How busy the engine is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Attempts that have a slot.
    pub running: u32,
    /// Attempts in the waiting list.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// Tokens held by running attempts and by the prefix cache.
    pub kv_used_tokens: u64,
    /// Most tokens that can be held.
    pub kv_limit_tokens: u64,
}

/// What the engine does next.
#[derive(Debug)]
pub(crate) enum Step {
    /// Nothing runs.
    Idle,
    /// Works for a while on the attempts named.
    Work(Duration, Vec<(JobKey, Work)>),
}

/// Work on one attempt in one step.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    Prefill(f64),
    Decode,
}

/// Why an attempt was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    Full,
    TooLong,
    Duplicate,
}

/// All attempts, the cache and the load.
#[derive(Debug)]
pub(crate) struct Batch {
    settings: EngineSettings,
    jobs: HashMap<JobKey, Job>,
    waiting: Vec<JobKey>,
    running: Vec<JobKey>,
    ended: VecDeque<JobKey>,
    cache: PrefixCache,
    pub(crate) events: EventLog,
    loads: VecDeque<(Instant, LoadReport)>,
    arrivals: u64,
    /// Tokens made since the start.
    pub(crate) made: u64,
}

impl Batch {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let events = EventLog::new(
            settings.event_lag,
            settings.event_gap_probability,
            settings.seed,
        );
        Self {
            settings,
            jobs: HashMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            ended: VecDeque::new(),
            cache: PrefixCache::default(),
            events,
            loads: VecDeque::new(),
            arrivals: 0,
            made: 0,
        }
    }

    pub(crate) fn job_mut(&mut self, key: &JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    /// Returns the attempts of a request, the latest last.
    pub(crate) fn attempts(&self, request_id: &str) -> Vec<JobKey> {
        let keys = self.jobs.keys().filter(|(id, _)| &**id == request_id);
        let mut keys: Vec<JobKey> = keys.cloned().collect();
        keys.sort_unstable();
        keys
    }

    /// Returns what ran, in order of arrival.
    pub(crate) fn records(&self) -> Vec<Record> {
        let mut jobs: Vec<&Job> = self.jobs.values().collect();
        jobs.sort_unstable_by_key(|job| job.arrival);
        jobs.into_iter().map(Job::record).collect()
    }

    /// Takes an attempt into the waiting list.
    pub(crate) fn submit(&mut self, mut job: Job, now: Instant) -> Result<(), Rejection> {
        if self.jobs.contains_key(&job.key) {
            return Err(Rejection::Duplicate);
        }
        if job.context.len() as u64 > self.settings.kv_limit_tokens {
            return Err(Rejection::TooLong);
        }
        let places = self.settings.slots + self.settings.waiting_places;
        if self.running.len() + self.waiting.len() >= places {
            return Err(Rejection::Full);
        }
        self.arrivals += 1;
        job.arrival = self.arrivals;
        let order = (job.priority, job.arrival);
        let at = self.waiting.partition_point(|key| {
            let other = &self.jobs[key];
            (other.priority, other.arrival) < order
        });
        self.waiting.insert(at, job.key.clone());
        self.jobs.insert(job.key.clone(), job);
        self.note_load(now);
        Ok(())
    }

    /// Ends an attempt early. Returns the tokens that it made; nothing changes for one that has ended.
    pub(crate) fn end(&mut self, key: &JobKey, state: JobState, now: Instant) -> Option<u32> {
        let job = self.jobs.get(key)?;
        if !job.progress().state.is_final() {
            self.finish(key, state, now);
        }
        let job = self.jobs.get(key)?;
        Some(job.progress().made - job.prior)
    }

    /// Ends all attempts; the engine dies.
    pub(crate) fn end_all(&mut self, now: Instant) {
        let keys: Vec<JobKey> = self.running.iter().chain(&self.waiting).cloned().collect();
        for key in keys {
            self.finish(&key, JobState::Died, now);
        }
    }

    /// Admits waiting attempts and plans the next step.
    pub(crate) fn plan_step(&mut self, slow_factor: f64, now: Instant) -> Step {
        self.abandon_unread(now);
        self.admit();
        self.note_load(now);
        if self.running.is_empty() {
            return Step::Idle;
        }
        let mut budget = PREFILL_CHUNK_TOKENS;
        let mut works = Vec::with_capacity(self.running.len());
        for key in &self.running {
            let job = &self.jobs[key];
            if !job.is_prefilling() {
                works.push((key.clone(), Work::Decode));
            } else if budget > 0.0 {
                let tokens = job.prefill_left.min(budget);
                budget -= tokens;
                works.push((key.clone(), Work::Prefill(tokens)));
            }
        }
        Step::Work(self.step_time(&works).mul_f64(slow_factor), works)
    }

    /// Applies a planned step; attempts that ended meanwhile are passed over.
    pub(crate) fn apply_step(&mut self, works: &[(JobKey, Work)], now: Instant) {
        for (key, work) in works {
            if self.running.contains(key) {
                match work {
                    Work::Prefill(tokens) => self.prefill(key, *tokens, now),
                    Work::Decode => self.decode(key, now),
                }
            }
        }
        self.evict(now);
        self.note_load(now);
    }

    /// Returns the load as it was one lag ago, and its age.
    pub(crate) fn lagging_load(&mut self, now: Instant) -> (LoadReport, Duration) {
        let lag = self.settings.load_lag;
        while self.loads.len() > 1 && self.loads[1].0 + lag <= now {
            self.loads.pop_front();
        }
        match self.loads.front() {
            Some((at, load)) if *at + lag <= now => (*load, lag),
            _ => (self.empty_load(), lag),
        }
    }

    /// Clears the prefix cache.
    pub(crate) fn clear_cache(&mut self, now: Instant) {
        self.cache.shrink_to(0);
        self.events.push(CacheEventKind::Cleared, &[], now);
    }

    fn step_time(&self, works: &[(JobKey, Work)]) -> Duration {
        let decoding = works.iter().filter(|(_, w)| matches!(w, Work::Decode));
        let decoding = decoding.count() as f64;
        let prefill: f64 = works.iter().map(|(_, work)| work.prefill_tokens()).sum();
        let mut seconds = prefill / self.settings.prefill_tokens_per_second;
        if decoding > 0.0 {
            let slope = self.settings.decode_slope.as_secs_f64();
            seconds += self.settings.decode_base.as_secs_f64() + slope * decoding;
        }
        Duration::from_secs_f64(seconds)
    }

    fn abandon_unread(&mut self, now: Instant) {
        let linger = self.settings.linger;
        let is_unread = |key: &&JobKey| {
            let unread = self.jobs[*key].unread_since;
            unread.is_some_and(|since| now.duration_since(since) >= linger)
        };
        let all = self.running.iter().chain(&self.waiting);
        let unread: Vec<JobKey> = all.filter(is_unread).cloned().collect();
        for key in unread {
            self.finish(&key, JobState::Abandoned, now);
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.slots && !self.waiting.is_empty() {
            let key = self.waiting[0].clone();
            let needed = self.jobs[&key].context.len() as u64;
            if self.private_tokens() + needed > self.settings.kv_limit_tokens {
                break;
            }
            self.waiting.remove(0);
            self.start(&key);
            self.running.push(key);
        }
    }

    fn start(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let blocks = block_hashes(&job.model, &job.context);
        let matched = (self.cache.match_prefix(&blocks) * BLOCK_TOKENS) as u32;
        let total = job.context.len() as u32;
        // The last token of a prompt is always computed, since the first new one follows from it.
        let cached = matched.max(job.imported).min(total - 1);
        let imported = f64::from(cached.saturating_sub(matched));
        let import_cost = self.settings.prefill_tokens_per_second
            / self.settings.kv_import_tokens_per_second.max(1.0);
        job.prefill_left = f64::from(total - cached) + imported * import_cost;
        job.update(|p| {
            p.cached_tokens = cached;
            p.state = JobState::Running;
        });
    }

    fn prefill(&mut self, key: &JobKey, tokens: f64, now: Instant) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.prefill_left -= tokens;
        if job.prefill_left > f64::EPSILON {
            return;
        }
        job.prefill_left = 0.0;
        let is_done = job.progress().made >= job.script.len;
        let blocks = job.all_blocks();
        self.store(&blocks, now);
        if is_done {
            self.finish(key, JobState::Finished, now);
        }
    }

    fn decode(&mut self, key: &JobKey, now: Instant) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        job.update(|p| p.made += 1);
        let is_done = job.progress().made >= job.script.len;
        self.made += 1;
        if is_done {
            self.finish(key, JobState::Finished, now);
        }
    }

    fn finish(&mut self, key: &JobKey, state: JobState, now: Instant) {
        let ran = self.running.contains(key);
        self.running.retain(|other| other != key);
        self.waiting.retain(|other| other != key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let keeps_blocks = ran && !job.is_prefilling() && state != JobState::Died;
        let blocks = if keeps_blocks {
            job.all_blocks()
        } else {
            Vec::new()
        };
        job.context = Vec::new();
        job.update(|p| p.state = state);
        self.store(&blocks, now);
        self.evict(now);
        self.ended.push_back(key.clone());
        if self.ended.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        self.note_load(now);
    }

    fn store(&mut self, blocks: &[u64], now: Instant) {
        let new = self.cache.insert(blocks);
        self.events.push(CacheEventKind::Stored, &new, now);
    }

    fn evict(&mut self, now: Instant) {
        let free = self
            .settings
            .kv_limit_tokens
            .saturating_sub(self.private_tokens());
        let removed = self.cache.shrink_to(free as usize / BLOCK_TOKENS);
        self.events.push(CacheEventKind::Removed, &removed, now);
    }

    fn private_tokens(&self) -> u64 {
        let jobs = self.running.iter().map(|key| &self.jobs[key]);
        jobs.map(Job::private_tokens).sum()
    }

    fn empty_load(&self) -> LoadReport {
        LoadReport {
            slots: self.settings.slots as u32,
            kv_limit_tokens: self.settings.kv_limit_tokens,
            ..LoadReport::default()
        }
    }

    fn note_load(&mut self, now: Instant) {
        let load = LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used_tokens: self.private_tokens() + (self.cache.len() * BLOCK_TOKENS) as u64,
            ..self.empty_load()
        };
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.loads.push_back((now, load));
        if self.loads.len() > MAX_LOAD_REPORTS {
            self.loads.pop_front();
        }
    }
}

impl Work {
    fn prefill_tokens(self) -> f64 {
        match self {
            Self::Prefill(tokens) => tokens,
            Self::Decode => 0.0,
        }
    }
}
