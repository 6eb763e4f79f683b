//! Tokens, cache blocks and the deterministic answers of the engine.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens in one cache block.
pub const BLOCK_TOKENS: usize = 16;
/// Shortest answer that a prompt without `len=N` gets, in tokens.
const MIN_ANSWER_TOKENS: u32 = 16;
/// Number of lengths that a prompt without `len=N` may get.
const ANSWER_LENGTHS: u64 = 112;
/// Words that answers are made of.
const WORDS: [&str; 16] = [
    "stave", "hoop", "kiln", "cedar", "plane", "joint", "seam", "batch", "arch", "helium", "satin",
    "pearl", "frame", "quote", "order", "sheet",
];

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: Box<str>,
    /// Text.
    pub content: Box<str>,
}

impl Message {
    /// Returns a message of the user.
    pub fn user(content: &str) -> Self {
        Self {
            role: "user".into(),
            content: content.into(),
        }
    }
}

/// Splits text into tokens: each word with the white space before it.
pub fn split_tokens(text: &str) -> Vec<Box<str>> {
    let mut tokens = Vec::new();
    let mut start = 0;
    let mut in_word = false;
    for (i, c) in text.char_indices() {
        if c.is_whitespace() && in_word {
            tokens.push(text[start..i].into());
            start = i;
        }
        in_word = !c.is_whitespace();
    }
    if in_word {
        tokens.push(text[start..].into());
    }
    tokens
}

/// Returns the tokens of a prompt: for each message `<|role|>` and its words, then `<|assistant|>`.
pub fn prompt_tokens(messages: &[Message]) -> Vec<Box<str>> {
    let mut tokens = Vec::new();
    for message in messages {
        tokens.push(format!("<|{}|>", message.role).into());
        tokens.extend(split_tokens(&message.content));
    }
    tokens.push("<|assistant|>".into());
    tokens
}

/// Returns the hash of each full block. It covers the model and all tokens up to the block's end.
pub fn block_hashes(model: &str, tokens: &[Box<str>]) -> Vec<u64> {
    let mut hash = xxh3_64(model.as_bytes());
    let mut hashes = Vec::with_capacity(tokens.len() / BLOCK_TOKENS);
    for block in tokens.chunks_exact(BLOCK_TOKENS) {
        hash = xxh3_64_with_seed(block.join("\0").as_bytes(), hash);
        hashes.push(hash);
    }
    hashes
}

/// Returns a hash over all tokens, the ones behind the last full block among them.
pub(crate) fn context_hash(model: &str, tokens: &[Box<str>]) -> u64 {
    xxh3_64_with_seed(tokens.join("\0").as_bytes(), xxh3_64(model.as_bytes()))
}

/// The answer that a prompt gets on every engine and at every attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Script {
    seed: u64,
    /// Tokens of the whole answer, prior tokens among them.
    pub(crate) len: u32,
    /// Whether `max_tokens` ended the answer.
    pub(crate) is_cut: bool,
}

impl Script {
    pub(crate) fn new(model: &str, prompt: &[Box<str>], max_tokens: u32) -> Self {
        let seed = context_hash(model, prompt);
        let derived = MIN_ANSWER_TOKENS + (seed % ANSWER_LENGTHS) as u32;
        let wanted = asked_len(prompt).unwrap_or(derived);
        Self {
            seed,
            len: wanted.min(max_tokens),
            is_cut: wanted > max_tokens,
        }
    }

    /// Returns the token at an offset of the answer.
    pub(crate) fn token(&self, offset: u32) -> String {
        let hash = xxh3_64_with_seed(&offset.to_le_bytes(), self.seed);
        let word = WORDS[(hash % WORDS.len() as u64) as usize];
        let space = if offset == 0 { "" } else { " " };
        format!("{space}{word}{}", (hash >> 32) % 1000)
    }
}

/// Returns the length that the last word of the form `len=N` asks for.
fn asked_len(prompt: &[Box<str>]) -> Option<u32> {
    let asked = prompt.iter().rev();
    asked
        .filter_map(|token| token.trim().strip_prefix("len="))
        .find_map(|n| n.parse().ok())
}

/// Returns the tokens that any engine answers to a prompt.
pub fn expected_answer(model: &str, messages: &[Message], max_tokens: u32) -> Vec<String> {
    let script = Script::new(model, &prompt_tokens(messages), max_tokens);
    (0..script.len).map(|offset| script.token(offset)).collect()
}
