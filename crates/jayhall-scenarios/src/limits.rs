//! Simulation of a customer's limit over several nodes, enforced by different policies.

use std::collections::VecDeque;
use std::time::Duration;

use jayhall::core::admission::{CustomerLimits, LimitRule, UsageReport};
use jayhall::core::id::CustomerId;
use jayhall::core::time::Moment;
use serde::Serialize;

/// Policy by which the nodes enforce the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// Every node enforces an equal part of rate and burst.
    EqualSplit,
    /// One node, chosen by the customer's name, decides every request.
    Owner,
    /// Jayhall's policy: every node has a replica of the token bucket, exchanges use by gossip and
    /// spends at most its share between exchanges.
    Gossip,
    /// As `Gossip`, but a node without known use may spend all tokens left in its replica.
    GossipWholePool,
}

/// Which nodes the customer's callers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Callers {
    /// All callers use one node.
    OneNode,
    /// Round robin over three nodes, since the directory returns three addresses.
    ThreeNodes,
    /// Round robin over all nodes.
    AllNodes,
    /// All callers use one node and switch to another every five seconds.
    Moving,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct LimitRun {
    /// Policy of the nodes.
    pub policy: LimitPolicy,
    /// Nodes that the callers use.
    pub callers: Callers,
    /// Number of nodes that accept requests.
    pub nodes: u32,
    /// Demand in multiples of the limit.
    pub demand: f64,
    /// Delay of the counters to all other nodes, in addition to the reporting interval.
    pub delay: Duration,
    /// Simulated time of the run.
    pub length: Duration,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LimitOutcome {
    /// Tokens admitted.
    pub admitted: u64,
    /// Tokens that burst and rate allow over the whole run.
    pub allowed: u64,
    /// Largest excess of admitted over allowed tokens at any time.
    pub largest_excess: u64,
    /// Number of requests that were decided by another node.
    pub remote_questions: u64,
}

/// Limit in all runs: 1,000 tokens per second and a burst of ten seconds.
pub const RULE: LimitRule = LimitRule {
    tokens_per_second: 1_000,
    burst_tokens: 10_000,
    max_in_flight: 10_000,
};
/// Tokens of one request.
pub const REQUEST_TOKENS: u32 = 200;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time of the first request. The nodes started a minute earlier.
const FIRST_REQUEST_AT: Moment = Moment::from_secs(60);
const MOVE_INTERVAL: Duration = Duration::from_secs(5);

/// Simulates one policy.
pub fn run(run: &LimitRun) -> LimitOutcome {
    let mut simulation = Simulation::new(run);
    let per_second = f64::from(RULE.tokens_per_second) * run.demand / f64::from(REQUEST_TOKENS);
    let step = Duration::from_secs_f64(1.0 / per_second);
    let mut outcome = LimitOutcome {
        admitted: 0,
        allowed: allowed_until(run.length),
        largest_excess: 0,
        remote_questions: 0,
    };
    let mut elapsed = Duration::ZERO;
    let mut request_number = 0;
    while elapsed < run.length {
        let now = FIRST_REQUEST_AT + elapsed;
        simulation.exchange_reports(now);
        let node = target_node(run, request_number, elapsed);
        request_number += 1;
        if run.policy == LimitPolicy::Owner && node != 0 {
            outcome.remote_questions += 1;
        }
        if simulation.admit(node, now) {
            outcome.admitted += u64::from(REQUEST_TOKENS);
            let excess = outcome.admitted.saturating_sub(allowed_until(elapsed));
            outcome.largest_excess = outcome.largest_excess.max(excess);
        }
        elapsed += step;
    }
    outcome
}

fn allowed_until(elapsed: Duration) -> u64 {
    let refilled = elapsed.as_secs_f64() * f64::from(RULE.tokens_per_second);
    u64::from(RULE.burst_tokens) + refilled as u64
}

fn target_node(run: &LimitRun, request_number: u32, elapsed: Duration) -> usize {
    let node = match run.callers {
        Callers::OneNode => 1,
        Callers::ThreeNodes => request_number % run.nodes.min(3),
        Callers::AllNodes => request_number % run.nodes,
        Callers::Moving => (elapsed.as_secs() / MOVE_INTERVAL.as_secs()) as u32 % run.nodes,
    };
    node as usize
}

struct Simulation {
    policy: LimitPolicy,
    rule: LimitRule,
    customer: CustomerId,
    nodes: Vec<CustomerLimits>,
    reports: VecDeque<(Moment, UsageReport)>,
    delay: Duration,
    next_report: Moment,
}

impl Simulation {
    fn new(run: &LimitRun) -> Self {
        let assumed_nodes = match run.policy {
            LimitPolicy::Gossip => run.nodes,
            LimitPolicy::EqualSplit | LimitPolicy::Owner | LimitPolicy::GossipWholePool => 1,
        };
        let start = |n| {
            let mut limits = CustomerLimits::new(format!("n{n}").into(), Moment::ZERO);
            limits.set_nodes(assumed_nodes);
            limits
        };
        let divisor = match run.policy {
            LimitPolicy::EqualSplit => run.nodes,
            LimitPolicy::Gossip | LimitPolicy::GossipWholePool | LimitPolicy::Owner => 1,
        };
        Self {
            policy: run.policy,
            rule: LimitRule {
                tokens_per_second: RULE.tokens_per_second / divisor,
                burst_tokens: RULE.burst_tokens / divisor,
                ..RULE
            },
            customer: "c".into(),
            nodes: (0..run.nodes).map(start).collect(),
            reports: VecDeque::new(),
            delay: run.delay,
            next_report: Moment::ZERO,
        }
    }

    fn admit(&mut self, node: usize, now: Moment) -> bool {
        let node = match self.policy {
            LimitPolicy::Owner => 0,
            _ => node,
        };
        self.nodes[node]
            .admit(&self.customer, &self.rule, REQUEST_TOKENS, now)
            .is_ok()
    }

    fn exchange_reports(&mut self, now: Moment) {
        if matches!(self.policy, LimitPolicy::EqualSplit | LimitPolicy::Owner) {
            return;
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            for node in &mut self.nodes {
                let due = node
                    .take_changed_reports()
                    .into_iter()
                    .map(|r| (now + self.delay, r));
                self.reports.extend(due);
            }
        }
        while self.reports.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, report)) = self.reports.pop_front() else {
                return;
            };
            for node in &mut self.nodes {
                node.merge(&report, &self.rule, now);
            }
        }
    }
}
