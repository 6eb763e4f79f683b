//! Hashes of the blocks in which engines cache prompts.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::core::request::ChatMessage;

/// Tokens in one cache block.
pub const BLOCK_TOKENS: u32 = 16;

/// Hash of a block, computed over the model and all tokens from the start of the prompt to the end
/// of the block.
pub type BlockHash = u64;

/// Hashes of the full blocks of a prompt, in order from its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    /// One hash per block.
    pub hashes: Vec<BlockHash>,
}

impl PromptBlocks {
    /// Computes the blocks of a conversation. A token is a word with its preceding white space, and
    /// every message starts with a token that names its role.
    pub fn of_messages(model: &str, messages: &[ChatMessage]) -> Self {
        let mut hasher = BlockHasher::new(model);
        for message in messages {
            hasher.push(&format!("<|{}|>", message.role));
            push_words(&mut hasher, &message.content);
        }
        hasher.push("<|assistant|>");
        Self {
            hashes: hasher.hashes,
        }
    }
}

fn push_words(hasher: &mut BlockHasher, text: &str) {
    let mut start = 0;
    let mut is_in_word = false;
    for (at, c) in text.char_indices() {
        if c.is_whitespace() && is_in_word {
            hasher.push(&text[start..at]);
            start = at;
        }
        is_in_word = !c.is_whitespace();
    }
    if is_in_word {
        hasher.push(&text[start..]);
    }
}

struct BlockHasher {
    previous_hash: BlockHash,
    block: String,
    tokens: u32,
    hashes: Vec<BlockHash>,
}

impl BlockHasher {
    fn new(model: &str) -> Self {
        Self {
            previous_hash: xxh3_64(model.as_bytes()),
            block: String::new(),
            tokens: 0,
            hashes: Vec::new(),
        }
    }

    fn push(&mut self, token: &str) {
        if self.tokens > 0 {
            self.block.push('\0');
        }
        self.block.push_str(token);
        self.tokens += 1;
        if self.tokens == BLOCK_TOKENS {
            self.previous_hash = xxh3_64_with_seed(self.block.as_bytes(), self.previous_hash);
            self.hashes.push(self.previous_hash);
            self.block.clear();
            self.tokens = 0;
        }
    }
}
