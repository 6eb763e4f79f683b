//! Benchmarks of the decisions on the request path (queueing, admission, routing and quotas) and beside it.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use jayhall::core::admission::{CustomerLimits, LimitRule};
use jayhall::core::gateway::crashes::{Crash, CrashLog};
use jayhall::core::gateway::observed::Observer;
use jayhall::core::gateway::suspects::Suspect;
use jayhall::core::queue::{Dequeued, FairQueue, QueueRules, QueuedRequest};
use jayhall::core::routing::{
    Candidate, Distance, LinkBudget, LinkShares, NEAR_EQUAL_ENGINES, PrefixIndex, PromptBlocks,
    RouteRequest, choose,
};
use jayhall::core::time::Moment;
use rand::SeedableRng;
use rand::rngs::ChaCha8Rng;

const QUEUE_LENGTHS: [u64; 4] = [10, 100, 1_000, 10_000];
const ENGINE_COUNTS: [u64; 4] = [10, 100, 1_000, 5_400];
const CUSTOMERS: u64 = 50;
const PROMPT_BLOCKS: u64 = 64;
/// Parts of prompts, up to the most that a head of 16,384 bytes names.
const PROMPT_PARTS: [u64; 4] = [1, 64, 1_064, 4_096];

fn item(id: u64) -> QueuedRequest {
    QueuedRequest {
        id: format!("r{id}").into(),
        customer: format!("c{}", id % CUSTOMERS).into(),
        level: (id % 3) as u8,
        weight: 1 + (id % 4) as u32,
        cost_tokens: 100 + (id * 37 % 400) as u32,
        deadline: Moment::from_secs(1_000_000 + id),
        arrived: Moment::ZERO,
        preferred_engine: None,
        is_resumed: false,
    }
}

fn queue_of(len: u64) -> FairQueue {
    let mut queue = FairQueue::new(QueueRules {
        floors: [0, 20, 10].into_iter().collect(),
        ..QueueRules::default()
    });
    for id in 0..len {
        // Cannot be rejected as a duplicate, since ids are unique.
        let _ = queue.push(item(id));
    }
    queue
}

/// Pushes one request, pops one and settles its cost, so that the queue length stays constant.
fn dispatch(c: &mut Criterion) {
    let mut group = c.benchmark_group("dispatch");
    for len in QUEUE_LENGTHS {
        let mut queue = queue_of(len);
        let mut id = len;
        group.bench_function(BenchmarkId::from_parameter(len), |b| {
            b.iter(|| {
                id += 1;
                let _ = queue.push(item(id));
                if let Dequeued::Serve(item) = queue.pop(Moment::ZERO) {
                    queue.settle(&item.customer, item.level, item.cost_tokens, 150);
                }
            });
        });
    }
    group.finish();
}

/// Computes the queued work ahead of a new request, which admission needs for its estimate.
fn work_ahead(c: &mut Criterion) {
    let mut group = c.benchmark_group("ahead");
    for len in QUEUE_LENGTHS {
        let queue = queue_of(len);
        let new_request = item(len + 1);
        group.bench_function(BenchmarkId::from_parameter(len), |b| {
            b.iter(|| black_box(queue.ahead_of(&new_request)));
        });
    }
    group.finish();
}

/// Looks up the cached prefix of a 1,024-token prompt at every engine, and chooses an engine.
fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    let prompt = PromptBlocks {
        hashes: (0..PROMPT_BLOCKS).collect(),
    };
    let request = RouteRequest {
        deadline: Duration::from_secs(4),
        prefill_per_token: Duration::from_micros(500),
        bytes: 10_000,
        near_equal: NEAR_EQUAL_ENGINES,
    };
    for engines in ENGINE_COUNTS {
        let mut index = PrefixIndex::new(PrefixIndex::MAX_ENTRIES);
        let names: Vec<String> = (0..engines).map(|n| format!("e{n}")).collect();
        for name in names.iter().take(4) {
            index.record_routed(name, &prompt);
        }
        let mut link = LinkBudget::new(LinkShares::default(), 8, Moment::ZERO);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                let candidates: Vec<Candidate> = names
                    .iter()
                    .enumerate()
                    .map(|(n, name)| Candidate {
                        distance: Distance::SameRegion,
                        wait: Duration::from_millis(n as u64 * 7 % 50),
                        slots: 8,
                        cached_tokens: index.cached(name, &prompt).expected(),
                        price_per_hour: 0,
                    })
                    .collect();
                choose(&candidates, &request, &mut link, Moment::ZERO, &mut rng)
            });
        });
    }
    group.finish();
}

/// Admits a request against its customer's limits and settles its usage.
fn limits(c: &mut Criterion) {
    let rule = LimitRule {
        tokens_per_second: 1_000_000_000,
        burst_tokens: 4_000_000_000,
        max_in_flight: 1_000_000,
    };
    let customer = "c".into();
    let mut limits = CustomerLimits::new("n1".into(), Moment::ZERO);
    limits.set_nodes(8);
    c.bench_function("limits", |b| {
        b.iter(|| {
            let admitted = limits.admit(&customer, &rule, 200, Moment::ZERO);
            limits.finish("c", 200, 150, Moment::ZERO);
            admitted
        });
    });
}

/// Returns the crashes of three back ends, one after the other, with 16 calls each. The prompts have this many parts, of
/// which up to 64 are in no other prompt.
fn crashes_under_prompts(parts: u64) -> CrashLog {
    let own = parts.min(64);
    let mut log = CrashLog::default();
    for number in 0..48 {
        let shared = 0..parts - own;
        let ids = shared.chain((0..own).map(|id| 1_000_000 + own * number + id));
        let suspects = ids.map(Suspect::Part);
        let sent = Moment::from_secs(1 + number / 16);
        let crash = Crash {
            suspects: suspects.chain([Suspect::Request(number)]).collect(),
            process: (number / 16) as u32,
            sent,
            ended: sent + Duration::from_millis(500),
        };
        log.record_crash(crash, Observer::Node);
    }
    log.record_answer(&[Suspect::Part(u64::MAX)], Moment::from_millis(3_600));
    log
}

/// Searches for the cause of crashes: under the lock that calls take, and without it.
fn crash_cause(c: &mut Criterion) {
    let now = Moment::from_secs(5);
    let mut group = c.benchmark_group("crash_cause");
    for parts in PROMPT_PARTS {
        let mut log = crashes_under_prompts(parts);
        group.bench_function(BenchmarkId::new("locked", parts), |b| {
            b.iter(|| black_box(log.open_crashes(now)));
        });
        let open = log.open_crashes(now);
        group.bench_function(BenchmarkId::new("search", parts), |b| {
            b.iter(|| black_box(open.find_cause()));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    targets = dispatch, work_ahead, route, limits, crash_cause
}
criterion_main!(benches);
