//! Approximate index of the prompt blocks in the engines' prefix caches.
//!
//! Cache events arrive late and with gaps, so the index is approximate; a wrong entry costs at most
//! the recomputation of a prompt. The blocks of a prompt count as cached as soon as it is routed to
//! an engine. Stored events add entries, removed events mark entries doubtful, and a gap in the
//! events marks all earlier entries of the engine doubtful. The count of cached tokens that the
//! engine reports with an answer confirms or refutes them. The index is bounded: the least recently
//! used entries of all engines are evicted.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use super::blocks::{BLOCK_TOKENS, BlockHash, PromptBlocks};
use crate::core::id::VmId;

/// Kind of an engine's cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEventKind {
    /// The blocks were added to the cache.
    Stored,
    /// The blocks were evicted from the cache.
    Removed,
    /// The whole cache was cleared.
    Cleared,
}

/// Event of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number, without gaps at the sender.
    pub sequence: u64,
    /// Kind of event.
    pub kind: CacheEventKind,
    /// Affected blocks; empty for `Cleared`.
    pub blocks: Vec<BlockHash>,
}

/// Prompt tokens that an engine probably has cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTokens {
    /// Leading tokens of the prompt that are in the index.
    pub tokens: u32,
    /// The part of `tokens` that may have been evicted since.
    pub doubtful: u32,
}

impl CachedTokens {
    /// Returns the expected number of cached tokens; doubtful tokens count seven eighths. Most
    /// doubtful tokens are still cached, and a larger discount moves conversations to engines that
    /// have fewer of their tokens cached.
    pub fn expected(self) -> u32 {
        self.tokens - self.doubtful / 8
    }
}

type EngineIndex = u32;
type Tick = u64;

#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    engine: EngineIndex,
    last_used: Tick,
    confirmed_at: Tick,
}

#[derive(Debug)]
struct Engine {
    name: VmId,
    last_sequence: Option<u64>,
    /// Entries confirmed before this tick are doubtful.
    doubtful_before: Tick,
}

/// Approximate index of the prompt blocks in the engines' prefix caches.
#[derive(Debug)]
pub struct PrefixIndex {
    max_entries: usize,
    blocks: HashMap<BlockHash, SmallVec<[CacheEntry; 1]>>,
    by_use: BTreeMap<Tick, (BlockHash, EngineIndex)>,
    engines: Vec<Engine>,
    indices: HashMap<VmId, EngineIndex>,
    free_indices: Vec<EngineIndex>,
    tick: Tick,
}

impl PrefixIndex {
    /// Default number of entries, of about 100 bytes each.
    pub const MAX_ENTRIES: usize = 65_536;

