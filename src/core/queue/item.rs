//! Queue entries and scheduling parameters.

use smallvec::SmallVec;

use crate::core::document::Document;
use crate::core::id::{CustomerId, RankLevel, RequestId, VmId};
use crate::core::time::Moment;

/// Estimated tokens of waiting requests, indexed by rank level.
pub type WaitingTokens = SmallVec<[u64; 4]>;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Request id.
    pub id: RequestId,
    /// Customer whose share is charged.
    pub customer: CustomerId,
    /// Rank level; 0 is the most urgent.
    pub level: RankLevel,
    /// Weight of the customer; 0 counts as 1.
    pub weight: u32,
    /// Estimated cost in work tokens; see [`crate::core::estimate::Estimate::work_tokens`].
    pub cost_tokens: u32,
    /// Latest time for the first token.
    pub deadline: Moment,
    /// Arrival time.
    pub arrived: Moment,
    /// Engine that probably has the longest cached prefix of the prompt.
    pub preferred_engine: Option<VmId>,
    /// Whether part of the answer has been generated already. Such a request never expires.
    pub is_resumed: bool,
}

/// Result of asking the queue for work for a free slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// Serve the request. Its estimated cost has been charged and is corrected later by
    /// [`super::FairQueue::settle`].
    Serve(QueuedRequest),
    /// Refuse the request because its deadline has passed, then ask again.
    Expired(QueuedRequest),
    /// No request is waiting.
    Empty,
}

/// Work scheduled before a request, assuming that nothing else arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkAhead {
    /// Estimated tokens.
    pub tokens: u64,
    /// Number of requests; approximate if several customers share the rank.
    pub requests: u32,
}

/// Scheduling parameters of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRules {
    /// Floor of each rank level in percent of served tokens; levels beyond the end have a floor of
    /// 0.
    pub floors: SmallVec<[u8; 4]>,
    /// Window, in served tokens, over which floors are guaranteed.
    pub floor_window_tokens: u64,
    /// Largest lead or lag of a customer against its fair share, in tokens at weight 1.
    pub max_lag_tokens: u64,
}

impl QueueRules {
    /// Default of `floor_window_tokens`.
    pub const DEFAULT_FLOOR_WINDOW_TOKENS: u64 = 20_000;
    /// Default of `max_lag_tokens`.
    pub const DEFAULT_MAX_LAG_TOKENS: u64 = 20_000;

    /// Returns the parameters configured in the operators' document.
    pub fn from_document(doc: &Document) -> Self {
        let mut rules = Self::default();
        for rank in &doc.ranks {
            let level = usize::from(rank.level);
            if rules.floors.len() <= level {
                rules.floors.resize(level + 1, 0);
            }
            rules.floors[level] = rank.floor_percent;
        }
        rules
    }

    /// Returns the floor of a rank level in percent.
    pub fn floor(&self, level: usize) -> u8 {
        self.floors.get(level).copied().unwrap_or(0)
    }
}

impl Default for QueueRules {
    fn default() -> Self {
        Self {
            floors: SmallVec::new(),
            floor_window_tokens: Self::DEFAULT_FLOOR_WINDOW_TOKENS,
            max_lag_tokens: Self::DEFAULT_MAX_LAG_TOKENS,
        }
    }
}
