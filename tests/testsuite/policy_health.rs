//! Tests of outlier detection: ejection, probes and readmission of engines.

use std::time::Duration;

use jayhall::core::routing::{
    Availability, HealthChange, HealthRules, Observation, OutlierDetector,
};
use jayhall::core::time::Moment;
use rand::SeedableRng;
use rand::rngs::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);

fn health(engines: usize) -> OutlierDetector {
    let names: Vec<Box<str>> = (0..engines).map(|n| format!("e{n}").into()).collect();
    let mut detector = OutlierDetector::new(HealthRules::default());
    detector.set_engines(&names, Moment::ZERO);
    detector
}

#[test]
fn a_silent_engine_is_ejected_and_readmitted_after_a_successful_probe() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut detector = health(4);
    let change = detector.observe("e1", Observation::Silent, Moment::ZERO, &mut rng);
    let Some(HealthChange::Ejected { until }) = change else {
        panic!("expected an ejection, got {change:?}");
    };
    assert!(until >= 2 * SECOND && until <= 3 * SECOND);
    assert_eq!(
        detector.availability("e1", SECOND),
        Availability::Ejected { until }
    );
    assert_eq!(detector.availability("e1", until), Availability::Probe);
    assert!(detector.start_probe("e1", until));
    assert!(!detector.start_probe("e1", until));
    assert_eq!(detector.availability("e1", until), Availability::Probing);
    let change = detector.observe("e1", Observation::Failed, until, &mut rng);
    let Some(HealthChange::Ejected { until: later }) = change else {
        panic!("expected a longer ejection, got {change:?}");
    };
    assert!(later - until >= 4 * SECOND);
    assert!(detector.start_probe("e1", later));
    let answered = Observation::Answered {
        token_interval: Duration::from_millis(25),
    };
    let change = detector.observe("e1", answered, later, &mut rng);
    assert_eq!(change, Some(HealthChange::Readmitted));
    assert_eq!(detector.availability("e1", later), Availability::Usable);
}

#[test]
fn a_slow_engine_is_ejected_unless_all_engines_are_slow() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut detector = health(4);
    let answered = |ms| Observation::Answered {
        token_interval: Duration::from_millis(ms),
    };
    let mut changes = Vec::new();
    for _ in 0..10 {
        for engine in ["e0", "e1", "e2"] {
            changes.extend(detector.observe(engine, answered(200), SECOND, &mut rng));
        }
    }
    assert_eq!(changes, []);
    for _ in 0..10 {
        changes.extend(detector.observe("e3", answered(900), SECOND, &mut rng));
    }
    assert!(
        matches!(changes[..], [HealthChange::Ejected { .. }]),
        "{changes:?}"
    );
}

#[test]
fn the_ejected_share_is_limited() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for (engines, most) in [(1, 0), (2, 1), (3, 1), (6, 2), (18, 6)] {
        let mut detector = health(engines);
        for n in 0..engines {
            detector.observe(
                &format!("e{n}"),
                Observation::Silent,
                Moment::ZERO,
                &mut rng,
            );
        }
        let usable = |n: &usize| {
            detector.availability(&format!("e{n}"), Moment::ZERO) == Availability::Usable
        };
        assert_eq!(engines - (0..engines).filter(usable).count(), most);
    }
}
