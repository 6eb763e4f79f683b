//! Random workload of several customers and ranks, generated from a seed.

use std::time::Duration;

use jayhall::core::id::RankLevel;
use jayhall::core::time::Moment;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// The most urgent rank: quick questions while a carpenter or a couple waits.
pub const URGENT: RankLevel = 0;
/// Booking texts, quotes and the like.
pub const NORMAL: RankLevel = 1;
/// Long contracts and arch designs.
pub const LONG: RankLevel = 2;
/// Deadline of the first token, by rank level.
pub const DEADLINES: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(20),
    Duration::from_secs(180),
];
/// Floor of each rank in percent of the service.
pub const FLOORS: [u8; 3] = [0, 20, 10];
/// Number of requests that a home's three engines run concurrently.
pub const SLOTS: u32 = 24;
/// Prefill rate of one slot in prompt tokens per second.
pub const PREFILL_PER_SECOND: f64 = 2_000.0;
/// Decode rate of one slot in answer tokens per second.
pub const DECODE_PER_SECOND: f64 = 40.0;
/// Simulated time of a run.
pub const RUN_TIME: Duration = Duration::from_secs(300);

/// Customers with their share of the ordinary load in percent. All have the same weight.
pub const CUSTOMERS: [(&str, u32); 5] = [
    ("large", 40),
    ("second", 25),
    ("middle", 15),
    ("small", 10),
    ("smallest", 10),
];

/// Arrival of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: Moment,
    /// Index into [`CUSTOMERS`].
    pub customer: usize,
    /// Rank level.
    pub level: RankLevel,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

impl Arrival {
    /// Returns the time for which the request occupies a slot.
    pub fn service_time(&self) -> Duration {
        let prefill = f64::from(self.prompt_tokens) / PREFILL_PER_SECOND;
        let decode = f64::from(self.answer_tokens) / DECODE_PER_SECOND;
        Duration::from_secs_f64(prefill + decode)
    }
}

/// Mean tokens of prompt and answer by rank level.
const MEAN_TOKENS: [(u32, u32); 3] = [(100, 60), (300, 100), (4_000, 400)];
/// Share of each rank in the requests of the ordinary load, in percent.
const RANK_SHARE_PERCENT: [u32; 3] = [20, 50, 30];

/// Parameters of a workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workload {
    /// Ordinary load of all customers, in multiples of the capacity.
    pub ordinary: f64,
    /// Additional load of all customers by rank level, in multiples of the capacity.
    pub flood: [f64; 3],
    /// Additional load of rank `NORMAL` by the large customer alone, in multiples of the capacity.
    pub large_caller: f64,
    /// Whether answers are, at random, either a tenth of the mean length or about nine times as
    /// long.
    pub is_erratic: bool,
}

impl Workload {
    /// Returns a workload with ordinary load only.
    pub fn ordinary(ordinary: f64) -> Self {
        Self {
            ordinary,
            flood: [0.0; 3],
            large_caller: 0.0,
            is_erratic: false,
        }
    }

    /// Generates the arrivals of one run in time order.
    pub fn generate(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (customer, (_, share)) in CUSTOMERS.iter().enumerate() {
            let share = f64::from(*share) / 100.0;
            for level in [URGENT, NORMAL, LONG] {
                let rate = self.rate(level) * share + self.large_caller_rate(customer, level);
                self.generate_stream(customer, level, rate, &mut rng, &mut arrivals);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// Returns the arrival rate of a rank over all customers in requests per second.
    fn rate(&self, level: RankLevel) -> f64 {
        let index = usize::from(level);
        let share = f64::from(RANK_SHARE_PERCENT[index]) / 100.0;
        self.ordinary * ordinary_capacity() * share + self.flood[index] * rank_capacity(level)
    }

    fn large_caller_rate(&self, customer: usize, level: RankLevel) -> f64 {
        match (customer, level) {
            (0, NORMAL) => self.large_caller * rank_capacity(NORMAL),
            _ => 0.0,
        }
    }

    fn generate_stream(
        &self,
        customer: usize,
        level: RankLevel,
        rate: f64,
        rng: &mut ChaCha8Rng,
        arrivals: &mut Vec<Arrival>,
    ) {
        if rate <= 0.0 {
            return;
        }
        let (prompt, answer) = MEAN_TOKENS[usize::from(level)];
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= RUN_TIME.as_secs_f64() {
                return;
            }
            let factor = match self.is_erratic {
                false => rng.random_range(0.5..1.5),
                // A tenth with probability 0.9, so that the mean stays about the same.
                true if rng.random_bool(0.9) => 0.1,
                true => 9.1,
            };
            arrivals.push(Arrival {
                at: Moment::from_secs_f64(at),
                customer,
                level,
                prompt_tokens: (f64::from(prompt) * rng.random_range(0.5..1.5)) as u32 + 1,
                answer_tokens: (f64::from(answer) * factor) as u32 + 1,
            });
        }
    }
}

fn service_seconds(level: RankLevel) -> f64 {
    let (prompt, answer) = MEAN_TOKENS[usize::from(level)];
    f64::from(prompt) / PREFILL_PER_SECOND + f64::from(answer) / DECODE_PER_SECOND
}

/// Returns the requests of a rank per second that occupy all slots.
fn rank_capacity(level: RankLevel) -> f64 {
    f64::from(SLOTS) / service_seconds(level)
}

/// Returns the requests of the ordinary load per second that occupy all slots.
fn ordinary_capacity() -> f64 {
    let seconds: f64 = [URGENT, NORMAL, LONG]
        .into_iter()
        .map(|level| {
            service_seconds(level) * f64::from(RANK_SHARE_PERCENT[usize::from(level)]) / 100.0
        })
        .sum();
    f64::from(SLOTS) / seconds
}
