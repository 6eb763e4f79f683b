//! Model engines, over their OpenAI-style HTTP interface.

mod control;
mod wire;

use std::time::Duration;

use eventsource_stream::{Event, Eventsource};
use futures::stream::{BoxStream, StreamExt};
use reqwest::StatusCode;
use thiserror::Error;
use tokio::time::timeout;

use crate::core::dispatch::Attachment;
use crate::core::id::{Address, AttemptNumber, RankLevel, TokenOffset};
use crate::core::request::{AcceptedRequest, Completion};
use crate::core::verdict::Verdict;

pub use control::{EngineControl, EngineLoad, OrderOutcome};

use wire::{Chunk, CompletionRequest, KvExport, KvExported};

/// Longest wait for the head of an engine's answer, queueing in the engine included.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for an engine's answer to a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait before an engine that was full is asked again.
const BUSY_RETRY: Duration = Duration::from_millis(50);

/// Why a call to an engine failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// No connection; the engine has seen nothing.
    #[error("engine at {address} could not be reached: {detail}")]
    NotReached {
        /// Where the engine was sought.
        address: Address,
        /// The client's message.
        detail: Box<str>,
    },
    /// The engine has no place; it has started nothing.
    #[error("engine at {address} is full; ask again in {retry_after:?}")]
    Busy {
        /// The engine.
        address: Address,
        /// When to ask again.
        retry_after: Duration,
    },
    /// The engine refused; it has started nothing.
    #[error("engine at {address} refused with status {status}")]
    Refused {
        /// The engine.
        address: Address,
        /// HTTP status.
        status: u16,
    },
    /// The connection failed or fell silent after the engine may have started.
    #[error("engine at {address} was lost: {detail}")]
    Lost {
        /// The engine.
        address: Address,
        /// What was seen.
        detail: Box<str>,
    },
}

impl EngineError {
    /// Returns whether the engine may have started the work.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotReached { .. } | Self::Busy { .. } | Self::Refused { .. } => Verdict::NotRun,
            Self::Lost { .. } => Verdict::MayHaveRun,
        }
    }
}

/// The module's result.
pub type Result<T> = std::result::Result<T, EngineError>;

/// What an engine sends while it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token.
    Token {
        /// Offset in the answer.
        offset: TokenOffset,
        /// Text of the token.
        text: Box<str>,
    },
    /// The end of the answer.
    Finished(Completion),
}

/// Events of one attempt, in the order in which they arrive.
pub type EngineStream = BoxStream<'static, Result<EngineEvent>>;

/// An attempt for an engine to start.
#[derive(Clone, Copy, Debug)]
pub struct EngineAttempt<'a> {
    /// The request.
    pub request: &'a AcceptedRequest,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Priority; 0 is the most urgent.
    pub priority: RankLevel,
    /// Tokens that were made elsewhere.
    pub prior_tokens: &'a [Box<str>],
    /// Cache state that was exported elsewhere.
    pub kv_blob: Option<&'a [u8]>,
}

/// State of an engine's cache for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportedKv {
    /// The state, only meant for another engine of the same model.
    pub blob: Box<[u8]>,
    /// Tokens of the answer that the engine had made.
    pub tokens: TokenOffset,
}

/// Client for all engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
}

impl EngineClient {
    /// Creates a client over shared connections.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }

    /// Starts an attempt and returns its events.
    ///
    /// # Errors
    ///
    /// Fails where the engine cannot be reached, is full, refuses, or falls silent.
    pub async fn start(
        &self,
        address: Address,
        attempt: EngineAttempt<'_>,
    ) -> Result<EngineStream> {
        let body = CompletionRequest::from(attempt);
        let req = self
            .http
            .post(format!("http://{address}/v1/chat/completions"))
            .json(&body);
        self.open_stream(address, req).await
    }

