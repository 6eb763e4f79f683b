//! Client of model engines, over their OpenAI-style HTTP interface.

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

/// Timeout for the head of an engine's response, including its wait in the engine's queue.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a short call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an engine that was full may be tried again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a call to an engine failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// No connection was made; the engine has received nothing.
    #[error("engine at {address} could not be reached: {detail}")]
    NotReached {
        /// Address of the engine.
        address: Address,
        /// Error of the HTTP client.
        detail: Box<str>,
    },
    /// The engine has no free slot; it has started nothing.
    #[error("engine at {address} is full; ask again in {retry_after:?}")]
    Busy {
        /// Address of the engine.
        address: Address,
        /// Time after which the call may be retried.
        retry_after: Duration,
    },
    /// The engine refused the call; it has started nothing.
    #[error("engine at {address} refused with status {status}")]
    Refused {
        /// Address of the engine.
        address: Address,
        /// HTTP status.
        status: u16,
    },
    /// The connection failed or timed out after the engine may have started.
    #[error("engine at {address} was lost: {detail}")]
    Lost {
        /// Address of the engine.
        address: Address,
        /// Error that was observed.
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

/// Event of an engine's response stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A generated token.
    Token {
        /// Offset in the answer.
        offset: TokenOffset,
        /// Text of the token.
        text: Box<str>,
    },
    /// The end of the answer.
    Finished(Completion),
}

/// Events of one attempt, in order of arrival.
pub type EngineStream = BoxStream<'static, Result<EngineEvent>>;

/// Parameters of an attempt to be started on an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineAttempt<'a> {
    /// The request.
    pub request: &'a AcceptedRequest,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Priority; 0 is the most urgent.
    pub priority: RankLevel,
    /// Tokens of the answer that another engine has generated already.
    pub prior_tokens: &'a [Box<str>],
    /// KV cache state that another engine exported.
    pub kv_blob: Option<&'a [u8]>,
}

/// KV cache state of an engine for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportedKv {
    /// The state, opaque except to another engine with the same model.
    pub blob: Box<[u8]>,
    /// Number of tokens of the answer that the engine had generated.
    pub tokens: TokenOffset,
}

/// Client for engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
}

impl EngineClient {
    /// Creates a client on a shared HTTP client and its connections.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }

    /// Starts an attempt and returns its event stream.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, is full, refuses the call or does not respond in time.
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

    /// Reattaches to an attempt after its connection was lost; events start at the offset `from`.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or no longer runs the attempt.
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

    /// Cancels a request. If the engine cannot be reached, it ends the request by itself.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or does not know the request.
    pub async fn cancel(&self, address: Address, request: &str) -> Result<()> {
        let req = self
            .http
            .delete(format!("http://{address}/v1/streams/{request}"));
        self.call(address, req).await.map(drop)
    }

    /// Stops a request and exports its KV cache state.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, does not know the request or cannot export the state.
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
        let res = check_response(address, timeout(HEAD_TIMEOUT, req.send()).await)?;
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
        check_response(address, timeout(CALL_TIMEOUT, req.send()).await)
    }
}

type SendResult =
    std::result::Result<reqwest::Result<reqwest::Response>, tokio::time::error::Elapsed>;

fn check_response(address: Address, sent: SendResult) -> Result<reqwest::Response> {
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
            retry_after: BUSY_RETRY_DELAY,
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

/// Decodes one event. Returns `None` for events that contain neither a token nor the end of the answer.
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
