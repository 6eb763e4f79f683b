//! Whether the answers show that the new version of a service is worse than the old ones.
//!
//! Sequential test by cumulative sums of log-likelihood ratios (CUSUM), which finds a version that is bad from the
//! beginning as well as one that turns bad later. One sum counts failures and one slow answers, for each route and for
//! all routes together. What the old versions show at the same time is the expected rate.

use std::collections::HashMap;

use super::evidence::{Counts, CountsByRoute, RouteCounts, RouteId, TIME_BUCKETS};

/// Level of a sum at which the new version is bad: false alarms are as rare as one in e^9.
const BAD_LEVEL: f64 = 9.0;
/// Level of a sum at which the new version is not promoted.
const DOUBT_LEVEL: f64 = 5.0;
/// Smallest number of bad answers within a sum that shows a bad version.
const MIN_BAD_ANSWERS: f64 = 6.0;
/// Answers of the new version without which it is not good.
const MIN_ANSWERS: u32 = 20;
/// Answers of the new version on each route, and the part of all answers above which that is asked of a route.
const MIN_ROUTE_ANSWERS: u32 = 4;
const MIN_ROUTE_PART: f64 = 0.05;
/// Weight of earlier answers of the old versions after each update.
const OLD_WEIGHT: f64 = 0.96;
/// Prior of the rates of the old versions, in answers without failure.
const PRIOR_ANSWERS: f64 = 50.0;
/// Factor by which a rate may exceed that of the old versions.
const TOLERATED_FACTOR: f64 = 1.5;
/// Buckets above the median time of the old versions from which on an answer is slow: four times the time.
const SLOW_BUCKETS: usize = 4;
/// Answers of the old versions on a route without which none counts as slow.
const MIN_OLD_ANSWERS: f64 = 20.0;

/// What a sum tests for.
#[derive(Clone, Copy, Debug)]
struct TestedRate {
    /// Rate that is accepted beyond that of the old versions.
    accepted: f64,
    /// Smallest further increase that is to be found.
    increase: f64,
}

const FAILURES: TestedRate = TestedRate {
    accepted: 0.02,
    increase: 0.1,
};
const SLOW: TestedRate = TestedRate {
    accepted: 0.1,
    increase: 0.2,
};
/// Under full load, engines that have not read shared parts of prompts yet are slow for a while.
const SLOW_UNDER_LOAD: TestedRate = TestedRate {
    accepted: 0.25,
    increase: 0.2,
};

/// Load of the new version while the evidence arises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadLevel {
    /// A small part of the calls.
    Canary,
    /// All calls.
    Full,
}

/// What the evidence shows of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is not enough evidence.
    TooFew,
    /// It may be bad.
    Doubtful,
    /// It is as good as the old ones.
    Good,
    /// It is bad.
    Bad,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    level: f64,
    /// Bad answers since the level was 0.
    bad: f64,
}

impl Cusum {
    /// Adds answers, some of which are bad, where `old_rate` is the rate of bad answers of the old versions.
    fn add(&mut self, answers: f64, bad: f64, old_rate: f64, tested: TestedRate) {
        let expected = (tested.accepted + TOLERATED_FACTOR * old_rate).min(0.7);
        let suspected = (expected + tested.increase).min(0.95);
        let of_bad = (suspected / expected).ln();
        let of_good = ((1.0 - suspected) / (1.0 - expected)).ln();
        self.level += bad * of_bad + (answers - bad).max(0.0) * of_good;
        self.bad += bad;
        if self.level <= 0.0 {
            *self = Self::default();
        }
    }

    fn is_bad(&self) -> bool {
        self.level >= BAD_LEVEL && self.bad >= MIN_BAD_ANSWERS
    }
}

/// Sums of one route or of all routes.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    failures: Cusum,
    slow: Cusum,
}

impl Score {
    fn add(&mut self, new: &Sample, old: &Sample, load: LoadLevel) {
        let slow = match load {
            LoadLevel::Canary => SLOW,
            LoadLevel::Full => SLOW_UNDER_LOAD,
        };
        let failure_rate = old.failures / (old.answers + PRIOR_ANSWERS);
        let slow_rate = old.slow / (old.answers + PRIOR_ANSWERS);
        self.failures
            .add(new.answers, new.failures, failure_rate, FAILURES);
        self.slow.add(new.answers, new.slow, slow_rate, slow);
    }

    fn is_bad(&self) -> bool {
        self.failures.is_bad() || self.slow.is_bad()
    }

    fn is_doubtful(&self) -> bool {
        self.failures.level.max(self.slow.level) >= DOUBT_LEVEL
    }
}

/// Answers of a group within some time.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    answers: f64,
    failures: f64,
    slow: f64,
}

