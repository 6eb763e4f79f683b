//! Rate limits of customers over all nodes.

use std::time::Duration;

use jayhall::core::gateway::quota::{QuotaDecision, QuotaShares};
use jayhall::core::gateway::routes::Quota;

const NODES: usize = 6;
const QUOTA: Quota = Quota {
    per_second: 400_000.0,
    burst: 400_000.0,
    counts_tokens: true,
    plain_call: 200.0,
};
/// Tokens of one call.
const CALL_TOKENS: f64 = 4_000.0;
/// Window in seconds for which the bound on admitted tokens is guaranteed.
const WINDOW: u64 = 8;
/// Guaranteed bound on the excess over the limit: a fraction of the limit, plus a number of tokens.
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 190_000.0;

struct Simulation {
    nodes: Vec<QuotaShares>,
    /// Interval of the reports between nodes in milliseconds.
    report_interval_ms: u64,
    /// Nodes that neither send nor receive reports.
    cut_off: Vec<usize>,
    admitted: Vec<(Duration, f64)>,
    offered: f64,
}

impl Simulation {
    fn new() -> Self {
        Self::with_nodes(NODES, 200)
    }

    fn with_nodes(nodes: usize, report_interval_ms: u64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| QuotaShares::default()).collect(),
            report_interval_ms,
            cut_off: Vec::new(),
            admitted: Vec::new(),
            offered: 0.0,
        }
    }

    /// Simulates a period in which `rate` tokens a second arrive, split over the nodes by `weights`.
    fn run(&mut self, from_s: u64, to_s: u64, rate: f64, weights: &[f64], quota: &Quota) {
        let total: f64 = weights.iter().sum();
        let count = self.nodes.len();
        let mut due = vec![0.0; count];
        for ms in (from_s * 1000..to_s * 1000).step_by(10) {
            let now = Duration::from_millis(ms);
            if ms % self.report_interval_ms == 0 {
                self.exchange_reports(now);
            }
            for (node, weight) in weights.iter().enumerate() {
                due[node] += rate * weight / total / 100.0;
                while due[node] >= CALL_TOKENS {
                    due[node] -= CALL_TOKENS;
                    self.offered += CALL_TOKENS;
                    let decision =
                        self.nodes[node].try_charge("anna", quota, CALL_TOKENS, count, now);
                    if decision == QuotaDecision::Within {
                        self.admitted.push((now, CALL_TOKENS));
                    }
                }
            }
        }
    }

    fn exchange_reports(&mut self, now: Duration) {
        let count = self.nodes.len();
        for from in 0..count {
            let totals = self.nodes[from].totals();
            for to in 0..count {
                let is_cut_off = self.cut_off.contains(&from) || self.cut_off.contains(&to);
                if from != to && !is_cut_off {
                    self.nodes[to].apply_report(&format!("n{from}"), 1, &totals, now);
                }
            }
        }
    }

    /// Returns the largest number of tokens admitted in a window that begins with an admitted call at `from_s`
    /// or later. Every 20th window is checked.
    fn worst_window(&self, from_s: u64) -> f64 {
        let window = Duration::from_secs(WINDOW);
        let starts = self.admitted.iter().map(|(at, _)| *at);
        starts
            .filter(|start| *start >= Duration::from_secs(from_s))
            .step_by(20)
            .map(|start| {
                let inside = |at: &Duration| *at >= start && *at < start + window;
                let calls = self.admitted.iter().filter(|(at, _)| inside(at));
                calls.map(|(_, tokens)| tokens).sum()
            })
            .fold(0.0, f64::max)
    }

    /// Checks the guaranteed bound for windows that begin at `from_s` or later.
    fn assert_within(&self, from_s: u64, quota: &Quota) {
        let (worst, allowed) = (self.worst_window(from_s), allowed(quota));
        assert!(worst <= allowed, "{worst} in {WINDOW} s, allowed {allowed}");
    }

    fn admitted_in(&self, from_s: u64, to_s: u64) -> f64 {
        let inside = |at: &Duration| (from_s..to_s).contains(&at.as_secs());
        let calls = self.admitted.iter().filter(|(at, _)| inside(at));
        calls.map(|(_, tokens)| tokens).sum()
    }
}

fn allowed(quota: &Quota) -> f64 {
    (quota.per_second * WINDOW as f64 + quota.burst) * (1.0 + OVERRUN) + SLACK
}

