//! Which engines probably hold which prompt blocks.
//!
//! Cache events come late and with gaps, so the index is a guess that must never be wrong expensively:
//! a wrong entry costs a prompt computed again. Prompts that were routed to an engine count as held
//! from the moment of routing; events add and make doubtful; a gap makes all that was known before
//! doubtful; the engine's own count of cached tokens settles it. The memory is bounded: the entries used least
//! lately are dropped, whatever their engine.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use super::blocks::{BLOCK_TOKENS, BlockHash, PromptBlocks};
use crate::core::id::VmId;

/// What happened to blocks of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEventKind {
    /// The blocks are cached now.
    Stored,
    /// The blocks are cached no longer.
    Removed,
    /// Nothing is cached any longer.
    Cleared,
}

/// An event of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event; one more than that of the event before.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// To which blocks; empty for `Cleared`.
    pub blocks: Vec<BlockHash>,
}

/// Prompt tokens that an engine probably holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTokens {
    /// Leading tokens of the prompt that the index has.
    pub tokens: u32,
    /// The part of them that is doubtful since events were lost.
    pub doubtful: u32,
}

impl CachedTokens {
    /// Returns the tokens to reckon with: doubtful ones count seven eighths. Most of what is doubtful
    /// is still there, and a larger discount makes conversations move to engines that hold less.
    pub fn expected(self) -> u32 {
        self.tokens - self.doubtful / 8
    }
}

type EngineIndex = u32;
type Tick = u64;

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: EngineIndex,
    used: Tick,
    confirmed: Tick,
}

#[derive(Debug)]
struct Engine {
    name: VmId,
    last_sequence: Option<u64>,
    /// What was confirmed before is doubtful.
    doubtful_before: Tick,
}

/// Which engines probably hold which prompt blocks.
#[derive(Debug)]
pub struct PrefixIndex {
    max_entries: usize,
    blocks: HashMap<BlockHash, SmallVec<[Holder; 1]>>,
    by_use: BTreeMap<Tick, (BlockHash, EngineIndex)>,
    engines: Vec<Engine>,
    indices: HashMap<VmId, EngineIndex>,
    free: Vec<EngineIndex>,
    tick: Tick,
}

impl PrefixIndex {
    /// Entries, of about 100 bytes each, unless set otherwise.
    pub const MAX_ENTRIES: usize = 65_536;

    /// Creates an empty index that holds at most `max_entries` pairs of block and engine.
    pub fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            engines: Vec::new(),
            indices: HashMap::new(),
            free: Vec::new(),
            tick: 0,
        }
    }

    /// Returns the number of pairs of block and engine.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Remembers that a prompt goes to an engine, which will hold it.
    pub fn routed(&mut self, engine: &str, prompt: &PromptBlocks) {
        let engine = self.index_of(engine);
        // From the end, so that the start of a prompt is dropped last.
        for block in prompt.hashes.iter().rev() {
            self.store(engine, *block);
        }
    }

    /// Learns how many tokens of a routed prompt the engine in fact had cached, when `expected` were
    /// known before it was routed.
    ///
    /// What lies behind them was computed by this request and is held since.
    pub fn observed(
        &mut self,
        engine: &str,
        prompt: &PromptBlocks,
        expected: CachedTokens,
        cached_tokens: u32,
    ) {
        let index = self.index_of(engine);
        if cached_tokens < expected.tokens - expected.doubtful {
            // The engine has dropped blocks of which no event told.
            self.engines[index as usize].doubtful_before = self.next_tick();
        }
        self.routed(engine, prompt);
    }

    /// Takes in events of an engine's cache, in the order of their numbers. Old ones are ignored.
    pub fn apply(&mut self, engine: &str, events: &[CacheEvent]) {
        let engine = self.index_of(engine);
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

    /// Forgets an engine that has gone or was started anew.
    pub fn forget(&mut self, engine: &str) {
        let Some(index) = self.indices.remove(engine) else {
            return;
        };
        self.clear(index);
        self.free.push(index);
    }

    /// Returns what an engine probably holds of a prompt.
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
            if holder.confirmed < doubtful_before {
                cached.doubtful += BLOCK_TOKENS;
            }
        }
        cached
    }

    /// Returns the engines that probably hold the start of a prompt, without looking at the others.
    pub fn holders(&self, prompt: &PromptBlocks) -> SmallVec<[VmId; 4]> {
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
                    self.store(engine, *block);
                }
            }
            CacheEventKind::Removed => {
                for block in &event.blocks {
                    self.doubt(engine, *block);
                }
            }
            CacheEventKind::Cleared => self.clear(engine),
        }
    }

    fn store(&mut self, engine: EngineIndex, block: BlockHash) {
        let tick = self.next_tick();
        let holders = self.blocks.entry(block).or_default();
        match holders.iter_mut().find(|holder| holder.engine == engine) {
            Some(holder) => {
                self.by_use.remove(&holder.used);
                holder.used = tick;
                holder.confirmed = tick;
            }
            None => holders.push(Holder {
                engine,
                used: tick,
                confirmed: tick,
            }),
        }
        self.by_use.insert(tick, (block, engine));
        if self.by_use.len() > self.max_entries
            && let Some((_, (block, engine))) = self.by_use.first_key_value()
        {
            self.remove(*engine, *block);
        }
    }

    /// Keeps a removed block as a doubtful entry. Its prompt stays with the engine unless another one
    /// is better: prompts that move at each removal leave copies behind that displace others.
    fn doubt(&mut self, engine: EngineIndex, block: BlockHash) {
        let holders = self.blocks.get_mut(&block);
        let holder = holders.and_then(|h| h.iter_mut().find(|h| h.engine == engine));
        if let Some(holder) = holder {
            holder.confirmed = 0;
        }
    }

    fn remove(&mut self, engine: EngineIndex, block: BlockHash) {
        let Some(holders) = self.blocks.get_mut(&block) else {
            return;
        };
        if let Some(at) = holders.iter().position(|holder| holder.engine == engine) {
            let holder = holders.swap_remove(at);
            self.by_use.remove(&holder.used);
        }
        if holders.is_empty() {
            self.blocks.remove(&block);
        }
    }

    fn clear(&mut self, engine: EngineIndex) {
        let held: Vec<BlockHash> = self
            .by_use
            .values()
            .filter(|(_, holder)| *holder == engine)
            .map(|(block, _)| *block)
            .collect();
        for block in held {
            self.remove(engine, block);
        }
    }

    fn index_of(&mut self, name: &str) -> EngineIndex {
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        let engine = Engine {
            name: name.into(),
            last_sequence: None,
            doubtful_before: 1,
        };
        let index = match self.free.pop() {
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
