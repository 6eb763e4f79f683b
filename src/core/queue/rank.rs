//! Weighted fair queue of the customers of one rank.
//!
//! Start-time fair queueing: a customer's virtual time advances by its charged tokens divided by
//! its weight, and the customer with the smallest virtual time is served next. When a customer
//! becomes backlogged, its virtual time is clamped to a bounded distance from the rank's virtual
//! time. An idle customer thus accumulates a bounded credit, and heavy use leaves a bounded debt.

use std::collections::{BTreeSet, HashMap};

use super::{QueuedRequest, WorkAhead};
use crate::core::id::CustomerId;
use crate::core::time::Moment;

/// Sort key of a customer's requests: deadline, then arrival sequence.
pub(super) type DeadlineKey = (Moment, u64);
/// Tokens divided by weight, in units of 1 / `VIRTUAL_UNITS` token.
type VirtualTime = i64;
type CustomerIndex = usize;

const VIRTUAL_UNITS: i64 = 1 << 16;
/// Number of customers at which entries that carry no information are evicted.
const EVICTION_THRESHOLD: usize = 4096;

#[derive(Debug)]
struct CustomerQueue {
    name: CustomerId,
    weight: u32,
    virtual_time: VirtualTime,
    waiting: BTreeSet<DeadlineKey>,
    waiting_tokens: u64,
}

/// Waiting requests of one rank, by customer.
#[derive(Debug, Default)]
pub(super) struct RankQueue {
    indices: HashMap<CustomerId, CustomerIndex>,
    customers: Vec<CustomerQueue>,
    free_indices: Vec<CustomerIndex>,
    waiting: BTreeSet<(VirtualTime, CustomerIndex)>,
    virtual_time: VirtualTime,
    waiting_tokens: u64,
    len: u32,
}

