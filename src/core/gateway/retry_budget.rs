//! How many calls may be sent to a second back end.
//!
//! All nodes share one allowance for each service: a part of the calls, and a fixed number besides.
//! Each node keeps to its own part, so that no message is needed and the sum over nodes holds whoever
//! is cut off.

/// Part of the allowed share that a node uses. The rest is kept for calls that callers send again.
const USED_SHARE: f64 = 0.6;

/// Allowance of one node for one service.
#[derive(Debug)]
pub struct RetryBudget {
    per_call: f64,
    most: f64,
    left: f64,
}

impl RetryBudget {
    /// Creates an allowance of `ratio` second sends for each call, and of this node's part of `slack`
    /// sends at once.
    pub fn new(ratio: f64, slack: f64, nodes: usize) -> Self {
        let most = (slack * USED_SHARE / nodes.max(1) as f64).max(1.0);
        Self {
            per_call: ratio * USED_SHARE,
            most,
            left: most,
        }
    }

    /// Notes a call's first send.
    pub fn note_call(&mut self) {
        self.left = (self.left + self.per_call).min(self.most);
    }

    /// Takes one second send out of the allowance. Returns whether there was one.
    pub fn take(&mut self) -> bool {
        let there = self.left >= 1.0;
        if there {
            self.left -= 1.0;
        }
        there
    }
}
