//! Conversions of requests and answers between the domain types and the wire.

use jayhall_wire as wire;
use thiserror::Error;

use crate::core::answer::Failure;
use crate::core::dispatch::{Attachment, DispatchEvent, DispatchOrder};
use crate::core::explain::{Record, RecordEntry};
use crate::core::request::{AcceptedRequest, Completion};
use crate::core::verdict::Verdict;
use crate::ops::follow::AnswerEvent;

/// Error of an invalid message of another node.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a peer's message has no valid `{field}`")]
pub struct MalformedMessage {
    /// Field that is missing or not valid.
    pub field: &'static str,
}

/// The module's result.
pub type Result<T> = std::result::Result<T, MalformedMessage>;

fn malformed<E>(field: &'static str) -> impl FnOnce(E) -> MalformedMessage {
    move |_| MalformedMessage { field }
}

pub(super) fn missing(field: &'static str) -> MalformedMessage {
    MalformedMessage { field }
}

/// Converts strings from the wire.
pub(crate) fn boxed_strs(tokens: Vec<String>) -> Vec<Box<str>> {
    tokens.into_iter().map(String::into_boxed_str).collect()
}

/// Converts strings to the wire.
pub(crate) fn strings(tokens: &[Box<str>]) -> Vec<String> {
    tokens.iter().map(ToString::to_string).collect()
}

impl From<&RecordEntry> for wire::RecordEntry {
    fn from(entry: &RecordEntry) -> Self {
        Self {
            at_unix_ms: entry.at,
            entry: serde_json::to_string(entry).unwrap_or_default(),
        }
    }
}

impl TryFrom<&wire::RecordEntry> for RecordEntry {
    type Error = MalformedMessage;

    fn try_from(entry: &wire::RecordEntry) -> Result<Self> {
        serde_json::from_str(&entry.entry).map_err(malformed("record"))
    }
}

/// Converts a record to the wire.
pub(crate) fn record_to_wire(record: &Record) -> Vec<wire::RecordEntry> {
    record.entries.iter().map(Into::into).collect()
}

/// Converts a record from the wire.
///
/// # Errors
///
/// Fails where an entry is not valid.
pub(crate) fn record_from_wire(entries: &[wire::RecordEntry], left_out: u32) -> Result<Record> {
    let entries = entries
        .iter()
        .map(RecordEntry::try_from)
        .collect::<Result<_>>()?;
    Ok(Record { entries, left_out })
}

impl From<&AcceptedRequest> for wire::AcceptedRequest {
    fn from(request: &AcceptedRequest) -> Self {
        Self {
            id: request.id.to_string(),
            customer: request.customer.to_string(),
            rank: request.rank.to_string(),
            model: request.model.to_string(),
            body: serde_json::to_vec(&request.messages).unwrap_or_default(),
            max_tokens: request.max_tokens,
            is_stream: false,
            accepted_at_unix_ms: request.accepted_at,
            prompt_tokens: request.prompt_tokens,
            record: record_to_wire(&request.record),
        }
    }
}

impl TryFrom<wire::AcceptedRequest> for AcceptedRequest {
    type Error = MalformedMessage;

    fn try_from(request: wire::AcceptedRequest) -> Result<Self> {
        if request.id.is_empty() {
            return Err(missing("id"));
        }
        Ok(Self {
            id: request.id.into(),
            customer: request.customer.into(),
            rank: request.rank.into(),
            model: request.model.into(),
            messages: serde_json::from_slice(&request.body).map_err(malformed("body"))?,
            max_tokens: request.max_tokens,
            prompt_tokens: request.prompt_tokens,
            accepted_at: request.accepted_at_unix_ms,
            record: record_from_wire(&request.record, 0)?,
        })
    }
}

pub(super) fn finished_to_wire(total: u32, completion: Completion) -> wire::Finished {
    wire::Finished {
        reason: completion.reason.into(),
        prompt_tokens: completion.prompt_tokens,
        cached_tokens: completion.cached_tokens,
        completion_tokens: completion.completion_tokens,
        total,
    }
}

impl From<wire::Finished> for Completion {
    fn from(finished: wire::Finished) -> Self {
        Self {
            reason: finished.reason.into(),
            prompt_tokens: finished.prompt_tokens,
            cached_tokens: finished.cached_tokens,
            completion_tokens: finished.completion_tokens,
        }
    }
}

impl From<Completion> for wire::Finished {
    fn from(completion: Completion) -> Self {
        finished_to_wire(0, completion)
    }
}

pub(super) fn attachment_from_wire(engine: String, attempt: u32) -> Option<Attachment> {
    (!engine.is_empty()).then(|| Attachment {
        engine: engine.into(),
        attempt,
    })
}

pub(super) fn attachment_to_wire(attachment: Option<Attachment>) -> (String, u32) {
    attachment.map_or_else(Default::default, |a| (a.engine.into(), a.attempt))
}

fn blob_from_wire(blob: Vec<u8>) -> Option<Box<[u8]>> {
    (!blob.is_empty()).then(|| blob.into())
}

fn verdict_from_wire(verdict: &str) -> Verdict {
    match verdict {
        "not_run" => Verdict::NotRun,
        "ran" => Verdict::Ran,
        _ => Verdict::MayHaveRun,
    }
}

impl From<&DispatchOrder> for wire::DispatchRequest {
    fn from(order: &DispatchOrder) -> Self {
        let (attach_engine, attach_attempt) = attachment_to_wire(order.attachment.clone());
        Self {
            request: Some((&order.request).into()),
            attempt: order.attempt,
            from: order.from.to_string(),
            prior_tokens: strings(&order.prior_tokens),
            preferred_engine: order.preferred_engine.clone().unwrap_or_default().into(),
            attach_engine,
            attach_attempt,
            kv_blob: order.kv_blob.clone().unwrap_or_default().into(),
            deadline_ms: order.deadline_ms,
        }
    }
}

