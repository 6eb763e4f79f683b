//! Model of an engine's prompt cache.
//!
//! The model is built from the prompts that this node sent. It evicts the least recently used parts when
//! the engine's memory is full, as engines do.

use std::collections::{HashMap, VecDeque};

/// Identifies a part of a prompt, which several prompts may share.
pub type PartId = u64;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its identifier.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Estimated content of one engine's prompt cache.
#[derive(Debug, Default)]
pub struct PromptCache {
    cached: HashMap<PartId, CachedPart>,
    use_order: VecDeque<(PartId, u64)>,
    use_count: u64,
    tokens: u64,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

impl PromptCache {
    /// Returns the number of cached tokens at the start of a prompt.
    pub fn cached_tokens(&self, parts: &[Part]) -> u32 {
        parts
            .iter()
            .take_while(|part| self.cached.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Empties the cache, as a restart of the engine does.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds the parts of a prompt that the engine reads, and evicts the least recently used parts beyond
    /// `capacity` tokens.
    pub fn read(&mut self, parts: &[Part], capacity: u64) {
        for part in parts {
            self.use_count += 1;
            let cached = self.cached.entry(part.id).or_insert(CachedPart {
                tokens: 0,
                last_use: 0,
            });
            self.tokens += u64::from(part.tokens) - u64::from(cached.tokens.min(part.tokens));
            cached.tokens = cached.tokens.max(part.tokens);
            cached.last_use = self.use_count;
            self.use_order.push_back((part.id, self.use_count));
        }
        while self.tokens > capacity {
            let Some((id, use_number)) = self.use_order.pop_front() else {
                return;
            };
            if self
                .cached
                .get(&id)
                .is_some_and(|cached| cached.last_use == use_number)
            {
                let cached = self.cached.remove(&id);
                self.tokens -= cached.map_or(0, |cached| u64::from(cached.tokens));
            }
        }
    }
}
