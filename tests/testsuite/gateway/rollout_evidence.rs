//! The bound on a new version's calls, and the test that finds bad versions, without a network. A rollout fails if many
//! nodes together send the new version more than the bound, if a bad version is found late, or if chance, or trouble that
//! all versions share, takes a good version for a bad one.

use std::time::Duration;

use jayhall::core::gateway::observed::Observer;
use jayhall::core::gateway::origin::Origin;
use jayhall::core::gateway::rollout::evidence::{
    CountsByRoute, Evidence, Group, RouteId, time_bucket,
};
use jayhall::core::gateway::rollout::exposure::{Credit, Exposure, ExposureBound};
use jayhall::core::gateway::rollout::verdict::{Judge, LoadLevel, Verdict};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Bound of the deployments.
const BOUND: ExposureBound = ExposureBound {
    max_part: 0.1,
    slack: 50.0,
};
const NODES: usize = 61;
/// Answers after which a bad version must be found.
const BAD_ANSWERS_BOUND: u32 = 50;

/// Sends calls through 61 nodes that exchange nothing. Returns all calls and those to the new version.
fn play_exposure(seed: u64, credit: Credit, calls: u64, restarts: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Exposure> = (0..NODES)
        .map(|_| Exposure::new(BOUND, NODES, rng.random()))
        .collect();
    let mut exposed = 0.0;
    for call in 0..calls {
        // A few nodes get most of the calls.
        let skew: f64 = rng.random();
        let at = (skew.powi(3) * NODES as f64) as usize;
        if restarts > 0 && call % (calls / restarts) == 0 {
            nodes[rng.random_range(0..NODES)] = Exposure::new(BOUND, NODES, rng.random());
        }
        let is_exposed = nodes[at].has_credit(credit);
        nodes[at].record(is_exposed);
        exposed += f64::from(u8::from(is_exposed));
    }
    (calls as f64, exposed)
}

#[test]
fn nodes_that_exchange_nothing_keep_the_bound_together() {
    for seed in 0..50 {
        for (calls, restarts) in [(6000, 0), (6000, 10), (6000, 200), (400, 0), (400, 100)] {
            let (calls, exposed) = play_exposure(seed, Credit::Full, calls, restarts);
            let bound = BOUND.max_part * calls + BOUND.slack;
            assert!(exposed <= bound, "seed {seed}: {exposed} of {calls}");
        }
    }
}

#[test]
fn canary_calls_use_their_part_and_leave_the_rest_to_the_promotion() {
    for seed in 0..50 {
        let (calls, exposed) = play_exposure(seed, Credit::Canary, 6000, 0);
        let part = exposed / (BOUND.canary_part() * calls);
        assert!((0.7..1.2).contains(&part), "{seed}: {part}");
    }
}

#[test]
fn a_process_that_starts_has_no_credit() {
    for draw in [0.0, 0.5, 0.999] {
        let exposure = Exposure::new(BOUND, NODES, draw);
        assert!(!exposure.has_credit(Credit::Full));
    }
}

#[test]
fn credit_is_not_rounded_where_the_slack_does_not_cover_it() {
    let without_slack = ExposureBound {
        slack: 0.0,
        ..BOUND
    };
    let mut exposure = Exposure::new(without_slack, NODES, 0.999);
    for _ in 0..11 {
        exposure.record(false);
        assert!(!exposure.has_credit(Credit::Full));
    }
    exposure.record(false);
    assert!(exposure.has_credit(Credit::Full));
}

/// Rates of a version's answers.
#[derive(Clone, Copy)]
struct Version {
    failing: f64,
    slow: f64,
}

const GOOD: Version = Version {
    failing: 0.0,
    slow: 0.0,
};

/// Calls of a service during a rollout.
struct Play {
    rng: ChaCha8Rng,
    evidence: Evidence,
    judge: Judge,
    /// Answers that were failures or slow.
    bad: u32,
}

impl Play {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            evidence: Evidence::default(),
            judge: Judge::default(),
            bad: 0,
        }
    }

    fn answer(&mut self, route: RouteId, group: Group, version: Version) {
        let nominal = Duration::from_millis(100);
        let is_slow = self.rng.random_bool(version.slow);
        let factor = if is_slow { 5.0 } else { 1.0 };
        let took = nominal.mul_f64(factor * self.rng.random_range(0.6..1.6));
        let is_failure = self.rng.random_bool(version.failing);
        self.evidence
            .record_answer(route, group, time_bucket(took, nominal));
        if is_failure {
            self.evidence.record_failure(route, group);
        }
        self.bad += u32::from(group == Group::New && (is_slow || is_failure));
    }

    /// Plays 200 ms with 60 calls on three routes, `new_part` of which go to the new version.
    fn step(&mut self, new_part: f64, old: Version, new: impl Fn(RouteId) -> Version) -> Verdict {
        for call in 0..60 {
            let route = call % 3;
            match self.rng.random_bool(new_part) {
                true => self.answer(route, Group::New, new(route)),
                false => self.answer(route, Group::Old, old),
            }
        }
        let load = match new_part > 0.5 {
            true => LoadLevel::Full,
            false => LoadLevel::Canary,
        };
        self.judge.update(self.evidence.fleet(), load)
    }
}

