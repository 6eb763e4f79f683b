//! Sums over availability zones: what the nodes of other zones know of a zone in a large fleet.

use std::time::Duration;

use jayhall::core::gateway::members::{Capacity, Member, Members};
use jayhall::core::gateway::quota::{QuotaDecision, QuotaShares, ZoneTotals};
use jayhall::core::gateway::routes::Quota;
use jayhall::core::gateway::usage::{Counts, UsageBook};
use jayhall::core::gateway::zone_sums::ZoneTellers;

use super::rig::{Behaviour, FakeBackend, Node, Rig, config};

const ZONES: usize = 6;
const NODES_PER_ZONE: usize = 50;
const QUOTA: Quota = Quota {
    per_second: 2_000_000.0,
    burst: 2_000_000.0,
    counts_tokens: true,
    plain_call: 200.0,
};
const CALL: f64 = 6_000.0;
/// The promise of the deployments: in any window of this many seconds, a customer gets its limit, this part
/// more, and this many tokens besides.
const WINDOW: u64 = 8;
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 190_000.0;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A fleet in which nodes hear those of their zone, and one node of each zone the sums of the others.
struct Fleet {
    nodes: Vec<QuotaShares>,
    /// Index, within each zone, of the node that tells the zone's sums.
    tellers: [usize; ZONES],
    admitted: Vec<u64>,
    asked: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            nodes: (0..ZONES * NODES_PER_ZONE)
                .map(|_| QuotaShares::default())
                .collect(),
            tellers: [0; ZONES],
            admitted: Vec::new(),
            asked: 0,
        }
    }

    /// Plays milliseconds in which `rate` tokens a second arrive, evenly over all nodes.
    fn run(&mut self, from_ms: u64, to_ms: u64, rate: f64) {
        let count = self.nodes.len();
        let mut due = 0.0;
        for ms in (from_ms..to_ms).step_by(5) {
            if ms % 625 == 0 {
                self.tell_own_zone(at(ms));
            }
            if ms % 400 == 0 {
                self.tell_sums(at(ms));
            }
            due += rate / 200.0;
            while due >= CALL {
                due -= CALL;
                self.asked += 1;
                let node = (self.asked * 7919) % count;
                let decision = self.nodes[node].take("anna", &QUOTA, CALL, count, at(ms));
                if decision == QuotaDecision::Within {
                    self.admitted.push(ms);
                }
            }
        }
    }

    fn tell_own_zone(&mut self, now: Duration) {
        for zone in 0..ZONES {
            let first = zone * NODES_PER_ZONE;
            for from in first..first + NODES_PER_ZONE {
                let totals = self.nodes[from].totals();
                for to in (first..first + NODES_PER_ZONE).filter(|to| *to != from) {
                    self.nodes[to].heard(&format!("n{from}"), 1, &totals, now);
                }
            }
        }
    }

    fn tell_sums(&mut self, now: Duration) {
        for from in 0..ZONES {
            let teller = from * NODES_PER_ZONE + self.tellers[from];
            let told = ZoneTotals {
                zone: format!("z{from}").into(),
                told_by: teller as u64 + 1,
                nodes: NODES_PER_ZONE,
                totals: self.nodes[teller].totals_of_nodes(),
            };
            for (to, node) in self.nodes.iter_mut().enumerate() {
                if to / NODES_PER_ZONE != from {
                    node.heard_zone(&told, now);
                }
            }
        }
    }

    fn admitted_in(&self, from_ms: u64, to_ms: u64) -> f64 {
        let inside = self
            .admitted
            .iter()
            .filter(|ms| (from_ms..to_ms).contains(*ms));
        inside.count() as f64 * CALL
    }

    fn assert_within(&self, to_ms: u64) {
        let allowed = (QUOTA.per_second * WINDOW as f64 + QUOTA.burst) * (1.0 + OVERRUN) + SLACK;
        for from in (0..to_ms).step_by(250) {
            let got = self.admitted_in(from, from + WINDOW * 1000);
            assert!(got <= allowed, "{got} from {from} ms on, allowed {allowed}");
        }
    }
}

