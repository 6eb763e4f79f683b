//! Simulation results of jayhall's policies and of baselines.

use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use jayhall_scenarios::homes::{self, HomePolicy, HomesOutcome, HomesRun};
use jayhall_scenarios::limits::{self, Callers, LimitOutcome, LimitPolicy, LimitRun};
use jayhall_scenarios::prefixes::{self, EnginePolicy, PrefixOutcome};
use jayhall_scenarios::service::{self, OrderPolicy};
use jayhall_scenarios::workload::{CUSTOMERS, NORMAL, RUN_TIME, Workload};
use serde::Serialize;

const SEED: u64 = 1;
const ORDER_POLICIES: [OrderPolicy; 7] = [
    OrderPolicy::Jayhall,
    OrderPolicy::NoAdmission,
    OrderPolicy::NoFloor,
    OrderPolicy::NoFairness,
    OrderPolicy::BlindEstimate,
    OrderPolicy::RawTokens,
    OrderPolicy::FirstCome,
];
const LIMIT_POLICIES: [LimitPolicy; 4] = [
    LimitPolicy::Gossip,
    LimitPolicy::GossipWholePool,
    LimitPolicy::EqualSplit,
    LimitPolicy::Owner,
];
const CALLERS: [Callers; 4] = [
    Callers::OneNode,
    Callers::ThreeNodes,
    Callers::AllNodes,
    Callers::Moving,
];
const HOME_POLICIES: [HomePolicy; 5] = [
    HomePolicy::Jayhall,
    HomePolicy::TwoChoices,
    HomePolicy::LeastCorrected,
    HomePolicy::LeastReported,
    HomePolicy::RoundRobin,
];
const ENGINE_POLICIES: [EnginePolicy; 5] = [
    EnginePolicy::Jayhall,
    EnginePolicy::NoEvents,
    EnginePolicy::NoAffinity,
    EnginePolicy::RoundRobin,
    EnginePolicy::Sticky,
];

#[derive(Serialize)]
struct RankResult {
    level: u8,
    offered: u32,
    in_time_percent: f64,
    work_percent: f64,
    wait_p50_ms: u32,
    wait_p99_ms: u32,
    refused_at_arrival: u32,
    given_up: u32,
    late: u32,
}

#[derive(Serialize)]
struct CustomerResult {
    customer: &'static str,
    normal_offered: u32,
    normal_in_time_percent: f64,
}

#[derive(Serialize)]
struct OrderResult {
    scenario: &'static str,
    policy: OrderPolicy,
    useful_percent: f64,
    ranks: Vec<RankResult>,
    customers: Vec<CustomerResult>,
}

#[derive(Serialize)]
struct LimitResult {
    policy: LimitPolicy,
    callers: Callers,
    outcome: LimitOutcome,
}

#[derive(Serialize)]
struct HomeResult {
    policy: HomePolicy,
    nodes: usize,
    load: f64,
    outcome: HomesOutcome,
}

#[derive(Serialize)]
struct PrefixResult {
    policy: EnginePolicy,
    load: f64,
    outcome: PrefixOutcome,
}

#[derive(Serialize)]
struct Report {
    seed: u64,
    order: Vec<OrderResult>,
    limits: Vec<LimitResult>,
    homes: Vec<HomeResult>,
    prefixes: Vec<PrefixResult>,
}

/// Prints the results, and writes them as JSON with `--json FILE`.
///
/// # Errors
///
/// Fails if the arguments are invalid or the file cannot be written.
pub(crate) fn run(args: &[String]) -> Result<()> {
    let file = match args {
        [] => None,
        [flag, file] if flag == "--json" => Some(file),
        _ => bail!("usage: cargo xtask policy [--json FILE]"),
    };
    let report = Report {
        seed: SEED,
        order: order(),
        limits: limits(),
        homes: homes(),
        prefixes: prefixes(),
    };
    if let Some(file) = file {
        let json = serde_json::to_string_pretty(&report)?;
        std::fs::write(Path::new(file), json).wrap_err_with(|| format!("writing {file}"))?;
    }
    Ok(())
}

