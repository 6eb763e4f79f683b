//! Tests of retry decisions and the retry budget.

use std::time::Duration;

use jayhall::core::retry::{FailedAttempt, GiveUp, RetryBudget, RetryDecision, decide};
use jayhall::core::verdict::Verdict;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::ChaCha8Rng;

fn failed(verdict: Verdict, is_idempotent: bool) -> FailedAttempt {
    FailedAttempt {
        verdict,
        is_idempotent,
        attempt: 1,
        time_left: Duration::from_secs(10),
    }
}

#[test]
fn work_that_may_have_run_is_retried_only_if_it_is_idempotent() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut budget = RetryBudget::new(10);
    let mut decided = |failed| decide(&failed, &mut budget, &mut rng);
    let cases = [
        (Verdict::NotRun, false, None),
        (Verdict::NotRun, true, None),
        (Verdict::MayHaveRun, true, None),
        (Verdict::MayHaveRun, false, Some(GiveUp::MayHaveRun)),
        (Verdict::Ran, true, Some(GiveUp::HasRun)),
        (Verdict::Ran, false, Some(GiveUp::HasRun)),
    ];
    for (verdict, is_idempotent, expected) in cases {
        match (decided(failed(verdict, is_idempotent)), expected) {
            (RetryDecision::Retry { .. }, None) => {}
            (RetryDecision::GiveUp(cause), Some(expected)) => assert_eq!(cause, expected),
            (other, _) => panic!("{verdict} {is_idempotent}: {other:?}"),
        }
    }
    let mut late = failed(Verdict::NotRun, true);
    late.time_left = Duration::from_millis(10);
    assert_eq!(decided(late), RetryDecision::GiveUp(GiveUp::TooLate));
    let mut exhausted = failed(Verdict::NotRun, true);
    exhausted.attempt = 4;
    assert_eq!(
        decided(exhausted),
        RetryDecision::GiveUp(GiveUp::TooManyAttempts)
    );
}

#[test]
fn retries_are_limited_to_their_share_plus_the_reserve() {
    let config = Config {
        cases: 100,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let requests = prop::collection::vec(prop::collection::vec(any::<bool>(), 8), 1..400);
    TestRunner::new_with_rng(config, rng)
        .run(&(requests, 0..50u8), |(requests, percent)| {
            let mut rng = ChaCha8Rng::seed_from_u64(2);
            let mut budget = RetryBudget::new(percent);
            let (mut first, mut retries) = (0u32, 0u32);
            for outcomes in requests {
                first += 1;
                budget.record_first_attempt();
                let mut attempt = failed(Verdict::NotRun, true);
                for _ in outcomes.iter().take_while(|is_failure| **is_failure) {
                    let RetryDecision::Retry { .. } = decide(&attempt, &mut budget, &mut rng)
                    else {
                        break;
                    };
                    retries += 1;
                    attempt.attempt += 1;
                }
                let share = f64::from(first) * f64::from(percent) / 100.0;
                prop_assert!(f64::from(retries) <= share + 10.0 + 1e-6);
            }
            Ok(())
        })
        .unwrap();
}
