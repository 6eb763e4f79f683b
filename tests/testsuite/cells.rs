//! Assignment of homes, replicas and ledger shards by rendezvous hashing.

use std::collections::BTreeMap;

use jayhall::core::cells::{Homes, home_of, replica_candidates, replica_of, shard_owner, weight};
use jayhall::core::fleet::{Backend, BackendKind, FleetView, Market};
use jayhall::core::id::NodeId;
use jayhall::core::membership::{Member, MemberState, MemberView};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use smallvec::smallvec;

const ADDRESS: ([u8; 4], u16) = ([10, 0, 0, 1], 7000);

fn member(at: usize, region: usize, zone: usize, state: MemberState) -> Member {
    Member {
        node: format!("n{at:05}").into(),
        vm: format!("vm-{at}").into(),
        region: format!("r{region}").into(),
        zone: format!("r{region}-z{zone}").into(),
        peer_address: ADDRESS.into(),
        caller_address: ADDRESS.into(),
        operator_address: ADDRESS.into(),
        state,
        incarnation: 1,
    }
}

fn engine(at: usize, region: usize, zone: usize) -> Backend {
    Backend {
        vm: format!("engine-{at}").into(),
        kind: BackendKind::Engine,
        region: format!("r{region}").into(),
        zone: format!("r{region}-z{zone}").into(),
        class: "small".into(),
        market: Market::Reclaimable,
        address: ADDRESS.into(),
        serves: smallvec!["chat".into()],
        reclaim_at: None,
        is_leaving: false,
    }
}

/// Returns a fleet of the design size: 1,100 nodes and 5,400 engines in 16 zones of 6 regions.
fn large_fleet() -> (MemberView, FleetView) {
    let location = |at: usize| match at % 16 {
        zone @ 0..12 => (zone / 3, zone % 3),
        zone => (4 + (zone - 12) / 2, zone % 2),
    };
    let members = (0..1100).map(|at| {
        let (region, zone) = location(at);
        member(at, region, zone, MemberState::Alive)
    });
    let backends = (0..5400).map(|at| {
        let (region, zone) = location(at);
        engine(at, region, zone)
    });
    let view = MemberView {
        members: members.collect(),
    };
    let fleet = FleetView {
        revision: 1,
        backends: backends.collect(),
    };
    (view, fleet)
}

fn states() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        4 => Just(MemberState::Alive),
        1 => Just(MemberState::Suspect),
        1 => Just(MemberState::Leaving),
    ]
}

fn views() -> impl Strategy<Value = MemberView> {
    let one = (0..2_usize, 0..3_usize, states());
    prop::collection::vec(one, 1..24).prop_map(|members| {
        let numbered = members.into_iter().enumerate();
        MemberView {
            members: numbered
                .map(|(at, (region, zone, state))| member(at, region, zone, state))
                .collect(),
        }
    })
}

