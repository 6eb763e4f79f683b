//! Spread of reported values: receivers, rate and bandwidth.

use std::time::Duration;

use jayhall::core::membership::{
    BackendNotice, CustomerUse, DocumentRevision, Event, HomeLoad, Message, region_sum_name, tuning,
};

use jayhall_harness::net::Net;

const SECOND: Duration = Duration::from_secs(1);
const ZONES: [(&str, &str); 3] = [
    ("addis", "addis-1"),
    ("addis", "addis-2"),
    ("hawassa", "hawassa-1"),
];

fn settled(seed: u64, count: usize) -> Net {
    let mut net = Net::with_nodes(seed, count, &ZONES);
    assert!(
        net.run_until(30 * SECOND, |net| net.is_settled(count))
            .is_some()
    );
    net.run(10 * SECOND);
    net
}

fn load(running: u32) -> Event {
    Event::LoadReported(HomeLoad {
        model: "chat".into(),
        running,
        ..HomeLoad::default()
    })
}

fn usage(tokens: u64) -> Event {
    Event::UseReported(CustomerUse {
        customer: "bekele".into(),
        tokens,
        in_flight: 1,
        ..CustomerUse::default()
    })
}

#[test]
fn loads_reach_only_the_own_region() {
    let mut net = settled(21, 12);
    net.event(0, load(7));
    net.run(5 * SECOND);
    let node = net.name(0);
    for at in 0..12 {
        let reports = net.nodes[at].machine.reports();
        let running = reports.load(&node, &"chat".into()).map(|load| load.running);
        let is_near = at % 3 < 2;
        assert_eq!(running, is_near.then_some(7), "node {at}");
    }
}

#[test]
fn the_latest_of_many_loads_is_sent_at_a_bounded_rate() {
    let mut net = settled(22, 12);
    for running in 0..50 {
        net.event(0, load(running));
        net.run(SECOND / 10);
    }
    net.run(5 * SECOND);
    let node = net.name(0);
    let reports = net.nodes[3].machine.reports();
    let load = reports.load(&node, &"chat".into()).unwrap();
    assert_eq!(load.running, 49);
    assert!(load.sequence <= 6, "{} reports in 5 s", load.sequence);
}

#[test]
fn other_regions_receive_only_the_sum_of_a_regions_use() {
    let mut net = settled(23, 12);
    for at in 0..12 {
        net.event(at, usage(100));
    }
    net.run(20 * SECOND);
    for at in 0..12 {
        let reports = net.nodes[at].machine.reports();
        let same_region = if at % 3 < 2 { 8 } else { 4 };
        assert_eq!(
            reports.uses().filter(|usage| !usage.is_sum()).count(),
            same_region
        );
        let sum = |region| {
            reports
                .usage(&region_sum_name(region), &"bekele".into())
                .cloned()
        };
        assert_eq!(sum("addis").map(|sum| sum.tokens), Some(800), "node {at}");
        assert_eq!(sum("hawassa").map(|sum| sum.tokens), Some(400), "node {at}");
    }
}

#[test]
fn a_notice_is_known_in_the_region_within_two_seconds() {
    let mut net = settled(24, 96);
    net.event(
        0,
        Event::NoticeReported(BackendNotice {
            vm: "engine-1".into(),
            reclaim_at: 1,
        }),
    );
    let elapsed = net.run_until(2 * SECOND, |net| {
        let same_region = (0..96).filter(|at| at % 3 < 2);
        let mut known =
            same_region.map(|at| net.nodes[at].machine.reports().notice(&"engine-1".into()));
        known.all(|notice| notice.is_some())
    });
    assert!(elapsed.is_some());
}

#[test]
fn a_new_revision_reaches_every_node_within_two_seconds() {
    let mut net = settled(25, 96);
    let revision = |revision| {
        let document = "config".into();
        Event::DocumentsChanged(
            [DocumentRevision { document, revision }]
                .into_iter()
                .collect(),
        )
    };
    net.event(0, revision(5));
    let start = net.now;
    while net.now < start + 2 * SECOND {
        net.run(SECOND / 20);
        for at in 1..96 {
            // Nodes that have learned of the revision fetch the document.
            if net.nodes[at].heard.iter().any(|(_, heard)| *heard == 5) {
                net.nodes[at].heard.clear();
                net.event(at, revision(5));
            }
        }
    }
    let has_revision = |at: &usize| {
        net.nodes[*at]
            .machine
            .documents()
            .iter()
            .any(|d| d.revision == 5)
    };
    assert_eq!((0..96).filter(has_revision).count(), 96);
}

#[test]
fn the_reports_of_a_dead_node_are_removed() {
    let mut net = settled(26, 8);
    net.event(4, load(3));
    net.run(5 * SECOND);
    let node = net.name(4);
    assert!(
        net.nodes[0]
            .machine
            .reports()
            .load(&node, &"chat".into())
            .is_some()
    );
    net.nodes[4].is_up = false;
    net.run(20 * SECOND);
    assert!(
        net.nodes[0]
            .machine
            .reports()
            .load(&node, &"chat".into())
            .is_none()
    );
}

#[test]
fn loads_of_unknown_nodes_are_ignored() {
    let mut net = settled(27, 4);
    let load = HomeLoad {
        node: "nobody".into(),
        model: "chat".into(),
        sequence: 1,
        ..HomeLoad::default()
    };
    let message = Message {
        from: net.name(1),
        loads: vec![load],
        ..Message::default()
    };
    net.tell(0, message);
    assert_eq!(net.nodes[0].machine.reports().loads().count(), 0);
}

#[test]
fn message_size_and_bytes_per_second_stay_within_their_limits() {
    let mut net = settled(28, 64);
    for node in &mut net.nodes {
        (node.sent, node.messages, node.largest) = (0, 0, 0);
    }
    for second in 0..120 {
        for at in 0..64 {
            net.event(at, load(second));
            net.event(at, usage(u64::from(second) * 10));
        }
        net.run(SECOND);
    }
    for node in &net.nodes {
        assert!(node.largest <= tuning::MAX_MESSAGE_BYTES);
        let max_bytes = tuning::BUDGET_BURST_BYTES
            + 120 * (tuning::BUDGET_BYTES_PER_SECOND + tuning::URGENT_RESERVE_BYTES);
        assert!(node.sent <= max_bytes, "{} bytes in 120 s", node.sent);
    }
}
