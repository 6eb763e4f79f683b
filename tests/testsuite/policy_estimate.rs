//! Tests of cost estimates.

use jayhall::core::estimate::{DEFAULT_ANSWER_TOKENS, Estimator, work_tokens};

fn answer(estimator: &Estimator, customer: &str) -> u32 {
    estimator.estimate(customer, "m", 100, 4_000).answer_tokens
}

#[test]
fn estimates_use_the_mean_of_the_model_until_the_customer_has_enough_answers() {
    let mut estimator = Estimator::default();
    assert_eq!(answer(&estimator, "a"), DEFAULT_ANSWER_TOKENS);
    for _ in 0..4 {
        estimator.observe("a", "m", 400);
    }
    assert_eq!(answer(&estimator, "a"), 400);
    assert_eq!(answer(&estimator, "b"), 400);
    for _ in 0..4 {
        estimator.observe("b", "m", 20);
    }
    assert_eq!(answer(&estimator, "b"), 20);
    assert_eq!(answer(&estimator, "a"), 400);
    assert_eq!(
        estimator.estimate("a", "other", 100, 4_000).answer_tokens,
        DEFAULT_ANSWER_TOKENS
    );
}

#[test]
fn estimates_adapt_to_recent_answers_and_are_capped_at_the_maximum_length() {
    let mut estimator = Estimator::default();
    for _ in 0..20 {
        estimator.observe("a", "m", 1_000);
    }
    for _ in 0..64 {
        estimator.observe("a", "m", 10);
    }
    // After 64 answers, four times the time constant of 16, less than 2% of the change remains.
    assert!(answer(&estimator, "a") <= 10 + 20);
    estimator.observe("b", "m", 5_000);
    assert_eq!(estimator.estimate("b", "m", 100, 50).answer_tokens, 50);
}

#[test]
fn sixteen_prompt_tokens_cost_as_much_as_one_answer_token() {
    assert_eq!(work_tokens(0, 10), 10);
    assert_eq!(work_tokens(16, 10), 11);
    assert_eq!(work_tokens(17, 10), 12);
    let estimate = Estimator::default().estimate("a", "m", 160, 10);
    assert_eq!((estimate.total_tokens(), estimate.work_tokens()), (170, 20));
}
