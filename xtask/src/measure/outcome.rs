//! Measurements of a scenario, by rank and by customer.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use jayhall_harness::Answer;

/// Upper bound of the histograms in microseconds; longer times are recorded as this value.
const HISTOGRAM_MAX_MICROS: u64 = 600_000_000;

/// A request that was sent, and its answer.
#[derive(Debug)]
pub(crate) struct RequestOutcome {
    pub(crate) rank: &'static str,
    pub(crate) customer: &'static str,
    /// `None` if the answer broke off or no node could be reached.
    pub(crate) answer: Option<Answer>,
}

/// Percentiles of a time in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Percentiles {
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
}

/// Measurements of the requests of one rank.
#[derive(Debug, Serialize)]
pub(crate) struct RankReport {
    rank: &'static str,
    offered: usize,
    answered: usize,
    refused: usize,
    broken: usize,
    resumed: usize,
    /// Fraction of the offered requests whose first token arrived within the rank's target.
    within_target: f64,
    first_token_ms: Percentiles,
    token_interval_ms: Percentiles,
}

/// Measurements of the requests of one customer.
#[derive(Debug, Serialize)]
pub(crate) struct CustomerReport {
    customer: &'static str,
    offered: usize,
    answered: usize,
    first_token_ms: Percentiles,
}

/// Token counts of a scenario.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct EngineTokens {
    /// Prompt tokens that the engines computed, without cached ones.
    pub(crate) prompt_computed: u64,
    /// Part of `prompt_computed` that belongs to second and later attempts.
    pub(crate) prompt_computed_again: u64,
    /// Answer tokens that callers received.
    pub(crate) answer: u64,
}

/// Measurements of a scenario.
#[derive(Debug, Serialize)]
pub(crate) struct ScenarioReport {
    name: &'static str,
    ranks: Vec<RankReport>,
    customers: Vec<CustomerReport>,
    tokens: EngineTokens,
}

/// Ranks and their targets for the first token, as in the fleet's configuration document.
const RANKS: [(&str, Duration); 3] = [
    ("urgent", Duration::from_millis(330)),
    ("quick", Duration::from_secs(1)),
    ("bulk", Duration::from_secs(10)),
];

impl ScenarioReport {
    pub(crate) fn new(
        name: &'static str,
        outcomes: &[RequestOutcome],
        tokens: EngineTokens,
    ) -> Self {
        let ranks = RANKS
            .iter()
            .map(|(rank, target)| rank_report(rank, *target, outcomes))
            .filter(|report| report.offered > 0)
            .collect();
        let mut names: Vec<&'static str> =
            outcomes.iter().map(|outcome| outcome.customer).collect();
        names.sort_unstable();
        names.dedup();
        let customers = names
            .into_iter()
            .map(|customer| customer_report(customer, outcomes))
            .collect();
        Self {
            name,
            ranks,
            customers,
            tokens,
        }
    }

    pub(crate) fn print(&self) {
        println!("\n{}", self.name);
        println!(
            "  {:<8}{:>8}{:>9}{:>8}{:>7}{:>8}{:>10}{:>30}{:>30}",
            "rank",
            "offered",
            "answered",
            "refused",
            "broken",
            "resumed",
            "in target",
            "first token p50/p95/p99 ms",
            "token interval p50/p95/p99 ms"
        );
        for rank in &self.ranks {
            println!(
                "  {:<8}{:>8}{:>9}{:>8}{:>7}{:>8}{:>9.1}%{:>30}{:>30}",
                rank.rank,
                rank.offered,
                rank.answered,
                rank.refused,
                rank.broken,
                rank.resumed,
                rank.within_target * 100.0,
                rank.first_token_ms.text(),
                rank.token_interval_ms.text()
            );
        }
        for customer in &self.customers {
            println!(
                "  {:<16} offered {:>5}, answered {:>5}, first token {} ms",
                customer.customer,
                customer.offered,
                customer.answered,
                customer.first_token_ms.text()
            );
        }
        let tokens = &self.tokens;
        println!(
            "  tokens: {} of prompts computed, {} of them again, {} answered",
            tokens.prompt_computed, tokens.prompt_computed_again, tokens.answer
        );
    }
}

impl Percentiles {
    pub(crate) fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_max(HISTOGRAM_MAX_MICROS, 3) else {
            unreachable!("the bounds of the histogram are valid");
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(HISTOGRAM_MAX_MICROS);
            histogram.saturating_record(micros.min(HISTOGRAM_MAX_MICROS));
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }

    pub(crate) fn text(&self) -> String {
        format!("{:.0} / {:.0} / {:.0}", self.p50, self.p95, self.p99)
    }
}

fn complete_answers(
    outcomes: &[RequestOutcome],
    predicate: impl Fn(&RequestOutcome) -> bool,
) -> Vec<&Answer> {
    outcomes
        .iter()
        .filter(|outcome| predicate(outcome))
        .filter_map(|outcome| outcome.answer.as_ref())
        .filter(|answer| answer.is_whole)
        .collect()
}

fn rank_report(rank: &'static str, target: Duration, outcomes: &[RequestOutcome]) -> RankReport {
    let rank_outcomes: Vec<&RequestOutcome> = outcomes
        .iter()
        .filter(|outcome| outcome.rank == rank)
        .collect();
    let answers = complete_answers(outcomes, |outcome| outcome.rank == rank);
    let first_tokens: Vec<Duration> = answers
        .iter()
        .filter_map(|answer| answer.first_text)
        .collect();
    let in_target = first_tokens.iter().filter(|time| **time <= target).count();
    let refused = rank_outcomes
        .iter()
        .filter(|outcome| outcome.answer.as_ref().is_some_and(|a| a.problem.is_some()))
        .count();
    RankReport {
        rank,
        offered: rank_outcomes.len(),
        answered: answers.len(),
        refused,
        broken: rank_outcomes.len() - answers.len() - refused,
        resumed: answers.iter().filter(|answer| answer.resumes > 0).count(),
        within_target: in_target as f64 / rank_outcomes.len().max(1) as f64,
        first_token_ms: Percentiles::of(first_tokens),
        token_interval_ms: Percentiles::of(
            answers
                .iter()
                .flat_map(|answer| answer.intervals.iter().copied()),
        ),
    }
}

fn customer_report(customer: &'static str, outcomes: &[RequestOutcome]) -> CustomerReport {
    let answers = complete_answers(outcomes, |outcome| outcome.customer == customer);
    CustomerReport {
        customer,
        offered: outcomes
            .iter()
            .filter(|outcome| outcome.customer == customer)
            .count(),
        answered: answers.len(),
        first_token_ms: Percentiles::of(answers.iter().filter_map(|answer| answer.first_text)),
    }
}
