//! Intervals and limits of the membership protocol.

use std::time::Duration;

/// Interval between two probes by one node.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Members that are asked to probe an unresponsive member indirectly.
pub const INDIRECT_PROBES: usize = 3;
/// Minimum time from suspicion to death, for fleets of up to ten nodes.
pub const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Mean number of nodes that probe a suspect as soon as they learn of the suspicion.
pub const MEAN_EARLY_SUSPECT_PROBES: f64 = 8.0;
/// Maximum number of probe targets in a node's own zone.
pub const MAX_SAME_ZONE_TARGETS: usize = 32;
/// Maximum number of probe targets in the other zones of a node's region.
pub const MAX_OTHER_ZONE_TARGETS: usize = 8;
/// Maximum number of probe targets in other regions.
pub const MAX_OTHER_REGION_TARGETS: usize = 16;
/// One in this many probes goes to another zone of the region.
pub const OTHER_ZONE_PROBE_EVERY: u32 = 4;
/// At most one in this many probes goes to another region. In large regions, the region's limit on
/// exchanges makes it fewer.
pub const OTHER_REGION_PROBE_EVERY: u32 = 4;
/// Exchanges per second that all nodes of one region together start with other regions.
pub const CROSS_REGION_EXCHANGES_PER_SECOND: u32 = 8;
/// Exchanges with other regions that all nodes of one region together start for each push of an
/// urgent change.
pub const CROSS_REGION_EXCHANGES_PER_PUSH: u32 = 16;
/// Nodes to which an urgent change is pushed at once.
pub const PUSH_FANOUT: usize = 4;
/// Minimum interval between two pushes of urgent changes by one node.
pub const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Transmissions of an update by one node, for each decimal digit of the number of members.
pub const TRANSMISSIONS_PER_DIGIT: u32 = 4;
/// Maximum size of one message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024;
/// Maximum size of a reply to a request for missing members, in bytes.
pub const MAX_PAGE_BYTES: usize = 12 * 1024;
/// Fill rate of a node's byte budget.
pub const BUDGET_BYTES_PER_SECOND: usize = 4 * 1024;
/// Burst size of a node's byte budget.
pub const BUDGET_BURST_BYTES: usize = 32 * 1024;
/// Bytes of each message that are available to urgent changes even when the budget is exhausted.
pub const URGENT_RESERVE_BYTES: usize = 1024;
/// Bytes of the budget that are reserved for member changes and not available to reported values.
pub const MEMBER_RESERVE_BYTES: usize = 24 * 1024;
/// Number of buckets into which members are hashed to find the differences between two views.
pub const DIGEST_BUCKETS: usize = 64;
/// Consecutive exchanges with unequal digests after which a node requests missing members.
pub const MISMATCHES_BEFORE_SYNC: u32 = 3;
/// Time without a change of the view after which a single unequal digest is enough.
pub const STABLE_VIEW_TIME: Duration = Duration::from_secs(3);
/// Minimum interval between two requests for missing members.
pub const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Initial interval between requests for members by a node that has just started; grows with each
/// request up to [`MIN_SYNC_INTERVAL`].
pub const JOIN_SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Growth factor of [`JOIN_SYNC_INTERVAL`] for each request.
pub const JOIN_SYNC_BACKOFF: f64 = 1.15;
/// Interval between two attempts to reach a seed while a node knows no other member.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Mean interval between two attempts by one node to reach a lost member or an unknown seed, for
/// each member of its region.
pub const RECONNECT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(500);
/// Lower limit of the mean interval between two reconnection attempts by one node.
pub const MIN_RECONNECT_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of dead members that a node remembers.
pub const MAX_DEAD_MEMBERS: usize = 2048;
/// How long after its death a node still tries to reach a lost member.
pub const RECONNECT_WINDOW: Duration = Duration::from_secs(60 * 60);
/// Minimum interval between two reports of one value by its node.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two reports of one value for each member of the region, so that the
/// total size of all reports does not grow with the region.
pub const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);
/// Report intervals after which an unchanged value is sent again.
pub const UNCHANGED_REPORT_INTERVALS: u32 = 8;
/// Interval between two sums of a region's use.
pub const SUM_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of reported values of each kind that a node keeps.
pub const MAX_REPORTS: usize = 8192;
/// How long a reclaim notice of a back end is kept.
pub const NOTICE_LIFETIME: Duration = Duration::from_secs(10 * 60);

/// Returns the time from suspicion to death in a fleet of `members` nodes. It grows logarithmically,
/// like the time that a refutation takes to spread.
pub fn suspicion_timeout(members: usize) -> Duration {
    let decimal_digits = (members.max(10) as f64).log10();
    MIN_SUSPICION_TIMEOUT.mul_f64(decimal_digits)
}

/// Returns the number of times that one node sends an update in a fleet of `members` nodes.
pub fn transmissions(members: usize) -> u32 {
    let decimal_digits = (members as f64 + 1.0).log10().ceil().max(1.0);
    TRANSMISSIONS_PER_DIGIT * decimal_digits as u32
}
