//! Tests of the scheduling order under overload, compared with baseline policies.
//!
//! The targets are the deadlines, such as 4 s for urgent work, and the floors of 20% and 10% of the
//! service for the other ranks.

use jayhall_scenarios::service::{OrderPolicy, ServiceOutcome, run};
use jayhall_scenarios::workload::{FLOORS, LONG, Mix, NORMAL, RUN, URGENT};

const SEED: u64 = 1;
/// Load of the large customer, in multiples of the capacity, at which it sends about fifty times as
/// many requests of rank `NORMAL` as the mean of the other customers.
const FIFTY_TIMES: f64 = 1.2;

fn flooded(policy: OrderPolicy, flood: [f64; 3]) -> ServiceOutcome {
    let mix = Mix {
        flood,
        ..Mix::ordinary(0.6)
    };
    run(policy, &mix.draw(SEED), RUN)
}

fn in_time(outcome: &ServiceOutcome, level: u8) -> f64 {
    outcome.rank(level).in_time_percent()
}

#[test]
fn a_flood_of_the_least_urgent_leaves_the_others_in_time() {
    let flood = [0.0, 0.0, 5.0];
    let ours = flooded(OrderPolicy::Jayhall, flood);
    assert!(in_time(&ours, URGENT) >= 99.0);
    assert!(in_time(&ours, NORMAL) >= 99.0);
    let first_come = flooded(OrderPolicy::FirstCome, flood);
    assert!(in_time(&first_come, URGENT) < 5.0);
}

#[test]
fn a_flood_of_the_most_urgent_leaves_the_others_their_floor() {
    let flood = [5.0, 0.0, 0.0];
    let ours = flooded(OrderPolicy::Jayhall, flood);
    // The demand of rank NORMAL is below its floor and is met in full.
    assert!(in_time(&ours, NORMAL) >= 95.0);
    let long = ours.work_percent(LONG);
    assert!(
        long >= f64::from(FLOORS[usize::from(LONG)]) * 0.9,
        "{long}%"
    );
    assert!(ours.useful_percent >= 95.0);
    let no_floor = flooded(OrderPolicy::NoFloor, flood);
    assert!(in_time(&no_floor, NORMAL) < 5.0);
    assert!(in_time(&no_floor, LONG) < 5.0);
}

#[test]
fn floods_of_both_at_once_leave_the_rank_between_its_floor() {
    let flood = [5.0, 0.0, 5.0];
    let ours = flooded(OrderPolicy::Jayhall, flood);
    assert!(in_time(&ours, NORMAL) >= 95.0);
    let long = ours.work_percent(LONG);
    let floor = f64::from(FLOORS[usize::from(LONG)]);
    assert!((floor * 0.9..=floor * 1.2).contains(&long), "{long}%");
    // Requests that cannot be served are refused at arrival instead of expiring in the queue.
    let urgent = ours.rank(URGENT);
    assert!(urgent.expired * 20 <= urgent.offered, "{urgent:?}");
}

#[test]
fn a_customer_who_asks_fifty_times_the_others_leaves_them_in_time() {
    let mix = Mix {
        large_caller: FIFTY_TIMES,
        ..Mix::ordinary(0.6)
    };
    let arrivals = mix.draw(SEED);
    let ours = run(OrderPolicy::Jayhall, &arrivals, RUN);
    let unfair = run(OrderPolicy::NoFairness, &arrivals, RUN);
    for customer in 1..5 {
        let share = ours.tally(customer, NORMAL).in_time_percent();
        assert!(share >= 99.0, "customer {customer}: {share}%");
        let without = unfair.tally(customer, NORMAL).in_time_percent();
        assert!(without < share, "customer {customer}: {without}%");
    }
}

#[test]
fn answers_far_from_their_estimates_cost_no_rank_its_target() {
    let mix = Mix {
        is_erratic: true,
        ..Mix::ordinary(1.5)
    };
    let arrivals = mix.draw(SEED);
    for policy in [OrderPolicy::Jayhall, OrderPolicy::BlindEstimate] {
        let outcome = run(policy, &arrivals, RUN);
        assert!(in_time(&outcome, URGENT) >= 99.0);
        assert!(in_time(&outcome, NORMAL) >= 95.0);
        assert!(outcome.useful_percent >= 95.0);
    }
}

#[test]
fn useful_work_stays_flat_past_saturation() {
    let at = |policy, load| run(policy, &Mix::ordinary(load).draw(SEED), RUN).useful_percent;
    for load in [2.0, 5.0, 10.0] {
        let ours = at(OrderPolicy::Jayhall, load);
        assert!(ours >= 95.0, "{ours}% at {load} times the capacity");
        let first_come = at(OrderPolicy::FirstCome, load);
        assert!(first_come < 80.0, "{first_come}%");
    }
}

#[test]
fn short_questions_beside_long_contracts_are_answered_in_time() {
    let arrivals = Mix::ordinary(2.0).draw(SEED);
    let ours = run(OrderPolicy::Jayhall, &arrivals, RUN);
    assert!(in_time(&ours, URGENT) >= 99.0);
    assert!(in_time(&ours, NORMAL) >= 95.0);
    let first_come = run(OrderPolicy::FirstCome, &arrivals, RUN);
    assert!(in_time(&first_come, URGENT) < 5.0);
}

#[test]
fn a_run_is_the_same_each_time() {
    let run = || {
        let outcome = flooded(OrderPolicy::Jayhall, [5.0, 0.0, 5.0]);
        let ranks = [URGENT, NORMAL, LONG].map(|level| outcome.rank(level).waits);
        (outcome.useful_percent, ranks)
    };
    assert_eq!(run(), run());
}
