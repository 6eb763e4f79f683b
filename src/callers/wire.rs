//! JSON bodies of the callers' API, compatible with OpenAI's chat completions.

use serde::{Deserialize, Serialize};

use crate::core::request::{ChatMessage, Completion};
use crate::ops::accept::ChatCall;

#[derive(Debug, Deserialize)]
pub(super) struct ChatBody {
    model: Box<str>,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    pub(super) stream: bool,
    rank: Option<Box<str>>,
}

impl From<ChatBody> for ChatCall {
    fn from(body: ChatBody) -> Self {
        Self {
            model: body.model,
            messages: body.messages,
            max_tokens: body.max_tokens,
            rank: body.rank,
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    cached_tokens: u32,
}

impl From<&Completion> for Usage {
    fn from(completion: &Completion) -> Self {
        Self {
            prompt_tokens: completion.prompt_tokens,
            completion_tokens: completion.completion_tokens,
            total_tokens: completion.prompt_tokens + completion.completion_tokens,
            cached_tokens: completion.cached_tokens,
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    choices: [ChunkChoice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct ChunkChoice {
    index: u32,
    delta: Delta,
    finish_reason: Option<Box<str>>,
}

#[derive(Debug, Default, Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
}

impl<'a> Chunk<'a> {
    pub(super) fn with_text(id: &'a str, text: String) -> Self {
        Self::new(id, Some(text), None, None)
    }

    pub(super) fn last(id: &'a str, completion: &Completion) -> Self {
        let reason = Some(completion.reason.clone());
        Self::new(id, None, reason, Some(completion.into()))
    }

    fn new(
        id: &'a str,
        content: Option<String>,
        finish_reason: Option<Box<str>>,
        usage: Option<Usage>,
    ) -> Self {
        Self {
            id,
            object: "chat.completion.chunk",
            choices: [ChunkChoice {
                index: 0,
                delta: Delta { content },
                finish_reason,
            }],
            usage,
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct CompletionBody<'a> {
    id: &'a str,
    object: &'static str,
    choices: [CompletionChoice; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct CompletionChoice {
    index: u32,
    message: ChatMessage,
    finish_reason: Box<str>,
}

impl<'a> CompletionBody<'a> {
    pub(super) fn new(id: &'a str, text: String, completion: &Completion) -> Self {
        Self {
            id,
            object: "chat.completion",
            choices: [CompletionChoice {
                index: 0,
                message: ChatMessage {
                    role: "assistant".into(),
                    content: text.into(),
                },
                finish_reason: completion.reason.clone(),
            }],
            usage: completion.into(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct ModelList {
    pub(super) object: &'static str,
    pub(super) data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
pub(super) struct ModelEntry {
    pub(super) id: Box<str>,
    pub(super) object: &'static str,
}

#[derive(Debug, Serialize)]
pub(super) struct DirectoryBody {
    pub(super) addresses: Vec<Box<str>>,
    pub(super) lifetime_ms: u128,
}

/// Body of the `moved` event, the last event of a stream that another node continues.
#[derive(Debug, Serialize)]
pub(super) struct MovedBody {
    pub(super) address: Option<Box<str>>,
    pub(super) path: Box<str>,
}

#[derive(Debug, Serialize)]
pub(super) struct HealthBody {
    pub(super) serving: bool,
    pub(super) node: Box<str>,
    pub(super) revision: u64,
    pub(super) members: usize,
    pub(super) backends: usize,
}
