//! How many calls may be sent to a second back end.
//!
//! All nodes share one allowance for each service: a part of the calls, and a fixed number besides.
//! Each node keeps to its own part, so that no message is needed and the sum over nodes holds whoever
//! is cut off.

use std::time::Duration;

use crate::core::time::Moment;

/// Part of the allowance that nodes use. The rest is kept for nodes that do not know of each other.
const USED_SHARE: f64 = 0.85;

/// Shortest window that is told apart from none.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// Allowance of one node for one service.
///
/// In any span of the length of the window, a node makes at most the second sends that it had saved up
/// and those that the calls of the span add. Both are half of what the calls of a window allow.
#[derive(Debug)]
pub struct RetryBudget {
    per_call: f64,
    slack: f64,
    window: Duration,
    slack_left: f64,
    saved: f64,
    at: Moment,
}

impl RetryBudget {
    /// Creates an allowance of `ratio` second sends for each call of a window, and of this node's part of
    /// `slack` sends in a window besides.
    pub fn new(ratio: f64, slack: f64, window: Duration, nodes: usize, now: Moment) -> Self {
        let slack = (slack * USED_SHARE / nodes.max(1) as f64).max(1.0);
        Self {
            per_call: ratio * USED_SHARE / 2.0,
            slack,
            window: window.max(MIN_WINDOW),
            slack_left: slack,
            saved: 0.0,
            at: now,
        }
    }

    /// Notes a call's first send.
    pub fn note_call(&mut self, now: Moment) {
        self.pass(now);
        self.saved += self.per_call;
    }

    /// Takes one second send out of the allowance. Returns whether there was one.
    pub fn take(&mut self, now: Moment) -> bool {
        self.pass(now);
        let from = match self.saved >= 1.0 {
            true => &mut self.saved,
            false => &mut self.slack_left,
        };
        let there = *from >= 1.0;
        if there {
            *from -= 1.0;
        }
        there
    }

    /// Lets time pass: what was saved up is forgotten over a window, and the slack returns.
    fn pass(&mut self, now: Moment) {
        let part = now.saturating_sub(self.at).as_secs_f64() / self.window.as_secs_f64();
        self.at = now;
        self.saved *= (-part).exp();
        // Half of the slack returns in a window: a span of that length may begin with all of it.
        self.slack_left = (self.slack_left + self.slack * part / 4.0).min(self.slack);
    }
}
