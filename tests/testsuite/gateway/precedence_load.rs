//! A model of one customer's callers and the buckets of its holders, on simulated time and without a network.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use jayhall::core::gateway::precedence::Priority;
use jayhall::core::gateway::quota::{Bucket, Charge, Work};
use jayhall::core::gateway::routes::Quota;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

const HOLDERS: usize = 4;
/// Time from a refusal at a holder until the caller's next attempt reaches one, beside the retry delay.
const ROUND_TRIP: Duration = Duration::from_millis(8);

pub(super) const QUOTA: Quota = Quota {
    per_second: 1_000_000.0,
    burst: 1_000_000.0,
    counts_tokens: true,
    plain_call: 200.0,
};

/// Calls of one rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    pub(super) tokens: f64,
    pub(super) target: Duration,
    pub(super) deadline: Duration,
}

/// Chat, drafts and batch work, by rank.
pub(super) const KINDS: [Kind; 3] = [
    Kind {
        tokens: 1_500.0,
        target: Duration::from_millis(500),
        deadline: Duration::from_secs(12),
    },
    Kind {
        tokens: 9_000.0,
        target: Duration::from_millis(800),
        deadline: Duration::from_secs(6),
    },
    Kind {
        tokens: 17_000.0,
        target: Duration::from_millis(2_000),
        deadline: Duration::from_secs(10),
    },
];

/// Whether holders know the ranks and requests of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// They do not, as messages of the version before have none.
    FirstCome,
    /// They do.
    ByRank,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) rank: usize,
    pub(super) tokens: f64,
    pub(super) arrived: Duration,
    pub(super) attempts: u32,
    pub(super) granted: Option<Duration>,
    /// Times at which its caller was told to come back.
    pub(super) told: Vec<Duration>,
}

impl Request {
    fn is_served(&self) -> bool {
        self.granted.is_some()
    }

    /// Returns whether the request was granted early enough for the target latency.
    fn is_in_time(&self) -> bool {
        let latest = self.arrived + KINDS[self.rank].target.mul_f64(0.7);
        self.granted.is_some_and(|at| at <= latest)
    }
}

/// A customer whose callers come back once after a refusal, when they are told.
pub(super) struct Customer {
    rule: Rule,
    buckets: Vec<Bucket>,
    rng: ChaCha8Rng,
    charges: u64,
    /// Next attempts, by time and request.
    next: BTreeSet<(Duration, usize)>,
    pub(super) requests: Vec<Request>,
}

impl Customer {
    pub(super) fn new(rule: Rule, seed: u64) -> Self {
        let bucket = |_| {
            let mut bucket = Bucket::new(QUOTA, Duration::ZERO);
            let fraction = 1.0 / HOLDERS as f64;
            bucket.lend(&"lender".into(), fraction, Duration::MAX, Duration::ZERO);
            bucket
        };
        Self {
            rule,
            buckets: (0..HOLDERS).map(bucket).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            charges: 0,
            next: BTreeSet::new(),
            requests: Vec::new(),
        }
    }

    /// Adds requests that ask for a multiple of the limit by rank, at random times of a period in seconds.
    pub(super) fn add(&mut self, period: Range<u64>, loads: [f64; 3]) {
        let (from, to) = (period.start, period.end);
        let (from, to) = (Duration::from_secs(from), Duration::from_secs(to));
        for (rank, (kind, load)) in KINDS.iter().zip(loads).enumerate() {
            let per_second = load * QUOTA.per_second / kind.tokens;
            let mut at = from;
            loop {
                let draw: f64 = self.rng.random();
                at += Duration::from_secs_f64((-(1.0 - draw).ln() / per_second).min(1e6));
                if at >= to {
                    break;
                }
                self.add_one(rank, kind.tokens, at);
            }
        }
    }