impl TryFrom<wire::DispatchRequest> for DispatchOrder {
    type Error = MalformedMessage;

    fn try_from(order: wire::DispatchRequest) -> Result<Self> {
        let preferred = order.preferred_engine;
        Ok(Self {
            request: order.request.ok_or(missing("request"))?.try_into()?,
            attempt: order.attempt,
            from: order.from.into(),
            prior_tokens: boxed_strs(order.prior_tokens),
            preferred_engine: (!preferred.is_empty()).then(|| preferred.into()),
            attachment: attachment_from_wire(order.attach_engine, order.attach_attempt),
            kv_blob: blob_from_wire(order.kv_blob),
            deadline_ms: order.deadline_ms,
        })
    }
}

impl From<DispatchEvent> for wire::DispatchEvent {
    fn from(event: DispatchEvent) -> Self {
        use wire::dispatch_event::Event;
        let event = match event {
            DispatchEvent::Queued {
                position,
                expected_wait_ms,
            } => Event::Queued(wire::Queued {
                position,
                expected_wait_ms,
            }),
            DispatchEvent::Started {
                engine,
                engine_attempt,
                waited_ms,
            } => Event::Started(wire::Started {
                engine: engine.into(),
                waited_ms,
                engine_attempt,
            }),
            DispatchEvent::Tokens { offset, tokens } => Event::Tokens(wire::Tokens {
                offset,
                tokens: strings(&tokens),
            }),
            DispatchEvent::Finished { total, completion } => {
                Event::Finished(finished_to_wire(total, completion))
            }
            DispatchEvent::Refused {
                cause,
                verdict,
                retry_after_ms,
            } => Event::Refused(wire::Refused {
                cause: cause.into(),
                retry_after_ms,
                verdict: verdict.to_string(),
            }),
            DispatchEvent::Moved {
                cause,
                attachment,
                kv_blob,
                verdict,
            } => {
                let (engine, engine_attempt) = attachment_to_wire(attachment);
                Event::Moved(wire::Moved {
                    cause: cause.into(),
                    kv_blob: kv_blob.unwrap_or_default().into(),
                    engine,
                    engine_attempt,
                    verdict: verdict.to_string(),
                })
            }
        };
        Self { event: Some(event) }
    }
}

impl TryFrom<wire::DispatchEvent> for DispatchEvent {
    type Error = MalformedMessage;

    fn try_from(event: wire::DispatchEvent) -> Result<Self> {
        use wire::dispatch_event::Event;
        Ok(match event.event.ok_or(missing("event"))? {
            Event::Queued(queued) => Self::Queued {
                position: queued.position,
                expected_wait_ms: queued.expected_wait_ms,
            },
            Event::Started(started) => Self::Started {
                engine: started.engine.into(),
                engine_attempt: started.engine_attempt,
                waited_ms: started.waited_ms,
            },
            Event::Tokens(tokens) => Self::Tokens {
                offset: tokens.offset,
                tokens: boxed_strs(tokens.tokens),
            },
            Event::Finished(finished) => Self::Finished {
                total: finished.total,
                completion: finished.into(),
            },
            Event::Refused(refused) => Self::Refused {
                verdict: verdict_from_wire(&refused.verdict),
                cause: refused.cause.into(),
                retry_after_ms: refused.retry_after_ms,
            },
            Event::Moved(moved) => Self::Moved {
                verdict: verdict_from_wire(&moved.verdict),
                cause: moved.cause.into(),
                attachment: attachment_from_wire(moved.engine, moved.engine_attempt),
                kv_blob: blob_from_wire(moved.kv_blob),
            },
        })
    }
}

impl From<AnswerEvent> for wire::AnswerEvent {
    fn from(event: AnswerEvent) -> Self {
        use wire::answer_event::Event;
        let event = match event {
            AnswerEvent::Tokens { offset, tokens } => Event::Tokens(wire::Tokens {
                offset,
                tokens: strings(&tokens),
            }),
            AnswerEvent::Complete(completion) => Event::Finished(completion.into()),
            AnswerEvent::Failure(failure) => Event::Refused(wire::Refused {
                cause: failure.cause.into(),
                retry_after_ms: failure.retry_after_ms,
                verdict: failure.verdict.to_string(),
            }),
            AnswerEvent::ServedBy(node) => Event::Successor(node.into()),
            AnswerEvent::Unknown => Event::Unknown(true),
        };
        Self { event: Some(event) }
    }
}

impl TryFrom<wire::AnswerEvent> for AnswerEvent {
    type Error = MalformedMessage;

    fn try_from(event: wire::AnswerEvent) -> Result<Self> {
        use wire::answer_event::Event;
        Ok(match event.event.ok_or(missing("event"))? {
            Event::Tokens(tokens) => Self::Tokens {
                offset: tokens.offset,
                tokens: boxed_strs(tokens.tokens),
            },
            Event::Finished(finished) => Self::Complete(finished.into()),
            Event::Refused(refused) => Self::Failure(Failure {
                verdict: verdict_from_wire(&refused.verdict),
                cause: refused.cause.into(),
                retry_after_ms: refused.retry_after_ms,
            }),
            Event::Successor(node) => Self::ServedBy(node.into()),
            Event::Unknown(_) => Self::Unknown,
            Event::Accepted(_) => return Err(missing("event")),
        })
    }
}