#[test]
fn a_customer_far_beyond_its_limit_gets_its_limit_and_no_more() {
    let mut simulation = Simulation::new();
    simulation.run(0, 30, 2_400_000.0, &[1.0; NODES], &QUOTA);
    simulation.assert_within(0, &QUOTA);
    // The customer also gets at least 95 % of its limit.
    assert!(simulation.admitted_in(5, 25) >= 0.95 * 20.0 * QUOTA.per_second);
}

#[test]
fn many_nodes_without_reports_yet_do_not_each_admit_the_whole_limit() {
    let quota = Quota {
        per_second: 2_000_000.0,
        burst: 2_000_000.0,
        ..QUOTA
    };
    let mut simulation = Simulation::with_nodes(74, 900);
    simulation.run(0, 12, 12_000_000.0, &[1.0; 74], &quota);
    simulation.assert_within(0, &quota);
    assert!(simulation.admitted_in(3, 12) >= 0.9 * 9.0 * quota.per_second);
}

#[test]
fn calls_on_few_nodes_get_the_whole_limit() {
    let mut simulation = Simulation::new();
    let weights = [10.0, 1.0, 0.0, 0.0, 0.0, 0.0];
    simulation.run(0, 30, 1_200_000.0, &weights, &QUOTA);
    simulation.assert_within(0, &QUOTA);
    assert!(simulation.admitted_in(5, 25) >= 0.9 * 20.0 * QUOTA.per_second);
}

#[test]
fn calls_that_move_between_nodes_stay_within_the_limit() {
    let mut simulation = Simulation::new();
    for turn in 0..6 {
        let mut weights = [0.2; NODES];
        weights[turn] = 5.0;
        let turn = turn as u64;
        simulation.run(turn * 5, turn * 5 + 5, 1_600_000.0, &weights, &QUOTA);
    }
    simulation.assert_within(0, &QUOTA);
}

#[test]
fn a_customer_within_its_limit_is_not_refused() {
    let mut simulation = Simulation::new();
    simulation.run(0, 20, 320_000.0, &[1.0; NODES], &QUOTA);
    assert!(simulation.admitted_in(0, 20) >= 0.98 * simulation.offered);
}

#[test]
fn nodes_that_are_cut_off_do_not_add_to_the_limit() {
    let mut simulation = Simulation::new();
    simulation.run(0, 10, 2_400_000.0, &[1.0; NODES], &QUOTA);
    simulation.cut_off = vec![0, 1];
    simulation.run(10, 30, 2_400_000.0, &[1.0; NODES], &QUOTA);
    simulation.assert_within(0, &QUOTA);
}

#[test]
fn a_lowered_limit_applies_within_one_window() {
    let mut simulation = Simulation::new();
    simulation.run(0, 12, 1_200_000.0, &[1.0; NODES], &QUOTA);
    let lower = Quota {
        per_second: 60_000.0,
        burst: 60_000.0,
        ..QUOTA
    };
    simulation.run(12, 40, 1_200_000.0, &[1.0; NODES], &lower);
    simulation.assert_within(12, &lower);
}

#[test]
fn a_customer_of_few_calls_on_many_nodes_is_not_refused() {
    let quota = Quota {
        per_second: 180_000.0,
        burst: 180_000.0,
        ..QUOTA
    };
    // 25 calls a second, spread unevenly over 74 nodes: most nodes see only an occasional call.
    let mut simulation = Simulation::with_nodes(74, 900);
    for second in 0..30 {
        let weights: Vec<f64> = (0..74)
            .map(|node| f64::from((node * 7 + second * 13) % 11))
            .collect();
        let second = second as u64;
        simulation.run(second, second + 1, 100_000.0, &weights, &quota);
    }
    assert!(simulation.admitted_in(0, 30) >= 0.97 * simulation.offered);
}

#[test]
fn the_retry_delay_of_a_refused_caller_is_bounded() {
    let mut shares = QuotaShares::default();
    let now = Duration::from_secs(1);
    let take = |shares: &mut QuotaShares| shares.try_charge("anna", &QUOTA, 500_000.0, 1, now);
    assert_eq!(take(&mut shares), QuotaDecision::Within);
    let QuotaDecision::Over(shortage) = take(&mut shares) else {
        panic!("a customer in debt was served");
    };
    let after = shortage.retry_after;
    assert!(after >= Duration::from_millis(200) && after <= Duration::from_secs(4));
    // The units of a call that was not run are refunded.
    shares.refund("anna", 500_000.0);
    assert_eq!(take(&mut shares), QuotaDecision::Within);
}
