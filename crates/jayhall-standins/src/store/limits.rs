//! Rate limits and counters of calls.

use serde::Serialize;
use tokio::time::Instant;

/// What was called since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Reads carried out.
    pub reads: u64,
    /// Writes carried out.
    pub writes: u64,
    /// Keepalives carried out; they count as reads towards the limit.
    pub keepalives: u64,
    /// Watches opened.
    pub watches_opened: u64,
    /// Watches open now; each takes one read a second.
    pub watches_open: u64,
    /// Calls answered with 429.
    pub limited: u64,
    /// Bytes of values written.
    pub value_bytes_written: u64,
}

/// A token bucket that holds one second's worth.
#[derive(Debug)]
pub(crate) struct Bucket {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    pub(crate) fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second,
            tokens: per_second,
            filled: now,
        }
    }

    /// Takes one token, if there is one. `reserved` tokens a second go elsewhere.
    pub(crate) fn take(&mut self, reserved: u64, now: Instant) -> bool {
        let rate = (self.per_second - reserved as f64).max(0.0);
        let elapsed = now.duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(self.per_second);
        self.filled = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
