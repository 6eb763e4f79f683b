//! Joins, crashes, refutations, leaving members and network partitions.

use std::time::Duration;

use jayhall::core::membership::{Event, MemberRecord, MemberState, Message};

use jayhall_harness::net::{Net, change};

const ZONES: [(&str, &str); 3] = [
    ("addis", "addis-1"),
    ("addis", "addis-2"),
    ("hawassa", "hawassa-1"),
];
const SECOND: Duration = Duration::from_secs(1);

fn settled(seed: u64, count: usize) -> Net {
    let mut net = Net::with_nodes(seed, count, &ZONES);
    let elapsed = net.run_until(30 * SECOND, |net| net.is_settled(count));
    assert!(
        elapsed.is_some(),
        "{count} nodes do not discover each other"
    );
    net
}

#[test]
fn nodes_discover_each_other_and_accept_a_new_node() {
    let mut net = settled(1, 8);
    net.add("hawassa", "hawassa-1");
    let elapsed = net.run_until(5 * SECOND, |net| net.is_settled(9));
    assert!(elapsed.is_some());
}

#[test]
fn a_crash_is_detected_by_all_within_fifteen_seconds() {
    for seed in 0..10 {
        let mut net = settled(seed, 8);
        net.nodes[4].is_up = false;
        let elapsed = net.run_until(15 * SECOND, |net| net.is_settled(7));
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn no_member_is_declared_dead_at_five_percent_loss() {
    let mut net = settled(3, 32);
    net.loss = 0.05;
    net.run(600 * SECOND);
    assert!(net.false_deaths.is_empty(), "{:?}", net.false_deaths);
}

#[test]
fn a_suspicion_is_refuted_by_a_higher_incarnation() {
    let mut net = settled(4, 8);
    let name = net.name(5);
    let suspicion = MemberRecord::Change(change(&name, MemberState::Suspect, 1));
    net.tell(
        0,
        Message {
            from: net.name(1),
            members: vec![suspicion],
            ..Message::default()
        },
    );
    assert_eq!(net.seen(0, 5), Some(MemberState::Suspect));
    net.run(10 * SECOND);
    assert_eq!(net.seen(0, 5), Some(MemberState::Alive));
    assert!(net.nodes[5].machine.this_node().incarnation > 1);
    assert!(net.false_deaths.is_empty());
}

#[test]
fn others_cannot_raise_an_incarnation_by_a_suspicion() {
    let mut net = settled(5, 8);
    let name = net.name(5);
    let suspicion = MemberRecord::Change(change(&name, MemberState::Suspect, 900));
    net.tell(
        0,
        Message {
            from: net.name(1),
            members: vec![suspicion],
            ..Message::default()
        },
    );
    let table = net.nodes[0].machine.table();
    assert_eq!(table.get(&name).unwrap().incarnation, 1);
}

#[test]
fn leaving_is_known_everywhere_within_two_seconds() {
    for (seed, count) in [(6, 8), (7, 64), (8, 256)] {
        let mut net = settled(seed, count);
        net.event(2, Event::Leave);
        let elapsed = net.run_until(2 * SECOND, |net| {
            (0..count).all(|by| net.seen(by, 2) == Some(MemberState::Leaving))
        });
        assert!(elapsed.is_some(), "{count} nodes");
    }
}

#[test]
fn a_dead_member_is_not_revived_by_an_old_record() {
    let mut net = settled(9, 8);
    net.nodes[4].is_up = false;
    let record = net.nodes[4].machine.this_node().clone();
    net.run(20 * SECOND);
    assert!(net.is_settled(7));
    net.tell(
        0,
        Message {
            from: net.name(1),
            members: vec![MemberRecord::Full(record)],
            ..Message::default()
        },
    );
    assert_eq!(net.seen(0, 4), None);
    net.run(20 * SECOND);
    assert!(net.is_settled(7));
}

#[test]
fn a_partition_between_regions_heals() {
    for count in [8, 32] {
        let mut net = settled(10, count);
        net.cut = Some(("addis", "hawassa"));
        let remote_nodes = count / 3;
        let elapsed = net.run_until(90 * SECOND, |net| {
            net.nodes[0].machine.table().len() == count - remote_nodes
        });
        assert!(
            elapsed.is_some(),
            "{count} nodes: the partition is not detected"
        );
        net.run(30 * SECOND);
        net.cut = None;
        let elapsed = net.run_until(60 * SECOND, |net| net.is_settled(count));
        assert!(
            elapsed.is_some(),
            "{count} nodes: the partition does not heal"
        );
    }
}

#[test]
fn a_healed_partition_causes_no_deaths_within_a_region() {
    let mut net = settled(11, 32);
    net.cut = Some(("addis", "hawassa"));
    net.run(120 * SECOND);
    net.cut = None;
    net.false_deaths.clear();
    // Members of the other region stay dead until they refute it, so only deaths within a region
    // are checked.
    let elapsed = net.run_until(60 * SECOND, |net| {
        for by in 0..32 {
            for at in 0..32 {
                let is_same_region = by % 3 / 2 == at % 3 / 2;
                assert!(
                    !is_same_region || net.seen(by, at).is_some(),
                    "{by} lost {at}"
                );
            }
        }
        net.is_settled(32)
    });
    assert!(elapsed.is_some());
}

#[test]
fn a_paused_process_rejoins_with_a_higher_incarnation() {
    let mut net = settled(12, 8);
    net.nodes[4].is_up = false;
    net.run(30 * SECOND);
    assert!(net.is_settled(7));
    net.nodes[4].is_up = true;
    let elapsed = net.run_until(60 * SECOND, |net| net.is_settled(8));
    assert!(elapsed.is_some());
    assert!(net.nodes[4].machine.this_node().incarnation > 1);
}

#[test]
fn a_restarted_process_is_a_new_member_at_the_old_address() {
    let mut net = settled(13, 8);
    let at = net.restart(4);
    let elapsed = net.run_until(30 * SECOND, |net| net.is_settled(8));
    assert!(elapsed.is_some());
    assert_eq!(net.seen(0, at), Some(MemberState::Alive));
    assert_eq!(net.seen(0, 4), None);
}

#[test]
fn a_wave_of_leaving_members_is_known_everywhere_within_two_seconds() {
    const WAVE: usize = 60;
    let names: Vec<_> = (0..4).map(|region| format!("r{region}")).collect();
    let zones: Vec<_> = names.iter().map(|name| (&**name, &**name)).collect();
    for seed in 0..3 {
        let mut net = Net::with_nodes(seed, 128, &zones);
        net.introduce_all();
        net.run(20 * SECOND);
        (0..WAVE).for_each(|at| net.event(at, Event::Leave));
        let elapsed = net.run_until(2 * SECOND, |net| {
            let is_leaving = |by, at| net.seen(by, at) == Some(MemberState::Leaving);
            (0..128).all(|by| (0..WAVE).all(|at| is_leaving(by, at)))
        });
        assert!(elapsed.is_some(), "seed {seed}");
    }
}
