//! Cost estimates of requests before they run.
//!
//! The length of the prompt is known. The length of the answer is estimated from past answers of
//! the same customer and model, or of the model alone for a new customer. Charges are corrected
//! when the request is settled, so an estimation error affects the order of service but not the
//! final charge.

use std::collections::HashMap;

use crate::core::id::{CustomerId, ModelName};

/// Estimated answer length of a model without past answers.
pub const DEFAULT_ANSWER_TOKENS: u32 = 128;
/// Number of prompt tokens that take an engine about as long as one answer token: prefill processes
/// many tokens at a time, whereas decoding generates one after another.
pub const PROMPT_TOKENS_PER_WORK_TOKEN: u32 = 16;
/// Maximum number of (customer, model) pairs kept.
const MAX_PAIRS: usize = 8192;
/// Inverse weight of the latest answer in a decayed mean.
const SMOOTHING_ANSWERS: f64 = 16.0;
/// Number of answers after which only the customer's own mean is used.
const FULL_WEIGHT_ANSWERS: u32 = 4;

/// Estimated size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Estimated tokens of the answer.
    pub answer_tokens: u32,
}

impl Estimate {
    /// Returns the tokens of prompt and answer together, which count against the customer's limits.
    pub fn total_tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    /// Returns the cost in work tokens, which the queue uses to share slot time.
    pub fn work_tokens(self) -> u32 {
        work_tokens(self.prompt_tokens, self.answer_tokens)
    }
}

/// Returns the cost in work tokens of the uncached part of a prompt and of an answer.
pub fn work_tokens(computed_prompt_tokens: u32, answer_tokens: u32) -> u32 {
    computed_prompt_tokens
        .div_ceil(PROMPT_TOKENS_PER_WORK_TOKEN)
        .saturating_add(answer_tokens)
}

#[derive(Clone, Copy, Debug, Default)]
struct AnswerMean {
    tokens: f64,
    answers: u32,
    last_used: u64,
}

impl AnswerMean {
    fn observe(&mut self, tokens: u32) {
        self.answers = self.answers.saturating_add(1);
        // The first answers are averaged with equal weight, so that the mean has no initial bias.
        let weight = 1.0 / f64::from(self.answers).min(SMOOTHING_ANSWERS);
        self.tokens += (f64::from(tokens) - self.tokens) * weight;
    }
}

/// Decayed mean lengths of past answers.
#[derive(Debug, Default)]
pub struct Estimator {
    by_customer: HashMap<ModelName, HashMap<CustomerId, AnswerMean>>,
    by_model: HashMap<ModelName, AnswerMean>,
    pair_count: usize,
    use_counter: u64,
}

impl Estimator {
    /// Returns the estimate of a request whose answer has at most `max_answer_tokens`.
    pub fn estimate(
        &self,
        customer: &str,
        model: &str,
        prompt_tokens: u32,
        max_answer_tokens: u32,
    ) -> Estimate {
        let answer = self
            .expected_answer(customer, model)
            .unwrap_or(f64::from(DEFAULT_ANSWER_TOKENS));
        let answer_tokens = (answer.round() as u32).clamp(1, max_answer_tokens.max(1));
        Estimate {
            prompt_tokens,
            answer_tokens,
        }
    }

    /// Records the length of a generated answer.
    pub fn observe(&mut self, customer: &str, model: &str, answer_tokens: u32) {
        self.use_counter += 1;
        self.by_model
            .entry(model.into())
            .or_default()
            .observe(answer_tokens);
        let customers = self.by_customer.entry(model.into()).or_default();
        if !customers.contains_key(customer) {
            self.pair_count += 1;
        }
        let mean = customers.entry(customer.into()).or_default();
        mean.observe(answer_tokens);
        mean.last_used = self.use_counter;
        if self.pair_count > MAX_PAIRS {
            self.evict_least_recently_used();
        }
    }

    fn expected_answer(&self, customer: &str, model: &str) -> Option<f64> {
        let of_model = self.by_model.get(model)?;
        let of_customer = self
            .by_customer
            .get(model)
            .and_then(|customers| customers.get(customer))
            .copied()
            .unwrap_or_default();
        let customer_weight = f64::from(of_customer.answers.min(FULL_WEIGHT_ANSWERS))
            / f64::from(FULL_WEIGHT_ANSWERS);
        Some(of_customer.tokens * customer_weight + of_model.tokens * (1.0 - customer_weight))
    }

    /// Evicts the least recently used half of the pairs.
    fn evict_least_recently_used(&mut self) {
        let mut uses: Vec<u64> = self
            .by_customer
            .values()
            .flat_map(|customers| customers.values().map(|mean| mean.last_used))
            .collect();
        let middle = uses.len() / 2;
        let (_, cutoff, _) = uses.select_nth_unstable(middle);
        let cutoff = *cutoff;
        for customers in self.by_customer.values_mut() {
            customers.retain(|_, mean| mean.last_used >= cutoff);
        }
        self.by_customer
            .retain(|_, customers| !customers.is_empty());
        self.pair_count = self.by_customer.values().map(HashMap::len).sum();
    }
}