    /// Adds a request.
    pub(super) fn add_one(&mut self, rank: usize, tokens: f64, arrived: Duration) {
        self.next.insert((arrived, self.requests.len()));
        self.requests.push(Request {
            rank,
            tokens,
            arrived,
            attempts: 0,
            granted: None,
            told: Vec::new(),
        });
    }

    /// Plays all attempts.
    pub(super) fn play(&mut self) {
        while let Some((now, at)) = self.next.pop_first() {
            let retry_after = self.attempt(at, now);
            let request = &mut self.requests[at];
            request.attempts += 1;
            let Some(retry_after) = retry_after else {
                request.granted = Some(now);
                continue;
            };
            request.told.push(now + retry_after);
            if request.attempts < 2 {
                self.next.insert((now + retry_after + ROUND_TRIP, at));
            }
        }
    }

    /// Asks the holders one after the other, as `ops::gateway::call` and `quota` do. Returns the retry delay of a refusal.
    fn attempt(&mut self, at: usize, now: Duration) -> Option<Duration> {
        let request = &self.requests[at];
        let deadline = request.arrived + KINDS[request.rank].deadline;
        let longest = deadline.saturating_sub(now) / 3;
        let spread = 1.0 + 0.25 * self.rng.random::<f64>();
        let useful = (KINDS[request.rank].target / 2).mul_f64(spread);
        let mut priority = match self.rule {
            Rule::FirstCome => Priority::default(),
            Rule::ByRank => Priority {
                rank: request.rank as u8,
                request: Some(at as u64),
                max_retry_after: useful.min(longest),
            },
        };
        let first = self.rng.random_range(0..HOLDERS);
        let mut best = longest;
        for holder in 0..HOLDERS {
            self.charges += 1;
            let charge = Charge {
                id: self.charges,
                customer: "anna",
                units: request.tokens,
                work: Work::New,
                priority,
            };
            let bucket = &mut self.buckets[(first + holder) % HOLDERS];
            match bucket.charge(&charge, &QUOTA, now) {
                Ok(()) => return None,
                Err(shortage) => {
                    priority.max_retry_after = priority.max_retry_after.min(shortage.retry_after);
                    best = best.min(shortage.retry_after);
                }
            }
        }
        Some(best)
    }

    /// Returns the requests of a rank that arrived in a period, in seconds.
    pub(super) fn of_rank(&self, rank: usize, period: Range<u64>) -> Vec<&Request> {
        let requests = self.requests.iter();
        requests
            .filter(|request| request.rank == rank && period.contains(&request.arrived.as_secs()))
            .collect()
    }

    /// Returns what the callers of each rank got that arrived in a period, in seconds.
    pub(super) fn services(&self, period: Range<u64>) -> [Service; 3] {
        [0, 1, 2].map(|rank| service(&self.of_rank(rank, period.clone())))
    }

    /// Returns the tokens that were granted in a period, in seconds.
    pub(super) fn granted(&self, period: Range<u64>) -> f64 {
        let is_inside = |at: Duration| period.contains(&at.as_secs());
        let requests = self.requests.iter();
        requests
            .filter(|request| request.granted.is_some_and(is_inside))
            .map(|request| request.tokens)
            .sum()
    }
}

/// What callers of one rank got.
#[derive(Clone, Copy, Debug)]
pub(super) struct Service {
    /// Fraction of the requests that was served at the first attempt.
    pub(super) first: f64,
    /// Fraction that was served.
    pub(super) served: f64,
    /// Fraction that was served in time for the target latency.
    pub(super) in_time: f64,
}

/// Returns what the callers of `requests` got.
pub(super) fn service(requests: &[&Request]) -> Service {
    let fraction = |is_counted: fn(&Request) -> bool| {
        let counted = requests.iter().filter(|request| is_counted(request));
        counted.count() as f64 / requests.len().max(1) as f64
    };
    Service {
        first: fraction(|request| request.is_served() && request.attempts == 1),
        served: fraction(Request::is_served),
        in_time: fraction(Request::is_in_time),
    }
}
