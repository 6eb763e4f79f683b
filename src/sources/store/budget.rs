//! Client-side rate limit that keeps a node within its share of the store's capacity for calls.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use super::error::{Result, StoreError};

/// Longest wait for a token. Calls that would wait longer are refused at once.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);

/// Rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRate {
    /// Sustained calls per second; must be positive.
    pub per_second: f64,
    /// Size of the bucket: calls that may be made at once after an idle time; at least 1.
    pub burst: u32,
}

/// A token bucket. Each call takes one token, and waits for it for a short time.
#[derive(Debug)]
pub struct CallRateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rate: CallRate,
    /// Tokens in the bucket; negative while calls wait.
    tokens: f64,
    updated: Instant,
}

impl CallRateLimiter {
    /// Creates a full bucket.
    pub fn new(rate: CallRate) -> Self {
        Self {
            state: Mutex::new(State {
                rate,
                tokens: f64::from(rate.burst),
                updated: Instant::now(),
            }),
        }
    }

    /// Changes rate and burst, for example after a change in the number of nodes.
    pub fn set_rate(&self, rate: CallRate) {
        let mut state = self.state.lock();
        state.refill(Instant::now());
        state.rate = rate;
    }

    /// Takes a token, after a wait if necessary.
    ///
    /// # Errors
    ///
    /// Fails at once with [`StoreError::RateLimited`] if the wait would be too long.
    pub async fn take(&self) -> Result<()> {
        let wait = self.state.lock().reserve(Instant::now())?;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }
}

impl State {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.tokens =
            (self.tokens + elapsed * self.rate.per_second).min(f64::from(self.rate.burst));
    }

    fn reserve(&mut self, now: Instant) -> Result<Duration> {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / self.rate.per_second);
        if wait > MAX_TOKEN_WAIT {
            return Err(StoreError::RateLimited { retry_after: wait });
        }
        self.tokens -= 1.0;
        Ok(wait)
    }
}
