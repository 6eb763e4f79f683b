//! Bandwidth budget of the inter-region link.
//!
//! The link is slow, billed by volume and shared by all traffic. Each kind of traffic has its own
//! token bucket, so that a flood of requests or a large cache export cannot delay control traffic.
//! The budget of a region is divided evenly among its nodes.

use std::time::Duration;

use crate::core::time::Moment;

const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Capacity of a bucket, as time at its rate.
const BURST_DURATION: Duration = Duration::from_millis(500);

/// Kind of traffic on the inter-region link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Gossip, configuration and reports.
    Control,
    /// Requests and answers.
    Request,
    /// Exported engine caches.
    KvTransfer,
}

/// Bandwidth of each kind of traffic in megabits per second, one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkShares {
    /// Control traffic.
    pub control: u32,
    /// Requests and answers.
    pub request: u32,
    /// Exported engine caches.
    pub kv_transfer: u32,
}

impl Default for LinkShares {
    /// Shares of a link of 30 megabits per second.
    fn default() -> Self {
        Self {
            control: 4,
            request: 20,
            kv_transfer: 6,
        }
    }
}

/// Whether a message can be sent over the link now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDecision {
    /// The message can be sent and has been charged.
    Granted,
    /// The bucket is in debt for this time.
    RetryIn(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    bytes: f64,
    refilled_at: Moment,
}

/// One node's share of the inter-region link, one way.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    shares: LinkShares,
    nodes: u32,
    buckets: [Bucket; 3],
}

impl LinkBudget {
    /// Creates the budget of one of the `nodes` nodes of a region, with full buckets.
    pub fn new(shares: LinkShares, nodes: u32, now: Moment) -> Self {
        let mut budget = Self {
            shares,
            nodes: nodes.max(1),
            buckets: [Bucket::default(); 3],
        };
        for kind in [
            TrafficKind::Control,
            TrafficKind::Request,
            TrafficKind::KvTransfer,
        ] {
            budget.buckets[kind as usize] = Bucket {
                bytes: budget.rate(kind) * BURST_DURATION.as_secs_f64(),
                refilled_at: now,
            };
        }
        budget
    }

    /// Sets the number of nodes of the region that share the link.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Charges a message if the bucket of its kind is not in debt. A single message may exceed the
    /// bucket; the resulting debt delays later messages.
    pub fn take(&mut self, kind: TrafficKind, bytes: u64, now: Moment) -> LinkDecision {
        let rate = self.rate(kind);
        let bucket = &mut self.buckets[kind as usize];
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.refilled_at = bucket.refilled_at.max(now);
        bucket.bytes = (bucket.bytes + elapsed * rate).min(rate * BURST_DURATION.as_secs_f64());
        if bucket.bytes < 0.0 {
            let seconds = -bucket.bytes / rate;
            let wait = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
            return LinkDecision::RetryIn(wait);
        }
        bucket.bytes -= bytes as f64;
        LinkDecision::Granted
    }

    /// Returns this node's rate for a kind of traffic in bytes per second.
    fn rate(&self, kind: TrafficKind) -> f64 {
        let megabits = match kind {
            TrafficKind::Control => self.shares.control,
            TrafficKind::Request => self.shares.request,
            TrafficKind::KvTransfer => self.shares.kv_transfer,
        };
        f64::from(megabits) * BYTES_PER_MEGABIT / f64::from(self.nodes)
    }
}
