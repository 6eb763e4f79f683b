//! Retry budget: how many calls may be sent to a second back end.
//!
//! All nodes share one budget for each service: a fraction of the calls plus a fixed number. Each node
//! uses only its own share, which needs no coordination and keeps the total within the budget during
//! network partitions.

use std::time::Duration;

use crate::core::time::Moment;

/// Part of the budget that nodes use. The rest covers nodes that do not know of each other yet.
const USED_SHARE: f64 = 0.85;

/// Lower bound of the window, which avoids a division by zero.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// Retry budget of one node for one service.
///
/// Within any period of one window, a node makes at most the retries that it had saved before the period
/// plus those earned by calls within it. Each of the two is limited to half of what the calls of a window
/// allow.
#[derive(Debug)]
pub struct RetryBudget {
    per_call: f64,
    slack: f64,
    window: Duration,
    slack_available: f64,
    saved: f64,
    updated_at: Moment,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each call of a window, plus this node's share of `slack`
    /// retries in each window.
    pub fn new(ratio: f64, slack: f64, window: Duration, nodes: usize, now: Moment) -> Self {
        let slack = (slack * USED_SHARE / nodes.max(1) as f64).max(1.0);
        Self {
            per_call: ratio * USED_SHARE / 2.0,
            slack,
            window: window.max(MIN_WINDOW),
            slack_available: slack,
            saved: 0.0,
            updated_at: now,
        }
    }

    /// Records the first send of a call.
    pub fn record_call(&mut self, now: Moment) {
        self.advance(now);
        self.saved += self.per_call;
    }

    /// Takes one retry out of the budget. Returns whether one was left.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.advance(now);
        let from = match self.saved >= 1.0 {
            true => &mut self.saved,
            false => &mut self.slack_available,
        };
        let is_left = *from >= 1.0;
        if is_left {
            *from -= 1.0;
        }
        is_left
    }

    /// Advances to `now`: saved retries decay over a window, and the slack refills.
    fn advance(&mut self, now: Moment) {
        let windows = now.saturating_sub(self.updated_at).as_secs_f64() / self.window.as_secs_f64();
        self.updated_at = now;
        self.saved *= (-windows).exp();
        // Refills a quarter of the slack per window, as a period of one window may begin with all of it.
        self.slack_available = (self.slack_available + self.slack * windows / 4.0).min(self.slack);
    }
}
