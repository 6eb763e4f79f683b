//! The queue of one home for one model.

use std::collections::{BTreeSet, HashMap};

use thiserror::Error;

use super::floor::FloorAccount;
use super::rank::{DueKey, RankQueue};
use super::{Ahead, Item, Next, QueueRules, WaitingTokens};
use crate::core::id::{RankLevel, RequestId};
use crate::core::time::Moment;

/// Why a request was not queued.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum QueueError {
    /// A request of that name waits already.
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

/// Waiting requests in the order of service.
///
/// Adding, taking and removing cost O(log n) in the requests that wait; looking at what is ahead of
/// a request costs O(customers) in addition.
#[derive(Debug, Default)]
pub struct FairQueue {
    rules: QueueRules,
    ranks: Vec<Rank>,
    items: HashMap<u64, Item>,
    sequences: HashMap<RequestId, u64>,
    by_deadline: BTreeSet<DueKey>,
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

    /// Changes the rules. What waits and what was used stay.
    pub fn set_rules(&mut self, rules: QueueRules) {
        self.rules = rules;
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Fails if a request of that name waits already.
    pub fn push(&mut self, item: Item) -> Result<()> {
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
            .insert(&item, key, self.rules.memory_tokens);
        if !item.is_resumed {
            self.by_deadline.insert(key);
        }
        self.sequences.insert(item.id.clone(), sequence);
        self.items.insert(sequence, item);
        Ok(())
    }

    /// Takes the request that goes next and charges its estimated cost to customer and rank.
    ///
    /// A request is expired once `now` has passed its deadline; it is charged to nobody.
    pub fn pop(&mut self, now: Moment) -> Next {
        if let Some(item) = self.pop_expired(now) {
            return Next::Expired(item);
        }
        let Some(level) = self.next_level() else {
            return Next::Empty;
        };
        let rank = &mut self.ranks[level].queue;
        rank.advance();
        let Some(item) = rank.peek().and_then(|key| self.take(key.1)) else {
            return Next::Empty;
        };
        let cost = i64::from(item.cost_tokens);
        // The rank still counts as waiting for the tokens of its last request.
        self.account(level, cost, cost);
        self.ranks[level].queue.charge(&item.customer, cost);
        self.forgive_if_empty(level);
        Next::Serve(item)
    }

    /// Corrects the charge of a request that was served.
    ///
    /// Also a request that was served but made nothing is settled, with `actual_tokens` 0.
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
        self.account(level, difference, i64::from(actual_tokens));
        self.ranks[level].queue.charge(customer, difference);
        self.forgive_if_empty(level);
    }

    /// Removes a request, for instance because its caller has gone.
    pub fn remove(&mut self, id: &str) -> Option<Item> {
        let sequence = self.sequences.get(id).copied()?;
        let item = self.take(sequence)?;
        self.forgive_if_empty(usize::from(item.level));
        Some(item)
    }

    /// Removes and returns all requests whose deadline `now` has passed, earliest first.
    pub fn expire(&mut self, now: Moment) -> Vec<Item> {
        std::iter::from_fn(|| self.pop_expired(now)).collect()
    }

    /// Returns the earliest deadline of a request that can expire; after it `expire` has to be called.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.by_deadline.first().map(|key| key.0)
    }

    /// Returns what goes before a waiting request if nothing more arrives.
    pub fn position(&self, id: &str) -> Option<Ahead> {
        let sequence = self.sequences.get(id)?;
        let item = self.items.get(sequence)?;
        Some(self.ahead_at(item, (item.deadline, *sequence)))
    }

    /// Returns what would go before a request that is not queued yet.
    pub fn ahead_of(&self, item: &Item) -> Ahead {
        self.ahead_at(item, (item.deadline, self.next_sequence))
    }

    /// Returns the waiting tokens of each rank level.
    pub fn waiting_tokens(&self) -> WaitingTokens {
        self.ranks
            .iter()
            .map(|rank| rank.queue.waiting_tokens())
            .collect()
    }

    /// Returns the share of service in percent that waiting ranks less urgent than `level` keep.
    pub fn floors_below(&self, level: RankLevel) -> u8 {
        (usize::from(level) + 1..self.ranks.len())
            .filter(|below| !self.ranks[*below].queue.is_empty())
            .map(|below| self.rules.floor(below))
            .fold(0, u8::saturating_add)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn pop_expired(&mut self, now: Moment) -> Option<Item> {
        let (deadline, sequence) = self.by_deadline.first().copied()?;
        if deadline >= now {
            return None;
        }
        let item = self.take(sequence)?;
        self.forgive_if_empty(usize::from(item.level));
        Some(item)
    }

    fn take(&mut self, sequence: u64) -> Option<Item> {
        let item = self.items.remove(&sequence)?;
        let key = (item.deadline, sequence);
        self.sequences.remove(&item.id);
        self.by_deadline.remove(&key);
        self.ranks[usize::from(item.level)].queue.remove(&item, key);
        Some(item)
    }

    /// Returns the most urgent waiting level, or the less urgent one that is owed most.
    fn next_level(&self) -> Option<usize> {
        let most_urgent = self.most_urgent()?;
        let owed = (most_urgent + 1..self.ranks.len())
            .filter(|level| !self.ranks[*level].queue.is_empty())
            .filter(|level| self.ranks[*level].floor.owed() > 0)
            .max_by_key(|level| (self.ranks[*level].floor.owed(), usize::MAX - level));
        Some(owed.unwrap_or(most_urgent))
    }

    fn most_urgent(&self) -> Option<usize> {
        self.ranks.iter().position(|rank| !rank.queue.is_empty())
    }

    /// Pays `tokens` of service of `level` into the floors of all waiting ranks.
    fn account(&mut self, level: usize, tokens: i64, request_tokens: i64) {
        for (other, rank) in self.ranks.iter_mut().enumerate() {
            if other == level || !rank.queue.is_empty() {
                rank.floor.accrue(tokens, other, &self.rules);
            }
        }
        self.ranks[level]
            .floor
            .charge(tokens, request_tokens, level, &self.rules);
    }

    fn forgive_if_empty(&mut self, level: usize) {
        if self.ranks[level].queue.is_empty() {
            self.ranks[level].floor.forgive();
        }
    }

    fn ahead_at(&self, item: &Item, key: DueKey) -> Ahead {
        let level = usize::from(item.level);
        let mut total = Ahead::default();
        for rank in self.ranks.iter().take(level) {
            total.tokens += rank.queue.waiting_tokens();
            total.requests += rank.queue.len();
        }
        let Some(rank) = self.ranks.get(level) else {
            return total;
        };
        let cost = |key: &DueKey| self.items.get(&key.1).map_or(0, |i| i.cost_tokens.into());
        let same = rank.queue.ahead(item, key, self.rules.memory_tokens, cost);
        total.tokens += same.tokens;
        total.requests += same.requests;
        // A floor bounds what more urgent ranks can take before the rank's turn.
        total.with_floor(same, self.rules.floor(level))
    }
}

impl Ahead {
    /// Bounds the work ahead by the share that the rank keeps: `same` is the work of its own rank.
    fn with_floor(self, same: Ahead, floor_percent: u8) -> Self {
        let floor = u64::from(floor_percent);
        if floor == 0 || self.tokens == same.tokens {
            return self;
        }
        let own_tokens = same.tokens.max(1);
        Self {
            tokens: self.tokens.min(own_tokens.saturating_mul(100) / floor),
            requests: self.requests,
        }
    }
}
