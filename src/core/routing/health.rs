//! Outlier detection: ejects unresponsive, failing and slow engines and readmits them after a
//! probe.
//!
//! An ejected engine receives no requests until its ejection time has passed, then a single request
//! as a probe. Ejection times double with every failed probe and have jitter, so that engines that
//! failed together are not probed together. The ejected share is limited: if most engines look
//! unhealthy, the cause is probably elsewhere, and degraded service is better than none.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::core::id::VmId;
use crate::core::time::Moment;

/// Inverse weight of the latest answer in the smoothed token interval. An engine can count as slow
/// only after this many answers.
const SMOOTHING_ANSWERS: u32 = 8;
/// Time without ejection after which the backoff of an engine starts anew.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(120);
/// Largest jitter in percent of the ejection time.
const JITTER_PERCENT: u64 = 50;

/// Parameters of outlier detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthRules {
    /// Consecutive failures after which an engine is ejected.
    pub failures: u32,
    /// Multiple of the other engines' median token interval above which an engine is slow.
    pub slow_factor: u32,
    /// Time of the first ejection.
    pub first_ejection: Duration,
    /// Upper limit of the ejection time, before jitter.
    pub longest_ejection: Duration,
    /// Largest share of ejected engines in percent; of two or more engines, one can always be
    /// ejected.
    pub max_ejected_percent: u32,
}

impl Default for HealthRules {
    fn default() -> Self {
        Self {
            failures: 3,
            slow_factor: 4,
            first_ejection: Duration::from_secs(2),
            longest_ejection: Duration::from_secs(60),
            max_ejected_percent: 34,
        }
    }
}

/// Outcome of a request on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The request was answered.
    Answered {
        /// Mean time between tokens.
        token_interval: Duration,
    },
    /// The request failed for a reason other than a full engine.
    Failed,
    /// No token arrived within the token timeout.
    Silent,
}

/// Whether an engine can receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The engine receives requests.
    Usable,
    /// The engine is due for a probe and receives one request; see
    /// [`OutlierDetector::start_probe`].
    Probe,
    /// The engine is ejected and receives no requests.
    Ejected {
        /// Time of the next probe.
        until: Moment,
    },
    /// A probe is running; the engine receives no other request.
    Probing,
}

/// Change of an engine's health, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The engine was ejected.
    Ejected {
        /// Time of the next probe.
        until: Moment,
    },
    /// The engine answered its probe and receives requests again.
    Readmitted,
    /// The engine was not ejected because the largest ejected share is reached.
    EjectionSuppressed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Usable { since: Moment },
    Ejected { until: Moment },
    Probing,
}

#[derive(Clone, Debug)]
struct EngineHealth {
    state: State,
    failures: u32,
    ejections: u32,
    token_interval: Duration,
    answers: u32,
}

impl EngineHealth {
    fn new(now: Moment) -> Self {
        Self {
            state: State::Usable { since: now },
            failures: 0,
            ejections: 0,
            token_interval: Duration::ZERO,
            answers: 0,
        }
    }

    fn is_usable(&self) -> bool {
        matches!(self.state, State::Usable { .. })
    }

    fn record_interval(&mut self, interval: Duration) {
        self.answers = self.answers.saturating_add(1);
        let divisor = self.answers.min(SMOOTHING_ANSWERS);
        self.token_interval = (self.token_interval * (divisor - 1) + interval) / divisor;
    }
}

/// Outlier detector for the engines of one home.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    rules: HealthRules,
    engines: BTreeMap<VmId, EngineHealth>,
}

impl OutlierDetector {
    /// Creates a detector without engines.
    pub fn new(rules: HealthRules) -> Self {
        Self {
            rules,
            engines: BTreeMap::new(),
        }
    }

