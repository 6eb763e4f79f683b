//! Counts of answers by route and group of versions, exchanged between nodes.
//!
//! Each process reports its counts since the rollout began. Reports may be lost and senders may change, so a receiver
//! adds up what each of them has grown by.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::core::gateway::observed::Observer;
use crate::core::gateway::origin::Origin;

/// Identifies a route in messages between nodes: a hash of its name and path prefix.
pub type RouteId = u32;

/// Number of buckets for the time of an answer.
pub const TIME_BUCKETS: usize = 18;
/// Buckets by which the relative time doubles.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Bucket of answers that took as long as their nominal time.
const NOMINAL_BUCKET: f64 = 8.0;
/// Limit on the routes of a rollout on which evidence is kept.
const MAX_ROUTES: usize = 32;

/// Back ends of a service during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    /// Those of other versions than the target.
    Old,
    /// Those of the target.
    New,
}

impl Group {
    /// Returns the name for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::New => "new",
        }
    }
}

/// Answers of a group of back ends on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answers, also those that are failures.
    pub answers: u32,
    /// Answers that are failures.
    pub failures: u32,
    /// Answers by the time to the first event, relative to the nominal time.
    pub times: [u32; TIME_BUCKETS],
}

impl Counts {
    /// Returns what these counts have grown by since earlier ones.
    pub fn since(&self, before: &Self) -> Self {
        self.combine(before, u32::saturating_sub)
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        *self = self.combine(other, u32::saturating_add);
    }

    fn combine(&self, other: &Self, f: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            answers: f(self.answers, other.answers),
            failures: f(self.failures, other.failures),
            times: std::array::from_fn(|at| f(self.times[at], other.times[at])),
        }
    }

    fn count_time(&mut self, bucket: usize) {
        self.answers += 1;
        self.times[bucket] += 1;
    }
}

/// Answers on a route, of both groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Of the old versions.
    pub old: Counts,
    /// Of the new version.
    pub new: Counts,
}

impl RouteCounts {
    /// Returns the counts of a group.
    pub fn of(&mut self, group: Group) -> &mut Counts {
        match group {
            Group::Old => &mut self.old,
            Group::New => &mut self.new,
        }
    }

    /// Returns what these counts have grown by since earlier ones.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            old: self.old.since(&before.old),
            new: self.new.since(&before.new),
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }
}

/// Counts of all routes.
pub type CountsByRoute = HashMap<RouteId, RouteCounts>;

/// Returns the identifier of a route. All nodes compute the same one.
pub fn route_id(name: &str, path_prefix: &str) -> RouteId {
    let name = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(path_prefix.as_bytes(), name) as RouteId
}

/// Returns the bucket of an answer that took `took` where `nominal` is usual for a call of its size.
pub fn time_bucket(took: Duration, nominal: Duration) -> usize {
    let relative = took.as_secs_f64() / nominal.as_secs_f64().max(1e-3);
    let bucket = NOMINAL_BUCKET + BUCKETS_PER_DOUBLING * relative.max(1e-6).log2();
    bucket.floor().clamp(0.0, (TIME_BUCKETS - 1) as f64) as usize
}

/// Answers of all nodes since a rollout began.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Answers to calls of this node.
    own: CountsByRoute,
    /// Answers to calls of other nodes in the own availability zone.
    zone: CountsByRoute,
    /// Answers to calls of all nodes.
    fleet: CountsByRoute,
    /// Last report of each node or zone.
    reports: HashMap<Origin, CountsByRoute>,
}

impl Evidence {
    /// Counts an answer to a call of this node, by the bucket of its time.
    pub fn record_answer(&mut self, route: RouteId, group: Group, bucket: usize) {
        self.record(route, group, |counts| counts.count_time(bucket));
    }

    /// Counts that an answer to a call of this node, which was counted before, is a failure.
    pub fn record_failure(&mut self, route: RouteId, group: Group) {
        self.record(route, group, |counts| counts.failures += 1);
    }

    fn record(&mut self, route: RouteId, group: Group, f: impl Fn(&mut Counts)) {
        for counts in [&mut self.own, &mut self.fleet] {
            if let Some(counts) = entry(counts, route) {
                f(counts.of(group));
            }
        }
    }

    /// Applies a report of a node or zone.
    pub fn apply_report(&mut self, from: &Origin, observer: Observer, counts: CountsByRoute) {
        let before = self.reports.remove(from).unwrap_or_default();
        for (route, counts) in &counts {
            let growth = counts.since(before.get(route).unwrap_or(&RouteCounts::default()));
            if observer == Observer::Zone
                && let Some(sum) = entry(&mut self.zone, *route)
            {
                sum.add(&growth);
            }
            if let Some(sum) = entry(&mut self.fleet, *route) {
                sum.add(&growth);
            }
        }
        self.reports.insert(from.clone(), counts);
    }

    /// Returns the counts that this node reports for itself, or for its availability zone.
    pub fn to_report(&self, observer: Observer) -> SmallVec<[(RouteId, RouteCounts); 8]> {
        let mut counts = self.own.clone();
        if observer != Observer::Node {
            for (route, zone) in &self.zone {
                counts.entry(*route).or_default().add(zone);
            }
        }
        counts.into_iter().collect()
    }

    /// Returns the counts of all nodes.
    pub fn fleet(&self) -> &CountsByRoute {
        &self.fleet
    }
}

fn entry(counts: &mut CountsByRoute, route: RouteId) -> Option<&mut RouteCounts> {
    if counts.len() >= MAX_ROUTES && !counts.contains_key(&route) {
        return None;
    }
    Some(counts.entry(route).or_default())
}
