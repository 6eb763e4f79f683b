//! Accepted request to a model.

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

/// Accepted request, with all data that a node needs to serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedRequest {
    /// Request id.
    pub id: RequestId,
    /// Customer who is charged and may read the answer.
    pub customer: CustomerId,
    /// Rank of work.
    pub rank: RankName,
    /// Requested model.
    pub model: ModelName,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Time of acceptance.
    pub accepted_at: UnixMillis,
    /// Decisions about the request so far, with their causes.
    pub record: Record,
}

/// Finish reason and token counts of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Finish reason of the engine: `stop` or `length`.
    pub reason: Box<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine had cached.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// Estimates the tokens of a conversation. A token is a word with its preceding white space.
pub fn estimate_prompt_tokens(messages: &[ChatMessage]) -> u32 {
    let words: usize = messages
        .iter()
        .map(|message| message.content.split_whitespace().count())
        .sum();
    u32::try_from(words).unwrap_or(u32::MAX)
}