impl Sample {
    fn new(counts: &Counts, slow_from: Option<usize>) -> Self {
        let slow = slow_from.map_or(0, |from| counts.times[from..].iter().sum());
        Self {
            answers: f64::from(counts.answers),
            failures: f64::from(counts.failures),
            slow: f64::from(slow),
        }
    }

    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.slow += other.slow;
    }
}

/// Recent answers of the old versions on a route, later ones with more weight.
#[derive(Clone, Copy, Debug, Default)]
struct RecentOld {
    answers: f64,
    failures: f64,
    times: [f64; TIME_BUCKETS],
}

impl RecentOld {
    fn add(&mut self, counts: &Counts) {
        // While all calls go to the new version, what was seen before stays the reference.
        if counts.answers == 0 {
            return;
        }
        let add = |sum: &mut f64, count: u32| *sum = *sum * OLD_WEIGHT + f64::from(count);
        add(&mut self.answers, counts.answers);
        add(&mut self.failures, counts.failures);
        for (sum, count) in self.times.iter_mut().zip(counts.times) {
            add(sum, count);
        }
    }

    /// Returns the first bucket in which an answer is slow; `None` if there are too few answers to compare with.
    fn slow_from(&self) -> Option<usize> {
        if self.answers < MIN_OLD_ANSWERS {
            return None;
        }
        let mut below = 0.0;
        let median = self.times.iter().position(|count| {
            below += count;
            below * 2.0 >= self.answers
        })?;
        let slow_from = median + SLOW_BUCKETS;
        (slow_from < TIME_BUCKETS).then_some(slow_from)
    }

    fn sample(&self) -> Sample {
        let slow = self.slow_from();
        Sample {
            answers: self.answers,
            failures: self.failures,
            slow: slow.map_or(0.0, |from| self.times[from..].iter().sum()),
        }
    }
}

#[derive(Debug, Default)]
struct RouteState {
    last: RouteCounts,
    old: RecentOld,
    score: Score,
}

/// Sequential test of the new version of a service.
#[derive(Debug, Default)]
pub struct Judge {
    routes: HashMap<RouteId, RouteState>,
    all: Score,
    is_bad: bool,
}

impl Judge {
    /// Updates the test with the counts of all nodes so far. A version that was found bad stays bad.
    pub fn update(&mut self, counts: &CountsByRoute, load: LoadLevel) -> Verdict {
        let mut all_new = Sample::default();
        let mut all_old = Sample::default();
        for (route, counts) in counts {
            let state = self.routes.entry(*route).or_default();
            let growth = counts.since(&state.last);
            state.last = *counts;
            state.old.add(&growth.old);
            let new = Sample::new(&growth.new, state.old.slow_from());
            let old = state.old.sample();
            state.score.add(&new, &old, load);
            all_new.add(&new);
            all_old.add(&old);
        }
        self.all.add(&all_new, &all_old, load);
        let is_bad = self.scores().any(Score::is_bad);
        self.is_bad |= is_bad;
        self.verdict(counts)
    }

    /// Returns the first bucket in which an answer on a route is slow, if that is known.
    pub fn slow_from(&self, route: RouteId) -> Option<usize> {
        self.routes.get(&route)?.old.slow_from()
    }

    fn scores(&self) -> impl Iterator<Item = &Score> {
        let routes = self.routes.values().map(|state| &state.score);
        routes.chain(std::iter::once(&self.all))
    }

    fn verdict(&self, counts: &CountsByRoute) -> Verdict {
        if self.is_bad {
            Verdict::Bad
        } else if self.scores().any(Score::is_doubtful) || counts.values().any(fails_more) {
            Verdict::Doubtful
        } else if has_enough(counts) {
            Verdict::Good
        } else {
            Verdict::TooFew
        }
    }
}

/// Returns whether the new version has failed clearly more often than the old ones, over all time.
fn fails_more(counts: &RouteCounts) -> bool {
    let rate = |counts: &Counts| f64::from(counts.failures) / f64::from(counts.answers.max(1));
    counts.new.failures >= 4 && rate(&counts.new) > 2.0 * rate(&counts.old) + 0.02
}

/// Returns whether the new version has answered often enough, on each route with traffic.
fn has_enough(counts: &CountsByRoute) -> bool {
    let answers = |counts: &RouteCounts| counts.old.answers + counts.new.answers;
    let all: u32 = counts.values().map(answers).sum();
    let new: u32 = counts.values().map(|counts| counts.new.answers).sum();
    let is_used =
        |counts: &&RouteCounts| f64::from(answers(counts)) >= MIN_ROUTE_PART * f64::from(all);
    let mut used = counts.values().filter(is_used);
    new >= MIN_ANSWERS && used.all(|counts| counts.new.answers >= MIN_ROUTE_ANSWERS)
}
