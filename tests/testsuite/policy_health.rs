//! Tests of outlier detection: ejection, probes and readmission of engines.

use std::time::Duration;

use jayhall::core::routing::{Availability, HealthBook, HealthChange, HealthRules, Observation};
use jayhall::core::time::Moment;
use rand::SeedableRng;
use rand::rngs::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);

fn health(engines: usize) -> HealthBook {
    let names: Vec<Box<str>> = (0..engines).map(|n| format!("e{n}").into()).collect();
    let mut book = HealthBook::new(HealthRules::default());
    book.set_engines(&names, Moment::ZERO);
    book
}

#[test]
fn a_silent_engine_is_ejected_and_returns_after_one_probe() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut book = health(4);
    let change = book.observe("e1", Observation::Silent, Moment::ZERO, &mut rng);
    let Some(HealthChange::Ejected { until }) = change else {
        panic!("expected an ejection, got {change:?}");
    };
    assert!(until >= 2 * SECOND && until <= 3 * SECOND);
    assert_eq!(
        book.availability("e1", SECOND),
        Availability::Ejected { until }
    );
    assert_eq!(book.availability("e1", until), Availability::Probe);
    assert!(book.start_probe("e1", until));
    assert!(!book.start_probe("e1", until));
    assert_eq!(book.availability("e1", until), Availability::Probing);
    let change = book.observe("e1", Observation::Failed, until, &mut rng);
    let Some(HealthChange::Ejected { until: later }) = change else {
        panic!("expected a longer ejection, got {change:?}");
    };
    assert!(later - until >= 4 * SECOND);
    assert!(book.start_probe("e1", later));
    let answered = Observation::Answered {
        token_interval: Duration::from_millis(25),
    };
    let change = book.observe("e1", answered, later, &mut rng);
    assert_eq!(change, Some(HealthChange::Readmitted));
    assert_eq!(book.availability("e1", later), Availability::Usable);
}

#[test]
fn a_slow_engine_is_ejected_but_not_when_all_are_slow() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut book = health(4);
    let answered = |ms| Observation::Answered {
        token_interval: Duration::from_millis(ms),
    };
    let mut changes = Vec::new();
    for _ in 0..10 {
        for engine in ["e0", "e1", "e2"] {
            changes.extend(book.observe(engine, answered(200), SECOND, &mut rng));
        }
    }
    assert_eq!(changes, []);
    for _ in 0..10 {
        changes.extend(book.observe("e3", answered(900), SECOND, &mut rng));
    }
    assert!(
        matches!(changes[..], [HealthChange::Ejected { .. }]),
        "{changes:?}"
    );
}

#[test]
fn never_more_than_the_stated_share_is_ejected() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for (engines, most) in [(1, 0), (2, 1), (3, 1), (6, 2), (18, 6)] {
        let mut book = health(engines);
        for n in 0..engines {
            book.observe(
                &format!("e{n}"),
                Observation::Silent,
                Moment::ZERO,
                &mut rng,
            );
        }
        let usable =
            |n: &usize| book.availability(&format!("e{n}"), Moment::ZERO) == Availability::Usable;
        assert_eq!(engines - (0..engines).filter(usable).count(), most);
    }
}
