//! Unfinished work that nodes have sent to one back end.

/// Number of ranks with separate counts; less urgent ranks share the last one.
pub const RANKS: usize = 9;

/// Returns the index of a rank in arrays of [`RANKS`] counts.
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
    /// Prompt tokens that the engine has yet to read (prefill backlog), by rank.
    pub unread: [u32; RANKS],
    /// Tokens of running calls in the engine's KV cache.
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

    /// Returns the load without `part`, which must be contained in it.
    pub fn minus(mut self, part: &Self) -> Self {
        self.calls -= part.calls;
        self.kv_tokens -= part.kv_tokens;
        for rank in 0..RANKS {
            self.waiting[rank] -= part.waiting[rank];
            self.unread[rank] -= part.unread[rank];
        }
        self
    }

    /// Returns the unread tokens of calls that are at least as urgent as `rank`, which the engine reads
    /// before those of a new call.
    pub fn unread_before(&self, rank: usize) -> u32 {
        self.unread[..=rank].iter().sum()
    }

    /// Returns the unread tokens of calls that are less urgent than `rank`.
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
    /// Index of its rank, see [`rank_index`].
    pub rank: usize,
    /// Tokens of its prompt that are not in the engine's cache.
    pub unread: u32,
    /// Tokens that it occupies in the engine's KV cache.
    pub kv_tokens: u32,
}
