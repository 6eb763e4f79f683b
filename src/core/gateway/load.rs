//! Work that nodes have given to one back end and that is not done yet.

/// Ranks that are told apart; less urgent ones count as the last of these.
pub const RANKS: usize = 9;

/// Returns the place of a rank among those that are told apart.
pub fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Unfinished work of one node at one back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that have not ended.
    pub calls: u32,
    /// Calls without a first event or an answer, by rank.
    pub waiting: [u32; RANKS],
    /// Tokens of prompts that the engine has yet to read, by rank.
    pub unread: [u32; RANKS],
    /// Tokens that running calls hold in the engine's memory.
    pub kv_tokens: u32,
}

impl Load {
    /// Returns the sum of two loads.
    pub fn plus(mut self, other: &Self) -> Self {
        self.calls += other.calls;
        self.kv_tokens += other.kv_tokens;
        for rank in 0..RANKS {
            self.waiting[rank] += other.waiting[rank];
            self.unread[rank] += other.unread[rank];
        }
        self
    }

    /// Returns what is left of a sum without one of its parts.
    pub fn minus(mut self, part: &Self) -> Self {
        self.calls -= part.calls;
        self.kv_tokens -= part.kv_tokens;
        for rank in 0..RANKS {
            self.waiting[rank] -= part.waiting[rank];
            self.unread[rank] -= part.unread[rank];
        }
        self
    }

    /// Returns the tokens that the engine reads before those of a new call of a rank.
    pub fn unread_before(&self, rank: usize) -> u32 {
        self.unread[..=rank].iter().sum()
    }

    /// Returns the tokens of less urgent calls than a new call of a rank.
    pub fn unread_after(&self, rank: usize) -> u32 {
        self.unread[rank + 1..].iter().sum()
    }

    /// Returns whether there is no work.
    pub fn is_idle(&self) -> bool {
        self.calls == 0
    }
}

/// What one call adds to the load of its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallLoad {
    /// Its rank, as [`rank_index`] gives it.
    pub rank: usize,
    /// Tokens of its prompt that are not in the engine's cache.
    pub unread: u32,
    /// Tokens that it holds in the engine's memory.
    pub kv_tokens: u32,
}
