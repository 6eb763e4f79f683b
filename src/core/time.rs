//! Time as it is passed into decisions.

use std::time::Duration;

/// Time since an origin that the process chose, for decisions that only compare instants.
///
/// Decisions take this instead of [`std::time::Instant`], so that tests can name instants.
pub type Moment = Duration;

/// Milliseconds since the Unix epoch, for what is shown to people or kept in the store.
pub type UnixMillis = u64;
