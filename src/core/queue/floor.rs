//! Floors: the minimum share of service that a rank gets while more urgent work waits.
//!
//! Each rank has an account in hundredths of a token. While requests of the rank wait, every token
//! served to any rank credits the account with the rank's floor percentage, and every token served
//! to the rank itself is debited in full. A rank with a positive balance is served before more
//! urgent ranks. Balances are bounded in both directions, so that service long past neither starves
//! a rank nor lets it overrun the others.

use super::QueueRules;

const PERCENT: i64 = 100;

/// Floor account of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FloorAccount {
    balance: i64,
}

impl FloorAccount {
    /// Returns the balance in hundredths of a token: positive while the rank is below its floor.
    pub(super) fn balance(self) -> i64 {
        self.balance
    }

    /// Credits the rank's floor percentage of `tokens` that were served to any rank.
    pub(super) fn accrue(&mut self, tokens: i64, level: usize, rules: &QueueRules) {
        let floor = i64::from(rules.floor(level));
        let bound = window_share(level, rules);
        self.adjust(tokens.saturating_mul(floor), bound, bound);
    }

    /// Debits `tokens` that were served to this rank. The debt is limited to the larger of the
    /// rank's floor over one window and `request_tokens`, the cost of the request that the tokens
    /// belong to.
    pub(super) fn charge(
        &mut self,
        tokens: i64,
        request_tokens: i64,
        level: usize,
        rules: &QueueRules,
    ) {
        let credit = window_share(level, rules);
        let debt = credit.max(request_tokens.saturating_mul(PERCENT));
        self.adjust(tokens.saturating_mul(-PERCENT), debt, credit);
    }

    /// Adds `change` and clamps the balance to `-debt..=credit`. A balance that is already
    /// outside these bounds stays where it is but moves no further away.
    fn adjust(&mut self, change: i64, debt: i64, credit: i64) {
        let before = self.balance;
        let lowest = before.min(-debt);
        let highest = before.max(credit);
        self.balance = before.saturating_add(change).clamp(lowest, highest);
    }

    /// Drops the credit of a rank whose queue has become empty, since all its demand has been met.
    pub(super) fn clear_credit(&mut self) {
        self.balance = self.balance.min(0);
    }
}

fn window_share(level: usize, rules: &QueueRules) -> i64 {
    let window = i64::try_from(rules.floor_window_tokens).unwrap_or(i64::MAX);
    window.saturating_mul(i64::from(rules.floor(level)))
}
