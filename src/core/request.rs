//! An accepted request for a model's answer.

use serde::{Deserialize, Serialize};

use crate::core::explain::Record;
use crate::core::id::{CustomerId, ModelName, RankName, RequestId};
use crate::core::time::UnixMillis;

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: Box<str>,
    /// Text of the message.
    pub content: Box<str>,
}

/// A request that jayhall has promised to answer, as every node that may serve it needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedRequest {
    /// Names the request.
    pub id: RequestId,
    /// Who pays for it and may read its answer.
    pub customer: CustomerId,
    /// Rank of work.
    pub rank: RankName,
    /// Model that answers.
    pub model: ModelName,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Longest answer in tokens.
    pub max_tokens: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// When it was accepted.
    pub accepted_at: UnixMillis,
    /// What was decided about it so far, and why.
    pub record: Record,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The engine's reason: `stop` or `length`.
    pub reason: Box<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine had cached.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// Estimates the tokens of a conversation: a token is a word with the white space before it.
pub fn estimate_prompt_tokens(messages: &[ChatMessage]) -> u32 {
    let words: usize = messages
        .iter()
        .map(|message| message.content.split_whitespace().count())
        .sum();
    u32::try_from(words).unwrap_or(u32::MAX)
}
