//! JSON messages of the engines' interface.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use super::{EngineAttempt, ExportedKv};
use crate::core::request::{ChatMessage, Completion};

/// Finish reasons of a complete answer.
const COMPLETE_REASONS: [&str; 2] = ["stop", "length"];

#[derive(Debug, Serialize)]
pub(super) struct CompletionRequest<'a> {
    model: &'a str,
    messages: &'a [ChatMessage],
    max_tokens: u32,
    stream: bool,
    request_id: &'a str,
    attempt: u32,
    priority: u8,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    prior_tokens: &'a [Box<str>],
    #[serde(skip_serializing_if = "Option::is_none")]
    kv_blob: Option<String>,
}

impl<'a> From<EngineAttempt<'a>> for CompletionRequest<'a> {
    fn from(attempt: EngineAttempt<'a>) -> Self {
        Self {
            model: &attempt.request.model,
            messages: &attempt.request.messages,
            max_tokens: attempt.request.max_tokens,
            stream: true,
            request_id: &attempt.request.id,
            attempt: attempt.attempt,
            priority: attempt.priority,
            prior_tokens: attempt.prior_tokens,
            kv_blob: attempt.kv_blob.map(|blob| STANDARD.encode(blob)),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<Box<str>>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<Box<str>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Usage {
    prompt_tokens: u32,
    cached_tokens: u32,
    completion_tokens: u32,
}

impl Chunk {
    /// Returns the completion, if this chunk ends a complete answer. An engine also ends the stream of
    /// a request that was exported or cancelled; such an end does not mean that the answer is complete.
    pub(super) fn completion(&self) -> Option<Completion> {
        let reason = self.choices.first()?.finish_reason.clone()?;
        if !COMPLETE_REASONS.contains(&&*reason) {
            return None;
        }
        let usage = self.usage.as_ref();
        Some(Completion {
            reason,
            prompt_tokens: usage.map_or(0, |usage| usage.prompt_tokens),
            cached_tokens: usage.map_or(0, |usage| usage.cached_tokens),
            completion_tokens: usage.map_or(0, |usage| usage.completion_tokens),
        })
    }

    /// Returns the text of the chunk's token, if it has one.
    pub(super) fn into_text(self) -> Option<Box<str>> {
        self.choices.into_iter().next()?.delta.content
    }
}

#[derive(Debug, Serialize)]
pub(super) struct KvExport<'a> {
    pub(super) request_id: &'a str,
}

#[derive(Debug, Deserialize)]
pub(super) struct KvExported {
    kv_blob: String,
    tokens: u32,
}

impl From<KvExported> for ExportedKv {
    fn from(exported: KvExported) -> Self {
        let blob = STANDARD.decode(&exported.kv_blob).unwrap_or_default();
        Self {
            blob: blob.into(),
            tokens: exported.tokens,
        }
    }
}
