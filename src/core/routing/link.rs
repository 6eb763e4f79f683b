//! Budget of the link between regions.
//!
//! The link is slow, paid by volume and shared by everything. Each kind of traffic has its own token
//! bucket, so that a flood of requests or a large cache export cannot delay control traffic. A node
//! spends its even share of what its region may.

use std::time::Duration;

use crate::core::time::Moment;

const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Traffic that may go at once after a quiet time.
const BURST: Duration = Duration::from_millis(500);

/// Kinds of traffic between regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Membership, configuration and reports.
    Control,
    /// Requests and answers.
    Request,
    /// Exported caches.
    KvTransfer,
}

/// Megabits a second of each kind, one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkShares {
    /// Of control traffic.
    pub control: u32,
    /// Of requests and answers.
    pub request: u32,
    /// Of exported caches.
    pub kv_transfer: u32,
}

impl Default for LinkShares {
    /// Shares of a link of 30 megabits a second.
    fn default() -> Self {
        Self {
            control: 4,
            request: 20,
            kv_transfer: 6,
        }
    }
}

/// Whether traffic may cross the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAnswer {
    /// It may, and is charged.
    Granted,
    /// Not before the time has passed.
    RetryIn(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    bytes: f64,
    filled_at: Moment,
}

/// One node's budget of the link, one way.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    shares: LinkShares,
    nodes: u32,
    buckets: [Bucket; 3],
}

impl LinkBudget {
    /// Creates the budget of one of `nodes` nodes of a region, with full buckets.
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
                bytes: budget.rate(kind) * BURST.as_secs_f64(),
                filled_at: now,
            };
        }
        budget
    }

    /// Sets how many nodes of the region share the link.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Charges traffic if the kind's bucket is not in debt. A single message may exceed the bucket;
    /// the debt delays what follows.
    pub fn take(&mut self, kind: TrafficKind, bytes: u64, now: Moment) -> LinkAnswer {
        let rate = self.rate(kind);
        let bucket = &mut self.buckets[kind as usize];
        let elapsed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.filled_at = bucket.filled_at.max(now);
        bucket.bytes = (bucket.bytes + elapsed * rate).min(rate * BURST.as_secs_f64());
        if bucket.bytes < 0.0 {
            let seconds = -bucket.bytes / rate;
            let wait = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
            return LinkAnswer::RetryIn(wait);
        }
        bucket.bytes -= bytes as f64;
        LinkAnswer::Granted
    }

    /// Returns this node's bytes a second of a kind.
    fn rate(&self, kind: TrafficKind) -> f64 {
        let megabits = match kind {
            TrafficKind::Control => self.shares.control,
            TrafficKind::Request => self.shares.request,
            TrafficKind::KvTransfer => self.shares.kv_transfer,
        };
        f64::from(megabits) * BYTES_PER_MEGABIT / f64::from(self.nodes)
    }
}
