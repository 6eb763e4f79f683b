//! One node's replica of a customer's token bucket and in-flight count.

use std::collections::HashMap;
use std::time::Duration;

use super::limits::{LimitRule, SPREAD_DELAY, UseReport};
use crate::core::id::NodeId;
use crate::core::time::Moment;

/// Part of the tokens left that is split evenly over nodes, independent of the customer's recent
/// use.
const EVEN_PART: f64 = 0.25;
/// Number of nodes that a customer is assumed to use at once: the directory returns as many
/// addresses.
const NODES_AT_ONCE: u32 = 3;

/// Approximate sum over a sliding window of `SPREAD_DELAY`: the current interval plus the previous
/// one weighted by its overlap with the window.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    interval: u64,
    current: f64,
    previous: f64,
}

impl Recent {
    fn add(&mut self, tokens: f64, now: Moment) {
        self.turn(now);
        self.current = (self.current + tokens).max(0.0);
    }

    fn tokens(&mut self, now: Moment) -> f64 {
        self.turn(now);
        let into = now.as_secs_f64() / SPREAD_DELAY.as_secs_f64();
        self.current + self.previous * (1.0 - into.fract())
    }

    /// Returns the sum of the previous interval, which all nodes have received by now.
    fn settled(&mut self, now: Moment) -> f64 {
        self.turn(now);
        self.previous
    }

    fn turn(&mut self, now: Moment) {
        let interval = (now.as_nanos() / SPREAD_DELAY.as_nanos()) as u64;
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
struct PeerUse {
    tokens: u64,
    in_flight: u32,
    sequence: u64,
}

/// One node's replica of a customer's token bucket and in-flight count.
#[derive(Debug)]
pub(super) struct Meter {
    rule: LimitRule,
    /// Tokens left over all nodes as known to this node; negative after overuse.
    level: f64,
    filled_at: Moment,
    used_here: u64,
    /// Tokens refunded by settlement and not yet offset against new use, since `used_here` only
    /// grows.
    credit_here: u64,
    in_flight_here: u32,
    started_here: Recent,
    recent_here: Recent,
    recent_elsewhere: Recent,
    peers: HashMap<NodeId, PeerUse>,
    reported: (u64, u32),
}

impl Meter {
    pub(super) fn new(rule: &LimitRule, now: Moment) -> Self {
        Self {
            rule: *rule,
            level: f64::from(rule.burst_tokens),
            filled_at: now,
            used_here: 0,
            credit_here: 0,
            in_flight_here: 0,
            started_here: Recent::default(),
            recent_here: Recent::default(),
            recent_elsewhere: Recent::default(),
            peers: HashMap::new(),
            reported: (0, 0),
        }
    }

    /// Applies `rule` and refills the bucket for the time since the last refill.
    pub(super) fn refill(&mut self, rule: &LimitRule, now: Moment) {
        self.rule = *rule;
        self.add_refill(now);
    }

    fn add_refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let level = self.level + elapsed * f64::from(self.rule.tokens_per_second);
        self.level = level.min(f64::from(self.rule.burst_tokens));
    }

    /// Returns whether this node may spend more of the customer's tokens now.
    pub(super) fn has_tokens(&mut self, nodes: u32, now: Moment) -> bool {
        let here = self.recent_here.tokens(now);
        self.level > 0.0 && (here <= 0.0 || here < self.share(nodes, now) * (self.level + here))
    }

    /// Returns whether this node may start one more request now.
    pub(super) fn has_room(&mut self, max_in_flight: u32, nodes: u32, now: Moment) -> bool {
        let elsewhere: u32 = self.peers.values().map(|peer| peer.in_flight).sum();
        let room = max_in_flight.saturating_sub(elsewhere.saturating_add(self.in_flight_here));
        if room == 0 {
            return false;
        }
        let started = self.started_here.tokens(now);
        let share = self.share(nodes, now);
        started < 1.0 || started < share * (f64::from(room) + started)
    }

    /// Returns the share of the customer's tokens that this node may spend. A quarter is split
    /// evenly over nodes, and the rest in proportion to the use on each node in the previous
    /// interval. Use in the current interval is left out: each node knows only its own and would
    /// claim the whole share.
    fn share(&mut self, nodes: u32, now: Moment) -> f64 {
        let even = 1.0 / f64::from(nodes.clamp(1, NODES_AT_ONCE));
        let here = self.recent_here.settled(now);
        let total = here + self.recent_elsewhere.settled(now);
        if total <= 0.0 {
            return even;
        }
        EVEN_PART * even + (1.0 - EVEN_PART) * here / total
    }

    /// Returns the time until the bucket has tokens again.
    pub(super) fn until_tokens(&self, rule: &LimitRule) -> Duration {
        let rate = f64::from(rule.tokens_per_second.max(1));
        let seconds = (-self.level / rate).max(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    pub(super) fn start(&mut self, tokens: u32, now: Moment) {
        self.in_flight_here += 1;
        self.started_here.add(1.0, now);
        self.change(i64::from(tokens), now);
    }

    pub(super) fn finish(&mut self, estimated: u32, actual: u32, now: Moment) {
        // Refill before the charge. Otherwise the next refill of a full bucket would also credit
        // the time before the charge.
        self.add_refill(now);
        self.in_flight_here = self.in_flight_here.saturating_sub(1);
        self.started_here.add(-1.0, now);
        self.change(i64::from(actual) - i64::from(estimated), now);
    }

    fn change(&mut self, tokens: i64, now: Moment) {
        self.level -= tokens as f64;
        self.recent_here.add(tokens as f64, now);
        if tokens < 0 {
            self.credit_here += tokens.unsigned_abs();
            return;
        }
        let absorbed = self.credit_here.min(tokens.unsigned_abs());
        self.credit_here -= absorbed;
        self.used_here += tokens.unsigned_abs() - absorbed;
    }

    /// Merges another node's counters. The tokens of a node's first report are debited, up to the
    /// burst, only if `is_whole`.
    pub(super) fn merge(
        &mut self,
        report: &UseReport,
        is_whole: bool,
        rule: &LimitRule,
        now: Moment,
    ) {
        let known = self.peers.get(&report.node).copied();
        if known.is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        let used = match known {
            Some(known) => report.tokens.saturating_sub(known.tokens),
            None if is_whole => report.tokens.min(rule.burst_tokens.into()),
            None => 0,
        };
        self.level -= used as f64;
        self.recent_elsewhere.add(used as f64, now);
        let latest = PeerUse {
            tokens: report.tokens,
            in_flight: report.in_flight,
            sequence: report.sequence,
        };
        self.peers.insert(report.node.clone(), latest);
    }

    pub(super) fn forget_node(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Returns this node's tokens used and requests in flight if they changed since the last call.
    pub(super) fn take_change(&mut self) -> Option<(u64, u32)> {
        let current = (self.used_here, self.in_flight_here);
        if current == self.reported {
            return None;
        }
        self.reported = current;
        Some(current)
    }
}