    /// Attaches again to an attempt whose connection was lost.
    ///
    /// # Errors
    ///
    /// Fails where the engine cannot be reached or no longer makes the attempt.
    pub async fn attach(
        &self,
        address: Address,
        request: &str,
        attachment: &Attachment,
        from: TokenOffset,
    ) -> Result<EngineStream> {
        let attempt = attachment.attempt;
        let url = format!("http://{address}/v1/streams/{request}?attempt={attempt}&from={from}");
        let opened = self.open_stream(address, self.http.get(url));
        match timeout(CALL_TIMEOUT, opened).await {
            Ok(opened) => opened,
            Err(elapsed) => Err(lost(address, &elapsed)),
        }
    }

    /// Cancels a request. An engine that cannot be reached ends it by itself.
    ///
    /// # Errors
    ///
    /// Fails where the engine cannot be reached or does not know the request.
    pub async fn cancel(&self, address: Address, request: &str) -> Result<()> {
        let req = self
            .http
            .delete(format!("http://{address}/v1/streams/{request}"));
        self.call(address, req).await.map(drop)
    }

    /// Stops a request and exports the state of the engine's cache for it.
    ///
    /// # Errors
    ///
    /// Fails where the engine cannot be reached, does not know the request or cannot export.
    pub async fn export_kv(&self, address: Address, request: &str) -> Result<ExportedKv> {
        let req = self
            .http
            .post(format!("http://{address}/v1/kv/export"))
            .json(&KvExport {
                request_id: request,
            });
        let res = self.call(address, req).await?;
        let exported: KvExported = res.json().await.map_err(|e| lost(address, &e))?;
        Ok(exported.into())
    }

    async fn open_stream(
        &self,
        address: Address,
        req: reqwest::RequestBuilder,
    ) -> Result<EngineStream> {
        let res = checked(address, timeout(HEAD_TIMEOUT, req.send()).await)?;
        let events = res.bytes_stream().eventsource();
        let events = events.filter_map(move |event| async move {
            match event {
                Ok(event) => decode(address, &event).transpose(),
                Err(e) => Some(Err(lost(address, &e))),
            }
        });
        Ok(events.boxed())
    }

    async fn call(
        &self,
        address: Address,
        req: reqwest::RequestBuilder,
    ) -> Result<reqwest::Response> {
        checked(address, timeout(CALL_TIMEOUT, req.send()).await)
    }
}

type Sent = std::result::Result<reqwest::Result<reqwest::Response>, tokio::time::error::Elapsed>;

fn checked(address: Address, sent: Sent) -> Result<reqwest::Response> {
    let res = match sent {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() => {
            return Err(EngineError::NotReached {
                address,
                detail: e.to_string().into(),
            });
        }
        Ok(Err(e)) => return Err(lost(address, &e)),
        Err(elapsed) => return Err(lost(address, &elapsed)),
    };
    match res.status() {
        status if status.is_success() => Ok(res),
        StatusCode::TOO_MANY_REQUESTS => Err(EngineError::Busy {
            address,
            retry_after: BUSY_RETRY,
        }),
        status => Err(EngineError::Refused {
            address,
            status: status.as_u16(),
        }),
    }
}

fn lost(address: Address, e: &dyn std::fmt::Display) -> EngineError {
    EngineError::Lost {
        address,
        detail: e.to_string().into(),
    }
}

/// Decodes one event; `None` for events that carry neither a token nor the end.
fn decode(address: Address, event: &Event) -> Result<Option<EngineEvent>> {
    if event.data == "[DONE]" {
        return Ok(None);
    }
    let chunk: Chunk = serde_json::from_str(&event.data).map_err(|e| lost(address, &e))?;
    if let Some(completion) = chunk.completion() {
        return Ok(Some(EngineEvent::Finished(completion)));
    }
    let Some(text) = chunk.into_text() else {
        return Ok(None);
    };
    let offset = event.id.parse().map_err(|e| lost(address, &e))?;
    Ok(Some(EngineEvent::Token { offset, text }))
}
