//! Rate limits of customers over all nodes.

use std::time::Duration;

use jayhall::core::gateway::precedence::Priority;
use jayhall::core::gateway::quota::{Charge, FleetNode, LEASE, QuotaNode, Reply, Work};
use jayhall::core::gateway::routes::Quota;

use super::quota_fleet::{Fleet, Links, WARM_UP_MS};

const NODES: usize = 6;
const QUOTA: Quota = Quota {
    per_second: 400_000.0,
    burst: 400_000.0,
    counts_tokens: true,
    plain_call: 200.0,
};
/// Tokens of one call.
const CALL_TOKENS: f64 = 4_000.0;

/// Returns a fleet in one zone whose calls are spread evenly.
fn fleet(nodes: usize, quota: Quota) -> Fleet {
    let mut fleet = Fleet::new(nodes, 1, 1, quota, CALL_TOKENS);
    fleet.weights = Some(vec![1.0; nodes]);
    fleet
}

#[test]
fn a_customer_far_beyond_its_limit_gets_its_limit_and_no_more() {
    let mut fleet = fleet(NODES, QUOTA);
    fleet.run(0, 30_000, 2_400_000.0);
    fleet.assert_within(0);
    // The customer also gets at least 95 % of its limit.
    assert!(fleet.admitted_in(5_000, 25_000) >= 0.95 * 20.0 * QUOTA.per_second);
}

#[test]
fn many_nodes_that_have_just_started_do_not_each_admit_the_whole_limit() {
    let quota = Quota {
        per_second: 2_000_000.0,
        burst: 2_000_000.0,
        ..QUOTA
    };
    let mut fleet = fleet(74, quota);
    fleet.run(0, 16_000, 12_000_000.0);
    fleet.assert_within(0);
    // Nodes that have just started lend nothing for a lease.
    let from = LEASE.as_millis() as u64 + 3_000;
    assert!(fleet.admitted_in(from, from + 9_000) >= 0.9 * 9.0 * quota.per_second);
}

#[test]
fn calls_on_few_nodes_get_the_whole_limit() {
    let mut fleet = fleet(NODES, QUOTA);
    fleet.weights = Some(vec![10.0, 1.0, 0.0, 0.0, 0.0, 0.0]);
    fleet.run(0, 30_000, 1_200_000.0);
    fleet.assert_within(0);
    assert!(fleet.admitted_in(5_000, 25_000) >= 0.9 * 20.0 * QUOTA.per_second);
}

#[test]
fn calls_that_move_between_nodes_stay_within_the_limit() {
    let mut fleet = fleet(NODES, QUOTA);
    for turn in 0..6 {
        let mut weights = vec![0.2; NODES];
        weights[turn] = 5.0;
        fleet.weights = Some(weights);
        let turn = turn as u64;
        fleet.run(turn * 5_000, turn * 5_000 + 5_000, 1_600_000.0);
    }
    fleet.assert_within(0);
}

#[test]
fn a_customer_within_its_limit_is_not_refused() {
    let mut fleet = fleet(NODES, QUOTA);
    fleet.run(0, WARM_UP_MS, 0.0);
    fleet.run(WARM_UP_MS, WARM_UP_MS + 20_000, 320_000.0);
    assert!(fleet.admitted_in(0, WARM_UP_MS + 20_000) >= 0.98 * fleet.offered());
}

#[test]
fn nodes_that_are_cut_off_do_not_add_to_the_limit() {
    let mut fleet = fleet(NODES, QUOTA);
    fleet.run(0, 10_000, 2_400_000.0);
    fleet.set_links(Links::NodesCut(vec![0, 1]), 10_000);
    fleet.run(10_000, 30_000, 2_400_000.0);
    fleet.assert_within(0);
}

#[test]
fn a_lowered_limit_applies_within_one_window() {
    let mut fleet = fleet(NODES, QUOTA);
    fleet.run(0, 12_000, 1_200_000.0);
    let lower = Quota {
        per_second: 60_000.0,
        burst: 60_000.0,
        ..QUOTA
    };
    fleet.set_limit(lower);
    fleet.run(12_000, 40_000, 1_200_000.0);
    fleet.assert_within(12_000);
}

#[test]
fn a_customer_of_few_calls_on_many_nodes_is_not_refused() {
    let quota = Quota {
        per_second: 180_000.0,
        burst: 180_000.0,
        ..QUOTA
    };
    // 25 calls a second, spread unevenly over 74 nodes: most nodes see only an occasional call.
    let mut fleet = fleet(74, quota);
    fleet.run(0, WARM_UP_MS, 0.0);
    for second in 0..30 {
        let weights = (0..74).map(|node| f64::from((node * 7 + second * 13) % 11));
        fleet.weights = Some(weights.collect());
        let from = WARM_UP_MS + second as u64 * 1_000;
        fleet.run(from, from + 1_000, 100_000.0);
    }
    assert!(fleet.admitted_in(0, WARM_UP_MS + 30_000) >= 0.97 * fleet.offered());
}

/// Returns a node that is alone and whose bucket is full, and the time.
fn lone_node() -> (QuotaNode, Duration) {
    let mut node = QuotaNode::new("n0".into(), 1, Duration::ZERO);
    node.set_quotas(
        [("anna".into(), QUOTA)]
            .into_iter()
            .collect::<std::collections::HashMap<_, _>>()
            .into(),
    );
    let fleet = [FleetNode {
        name: "n0",
        region: "r",
        is_able: true,
    }];
    for after in 0..3 {
        let now = LEASE + Duration::from_secs(after);
        assert!(node.renew(&fleet, 1, "r", now).is_empty());
    }
    (node, LEASE + Duration::from_secs(2))
}

#[test]
fn leases_are_expected_while_all_nodes_start_anew_and_not_later() {
    let ms = Duration::from_millis;
    let mut node = QuotaNode::new("n0".into(), 1, ms(0));
    let expects = |node: &QuotaNode, at| node.lender.expects_leases(ms(250), ms(at));
    // Without an earlier process, all wait until the leases of one must have ended.
    assert!(!expects(&node, 400));
    assert!(expects(&node, 3_900));
    node.lender.note_predecessor();
    assert!(!expects(&node, 100));
    assert!(expects(&node, 300));
    assert!(expects(&node, 1_500));
    assert!(!expects(&node, 2_500));
    assert!(expects(&node, 3_900));
    assert!(!expects(&node, 6_000));
}

fn charge(id: u64, units: f64) -> Charge<'static> {
    Charge {
        id,
        customer: "anna",
        units,
        work: Work::New,
        priority: Priority::default(),
    }
}

#[test]
fn the_retry_delay_of_a_refused_caller_is_bounded() {
    let (mut node, now) = lone_node();
    assert_eq!(node.charge(&charge(1, 500_000.0), now), Reply::Granted);
    let Reply::Refused(shortage) = node.charge(&charge(2, 500_000.0), now) else {
        panic!("a customer in debt was served");
    };
    let after = shortage.retry_after;
    assert!(after >= Duration::from_millis(200) && after <= Duration::from_secs(4));
    // The units of a call that was not run are refunded, once and by the process that charged it.
    node.holder.refund(2, &charge(1, 500_000.0), now);
    assert_ne!(node.charge(&charge(3, 500_000.0), now), Reply::Granted);
    node.holder.refund(1, &charge(1, 500_000.0), now);
    assert_eq!(node.charge(&charge(4, 500_000.0), now), Reply::Granted);
    node.holder.refund(1, &charge(1, 500_000.0), now);
    assert_ne!(node.charge(&charge(5, 500_000.0), now), Reply::Granted);
}