fn workloads() -> [(&'static str, Workload); 9] {
    let base = Workload::ordinary(0.6);
    let flood = |flood| Workload { flood, ..base };
    [
        ("steady", base),
        ("flood-low", flood([0.0, 0.0, 5.0])),
        ("flood-urgent", flood([5.0, 0.0, 0.0])),
        ("flood-both", flood([5.0, 0.0, 5.0])),
        (
            "large-caller",
            Workload {
                large_caller: 1.2,
                ..base
            },
        ),
        (
            "erratic",
            Workload {
                is_erratic: true,
                ..Workload::ordinary(1.5)
            },
        ),
        ("load-2", Workload::ordinary(2.0)),
        ("load-5", Workload::ordinary(5.0)),
        ("load-10", Workload::ordinary(10.0)),
    ]
}

fn order() -> Vec<OrderResult> {
    println!("Scheduling: started in time, share of useful work, p99 wait, refused, expired");
    let mut all = Vec::new();
    for (scenario, workload) in workloads() {
        let arrivals = workload.generate(SEED);
        for policy in ORDER_POLICIES {
            let outcome = service::run(policy, &arrivals, RUN_TIME);
            let rank = |level| {
                let tally = outcome.rank(level);
                RankResult {
                    level,
                    offered: tally.offered,
                    in_time_percent: tally.in_time_percent(),
                    work_percent: outcome.work_percent(level),
                    wait_p50_ms: tally.wait_percentile(50),
                    wait_p99_ms: tally.wait_percentile(99),
                    refused_at_arrival: tally.refused,
                    given_up: tally.expired,
                    late: tally.late,
                }
            };
            let customer = |index: usize| {
                let tally = outcome.tally(index, NORMAL);
                CustomerResult {
                    customer: CUSTOMERS[index].0,
                    normal_offered: tally.offered,
                    normal_in_time_percent: tally.in_time_percent(),
                }
            };
            let result = OrderResult {
                scenario,
                policy,
                useful_percent: outcome.useful_percent,
                ranks: (0..3).map(rank).collect(),
                customers: (0..CUSTOMERS.len()).map(customer).collect(),
            };
            print_order(&result);
            all.push(result);
        }
    }
    all
}

fn print_order(result: &OrderResult) {
    print!(
        "{:12} {:13} useful {:5.1}%",
        result.scenario,
        format!("{:?}", result.policy),
        result.useful_percent
    );
    for rank in &result.ranks {
        print!(
            " | rank {} {:5.1}% {:4.1}% {:6} ms {:5} {:5}",
            rank.level,
            rank.in_time_percent,
            rank.work_percent,
            rank.wait_p99_ms,
            rank.refused_at_arrival,
            rank.given_up
        );
    }
    let shares = result.customers.iter();
    let shares: Vec<_> = shares
        .map(|c| format!("{:.1}", c.normal_in_time_percent))
        .collect();
    println!(" | rank 1 by customer {}", shares.join(" "));
}

fn limits() -> Vec<LimitResult> {
    println!("Customer limits over 8 nodes, demand of 10 times the limit, 60 s");
    let mut all = Vec::new();
    for callers in CALLERS {
        for policy in LIMIT_POLICIES {
            let run = LimitRun {
                policy,
                callers,
                nodes: 8,
                demand: 10.0,
                delay: Duration::from_secs(1),
                length: Duration::from_secs(60),
            };
            let outcome = limits::run(&run);
            println!("{callers:?} {policy:?} {outcome:?}");
            all.push(LimitResult {
                policy,
                callers,
                outcome,
            });
        }
    }
    all
}

fn homes() -> Vec<HomeResult> {
    println!("Home selection, report interval 1 s, report delay 500 ms");
    let mut all = Vec::new();
    for nodes in [8, 64] {
        for load in [0.7, 0.9] {
            for policy in HOME_POLICIES {
                let run = HomesRun {
                    policy,
                    nodes,
                    load,
                    report_interval: Duration::from_secs(1),
                    report_delay: Duration::from_millis(500),
                };
                let outcome = homes::run(&run, SEED);
                println!("{nodes} nodes, load {load}: {policy:?} {outcome:?}");
                all.push(HomeResult {
                    policy,
                    nodes,
                    load,
                    outcome,
                });
            }
        }
    }
    all
}

fn prefixes() -> Vec<PrefixResult> {
    println!("Engine selection, cache event delay 1 s, 10% of events lost");
    let mut all = Vec::new();
    for load in [0.6, 0.9, 1.1] {
        for policy in ENGINE_POLICIES {
            let outcome = prefixes::run(policy, load, SEED);
            println!("load {load}: {policy:?} {outcome:?}");
            all.push(PrefixResult {
                policy,
                load,
                outcome,
            });
        }
    }
    all
}
