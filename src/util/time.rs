//! Wall clock for displayed and stored times, and a boot-time clock.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::core::time::UnixMillis;

/// Returns the current wall-clock time; a clock set before 1970 yields 0.
pub fn unix_now() -> UnixMillis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis::try_from(since_epoch.as_millis()).unwrap_or(UnixMillis::MAX)
}

/// Converts a duration to whole milliseconds, saturating at `u32::MAX`.
pub fn as_millis_u32(duration: std::time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub fn as_millis_u64(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Formats a time for display, such as `2026-01-31 12:00:00 UTC`.
pub fn format_utc(millis: UnixMillis) -> String {
    let format =
        time::macros::format_description!("[year]-[month]-[day] [hour]:[minute]:[second] UTC");
    i64::try_from(millis / 1000)
        .ok()
        .and_then(|seconds| time::OffsetDateTime::from_unix_timestamp(seconds).ok())
        .and_then(|time| time.format(format).ok())
        .unwrap_or_else(|| format!("{millis} ms after 1970"))
}

/// Returns the time since boot from a monotonic clock that also advances while the VM is suspended.
pub fn since_boot() -> crate::core::time::Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    crate::core::time::Moment::new(u64::try_from(time.tv_sec).unwrap_or(0), nanos)
}