fn config(seed: u64) -> Config {
    Config {
        cases: 300,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns the eligible member with the largest weight, by a linear scan.
fn brute_force_owner(
    job: &str,
    view: &MemberView,
    is_eligible: impl Fn(&Member) -> bool,
) -> Option<NodeId> {
    let mut best: Option<&Member> = None;
    for member in &view.members {
        let accepts_work = matches!(member.state, MemberState::Alive | MemberState::Suspect);
        let is_better = best.is_none_or(|b| weight(job, &member.node) > weight(job, &b.node));
        if accepts_work && is_eligible(member) && is_better {
            best = Some(member);
        }
    }
    best.map(|member| member.node.clone())
}

proptest! {
    #![proptest_config(config(51))]

    #[test]
    fn homes_are_in_the_zone_or_else_in_the_region(
        view in views(),
        region in 0..2_usize,
        zone in 0..3_usize,
        at in 0..1000_usize,
    ) {
        let engine = engine(at, region, zone);
        let job = format!("engine/{}", engine.vm);
        let in_region = |m: &Member| m.region == engine.region;
        let in_zone = |m: &Member| in_region(m) && m.zone == engine.zone;
        let expected = brute_force_owner(&job, &view, in_zone).or_else(|| brute_force_owner(&job, &view, in_region));
        prop_assert_eq!(&home_of(&engine, &view), &expected);
        let fleet = FleetView { revision: 1, backends: vec![engine.clone()] };
        let homes = Homes::of(&fleet, &view, None);
        prop_assert_eq!(homes.get(&engine.vm), expected.as_ref());
        let elsewhere = Homes::of(&fleet, &view, Some("r9"));
        prop_assert!(elsewhere.is_empty());
    }

    #[test]
    fn replicas_are_in_another_zone_if_there_is_one(
        view in views(),
        serving in 0..24_usize,
        request in "[a-z0-9]{8}",
    ) {
        let serving = &view.members[serving % view.members.len()];
        let others: Vec<_> = view
            .accepting_work_in_region(&serving.region)
            .filter(|m| m.node != serving.node)
            .collect();
        let replica = replica_of(&request, &serving.node, &view);
        prop_assert_eq!(replica.is_some(), !others.is_empty());
        let Some(replica) = replica else { return Ok(()) };
        let member = view.get(&replica).unwrap();
        prop_assert!(member.accepts_work());
        prop_assert_ne!(&member.node, &serving.node);
        prop_assert_eq!(&member.region, &serving.region);
        if others.iter().any(|m| m.zone != serving.zone) {
            prop_assert_ne!(&member.zone, &serving.zone);
        }
        let candidates = replica_candidates(&request, &serving.node, &view);
        prop_assert_eq!(candidates.first(), Some(&replica));
        prop_assert_eq!(candidates.len(), others.len());
    }

    #[test]
    fn a_leaving_member_moves_only_its_own_jobs(
        view in views(),
        removed in 0..24_usize,
    ) {
        let removed = view.members[removed % view.members.len()].clone();
        let mut after = view.clone();
        after.members.retain(|m| m.node != removed.node);
        for shard in 0..64 {
            let before = shard_owner(shard, Some("r0"), &view);
            if before.as_ref() != Some(&removed.node) {
                // If the store's region has lost its last member, members of other regions own the shards.
                prop_assert_eq!(shard_owner(shard, Some("r0"), &after), before);
            }
        }
        for at in 0..64 {
            let engine = engine(at, at % 2, at / 2 % 3);
            let before = home_of(&engine, &view);
            if before.as_ref() != Some(&removed.node) {
                prop_assert_eq!(home_of(&engine, &after), before);
            }
        }
    }
}

#[test]
fn a_request_and_its_replica_are_in_different_zones() {
    let (view, _) = large_fleet();
    for at in 0..20_000 {
        let request = format!("request-{at}");
        let serving = &view.members[at % view.members.len()];
        let replica = replica_of(&request, &serving.node, &view).unwrap();
        assert_ne!(view.get(&replica).unwrap().zone, serving.zone);
    }
}

#[test]
fn jobs_are_balanced_over_a_large_fleet() {
    let (view, fleet) = large_fleet();
    let mut engines: BTreeMap<&NodeId, usize> = BTreeMap::new();
    let homes = Homes::of(&fleet, &view, None);
    assert_eq!(homes.len(), 5400);
    for (_, home) in homes.iter() {
        *engines.entry(home).or_default() += 1;
    }
    let max_count = engines.values().max().copied().unwrap_or(0) as f64;
    let mean = 5400.0 / 1100.0;
    println!("engines per home: mean {mean:.2}, most {max_count}");
    assert!(max_count <= 3.5 * mean);

    let mut replicas: BTreeMap<NodeId, usize> = BTreeMap::new();
    let requests = 55_000;
    for at in 0..requests {
        let serving = &view.members[at % view.members.len()];
        let names = view.accepting_work_in_region(&serving.region);
        let names = names.filter(|m| m.zone != serving.zone).map(|m| &*m.node);
        let replica = jayhall::core::cells::owner(&format!("request-{at}"), names).unwrap();
        *replicas.entry(replica.into()).or_default() += 1;
    }
    let max_count = replicas.values().max().copied().unwrap_or(0) as f64;
    let mean = requests as f64 / 1100.0;
    println!("copies per node: mean {mean:.1}, most {max_count}");
    assert!(max_count <= 1.7 * mean);
}
