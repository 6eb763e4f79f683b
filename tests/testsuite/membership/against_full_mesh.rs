//! Comparison of membership with a reference model in which every node probes every other node each
//! second.

use std::collections::BTreeMap;
use std::time::Duration;

use jayhall::core::membership::{Event, MemberState};
use jayhall::core::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

use jayhall_harness::net::Net;

const SECOND: Duration = Duration::from_secs(1);
const ZONES: [(&str, &str); 3] = [
    ("addis", "addis-1"),
    ("addis", "addis-2"),
    ("hawassa", "hawassa-1"),
];
/// Time without an answer after which the reference model considers a member dead.
const REFERENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which membership has to agree with the reference model after the last step.
const CONVERGENCE_TIME: Duration = Duration::from_secs(90);

/// The reference model: when each member last answered each observer.
#[derive(Default)]
struct FullMesh {
    answered: BTreeMap<(usize, usize), Moment>,
}

impl FullMesh {
    fn probe_all(&mut self, net: &Net) {
        for observer in 0..net.nodes.len() {
            for member in 0..net.nodes.len() {
                if net.nodes[observer].is_up
                    && net.nodes[member].is_up
                    && !net.is_cut(observer, member)
                {
                    self.answered.insert((observer, member), net.now);
                }
            }
        }
    }

    fn sees(&self, net: &Net, observer: usize, member: usize) -> bool {
        let answered = self.answered.get(&(observer, member));
        answered.is_some_and(|answered| *answered + REFERENCE_TIMEOUT > net.now)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Crash(usize),
    Freeze(usize),
    Thaw,
    Leave(usize),
    Join(usize),
    Restart(usize),
    Partition,
    Heal,
}

fn steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    let step = prop_oneof![
        2 => (3..8_usize).prop_map(Step::Crash),
        1 => (3..8_usize).prop_map(Step::Freeze),
        1 => Just(Step::Thaw),
        2 => (0..8_usize).prop_map(Step::Leave),
        2 => (0..3_usize).prop_map(Step::Join),
        2 => (3..8_usize).prop_map(Step::Restart),
        1 => Just(Step::Partition),
        1 => Just(Step::Heal),
    ];
    prop::collection::vec((step, 0..20_u64), 1..7)
}

/// Applies a step of a script. `frozen` holds the nodes that are paused until [`Step::Thaw`].
fn apply(net: &mut Net, step: &Step, frozen: &mut Vec<usize>) {
    match *step {
        Step::Crash(member) => net.nodes[member].is_up = false,
        Step::Freeze(member) if net.nodes[member].is_up => {
            net.nodes[member].is_up = false;
            frozen.push(member);
        }
        Step::Freeze(_) => {}
        Step::Thaw => {
            for member in frozen.drain(..) {
                net.nodes[member].is_up = true;
            }
        }
        Step::Leave(member) if net.nodes[member].is_up => net.event(member, Event::Leave),
        Step::Leave(_) => {}
        Step::Join(zone) => {
            net.add(ZONES[zone].0, ZONES[zone].1);
        }
        Step::Restart(member) if net.nodes[member].is_up => {
            net.restart(member);
        }
        Step::Restart(_) => {}
        Step::Partition => net.cut = Some(("addis", "hawassa")),
        Step::Heal => net.cut = None,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 48,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(71),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn after_any_script_views_equal_those_of_a_full_mesh(steps in steps(), seed in 0..1000_u64) {
        let mut net = Net::with_nodes(seed, 8, &ZONES);
        prop_assert!(net.run_until(30 * SECOND, |net| net.is_settled(8)).is_some());
        net.loss = 0.01;
        let mut frozen = Vec::new();
        for (step, wait) in &steps {
            apply(&mut net, step, &mut frozen);
            net.run(SECOND * u32::try_from(*wait).unwrap());
        }
        apply(&mut net, &Step::Heal, &mut frozen);
        apply(&mut net, &Step::Thaw, &mut frozen);
        let mut reference = FullMesh::default();
        for _ in 0..CONVERGENCE_TIME.as_secs() {
            net.run(SECOND);
            reference.probe_all(&net);
        }
        for observer in (0..net.nodes.len()).filter(|observer| net.nodes[*observer].is_up) {
            for member in 0..net.nodes.len() {
                let state = net.seen(observer, member);
                prop_assert_eq!(state.is_some(), reference.sees(&net, observer, member), "{} sees {}", observer, member);
                let is_leaving = net.nodes[member].machine.this_node().state == MemberState::Leaving;
                let sees_leaving = state == Some(MemberState::Leaving);
                prop_assert_eq!(sees_leaving, is_leaving && state.is_some());
            }
        }
    }
}
