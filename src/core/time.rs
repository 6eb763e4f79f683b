//! Time types.

use std::time::Duration;

/// Monotonic time since an arbitrary origin chosen by the process.
///
/// Decision logic uses this instead of [`std::time::Instant`], so that tests can construct
/// instants.
pub type Moment = Duration;

/// Milliseconds since the Unix epoch, for times that are displayed or stored.
pub type UnixMillis = u64;
