//! Tests of the scheduling order under overload, compared with baseline policies.
//!
//! The targets are the deadlines, such as 4 s for urgent work, and the floors of 20% and 10% of the
//! service for the other ranks.

use jayhall_scenarios::service::{OrderPolicy, ServiceOutcome, run};
use jayhall_scenarios::workload::{FLOORS, LONG, NORMAL, RUN_TIME, URGENT, Workload};

const SEED: u64 = 1;
/// Load of the large customer, in multiples of the capacity, at which it sends about fifty times as
/// many requests of rank `NORMAL` as the mean of the other customers.
const LARGE_CALLER_LOAD: f64 = 1.2;

fn run_with_flood(policy: OrderPolicy, flood: [f64; 3]) -> ServiceOutcome {
    let workload = Workload {
        flood,
        ..Workload::ordinary(0.6)
    };
    run(policy, &workload.generate(SEED), RUN_TIME)
}

fn in_time_percent(outcome: &ServiceOutcome, level: u8) -> f64 {
    outcome.rank(level).in_time_percent()
}

#[test]
fn a_flood_of_the_least_urgent_rank_leaves_the_other_ranks_in_time() {
    let flood = [0.0, 0.0, 5.0];
    let ours = run_with_flood(OrderPolicy::Jayhall, flood);
    assert!(in_time_percent(&ours, URGENT) >= 99.0);
    assert!(in_time_percent(&ours, NORMAL) >= 99.0);
    let fifo = run_with_flood(OrderPolicy::FirstCome, flood);
    assert!(in_time_percent(&fifo, URGENT) < 5.0);
}

#[test]
fn a_flood_of_the_most_urgent_rank_leaves_the_other_ranks_their_floors() {
    let flood = [5.0, 0.0, 0.0];
    let ours = run_with_flood(OrderPolicy::Jayhall, flood);
    // The demand of rank NORMAL is below its floor and is met in full.
    assert!(in_time_percent(&ours, NORMAL) >= 95.0);
    let long = ours.work_percent(LONG);
    assert!(
        long >= f64::from(FLOORS[usize::from(LONG)]) * 0.9,
        "{long}%"
    );
    assert!(ours.useful_percent >= 95.0);
    let no_floor = run_with_flood(OrderPolicy::NoFloor, flood);
    assert!(in_time_percent(&no_floor, NORMAL) < 5.0);
    assert!(in_time_percent(&no_floor, LONG) < 5.0);
}

#[test]
fn floods_of_both_outer_ranks_leave_the_middle_rank_its_floor() {
    let flood = [5.0, 0.0, 5.0];
    let ours = run_with_flood(OrderPolicy::Jayhall, flood);
    assert!(in_time_percent(&ours, NORMAL) >= 95.0);
    let long = ours.work_percent(LONG);
    let floor = f64::from(FLOORS[usize::from(LONG)]);
    assert!((floor * 0.9..=floor * 1.2).contains(&long), "{long}%");
    // Requests that cannot be served are refused at arrival instead of expiring in the queue.
    let urgent = ours.rank(URGENT);
    assert!(urgent.expired * 20 <= urgent.offered, "{urgent:?}");
}

#[test]
fn a_customer_with_fifty_times_the_load_leaves_the_others_in_time() {
    let workload = Workload {
        large_caller: LARGE_CALLER_LOAD,
        ..Workload::ordinary(0.6)
    };
    let arrivals = workload.generate(SEED);
    let ours = run(OrderPolicy::Jayhall, &arrivals, RUN_TIME);
    let without_fairness = run(OrderPolicy::NoFairness, &arrivals, RUN_TIME);
    for customer in 1..5 {
        let share = ours.tally(customer, NORMAL).in_time_percent();
        assert!(share >= 99.0, "customer {customer}: {share}%");
        let without = without_fairness.tally(customer, NORMAL).in_time_percent();
        assert!(without < share, "customer {customer}: {without}%");
    }
}

#[test]
fn ranks_meet_their_targets_despite_large_estimation_errors() {
    let workload = Workload {
        is_erratic: true,
        ..Workload::ordinary(1.5)
    };
    let arrivals = workload.generate(SEED);
    for policy in [OrderPolicy::Jayhall, OrderPolicy::BlindEstimate] {
        let outcome = run(policy, &arrivals, RUN_TIME);
        assert!(in_time_percent(&outcome, URGENT) >= 99.0);
        assert!(in_time_percent(&outcome, NORMAL) >= 95.0);
        assert!(outcome.useful_percent >= 95.0);
    }
}

#[test]
fn goodput_stays_flat_past_saturation() {
    let at = |policy, load| {
        run(policy, &Workload::ordinary(load).generate(SEED), RUN_TIME).useful_percent
    };
    for load in [2.0, 5.0, 10.0] {
        let ours = at(OrderPolicy::Jayhall, load);
        assert!(ours >= 95.0, "{ours}% at {load} times the capacity");
        let fifo = at(OrderPolicy::FirstCome, load);
        assert!(fifo < 80.0, "{fifo}%");
    }
}

#[test]
fn short_requests_meet_their_deadlines_beside_long_ones() {
    let arrivals = Workload::ordinary(2.0).generate(SEED);
    let ours = run(OrderPolicy::Jayhall, &arrivals, RUN_TIME);
    assert!(in_time_percent(&ours, URGENT) >= 99.0);
    assert!(in_time_percent(&ours, NORMAL) >= 95.0);
    let fifo = run(OrderPolicy::FirstCome, &arrivals, RUN_TIME);
    assert!(in_time_percent(&fifo, URGENT) < 5.0);
}

#[test]
fn simulations_are_deterministic() {
    let run = || {
        let outcome = run_with_flood(OrderPolicy::Jayhall, [5.0, 0.0, 5.0]);
        let ranks = [URGENT, NORMAL, LONG].map(|level| outcome.rank(level).waits);
        (outcome.useful_percent, ranks)
    };
    assert_eq!(run(), run());
}
