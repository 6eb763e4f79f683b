//! What an engine's prompt cache is believed to hold.
//!
//! The belief comes from the prompts that this node sent. Engines drop the parts used least recently
//! when their memory is full; the belief does the same.

use std::collections::{HashMap, VecDeque};

/// Names a part of a prompt that several prompts share.
pub type PartId = u64;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Belief about one engine's prompt cache.
#[derive(Debug, Default)]
pub struct PromptCache {
    held: HashMap<PartId, Held>,
    order: VecDeque<(PartId, u64)>,
    uses: u64,
    tokens: u64,
}

#[derive(Debug)]
struct Held {
    tokens: u32,
    last_use: u64,
}

impl PromptCache {
    /// Returns how many tokens at the start of a prompt need not be read again.
    pub fn held_tokens(&self, parts: &[Part]) -> u32 {
        parts
            .iter()
            .take_while(|part| self.held.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Forgets everything, as an engine does that starts again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Notes that the engine reads a prompt, and forgets what it then has no room for.
    pub fn read(&mut self, parts: &[Part], capacity: u64) {
        for part in parts {
            self.uses += 1;
            let held = self.held.entry(part.id).or_insert(Held {
                tokens: 0,
                last_use: 0,
            });
            self.tokens += u64::from(part.tokens) - u64::from(held.tokens.min(part.tokens));
            held.tokens = held.tokens.max(part.tokens);
            held.last_use = self.uses;
            self.order.push_back((part.id, self.uses));
        }
        while self.tokens > capacity {
            let Some((id, used)) = self.order.pop_front() else {
                return;
            };
            if self.held.get(&id).is_some_and(|held| held.last_use == used) {
                let held = self.held.remove(&id);
                self.tokens -= held.map_or(0, |held| u64::from(held.tokens));
            }
        }
    }
}