    /// Creates an empty index of at most `max_entries` pairs of block and engine.
    pub fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            engines: Vec::new(),
            indices: HashMap::new(),
            free_indices: Vec::new(),
            tick: 0,
        }
    }

    /// Returns the number of pairs of block and engine.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Returns whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Records that a prompt is routed to an engine, which will cache its blocks.
    pub fn record_routed(&mut self, engine: &str, prompt: &PromptBlocks) {
        let engine = self.index_or_insert(engine);
        // In reverse order, so that the first blocks of a prompt are evicted last.
        for block in prompt.hashes.iter().rev() {
            self.insert(engine, *block);
        }
    }

    /// Records that the engine reported `cached_tokens` for a routed prompt. `expected` is the
    /// result of [`Self::cached`] before the prompt was routed.
    ///
    /// The remaining blocks were computed by this request and are cached since.
    pub fn record_cached(
        &mut self,
        engine: &str,
        prompt: &PromptBlocks,
        expected: CachedTokens,
        cached_tokens: u32,
    ) {
        let index = self.index_or_insert(engine);
        if cached_tokens < expected.tokens - expected.doubtful {
            // The engine has evicted blocks without an event that arrived here.
            self.engines[index as usize].doubtful_before = self.next_tick();
        }
        self.record_routed(engine, prompt);
    }

    /// Applies events of an engine's cache in sequence order. Old events are ignored.
    pub fn apply(&mut self, engine: &str, events: &[CacheEvent]) {
        let engine = self.index_or_insert(engine);
        for event in events {
            let last = self.engines[engine as usize].last_sequence;
            if last.is_some_and(|last| event.sequence <= last) {
                continue;
            }
            if last.is_some_and(|last| event.sequence > last + 1) {
                self.engines[engine as usize].doubtful_before = self.next_tick();
            }
            self.engines[engine as usize].last_sequence = Some(event.sequence);
            self.apply_event(engine, event);
        }
    }

    /// Removes an engine that is gone or was restarted.
    pub fn remove_engine(&mut self, engine: &str) {
        let Some(index) = self.indices.remove(engine) else {
            return;
        };
        self.remove_entries_of(index);
        self.free_indices.push(index);
    }

    /// Returns the tokens of a prompt that an engine probably has cached.
    pub fn cached(&self, engine: &str, prompt: &PromptBlocks) -> CachedTokens {
        let mut cached = CachedTokens::default();
        let Some(&index) = self.indices.get(engine) else {
            return cached;
        };
        let doubtful_before = self.engines[index as usize].doubtful_before;
        for block in &prompt.hashes {
            let holder = self.blocks.get(block);
            let Some(holder) = holder.and_then(|h| h.iter().find(|h| h.engine == index)) else {
                break;
            };
            cached.tokens += BLOCK_TOKENS;
            if holder.confirmed_at < doubtful_before {
                cached.doubtful += BLOCK_TOKENS;
            }
        }
        cached
    }

    /// Returns the engines that probably have the first block of a prompt cached, without a scan of
    /// all engines.
    pub fn engines_with_prefix(&self, prompt: &PromptBlocks) -> SmallVec<[VmId; 4]> {
        let Some(first) = prompt.hashes.first().and_then(|b| self.blocks.get(b)) else {
            return SmallVec::new();
        };
        first
            .iter()
            .map(|holder| self.engines[holder.engine as usize].name.clone())
            .collect()
    }

    fn apply_event(&mut self, engine: EngineIndex, event: &CacheEvent) {
        match event.kind {
            CacheEventKind::Stored => {
                for block in &event.blocks {
                    self.insert(engine, *block);
                }
            }
            CacheEventKind::Removed => {
                for block in &event.blocks {
                    self.mark_doubtful(engine, *block);
                }
            }
            CacheEventKind::Cleared => self.remove_entries_of(engine),
        }
    }

    fn insert(&mut self, engine: EngineIndex, block: BlockHash) {
        let tick = self.next_tick();
        let holders = self.blocks.entry(block).or_default();
        match holders.iter_mut().find(|holder| holder.engine == engine) {
            Some(holder) => {
                self.by_use.remove(&holder.last_used);
                holder.last_used = tick;
                holder.confirmed_at = tick;
            }
            None => holders.push(CacheEntry {
                engine,
                last_used: tick,
                confirmed_at: tick,
            }),
        }
        self.by_use.insert(tick, (block, engine));
        if self.by_use.len() > self.max_entries
            && let Some((_, (block, engine))) = self.by_use.first_key_value()
        {
            self.remove(*engine, *block);
        }
    }

    /// Marks a removed block doubtful instead of dropping its entry, so that its prompt stays on
    /// the engine unless another engine is better. Prompts that move at each removal leave copies
    /// on several engines, which displace other prompts.
    fn mark_doubtful(&mut self, engine: EngineIndex, block: BlockHash) {
        let holders = self.blocks.get_mut(&block);
        let holder = holders.and_then(|h| h.iter_mut().find(|h| h.engine == engine));
        if let Some(holder) = holder {
            holder.confirmed_at = 0;
        }
    }

    fn remove(&mut self, engine: EngineIndex, block: BlockHash) {
        let Some(holders) = self.blocks.get_mut(&block) else {
            return;
        };
        if let Some(at) = holders.iter().position(|holder| holder.engine == engine) {
            let holder = holders.swap_remove(at);
            self.by_use.remove(&holder.last_used);
        }
        if holders.is_empty() {
            self.blocks.remove(&block);
        }
    }

    fn remove_entries_of(&mut self, engine: EngineIndex) {
        let blocks: Vec<BlockHash> = self
            .by_use
            .values()
            .filter(|(_, holder)| *holder == engine)
            .map(|(block, _)| *block)
            .collect();
        for block in blocks {
            self.remove(engine, block);
        }
    }

    fn index_or_insert(&mut self, name: &str) -> EngineIndex {
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        let engine = Engine {
            name: name.into(),
            last_sequence: None,
            doubtful_before: 1,
        };
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.engines[index as usize] = engine;
                index
            }
            None => {
                self.engines.push(engine);
                (self.engines.len() - 1) as EngineIndex
            }
        };
        self.indices.insert(name.into(), index);
        index
    }

    fn next_tick(&mut self) -> Tick {
        self.tick += 1;
        self.tick
    }
}
