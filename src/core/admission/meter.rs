//! One node's replica of a customer's token bucket and in-flight count.

use std::collections::HashMap;
use std::time::Duration;

use super::limits::{GOSSIP_DELAY, LimitRule, UsageReport};
use crate::core::id::NodeId;
use crate::core::time::Moment;

/// Part of the tokens left that is split evenly over nodes, independent of the customer's recent
/// use.
const EVEN_SHARE: f64 = 0.25;
/// Number of nodes that a customer is assumed to use at once: the directory returns as many
/// addresses.
const MAX_NODES_IN_USE: u32 = 3;

/// Approximate sum over a sliding window of `GOSSIP_DELAY`: the current interval plus the previous
/// one weighted by its overlap with the window.
#[derive(Clone, Copy, Debug, Default)]
struct SlidingWindow {
    interval: u64,
    current: f64,
    previous: f64,
}

impl SlidingWindow {
    fn add(&mut self, tokens: f64, now: Moment) {
        self.advance(now);
        self.current = (self.current + tokens).max(0.0);
    }

    fn sum(&mut self, now: Moment) -> f64 {
        self.advance(now);
        let position = now.as_secs_f64() / GOSSIP_DELAY.as_secs_f64();
        self.current + self.previous * (1.0 - position.fract())
    }

    /// Returns the sum of the previous interval, which all nodes have received by now.
    fn previous_sum(&mut self, now: Moment) -> f64 {
        self.advance(now);
        self.previous
    }

    fn advance(&mut self, now: Moment) {
        let interval = (now.as_nanos() / GOSSIP_DELAY.as_nanos()) as u64;
        match interval.saturating_sub(self.interval) {
            0 => return,
            1 => self.previous = self.current,
            _ => self.previous = 0.0,
        }
        self.current = 0.0;
        self.interval = interval;
    }
}

/// Latest counters received from another node.
#[derive(Clone, Copy, Debug)]
struct PeerCounters {
    tokens: u64,
    in_flight: u32,
    sequence: u64,
}

/// One node's replica of a customer's token bucket and in-flight count.
#[derive(Debug)]
pub(super) struct Meter {
    rule: LimitRule,
    /// Tokens left over all nodes as known to this node; negative after overuse.
    tokens_left: f64,
    refilled_at: Moment,
    local_used: u64,
    /// Tokens refunded by settlement and not yet offset against new use, since `local_used` only
    /// grows.
    local_refund: u64,
    local_in_flight: u32,
    local_starts: SlidingWindow,
    local_recent: SlidingWindow,
    remote_recent: SlidingWindow,
    peers: HashMap<NodeId, PeerCounters>,
    last_reported: (u64, u32),
}

impl Meter {
    pub(super) fn new(rule: &LimitRule, now: Moment) -> Self {
        Self {
            rule: *rule,
            tokens_left: f64::from(rule.burst_tokens),
            refilled_at: now,
            local_used: 0,
            local_refund: 0,
            local_in_flight: 0,
            local_starts: SlidingWindow::default(),
            local_recent: SlidingWindow::default(),
            remote_recent: SlidingWindow::default(),
            peers: HashMap::new(),
            last_reported: (0, 0),
        }
    }

    /// Applies `rule` and refills the bucket for the time since the last refill.
    pub(super) fn apply_rule(&mut self, rule: &LimitRule, now: Moment) {
        self.rule = *rule;
        self.refill(now);
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.tokens_left + elapsed * f64::from(self.rule.tokens_per_second);
        self.tokens_left = refilled.min(f64::from(self.rule.burst_tokens));
    }

    /// Returns whether this node may spend more of the customer's tokens now.
    pub(super) fn can_spend(&mut self, nodes: u32, now: Moment) -> bool {
        let local = self.local_recent.sum(now);
        self.tokens_left > 0.0
            && (local <= 0.0 || local < self.share(nodes, now) * (self.tokens_left + local))
    }

    /// Returns whether this node may start one more request now.
    pub(super) fn can_start(&mut self, max_in_flight: u32, nodes: u32, now: Moment) -> bool {
        let remote: u32 = self.peers.values().map(|peer| peer.in_flight).sum();
        let room = max_in_flight.saturating_sub(remote.saturating_add(self.local_in_flight));
        if room == 0 {
            return false;
        }
        let started = self.local_starts.sum(now);
        let share = self.share(nodes, now);
        started < 1.0 || started < share * (f64::from(room) + started)
    }

    /// Returns the share of the customer's tokens that this node may spend. A quarter is split
    /// evenly over nodes, and the rest in proportion to the use on each node in the previous
    /// interval. Use in the current interval is left out: each node knows only its own and would
    /// claim the whole share.
    fn share(&mut self, nodes: u32, now: Moment) -> f64 {
        let even = 1.0 / f64::from(nodes.clamp(1, MAX_NODES_IN_USE));
        let local = self.local_recent.previous_sum(now);
        let total = local + self.remote_recent.previous_sum(now);
        if total <= 0.0 {
            return even;
        }
        EVEN_SHARE * even + (1.0 - EVEN_SHARE) * local / total
    }

    /// Returns the time until the bucket has tokens again.
    pub(super) fn time_until_tokens(&self, rule: &LimitRule) -> Duration {
        let rate = f64::from(rule.tokens_per_second.max(1));
        let seconds = (-self.tokens_left / rate).max(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    pub(super) fn start(&mut self, tokens: u32, now: Moment) {
        self.local_in_flight += 1;
        self.local_starts.add(1.0, now);
        self.charge(i64::from(tokens), now);
    }

    pub(super) fn finish(&mut self, estimated: u32, actual: u32, now: Moment) {
        // Refill before the charge. Otherwise the next refill of a full bucket would also credit
        // the time before the charge.
        self.refill(now);
        self.local_in_flight = self.local_in_flight.saturating_sub(1);
        self.local_starts.add(-1.0, now);
        self.charge(i64::from(actual) - i64::from(estimated), now);
    }

    fn charge(&mut self, tokens: i64, now: Moment) {
        self.tokens_left -= tokens as f64;
        self.local_recent.add(tokens as f64, now);
        if tokens < 0 {
            self.local_refund += tokens.unsigned_abs();
            return;
        }
        let absorbed = self.local_refund.min(tokens.unsigned_abs());
        self.local_refund -= absorbed;
        self.local_used += tokens.unsigned_abs() - absorbed;
    }

    /// Merges another node's counters. The tokens of a node's first report are debited, up to the
    /// burst, only if `debits_first_report`.
    pub(super) fn merge(
        &mut self,
        report: &UsageReport,
        debits_first_report: bool,
        rule: &LimitRule,
        now: Moment,
    ) {
        let known = self.peers.get(&report.node).copied();
        if known.is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        let used = match known {
            Some(known) => report.tokens.saturating_sub(known.tokens),
            None if debits_first_report => report.tokens.min(rule.burst_tokens.into()),
            None => 0,
        };
        self.tokens_left -= used as f64;
        self.remote_recent.add(used as f64, now);
        let latest = PeerCounters {
            tokens: report.tokens,
            in_flight: report.in_flight,
            sequence: report.sequence,
        };
        self.peers.insert(report.node.clone(), latest);
    }

    pub(super) fn remove_node(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Returns this node's tokens used and requests in flight if they changed since the last call.
    pub(super) fn take_changed_counters(&mut self) -> Option<(u64, u32)> {
        let current = (self.local_used, self.local_in_flight);
        if current == self.last_reported {
            return None;
        }
        self.last_reported = current;
        Some(current)
    }
}
