//! Queue of one home node for one model.

use std::collections::{BTreeSet, HashMap};

use thiserror::Error;

use super::floor::FloorAccount;
use super::rank::{DeadlineKey, RankQueue};
use super::{Dequeued, QueueRules, QueuedRequest, WaitingTokens, WorkAhead};
use crate::core::id::{RankLevel, RequestId};
use crate::core::time::Moment;

/// Error of adding a request to the queue.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum QueueError {
    /// A request with this id is queued already.
    #[error("request {0} is queued already")]
    Duplicate(RequestId),
}

/// The module's result.
pub type Result<T> = std::result::Result<T, QueueError>;

#[derive(Debug, Default)]
struct Rank {
    queue: RankQueue,
    floor: FloorAccount,
}

/// Waiting requests in scheduling order.
///
/// `push`, `pop` and `remove` take O(log n) in the number of waiting requests; `position` and
/// `ahead_of` take O(customers) in addition.
#[derive(Debug, Default)]
pub struct FairQueue {
    rules: QueueRules,
    ranks: Vec<Rank>,
    items: HashMap<u64, QueuedRequest>,
    sequences: HashMap<RequestId, u64>,
    by_deadline: BTreeSet<DeadlineKey>,
    next_sequence: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(rules: QueueRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Replaces the scheduling parameters. Queued requests and past charges are kept.
    pub fn set_rules(&mut self, rules: QueueRules) {
        self.rules = rules;
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Fails if a request with the same id is queued already.
    pub fn push(&mut self, item: QueuedRequest) -> Result<()> {
        if self.sequences.contains_key(&item.id) {
            return Err(QueueError::Duplicate(item.id));
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let key = (item.deadline, sequence);
        let level = usize::from(item.level);
        if self.ranks.len() <= level {
            self.ranks.resize_with(level + 1, Rank::default);
        }
        self.ranks[level]
            .queue
            .insert(&item, key, self.rules.max_lag_tokens);
        if !item.is_resumed {
            self.by_deadline.insert(key);
        }
        self.sequences.insert(item.id.clone(), sequence);
        self.items.insert(sequence, item);
        Ok(())
    }

    /// Removes the next request and charges its estimated cost to its customer and rank.
    ///
    /// A request whose deadline is before `now` is returned as expired and is not charged.
    pub fn pop(&mut self, now: Moment) -> Dequeued {
        if let Some(item) = self.pop_expired(now) {
            return Dequeued::Expired(item);
        }
        let Some(level) = self.next_level() else {
            return Dequeued::Empty;
        };
        let rank = &mut self.ranks[level].queue;
        rank.advance();
        let Some(item) = rank.peek().and_then(|key| self.remove_by_sequence(key.1)) else {
            return Dequeued::Empty;
        };
        let cost = i64::from(item.cost_tokens);
        // Even if this was the last request of the rank, its tokens are credited to the rank's
        // floor.
        self.record_service(level, cost, cost);
        self.ranks[level].queue.charge(&item.customer, cost);
        self.clear_credit_if_empty(level);
        Dequeued::Serve(item)
    }

    /// Replaces the estimated charge of a served request by its actual cost.
    ///
    /// Also call this for a served request that produced no tokens, with `actual_tokens` 0.
    pub fn settle(
        &mut self,
        customer: &str,
        level: RankLevel,
        estimated_tokens: u32,
        actual_tokens: u32,
    ) {
        let level = usize::from(level);
        if level >= self.ranks.len() {
            return;
        }
        let difference = i64::from(actual_tokens) - i64::from(estimated_tokens);
        self.record_service(level, difference, i64::from(actual_tokens));
        self.ranks[level].queue.charge(customer, difference);
        self.clear_credit_if_empty(level);
    }

    /// Removes a request, for example because its caller has disconnected.
    pub fn remove(&mut self, id: &str) -> Option<QueuedRequest> {
        let sequence = self.sequences.get(id).copied()?;
        let item = self.remove_by_sequence(sequence)?;
        self.clear_credit_if_empty(usize::from(item.level));
        Some(item)
    }

    /// Removes and returns all requests whose deadline is before `now`, earliest deadline first.
    pub fn expire(&mut self, now: Moment) -> Vec<QueuedRequest> {
        std::iter::from_fn(|| self.pop_expired(now)).collect()
    }

    /// Returns the earliest deadline of the requests that can expire. Call `expire` after that
    /// time.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.by_deadline.first().map(|key| key.0)
    }

    /// Returns the work scheduled before a queued request, assuming that nothing else arrives.
    pub fn position(&self, id: &str) -> Option<WorkAhead> {
        let sequence = self.sequences.get(id)?;
        let item = self.items.get(sequence)?;
        Some(self.ahead_at(item, (item.deadline, *sequence)))
    }

    /// Returns the work that would be scheduled before a request that is not queued yet.
    pub fn ahead_of(&self, item: &QueuedRequest) -> WorkAhead {
        self.ahead_at(item, (item.deadline, self.next_sequence))
    }

    /// Returns the estimated tokens of the waiting requests of each rank level.
    pub fn waiting_tokens(&self) -> WaitingTokens {
        self.ranks
            .iter()
            .map(|rank| rank.queue.waiting_tokens())
            .collect()
    }

    /// Returns the sum of the floors, in percent, of backlogged ranks less urgent than `level`.
    pub fn floors_below(&self, level: RankLevel) -> u8 {
        (usize::from(level) + 1..self.ranks.len())
            .filter(|below| !self.ranks[*below].queue.is_empty())
            .map(|below| self.rules.floor(below))
            .fold(0, u8::saturating_add)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn pop_expired(&mut self, now: Moment) -> Option<QueuedRequest> {
        let (deadline, sequence) = self.by_deadline.first().copied()?;
        if deadline >= now {
            return None;
        }
        let item = self.remove_by_sequence(sequence)?;
        self.clear_credit_if_empty(usize::from(item.level));
        Some(item)
    }

    fn remove_by_sequence(&mut self, sequence: u64) -> Option<QueuedRequest> {
        let item = self.items.remove(&sequence)?;
        let key = (item.deadline, sequence);
        self.sequences.remove(&item.id);
        self.by_deadline.remove(&key);
        self.ranks[usize::from(item.level)].queue.remove(&item, key);
        Some(item)
    }

    /// Returns the less urgent backlogged level with the largest positive floor balance, or else
    /// the most urgent backlogged level.
    fn next_level(&self) -> Option<usize> {
        let most_urgent = self.most_urgent()?;
        let below_floor = (most_urgent + 1..self.ranks.len())
            .filter(|level| !self.ranks[*level].queue.is_empty())
            .filter(|level| self.ranks[*level].floor.balance() > 0)
            .max_by_key(|level| (self.ranks[*level].floor.balance(), usize::MAX - level));
        Some(below_floor.unwrap_or(most_urgent))
    }

    fn most_urgent(&self) -> Option<usize> {
        self.ranks.iter().position(|rank| !rank.queue.is_empty())
    }

    /// Records `tokens` served to `level` in the floor accounts of that rank and of all backlogged
    /// ranks.
    fn record_service(&mut self, level: usize, tokens: i64, request_tokens: i64) {
        for (other, rank) in self.ranks.iter_mut().enumerate() {
            if other == level || !rank.queue.is_empty() {
                rank.floor.accrue(tokens, other, &self.rules);
            }
        }
        self.ranks[level]
            .floor
            .charge(tokens, request_tokens, level, &self.rules);
    }

    fn clear_credit_if_empty(&mut self, level: usize) {
        if self.ranks[level].queue.is_empty() {
            self.ranks[level].floor.clear_credit();
        }
    }

    fn ahead_at(&self, item: &QueuedRequest, key: DeadlineKey) -> WorkAhead {
        let level = usize::from(item.level);
        let mut total = WorkAhead::default();
        for rank in self.ranks.iter().take(level) {
            total.tokens += rank.queue.waiting_tokens();
            total.requests += rank.queue.len();
        }
        let Some(rank) = self.ranks.get(level) else {
            return total;
        };
        let cost = |key: &DeadlineKey| self.items.get(&key.1).map_or(0, |i| i.cost_tokens.into());
        let same_rank = rank.queue.ahead(item, key, self.rules.max_lag_tokens, cost);
        total.tokens += same_rank.tokens;
        total.requests += same_rank.requests;
        // The rank's floor limits how much more urgent work can be served before this request.
        total.limit_by_floor(same_rank, self.rules.floor(level))
    }
}

impl WorkAhead {
    /// Limits the work ahead by the rank's guaranteed share; `same_rank` is the part of the same
    /// rank.
    fn limit_by_floor(self, same_rank: WorkAhead, floor_percent: u8) -> Self {
        let floor = u64::from(floor_percent);
        if floor == 0 || self.tokens == same_rank.tokens {
            return self;
        }
        let rank_tokens = same_rank.tokens.max(1);
        Self {
            tokens: self.tokens.min(rank_tokens.saturating_mul(100) / floor),
            requests: self.requests,
        }
    }
}