#[test]
fn a_customer_far_beyond_its_limit_gets_its_limit_from_three_hundred_nodes() {
    let mut fleet = Fleet::new();
    fleet.run(0, 4_000, 1_000_000.0);
    fleet.run(4_000, 16_000, 15_000_000.0);
    fleet.assert_within(16_000);
    assert!(fleet.admitted_in(6_000, 16_000) >= 0.85 * 10.0 * QUOTA.per_second);
}

#[test]
fn a_customer_within_its_limit_is_not_refused_by_three_hundred_nodes() {
    let mut fleet = Fleet::new();
    fleet.run(0, 12_000, 1_500_000.0);
    let got = fleet.admitted.len() as f64;
    assert!(got >= 0.98 * fleet.asked as f64, "{got} of {}", fleet.asked);
}

#[test]
fn nodes_that_tell_a_zones_sums_for_the_first_time_tell_of_no_new_consumption() {
    let mut fleet = Fleet::new();
    fleet.run(0, 6_000, 1_500_000.0);
    fleet.tellers = [1; ZONES];
    fleet.run(6_000, 12_000, 1_500_000.0);
    let got = fleet.admitted.len() as f64;
    assert!(got >= 0.98 * fleet.asked as f64, "{got} of {}", fleet.asked);
}

/// Plays a customer far beyond its limit while other nodes begin to tell the sums of some zones, which others
/// did from the start or from 6 s on.
fn change_tellers_in_a_flood(zones: usize, changed_before: bool) {
    let mut fleet = Fleet::new();
    fleet.run(0, 6_000, 1_500_000.0);
    fleet.tellers = [usize::from(changed_before); ZONES];
    fleet.run(6_000, 12_000, 1_500_000.0);
    fleet.run(12_000, 24_000, 15_000_000.0);
    fleet.tellers[..zones].fill(2);
    fleet.run(24_000, 30_000, 15_000_000.0);
    fleet.assert_within(30_000);
}

#[test]
fn another_node_that_tells_a_zones_sums_keeps_a_customer_to_its_limit() {
    change_tellers_in_a_flood(1, false);
}

#[test]
fn other_nodes_that_tell_the_sums_of_all_zones_keep_a_customer_to_its_limit() {
    change_tellers_in_a_flood(ZONES, false);
}

#[test]
fn other_nodes_that_tell_the_sums_of_all_zones_again_keep_a_customer_to_its_limit() {
    change_tellers_in_a_flood(ZONES, true);
}

#[test]
fn a_node_that_is_forgotten_and_returns_is_not_counted_twice() {
    let mut shares = QuotaShares::default();
    let total = |shares: &QuotaShares| shares.totals_of_nodes()[0].1;
    shares.heard("a", 1, &[("anna".into(), 500.0)], at(0));
    shares.forget(&"a".into());
    assert_eq!(total(&shares), 500.0);
    shares.heard("a", 1, &[("anna".into(), 600.0)], at(9_000));
    assert_eq!(total(&shares), 600.0);
    // Another start of its process begins anew; what the former one let through stays counted.
    shares.heard("a", 2, &[("anna".into(), 50.0)], at(10_000));
    assert_eq!(total(&shares), 650.0);
}

#[test]
fn the_sums_of_one_node_at_a_time_are_taken_and_each_once() {
    let mut tellers = ZoneTellers::default();
    assert!(tellers.takes("z", 1, 10, at(0)));
    assert!(!tellers.takes("z", 1, 10, at(100)));
    assert!(!tellers.takes("z", 2, 50, at(200)));
    assert!(tellers.takes("z", 1, 11, at(400)));
    assert!(tellers.takes("y", 2, 50, at(400)));
    // The first one fell silent.
    assert!(!tellers.takes("z", 2, 51, at(1_900)));
    assert!(tellers.takes("z", 2, 52, at(1_901)));
    assert!(!tellers.takes("z", 1, 12, at(2_000)));
}