const CANARY_PART: f64 = 0.04;

#[test]
fn a_good_version_is_found_good() {
    for seed in 0..200 {
        let mut play = Play::new(seed);
        // Chance may cast doubt for a moment; the holder promotes and switches at any time of these windows.
        let (mut may_promote, mut may_switch) = (false, false);
        for step in 0..77 {
            // Both versions now and then fail and are slow; the last 1.4 s are played under full load.
            let usual = Version {
                failing: 0.005,
                slow: 0.02,
            };
            let part = if step < 70 { CANARY_PART } else { 1.0 };
            let verdict = play.step(part, usual, |_| usual);
            assert_ne!(verdict, Verdict::Bad, "seed {seed}, step {step}");
            let is_good = verdict == Verdict::Good;
            may_promote |= is_good && (60..70).contains(&step);
            may_switch |= is_good && step >= 70;
        }
        assert!(may_promote && may_switch, "seed {seed}");
    }
}

#[test]
fn trouble_that_both_versions_have_is_no_evidence() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        let troubled = Version {
            failing: 0.3,
            slow: 0.2,
        };
        for step in 0..75 {
            let verdict = play.step(CANARY_PART, troubled, |_| troubled);
            assert_ne!(verdict, Verdict::Bad, "seed {seed}, step {step}");
        }
    }
}

/// Plays a version that is bad from a step on, and checks that it is found in time.
fn assert_found(name: &str, from: usize, new: impl Fn(RouteId) -> Version) {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        for step in 0.. {
            let is_bad = step >= from;
            let verdict = play.step(CANARY_PART, GOOD, |route| match is_bad {
                true => new(route),
                false => GOOD,
            });
            assert!(play.bad < BAD_ANSWERS_BOUND, "{name}, seed {seed}");
            assert!(is_bad || verdict != Verdict::Bad, "{name}, seed {seed}");
            if verdict == Verdict::Bad {
                break;
            }
        }
    }
}

#[test]
fn a_bad_version_is_found_before_its_50th_bad_answer() {
    let failing = Version {
        failing: 0.3,
        slow: 0.0,
    };
    let slow = Version {
        failing: 0.0,
        slow: 0.5,
    };
    assert_found("fails at once", 0, |_| failing);
    assert_found("fails later", 40, |_| failing);
    assert_found("slow at once", 0, |_| slow);
    assert_found("slow later", 40, |_| slow);
    assert_found("fails on one route", 0, |route| match route {
        2 => failing,
        _ => GOOD,
    });
}

#[test]
fn a_version_that_is_bad_under_load_is_found_within_a_second_of_full_load() {
    for seed in 0..50 {
        let mut play = Play::new(seed);
        for _ in 0..50 {
            play.step(CANARY_PART, GOOD, |_| GOOD);
        }
        let bad = Version {
            failing: 0.3,
            slow: 0.0,
        };
        let found = (0..5).any(|_| play.step(1.0, GOOD, |_| bad) == Verdict::Bad);
        assert!(found, "seed {seed}");
    }
}

#[test]
fn a_handful_of_failures_is_not_enough() {
    let mut play = Play::new(1);
    for _ in 0..10 {
        play.step(CANARY_PART, GOOD, |_| GOOD);
    }
    for _ in 0..4 {
        play.answer(
            0,
            Group::New,
            Version {
                failing: 1.0,
                ..GOOD
            },
        );
    }
    assert_ne!(play.step(0.0, GOOD, |_| GOOD), Verdict::Bad);
}

/// The counts of a node that has had this many answers of the new version.
fn counts(answers: u32) -> CountsByRoute {
    let mut evidence = Evidence::default();
    for _ in 0..answers {
        evidence.record_answer(7, Group::New, 8);
    }
    evidence.to_report(Observer::Node).into_iter().collect()
}

#[test]
fn reports_that_are_lost_repeated_or_begin_anew_count_no_answer_twice() {
    let mut evidence = Evidence::default();
    let node = Origin::from("n2");
    let zone = Origin::Zone("z2".into());
    for answers in [3, 3, 10, 2, 4] {
        evidence.apply_report(&node, Observer::Zone, counts(answers));
    }
    evidence.apply_report(&zone, Observer::Fleet, counts(50));
    let new = |counts: &CountsByRoute| counts[&7].new.answers;
    // The node started anew after 10 answers; two of the later ones arrived with its first report.
    assert_eq!(new(evidence.fleet()), 12 + 50);
    let of_zone: CountsByRoute = evidence.to_report(Observer::Zone).into_iter().collect();
    assert_eq!(new(&of_zone), 12);
    assert!(evidence.to_report(Observer::Node).is_empty());
}
