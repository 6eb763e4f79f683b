//! What a request will cost, before it runs.
//!
//! The length of the prompt is known; the length of the answer is guessed from past answers of the
//! same customer and model, or of the model alone for a new customer. A wrong guess is put right
//! when the request is settled, so that the guess decides order but not charges.

use std::collections::HashMap;

use crate::core::id::{CustomerId, ModelName};

/// Answer tokens assumed where nothing is known.
pub const DEFAULT_ANSWER_TOKENS: u32 = 128;
/// Prompt tokens that take an engine about as long as one answer token: a prompt is computed many
/// tokens at a time, an answer one by one.
pub const PROMPT_TOKENS_PER_WORK_TOKEN: u32 = 16;
/// Pairs of customer and model that are remembered.
const REMEMBERED_PAIRS: usize = 8192;
/// Weight of the latest answer, as 1 in this many.
const DECAY: f64 = 16.0;
/// Answers after which the customer's own mean counts alone.
const OWN_ANSWERS: u32 = 4;

/// Estimated size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the answer.
    pub answer_tokens: u32,
}

impl Estimate {
    /// Returns the tokens of prompt and answer together, which customers' limits count.
    pub fn total_tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    /// Returns the cost in the queue, which shares out the time of slots.
    pub fn work_tokens(self) -> u32 {
        work_tokens(self.prompt_tokens, self.answer_tokens)
    }
}

/// Returns the cost in the queue of a prompt, less what was cached, and an answer.
pub fn work_tokens(computed_prompt_tokens: u32, answer_tokens: u32) -> u32 {
    computed_prompt_tokens
        .div_ceil(PROMPT_TOKENS_PER_WORK_TOKEN)
        .saturating_add(answer_tokens)
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    tokens: f64,
    answers: u32,
    last_used: u64,
}

impl Mean {
    fn observe(&mut self, tokens: u32) {
        self.answers = self.answers.saturating_add(1);
        // The first answers count fully, so that the mean does not start from a guess.
        let weight = 1.0 / f64::from(self.answers).min(DECAY);
        self.tokens += (f64::from(tokens) - self.tokens) * weight;
    }
}

/// Decayed means of past answers.
#[derive(Debug, Default)]
pub struct Estimator {
    by_customer: HashMap<ModelName, HashMap<CustomerId, Mean>>,
    by_model: HashMap<ModelName, Mean>,
    pairs: usize,
    clock: u64,
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

    /// Learns from an answer that was made.
    pub fn observe(&mut self, customer: &str, model: &str, answer_tokens: u32) {
        self.clock += 1;
        self.by_model
            .entry(model.into())
            .or_default()
            .observe(answer_tokens);
        let customers = self.by_customer.entry(model.into()).or_default();
        if !customers.contains_key(customer) {
            self.pairs += 1;
        }
        let mean = customers.entry(customer.into()).or_default();
        mean.observe(answer_tokens);
        mean.last_used = self.clock;
        if self.pairs > REMEMBERED_PAIRS {
            self.forget_oldest();
        }
    }

    fn expected_answer(&self, customer: &str, model: &str) -> Option<f64> {
        let of_model = self.by_model.get(model)?;
        let own = self
            .by_customer
            .get(model)
            .and_then(|customers| customers.get(customer))
            .copied()
            .unwrap_or_default();
        let trust = f64::from(own.answers.min(OWN_ANSWERS)) / f64::from(OWN_ANSWERS);
        Some(own.tokens * trust + of_model.tokens * (1.0 - trust))
    }

    /// Drops the half of the pairs that was used least lately.
    fn forget_oldest(&mut self) {
        let mut uses: Vec<u64> = self
            .by_customer
            .values()
            .flat_map(|customers| customers.values().map(|mean| mean.last_used))
            .collect();
        let middle = uses.len() / 2;
        let (_, limit, _) = uses.select_nth_unstable(middle);
        let limit = *limit;
        for customers in self.by_customer.values_mut() {
            customers.retain(|_, mean| mean.last_used >= limit);
        }
        self.by_customer
            .retain(|_, customers| !customers.is_empty());
        self.pairs = self.by_customer.values().map(HashMap::len).sum();
    }
}
