//! The bound on what a customer gets over all nodes, in a large fleet and whichever messages arrive.

use std::time::Duration;

use jayhall::core::gateway::routes::Quota;

use super::quota_fleet::{Fleet, Links, WARM_UP_MS};

const NODES: usize = 294;
const ZONES: usize = 6;
const REGIONS: usize = 2;
/// Limits in tokens a second.
const LIMITS: [f64; 3] = [2_000_000.0, 200_000.0, 60_000.0];
/// Tokens of a call.
const CALLS: [f64; 2] = [6_000.0, 18_000.0];
/// Offered tokens as a multiple of the limit.
const OVERLOAD: f64 = 7.5;

fn quota(per_second: f64) -> Quota {
    Quota {
        per_second,
        burst: per_second,
        counts_tokens: true,
        plain_call: 200.0,
    }
}

/// Simulates a customer far beyond its limit with each limit and call size, and checks the bound in all windows.
fn check(name: &str, simulate: impl Fn(&mut Fleet, f64)) {
    let mut broken = Vec::new();
    for limit in LIMITS {
        for call in CALLS {
            let mut fleet = Fleet::new(NODES, ZONES, REGIONS, quota(limit), call);
            simulate(&mut fleet, limit * OVERLOAD);
            let ratio = fleet.worst_ratio(0);
            println!("{name}: limit {limit}, call {call}: {ratio:.2} of the bound");
            if ratio > 1.0 {
                broken.push((limit, call, ratio));
            }
        }
    }
    assert!(broken.is_empty(), "{name}: {broken:?}");
}

#[test]
fn a_large_fleet_keeps_a_customer_to_its_limit() {
    check("steady", |fleet, rate| fleet.run(0, 16_000, rate));
}

#[test]
fn halves_that_do_not_hear_each_other_keep_a_customer_to_its_limit() {
    check("halves", |fleet, rate| {
        fleet.run(0, 8_000, rate);
        fleet.set_links(Links::Halves, 8_000);
        fleet.run(8_000, 28_000, rate);
        fleet.set_links(Links::Whole, 28_000);
        fleet.run(28_000, 36_000, rate);
    });
}

#[test]
fn nodes_that_restart_together_keep_a_customer_to_its_limit() {
    check("one restart", |fleet, rate| {
        fleet.run(0, 12_000, rate);
        fleet.restart(fleet.nine_in_ten(), 12_000);
        fleet.run(12_000, 24_000, rate);
    });
}

#[test]
fn nodes_that_restart_again_and_again_keep_a_customer_to_its_limit() {
    check("three restarts", |fleet, rate| {
        fleet.run(0, 12_000, rate);
        for at in [12_000, 14_500, 17_000] {
            fleet.restart(fleet.nine_in_ten(), at);
            fleet.run(at, at + 2_500, rate);
        }
        fleet.run(19_500, 28_000, rate);
    });
}

/// Guards against allowance that an old holder and a new one both count, and against debts that are forgotten with
/// each move of a part.
#[test]
fn holders_that_change_again_and_again_keep_a_customer_to_its_limit() {
    check("changes", |fleet, rate| {
        fleet.run(0, 10_000, rate);
        for at in (10_000..24_000).step_by(2_000) {
            fleet.move_holders(ZONES, at);
            fleet.run(at, at + 2_000, rate);
        }
    });
}

#[test]
fn late_messages_keep_a_customer_to_its_limit() {
    for late_ms in [1_500, 3_000] {
        check(&format!("{late_ms} ms late"), |fleet, rate| {
            fleet.run(0, 8_000, rate);
            fleet.delay = Duration::from_millis(late_ms);
            fleet.run(8_000, 24_000, rate);
            fleet.delay = Duration::ZERO;
            fleet.run(24_000, 32_000, rate);
        });
    }
}

#[test]
fn nodes_without_any_message_keep_a_customer_to_its_limit() {
    check("lost", |fleet, rate| {
        fleet.set_links(Links::Lost, 0);
        fleet.run(0, 20_000, rate);
    });
    check("lost later", |fleet, rate| {
        fleet.run(0, 8_000, rate);
        fleet.set_links(Links::Lost, 8_000);
        fleet.run(8_000, 24_000, rate);
    });
}

/// Returns the share of its calls that a customer gets with `load` of its limit, in the last 16 s of a simulation that
/// `prepare` has brought to the time that it returns, and the share that one token bucket admits of the same calls.
fn served_and_admissible(
    limit: f64,
    call: f64,
    load: f64,
    prepare: impl Fn(&mut Fleet, f64) -> u64,
) -> (f64, f64) {
    let mut fleet = Fleet::new(NODES, ZONES, REGIONS, quota(limit), call);
    let from = prepare(&mut fleet, limit * load);
    fleet.run(from, from + 16_000, limit * load);
    fleet.assert_within(0);
    let offered = limit * load * 16.0;
    let admissible = fleet.admitted_by_one_bucket(from, from + 16_000);
    (
        fleet.admitted_in(from, from + 16_000) / offered,
        admissible / offered,
    )
}

/// Returns the share of its calls that a customer gets.
fn served(limit: f64, call: f64, load: f64, prepare: impl Fn(&mut Fleet, f64) -> u64) -> f64 {
    served_and_admissible(limit, call, load, prepare).0
}

fn warm_up(fleet: &mut Fleet, rate: f64) -> u64 {
    fleet.run(0, WARM_UP_MS, rate);
    WARM_UP_MS
}

/// Prints the share that is served below the limit in each of several situations, and checks those without trouble.
#[test]
fn a_customer_below_its_limit_is_served_by_a_large_fleet() {
    for (limit, call) in [
        (2_000_000.0, 6_000.0),
        (200_000.0, 6_000.0),
        (60_000.0, 18_000.0),
    ] {
        let calm = [0.55, 0.75, 0.95].map(|load| served(limit, call, load, warm_up));
        let one_node = served(limit, call, 0.75, |fleet, rate| {
            fleet.weights = Some((0..NODES).map(|at| f64::from(at == 7)).collect());
            warm_up(fleet, rate)
        });
        let one_zone = served(limit, call, 0.75, |fleet, rate| {
            fleet.weights = Some(fleet.zone(2));
            fleet.spread_arrivals();
            warm_up(fleet, rate)
        });
        // All nodes of the zone get a call at the same moment, which may be more than the burst.
        let (at_once, admissible) = served_and_admissible(limit, call, 0.75, |fleet, rate| {
            fleet.weights = Some(fleet.zone(2));
            warm_up(fleet, rate)
        });
        let restarted = served(limit, call, 0.75, |fleet, rate| {
            let at = warm_up(fleet, rate);
            fleet.restart(fleet.nine_in_ten(), at);
            at
        });
        let cut = served(limit, call, 0.75, |fleet, rate| {
            let at = warm_up(fleet, rate);
            fleet.set_links(Links::ZoneCut(0), at);
            at
        });
        println!(
            "limit {limit}, call {call}: calm at 0.55, 0.75, 0.95 {calm:.3?}, at 0.75 at one node {one_node:.3}, in \
             one zone {one_zone:.3}, there all at once {at_once:.3} of {admissible:.3}, after restarts {restarted:.3}, with a zone cut off {cut:.3}"
        );
        for share in [calm[0], calm[1], calm[2], one_node, one_zone] {
            assert!(share >= 0.98, "{share} with {limit} {call}");
        }
        let is_served = at_once >= 0.98 * admissible;
        assert!(is_served, "{at_once} of {admissible} with {limit} {call}");
    }
}
