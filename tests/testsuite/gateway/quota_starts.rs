//! Allowance in the first seconds of a fleet all of whose nodes start anew, as after a loss of power.

use jayhall::core::gateway::routes::Quota;

use super::quota_fleet::{Fleet, WARM_UP_MS};

/// A fleet: nodes, zones and regions.
const FLEETS: [(usize, usize, usize); 3] = [(6, 3, 1), (61, 4, 2), (295, 6, 2)];
const QUOTA: Quota = Quota {
    per_second: 2_000_000.0,
    burst: 2_000_000.0,
    counts_tokens: true,
    plain_call: 200.0,
};
const CALL_TOKENS: f64 = 6_000.0;
/// Load in tokens a second.
const LOAD: f64 = 0.75 * QUOTA.per_second;
/// When the processes of all nodes end, and when the first of the new ones starts, in milliseconds.
const LOST_MS: u64 = WARM_UP_MS + 3_000;
const START_MS: u64 = LOST_MS + 500;
/// Bound on the time from the last start until three quarters of the load are admitted.
const MAX_START_MS: u64 = 1_000;
/// Period in milliseconds of which the admitted load is compared with that before.
const PERIOD_MS: u64 = 200;

/// Simulates the loss of all nodes, whose processes start within `spread_ms`. Returns the time in milliseconds from the
/// last start until three quarters of the load are admitted.
fn time_until_served((nodes, zones, regions): (usize, usize, usize), spread_ms: u64) -> u64 {
    let mut fleet = Fleet::new(nodes, zones, regions, QUOTA, CALL_TOKENS);
    fleet.run(0, LOST_MS, LOAD);
    let last_start = START_MS + spread_ms;
    let end = last_start + 2_000;
    fleet.lose_all(|at| START_MS + spread_ms * (at as u64 * 7919 % nodes as u64) / nodes as u64);
    fleet.run(LOST_MS, end, LOAD);
    fleet.assert_within(0);
    let enough = 0.75 * LOAD * PERIOD_MS as f64 / 1e3;
    let mut periods = (last_start..end).step_by(PERIOD_MS as usize);
    let first = periods.find(|from| fleet.admitted_in(*from, from + PERIOD_MS) >= enough);
    first.map_or(u64::MAX, |from| from + PERIOD_MS - last_start)
}

/// Guards against parts of the limits that stay unused for seconds although no lease of an earlier process runs.
#[test]
fn a_fleet_that_starts_anew_serves_within_a_second() {
    let mut slow = Vec::new();
    for fleet in FLEETS {
        let together = time_until_served(fleet, 0);
        let spread = time_until_served(fleet, 1_000);
        println!("{fleet:?}: served after {together} ms, {spread} ms if spread over 1 s");
        if together.max(spread) > MAX_START_MS {
            slow.push((fleet, together, spread));
        }
    }
    assert!(slow.is_empty(), "{slow:?}");
}
