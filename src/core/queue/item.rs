//! What waits in a queue, and the rules of its order.

use smallvec::SmallVec;

use crate::core::document::Document;
use crate::core::id::{CustomerId, RankLevel, RequestId, VmId};
use crate::core::time::Moment;

/// Waiting tokens by rank level.
pub type WaitingTokens = SmallVec<[u64; 4]>;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Name of the request.
    pub id: RequestId,
    /// Customer who is charged.
    pub customer: CustomerId,
    /// Rank level; 0 is the most urgent.
    pub level: RankLevel,
    /// Weight of the customer; 0 counts as 1.
    pub weight: u32,
    /// Estimated cost in work tokens; see [`crate::core::estimate::Estimate::work_tokens`].
    pub cost_tokens: u32,
    /// When the first token is due at the latest.
    pub deadline: Moment,
    /// When the request arrived.
    pub arrived: Moment,
    /// Engine whose prefix cache suits the request.
    pub preferred_engine: Option<VmId>,
    /// Whether a part of the answer has been made already. Such a request never expires.
    pub is_resumed: bool,
}

/// What the holder of a free slot does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Serve the request. Its estimated cost is charged; see `settle`.
    Serve(Item),
    /// Refuse the request, whose deadline has passed, and ask again.
    Expired(Item),
    /// Nothing waits.
    Empty,
}

/// Work that goes before a request if nothing more arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Estimated tokens.
    pub tokens: u64,
    /// Requests, approximate where customers share.
    pub requests: u32,
}

/// Rules of the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRules {
    /// Floor of each rank level in percent of served tokens; levels beyond the list have none.
    pub floors: SmallVec<[u8; 4]>,
    /// Served tokens over which a floor holds.
    pub floor_window_tokens: u64,
    /// Tokens at weight 1 by which a customer may be ahead of or behind the others.
    pub memory_tokens: u64,
}

impl QueueRules {
    /// Served tokens over which a floor holds, unless set otherwise.
    pub const FLOOR_WINDOW_TOKENS: u64 = 20_000;
    /// Tokens at weight 1 that the memory of use spans, unless set otherwise.
    pub const MEMORY_TOKENS: u64 = 20_000;

    /// Returns the rules that a document asks for.
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

    /// Returns the floor of a level in percent.
    pub fn floor(&self, level: usize) -> u8 {
        self.floors.get(level).copied().unwrap_or(0)
    }
}

impl Default for QueueRules {
    fn default() -> Self {
        Self {
            floors: SmallVec::new(),
            floor_window_tokens: Self::FLOOR_WINDOW_TOKENS,
            memory_tokens: Self::MEMORY_TOKENS,
        }
    }
}
