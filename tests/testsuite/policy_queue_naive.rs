//! Reference implementation of the request queue: one list, scanned for every decision.

use jayhall::core::queue::{Dequeued, QueueRules, QueuedRequest};
use jayhall::core::time::Moment;

const VIRTUAL_UNITS: i64 = 1 << 16;

/// Returns the scheduling parameters used by the tests.
pub(crate) fn rules() -> QueueRules {
    QueueRules {
        floors: [0, 20, 10].into_iter().collect(),
        floor_window_tokens: 2_000,
        max_lag_tokens: 1_000,
    }
}

/// Reference implementation of [`jayhall::core::queue::FairQueue`].
#[derive(Default)]
pub(crate) struct ReferenceQueue {
    pub(crate) items: Vec<QueuedRequest>,
    /// Rank level, customer, weight and virtual time.
    customers: Vec<(u8, Box<str>, i64, i64)>,
    virtual_times: [i64; 3],
    balances: [i64; 3],
}

impl ReferenceQueue {
    fn is_backlogged(&self, level: u8, customer: Option<&str>) -> bool {
        self.items
            .iter()
            .any(|i| i.level == level && customer.is_none_or(|c| &*i.customer == c))
    }

    pub(crate) fn push(&mut self, item: QueuedRequest) {
        let memory = rules().max_lag_tokens as i64 * VIRTUAL_UNITS;
        let now = self.virtual_times[usize::from(item.level)];
        let was_waiting = self.is_backlogged(item.level, Some(&item.customer));
        let existing = self
            .customers
            .iter_mut()
            .find(|c| c.0 == item.level && c.1 == item.customer);
        match existing {
            Some(c) => {
                c.2 = item.weight.into();
                if !was_waiting {
                    c.3 = c.3.clamp(now - memory, now + memory);
                }
            }
            None => self.customers.push((
                item.level,
                item.customer.clone(),
                item.weight.into(),
                now - memory,
            )),
        }
        self.items.push(item);
    }

    fn next_level(&self) -> Option<u8> {
        let first = (0..3).find(|l| self.is_backlogged(*l, None))?;
        let mut best = first;
        let mut most = 0;
        for level in first + 1..3 {
            if self.is_backlogged(level, None) && self.balances[usize::from(level)] > most {
                best = level;
                most = self.balances[usize::from(level)];
            }
        }
        Some(best)
    }

    pub(crate) fn pop(&mut self, now: Moment) -> Dequeued {
        let earliest = self
            .items
            .iter()
            .enumerate()
            .min_by_key(|(n, i)| (i.deadline, *n));
        if let Some((n, i)) = earliest
            && i.deadline < now
        {
            let item = self.items.remove(n);
            self.clear_credit_of_empty_ranks();
            return Dequeued::Expired(item);
        }
        let Some(level) = self.next_level() else {
            return Dequeued::Empty;
        };
        let waiting = self.customers.iter().filter(|c| c.0 == level);
        let next = waiting
            .filter(|c| self.is_backlogged(level, Some(&c.1)))
            .min_by_key(|c| c.3)
            .map(|c| (c.1.clone(), c.3));
        let Some((customer, start)) = next else {
            return Dequeued::Empty;
        };
        let virtual_time = &mut self.virtual_times[usize::from(level)];
        *virtual_time = (*virtual_time).max(start);
        let own = self.items.iter().enumerate();
        let due = own
            .filter(|(_, i)| i.level == level && i.customer == customer)
            .min_by_key(|(n, i)| (i.deadline, *n))
            .map(|(n, _)| n);
        let Some(index) = due else {
            return Dequeued::Empty;
        };
        let item = self.items.remove(index);
        let cost = i64::from(item.cost_tokens);
        self.charge(&item.customer, level, cost, cost);
        Dequeued::Serve(item)
    }

    pub(crate) fn charge(&mut self, customer: &str, level: u8, tokens: i64, request: i64) {
        for other in 0..3u8 {
            if other == level || self.is_backlogged(other, None) {
                let bound = 2_000 * i64::from(rules().floor(other.into()));
                self.adjust_balance(
                    other,
                    tokens * i64::from(rules().floor(other.into())),
                    bound,
                    bound,
                );
            }
        }
        let credit = 2_000 * i64::from(rules().floor(level.into()));
        self.adjust_balance(level, -100 * tokens, credit.max(request * 100), credit);
        if let Some(c) = self
            .customers
            .iter_mut()
            .find(|c| c.0 == level && &*c.1 == customer)
        {
            c.3 += tokens * VIRTUAL_UNITS / c.2;
        }
        self.clear_credit_of_empty_ranks();
    }

    fn adjust_balance(&mut self, level: u8, change: i64, debt: i64, credit: i64) {
        let balance = &mut self.balances[usize::from(level)];
        let (low, high) = ((*balance).min(-debt), (*balance).max(credit));
        *balance = (*balance + change).clamp(low, high);
    }

    fn clear_credit_of_empty_ranks(&mut self) {
        for level in 0..3u8 {
            if !self.is_backlogged(level, None) {
                let balance = &mut self.balances[usize::from(level)];
                *balance = (*balance).min(0);
            }
        }
    }

    pub(crate) fn remove(&mut self, id: &str) -> Option<QueuedRequest> {
        let index = self.items.iter().position(|i| &*i.id == id)?;
        let item = self.items.remove(index);
        self.clear_credit_of_empty_ranks();
        Some(item)
    }
}