impl RankQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn len(&self) -> u32 {
        self.len
    }

    pub(super) fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    pub(super) fn insert(&mut self, item: &QueuedRequest, key: DeadlineKey, max_lag_tokens: u64) {
        let index = self.index_or_insert(&item.customer, max_lag_tokens);
        let max_lag = max_virtual_lag(max_lag_tokens);
        let customer = &mut self.customers[index];
        customer.weight = item.weight.max(1);
        if customer.waiting.is_empty() {
            customer.virtual_time = customer
                .virtual_time
                .clamp(self.virtual_time - max_lag, self.virtual_time + max_lag);
            self.waiting.insert((customer.virtual_time, index));
        }
        customer.waiting.insert(key);
        customer.waiting_tokens += u64::from(item.cost_tokens);
        self.waiting_tokens += u64::from(item.cost_tokens);
        self.len += 1;
    }

    /// Returns the key of the request to serve next.
    pub(super) fn peek(&self) -> Option<DeadlineKey> {
        let (_, index) = self.waiting.first()?;
        self.customers[*index].waiting.first().copied()
    }

    /// Removes a request without charging its customer.
    pub(super) fn remove(&mut self, item: &QueuedRequest, key: DeadlineKey) {
        let Some(&index) = self.indices.get(&item.customer) else {
            return;
        };
        let customer = &mut self.customers[index];
        if !customer.waiting.remove(&key) {
            return;
        }
        customer.waiting_tokens -= u64::from(item.cost_tokens);
        self.waiting_tokens -= u64::from(item.cost_tokens);
        self.len -= 1;
        if customer.waiting.is_empty() {
            self.waiting.remove(&(customer.virtual_time, index));
        }
    }

    /// Advances the rank's virtual time to that of the customer about to be served.
    pub(super) fn advance(&mut self) {
        if let Some((start, _)) = self.waiting.first() {
            self.virtual_time = self.virtual_time.max(*start);
        }
    }

    /// Charges `tokens` to a customer; a negative number is a refund.
    pub(super) fn charge(&mut self, customer: &str, tokens: i64) {
        let Some(&index) = self.indices.get(customer) else {
            return;
        };
        let customer = &mut self.customers[index];
        let before = customer.virtual_time;
        let advance = tokens.saturating_mul(VIRTUAL_UNITS) / i64::from(customer.weight);
        customer.virtual_time = before.saturating_add(advance);
        if !customer.waiting.is_empty() {
            self.waiting.remove(&(before, index));
            self.waiting.insert((customer.virtual_time, index));
        }
    }

    /// Returns the work of this rank scheduled before `item`, whose sort key is `key` and which
    /// need not be queued yet. `cost` maps the sort key of a queued request to the request's cost.
    pub(super) fn ahead(
        &self,
        item: &QueuedRequest,
        key: DeadlineKey,
        max_lag_tokens: u64,
        cost: impl Fn(&DeadlineKey) -> u64,
    ) -> WorkAhead {
        let max_lag = max_virtual_lag(max_lag_tokens);
        let own_index = self.indices.get(&item.customer).copied();
        let (own_tokens, own_requests) = self.ahead_within_customer(own_index, key, cost);
        let start = self.effective_virtual_time(own_index, max_lag);
        let weight = match own_index.map(|index| &self.customers[index]) {
            Some(customer) if !customer.waiting.is_empty() => i64::from(customer.weight),
            _ => i64::from(item.weight.max(1)),
        };
        let own_virtual_time =
            i64::try_from(own_tokens).unwrap_or(i64::MAX / VIRTUAL_UNITS) * VIRTUAL_UNITS / weight;
        let start_tag = start.saturating_add(own_virtual_time);
        let mut total = WorkAhead {
            tokens: own_tokens,
            requests: own_requests,
        };
        for (virtual_time, index) in self.waiting.range(..(start_tag, CustomerIndex::MAX)) {
            if Some(*index) == own_index {
                continue;
            }
            let share = self.customers[*index].work_until(start_tag, *virtual_time);
            total.tokens += share.tokens;
            total.requests += share.requests;
        }
        total
    }

    fn ahead_within_customer(
        &self,
        own_index: Option<CustomerIndex>,
        key: DeadlineKey,
        cost: impl Fn(&DeadlineKey) -> u64,
    ) -> (u64, u32) {
        let Some(index) = own_index else {
            return (0, 0);
        };
        let customer = &self.customers[index];
        let mut tokens = customer.waiting_tokens;
        let mut requests = customer.waiting.len();
        // New requests mostly have the latest deadline, so few entries follow `key`.
        for later in customer.waiting.range(key..) {
            tokens -= cost(later);
            requests -= 1;
        }
        (tokens, u32::try_from(requests).unwrap_or(u32::MAX))
    }

    fn effective_virtual_time(
        &self,
        own_index: Option<CustomerIndex>,
        max_lag: VirtualTime,
    ) -> VirtualTime {
        let earliest = self.virtual_time - max_lag;
        match own_index.map(|index| &self.customers[index]) {
            None => earliest,
            Some(customer) if customer.waiting.is_empty() => customer
                .virtual_time
                .clamp(earliest, self.virtual_time + max_lag),
            Some(customer) => customer.virtual_time,
        }
    }

    fn index_or_insert(&mut self, name: &CustomerId, max_lag_tokens: u64) -> CustomerIndex {
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        if self.indices.len() >= EVICTION_THRESHOLD && self.free_indices.is_empty() {
            self.evict_idle(max_lag_tokens);
        }
        let customer = CustomerQueue {
            name: name.clone(),
            weight: 1,
            virtual_time: self.virtual_time - max_virtual_lag(max_lag_tokens),
            waiting: BTreeSet::new(),
            waiting_tokens: 0,
        };
        let index = self.free_indices.pop().unwrap_or(self.customers.len());
        if index == self.customers.len() {
            self.customers.push(customer);
        } else {
            self.customers[index] = customer;
        }
        self.indices.insert(name.clone(), index);
        index
    }

    /// Evicts idle customers with the full credit, since a new entry starts in the same state.
    fn evict_idle(&mut self, max_lag_tokens: u64) {
        let earliest = self.virtual_time - max_virtual_lag(max_lag_tokens);
        for (index, customer) in self.customers.iter().enumerate() {
            let is_evictable = customer.waiting.is_empty() && customer.virtual_time <= earliest;
            if is_evictable && self.indices.remove(&customer.name).is_some() {
                self.free_indices.push(index);
            }
        }
    }
}

impl CustomerQueue {
    /// Returns the work served to this customer before its virtual time passes `start_tag`.
    fn work_until(&self, start_tag: VirtualTime, virtual_time: VirtualTime) -> WorkAhead {
        let span = start_tag.saturating_sub(virtual_time).max(0);
        let tokens = span.saturating_mul(i64::from(self.weight)) / VIRTUAL_UNITS;
        let len = self.waiting.len() as u64;
        let mean = (self.waiting_tokens / len.max(1)).max(1);
        // Requests are served one at a time, so round up to a whole number of requests.
        let tokens = tokens.unsigned_abs().div_ceil(mean) * mean;
        let tokens = tokens.min(self.waiting_tokens);
        let requests = (tokens * len).div_ceil(self.waiting_tokens.max(1));
        WorkAhead {
            tokens,
            requests: u32::try_from(requests).unwrap_or(u32::MAX),
        }
    }
}

fn max_virtual_lag(max_lag_tokens: u64) -> VirtualTime {
    i64::try_from(max_lag_tokens)
        .unwrap_or(i64::MAX)
        .min(i64::MAX / VIRTUAL_UNITS / 4)
        * VIRTUAL_UNITS
}
