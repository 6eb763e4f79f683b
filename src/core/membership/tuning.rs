//! Periods and bounds of membership.

use std::time::Duration;

/// Period between two probes by one node.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Members that probe a third one for a node that got no answer.
pub const INDIRECT_PROBES: usize = 3;
/// Least time from suspicion to death, for fleets up to ten nodes.
pub const SUSPICION_BASE: Duration = Duration::from_secs(3);
/// Nodes, on average, that probe a suspect at once when they hear of the suspicion.
pub const SUSPECT_ASKERS: f64 = 8.0;
/// Most members of its own zone that one node probes.
pub const LOCAL_TARGETS: usize = 32;
/// Most members of other zones of its region that one node probes.
pub const ZONE_TARGETS: usize = 8;
/// Most members of other regions that one node probes.
pub const REGION_TARGETS: usize = 16;
/// One probe out of these goes to another zone of the region.
pub const ZONE_PROBE_EVERY: u32 = 4;
/// One probe out of these goes to another region, in regions small enough for it.
pub const REGION_PROBE_EVERY: u32 = 4;
/// Exchanges a second that all nodes of one region together start with other regions.
pub const REGION_EXCHANGES_PER_SECOND: u32 = 8;
/// The same for each urgent change that is pushed.
pub const REGION_PUSHES: u32 = 16;
/// Nodes that are told of an urgent change at once.
pub const PUSH_FANOUT: usize = 4;
/// Least time between two pushes of urgent changes by one node.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Transmissions of an update for each decimal digit of the number of members.
pub const TRANSMISSIONS_PER_DIGIT: u32 = 4;
/// Most bytes of one message.
pub const MESSAGE_BYTES: usize = 4 * 1024;
/// Most bytes of a message that answers a node which lacks members.
pub const PAGE_BYTES: usize = 12 * 1024;
/// Bytes a second that a node may send on average.
pub const BYTES_PER_SECOND: usize = 4 * 1024;
/// Bytes that a node may send at once after a quiet time.
pub const BURST_BYTES: usize = 32 * 1024;
/// Bytes of a message that the budget leaves to urgent changes even when it is used up.
pub const RESERVED_BYTES: usize = 1024;
/// Bytes of the budget that reported values leave to changes of members.
pub const REPORT_RESERVE_BYTES: usize = 24 * 1024;
/// Parts into which members are split to find what two views differ in.
pub const BUCKETS: usize = 64;
/// Exchanges in a row with unequal digests after which a node asks for what it lacks.
pub const MISMATCHES_BEFORE_SYNC: u32 = 3;
/// Time without a change after which one such exchange is enough.
pub const QUIET_TIME: Duration = Duration::from_secs(3);
/// Least time between two requests for missing members.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// The same for a node that has just started; grows with each request up to [`SYNC_INTERVAL`].
pub const JOIN_SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Growth of that time.
pub const JOIN_SYNC_BACKOFF: f64 = 1.15;
/// Time between two attempts to reach a seed while a node knows no other member.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Mean time between two attempts by one node to reach a lost member or an unknown seed, for each
/// member of its region.
pub const RECONNECT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(500);
/// Least mean time between two such attempts.
pub const RECONNECT_INTERVAL: Duration = Duration::from_secs(3);
/// Dead members that a node remembers.
pub const DEAD_REMEMBERED: usize = 2048;
/// How long a lost member is tried again.
pub const RECONNECT_WINDOW: Duration = Duration::from_secs(60 * 60);
/// Least time between two reports of one value by its node.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The same for each member of the region, so that the bytes of all reports stay flat.
pub const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);
/// Report intervals after which an unchanged value is told again.
pub const REPEAT_INTERVALS: u32 = 8;
/// Time between two sums of a region's use.
pub const SUM_INTERVAL: Duration = Duration::from_secs(2);
/// Values of each kind that a node keeps.
pub const MAX_REPORTS: usize = 8192;
/// How long a notice of a back end is kept.
pub const NOTICE_LIFETIME: Duration = Duration::from_secs(10 * 60);

/// Returns the time from suspicion to death in a fleet of `members` nodes. It grows with the
/// logarithm, as the time does that a refutation takes to arrive.
pub fn suspicion_timeout(members: usize) -> Duration {
    let digits = (members.max(10) as f64).log10();
    SUSPICION_BASE.mul_f64(digits)
}

/// Returns how often one node sends one update in a fleet of `members` nodes.
pub fn transmissions(members: usize) -> u32 {
    let digits = (members as f64 + 1.0).log10().ceil().max(1.0);
    TRANSMISSIONS_PER_DIGIT * digits as u32
}
