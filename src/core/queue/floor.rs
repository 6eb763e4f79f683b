//! Floors: the share of service that a rank keeps while more urgent work waits.
//!
//! Each rank has an account in hundredths of a token. While the rank waits, every served token
//! pays its floor into the account, and what it is served is taken out. A rank with a positive
//! account goes before more urgent ones. Accounts are bounded both ways, so that service long past
//! neither starves a rank nor lets it overrun the others.

use super::QueueRules;

const PERCENT: i64 = 100;

/// Account of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FloorAccount {
    hundredths: i64,
}

impl FloorAccount {
    /// Returns what the rank is owed, in hundredths of a token.
    pub(super) fn owed(self) -> i64 {
        self.hundredths
    }

    /// Pays in the rank's floor of `tokens` that some rank was served.
    pub(super) fn accrue(&mut self, tokens: i64, level: usize, rules: &QueueRules) {
        let floor = i64::from(rules.floor(level));
        let bound = window_share(level, rules);
        self.add(tokens.saturating_mul(floor), bound, bound);
    }

    /// Takes out `tokens` that the rank was served. The largest debt is the larger of the floor of
    /// one window and `request_tokens`, the cost of the request that they belong to.
    pub(super) fn charge(
        &mut self,
        tokens: i64,
        request_tokens: i64,
        level: usize,
        rules: &QueueRules,
    ) {
        let credit = window_share(level, rules);
        let debt = credit.max(request_tokens.saturating_mul(PERCENT));
        self.add(tokens.saturating_mul(-PERCENT), debt, credit);
    }

    /// Changes the account, which moves no further beyond either bound than it is.
    fn add(&mut self, hundredths: i64, debt: i64, credit: i64) {
        let before = self.hundredths;
        let lowest = before.min(-debt);
        let highest = before.max(credit);
        self.hundredths = before.saturating_add(hundredths).clamp(lowest, highest);
    }

    /// Forgets what a rank is owed once nothing of it waits: it got all that it asked for.
    pub(super) fn forgive(&mut self) {
        self.hundredths = self.hundredths.min(0);
    }
}

fn window_share(level: usize, rules: &QueueRules) -> i64 {
    let window = i64::try_from(rules.floor_window_tokens).unwrap_or(i64::MAX);
    window.saturating_mul(i64::from(rules.floor(level)))
}