    /// Replaces the list of engines. New engines are usable.
    pub fn set_engines<'a>(&mut self, engines: impl IntoIterator<Item = &'a VmId>, now: Moment) {
        let mut retained = BTreeMap::new();
        for vm in engines {
            let health = self.engines.remove(vm);
            retained.insert(vm.clone(), health.unwrap_or_else(|| EngineHealth::new(now)));
        }
        self.engines = retained;
    }

    /// Returns whether an engine can receive requests. Unknown engines are usable.
    pub fn availability(&self, vm: &str, now: Moment) -> Availability {
        match self.engines.get(vm).map(|health| health.state) {
            None | Some(State::Usable { .. }) => Availability::Usable,
            Some(State::Probing) => Availability::Probing,
            Some(State::Ejected { until }) if until <= now => Availability::Probe,
            Some(State::Ejected { until }) => Availability::Ejected { until },
        }
    }

    /// Starts a probe of an engine. Returns false if the engine is not due for a probe.
    pub fn start_probe(&mut self, vm: &str, now: Moment) -> bool {
        if self.availability(vm, now) != Availability::Probe {
            return false;
        }
        if let Some(health) = self.engines.get_mut(vm) {
            health.state = State::Probing;
        }
        true
    }

    /// Ends a probe without a result, for example because the caller of the request disconnected.
    /// The engine can be probed again immediately.
    pub fn cancel_probe(&mut self, vm: &str, now: Moment) {
        if let Some(health) = self.engines.get_mut(vm)
            && health.state == State::Probing
        {
            health.state = State::Ejected { until: now };
        }
    }

    /// Records the outcome of a request on an engine.
    pub fn observe(
        &mut self,
        vm: &str,
        observation: Observation,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<HealthChange> {
        let limit = self.slow_threshold(vm);
        let failures = self.rules.failures;
        let health = self.engines.get_mut(vm)?;
        match observation {
            Observation::Answered { token_interval } => {
                health.failures = 0;
                health.record_interval(token_interval);
                if health.state == State::Probing {
                    return self.finish_probe(vm, token_interval, limit, now, rng);
                }
                let is_measured = health.answers >= SMOOTHING_ANSWERS;
                let is_slow = is_measured && limit.is_some_and(|l| health.token_interval > l);
                if is_slow {
                    self.eject(vm, now, rng)
                } else {
                    None
                }
            }
            Observation::Failed => {
                health.failures += 1;
                let must_eject = health.failures >= failures || health.state == State::Probing;
                if must_eject {
                    self.eject(vm, now, rng)
                } else {
                    None
                }
            }
            Observation::Silent => self.eject(vm, now, rng),
        }
    }

    fn finish_probe(
        &mut self,
        vm: &str,
        token_interval: Duration,
        limit: Option<Duration>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<HealthChange> {
        if limit.is_some_and(|limit| token_interval > limit) {
            return self.eject(vm, now, rng);
        }
        let health = self.engines.get_mut(vm)?;
        health.state = State::Usable { since: now };
        health.answers = 1;
        health.token_interval = token_interval;
        Some(HealthChange::Readmitted)
    }

    fn eject(&mut self, vm: &str, now: Moment, rng: &mut impl Rng) -> Option<HealthChange> {
        let can_eject = self.ejected_count() < self.max_ejected();
        let rules = self.rules;
        let health = self.engines.get_mut(vm)?;
        if let State::Ejected { .. } = health.state {
            // Outcome of a request sent before the ejection.
            return None;
        }
        if health.is_usable() && !can_eject {
            health.failures = 0;
            return Some(HealthChange::EjectionSuppressed);
        }
        if let State::Usable { since } = health.state
            && now.saturating_sub(since) >= BACKOFF_RESET_AFTER
        {
            health.ejections = 0;
        }
        let doubled = rules.first_ejection * 2u32.saturating_pow(health.ejections.min(16));
        let ejection_time = doubled.min(rules.longest_ejection);
        let millis = u64::try_from(ejection_time.as_millis()).unwrap_or(u64::MAX);
        let jitter = rng.random_range(0..=millis * JITTER_PERCENT / 100);
        let until = now + ejection_time + Duration::from_millis(jitter);
        health.ejections += 1;
        health.failures = 0;
        health.state = State::Ejected { until };
        Some(HealthChange::Ejected { until })
    }

    fn ejected_count(&self) -> usize {
        let usable = self.engines.values().filter(|h| h.is_usable()).count();
        self.engines.len() - usable
    }

    fn max_ejected(&self) -> usize {
        let share = self.engines.len() * self.rules.max_ejected_percent as usize / 100;
        share.max(usize::from(self.engines.len() > 1))
    }

    /// Returns the token interval above which an engine is slow: a multiple of the median of the
    /// other engines, or `None` if none of them has been measured.
    fn slow_threshold(&self, vm: &str) -> Option<Duration> {
        let mut intervals: Vec<Duration> = self
            .engines
            .iter()
            .filter(|(name, health)| &***name != vm && health.is_usable())
            .filter(|(_, health)| health.answers >= SMOOTHING_ANSWERS)
            .map(|(_, health)| health.token_interval)
            .collect();
        if intervals.is_empty() {
            return None;
        }
        let middle = intervals.len() / 2;
        let (_, median, _) = intervals.select_nth_unstable(middle);
        Some(*median * self.rules.slow_factor)
    }
}