#[test]
fn counts_of_a_zone_are_the_largest_that_were_told() {
    let counts = |calls| Counts::from([("anna".into(), calls)]);
    let mut book = UsageBook::default();
    book.merge(7, 3, &counts(5));
    book.merge_zone("z", 3, &counts(40));
    // Another node of the zone has not heard of all calls.
    book.merge_zone("z", 3, &counts(30));
    book.merge_zone("y", 3, &counts(2));
    assert_eq!(book.total(3), counts(47));
    // What is told of the own zone does not hold other zones' counts.
    assert_eq!(book.of_processes(3)[&3], counts(5));
    book.forget_before(100);
    assert!(book.total(3).is_empty());
}

#[test]
fn the_nodes_that_carry_most_and_are_not_silent_speak_for_a_zone() {
    let mut members = Members::default();
    for (at_ms, (name, cpu_millis)) in [("a", 120), ("b", 500), ("c", 500)].into_iter().enumerate()
    {
        let address = "10.0.0.1:1".parse().unwrap();
        let member = Member {
            name: name.into(),
            region: "r".into(),
            zone: "z".into(),
            callers: address,
            peers: address,
            control: address,
            incarnation: at_ms as u64 + 1,
            is_ready: true,
            capacity: Capacity {
                cpu_millis,
                link_mbps: 20,
            },
        };
        members.put(member, at(0));
    }
    let ablest = |members: &Members, now| {
        let found = members.ablest("z", "x", 2, at(now), at(1500));
        found.iter().map(|m| m.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(ablest(&members, 0), ["b", "c"]);
    members.heard_by_other(1, true, at(2000));
    members.heard_by_other(3, true, at(2000));
    assert_eq!(ablest(&members, 2000), ["c", "a"]);
    // Where all are silent, as those of a zone that is cut off, all are asked.
    assert_eq!(ablest(&members, 9000), ["b", "c"]);
}

/// Starts nodes in three zones, one of them in another region: more than tell each other all.
async fn large_fleet(rig: &Rig) -> Vec<Node> {
    let mut nodes = Vec::new();
    for at in 0..27 {
        let zone = format!("z{}", at % 3 + 1);
        nodes.push(rig.node_in(&format!("n{at:02}"), &zone).await);
    }
    for node in &nodes {
        rig.ready(node).await;
    }
    nodes
}

#[tokio::test]
async fn nodes_of_all_zones_learn_what_one_node_saw_and_count_all_calls() {
    let rig = Rig::new();
    rig.put("op/config", config(1)).await;
    let backend = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    rig.list("b0", "plain", &backend, "ready").await;
    let nodes = large_fleet(&rig).await;
    tokio::time::sleep(Duration::from_millis(3000)).await;
    let mut sent = 0;
    for round in 0..4 {
        for (at, node) in nodes.iter().enumerate() {
            let attempt = format!("a{round}-{at}");
            let res = rig.call(node, "/once/x", &attempt).send().await.unwrap();
            assert_eq!(res.status(), 200);
            sent += 1;
        }
    }
    backend.set(Behaviour::Leave);
    let res = rig.call(&nodes[0], "/once/x", "last").send().await.unwrap();
    assert_eq!(res.status(), 200);
    sent += 1;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    for node in &nodes {
        let res = rig.call(node, "/once/x", "too-late").send().await.unwrap();
        assert_eq!(res.status(), 503, "{}", node.settings.name);
    }
    tokio::time::sleep(Duration::from_millis(5000)).await;
    let usage = rig.duties.usage.lock().clone();
    let counted: u32 = usage
        .iter()
        .flat_map(|(_, _, counts)| counts.values())
        .sum();
    assert_eq!(counted, sent);
}
