//! One attempt: a call sent to one back end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::call::Call;
use super::confirm;
use super::dialect::ForwardMetadata;
use super::origin_archive::OriginArchive;
use super::pool::{BackendPool, Connection, SendError};
use super::reach;
use super::response::{self, BackendResponse};
use super::running::RunningAttempt;
use super::state::GatewayState;
use crate::core::gateway::backends::Outcome;
use crate::core::gateway::placement::RefusalCause;
use crate::core::gateway::software::AllowedSoftware;
use crate::core::gateway::stream_origins::StreamOrigin;
use crate::core::verdict::Verdict;
use crate::sources::http::{HttpClient, ReceivedBody};

/// Shared state that every attempt needs.
pub struct GatewayContext {
    /// State of the node.
    pub state: Arc<GatewayState>,
    /// Connection pool for back ends.
    pub pool: BackendPool,
    /// HTTP client for other nodes.
    pub peers: HttpClient,
    /// Origins of streams in the store.
    pub archive: OriginArchive,
    /// Origins of streams that other nodes are to keep.
    pub new_origins: mpsc::Sender<StreamOrigin>,
}

/// Why an attempt has no usable response.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// The connection could not be made, or failed during the exchange.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response does not belong to this call or cannot be trusted.
    #[error("unusable response from {backend}: {problem}")]
    Unusable {
        /// The back end.
        backend: Box<str>,
        /// What is wrong with the response.
        problem: &'static str,
    },
    /// The back end sent no response head within the timeout.
    #[error("no response from {backend} within {} ms", .after.as_millis())]
    ResponseTimeout {
        /// The back end.
        backend: Box<str>,
        /// The timeout.
        after: Duration,
    },
    /// The back end states that it did not run the call.
    #[error("{backend} declined the call with status {status}")]
    Declined {
        /// The back end.
        backend: Box<str>,
        /// Status of its response.
        status: StatusCode,
    },
    /// The back end failed with a status that callers read as "not run", which the back end does not state.
    #[error("{backend} failed with status {status} and does not state that the call has not run")]
    Failed {
        /// The back end.
        backend: Box<str>,
        /// Status of its response.
        status: StatusCode,
    },
    /// The back end stopped accepting calls while the connection was opened.
    #[error("{backend} no longer accepts calls")]
    NotAccepting {
        /// The back end.
        backend: Box<str>,
    },
    /// The node through which the call was forwarded refused it.
    #[error("node {node} refused the call")]
    NodeRefused {
        /// The node.
        node: Box<str>,
        /// Whether the call may have run.
        verdict: Verdict,
    },
    /// The stream may go on only at the process that the registry lists, and it is not known to answer.
    #[error("the listed process of {backend} is not confirmed")]
    NotConfirmed {
        /// The back end.
        backend: Box<str>,
    },
    /// The call has crashed back ends, or others of its kind have, and is not sent.
    #[error("the call is quarantined")]
    Quarantined,
    /// No back end can be tried.
    #[error("no back end can be tried: {cause:?}")]
    NoCandidate {
        /// Reason.
        cause: RefusalCause,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

impl AttemptError {
    /// Returns whether the call may have run at this back end.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Send(e) => e.verdict(),
            Self::NodeRefused { verdict, .. } => *verdict,
            Self::Unusable { .. } | Self::ResponseTimeout { .. } | Self::Failed { .. } => {
                Verdict::MayHaveRun
            }
            Self::Declined { .. }
            | Self::NotAccepting { .. }
            | Self::NotConfirmed { .. }
            | Self::Quarantined
            | Self::NoCandidate { .. } => Verdict::NotRun,
        }
    }

    /// Returns whether the back end has responded to the call.
    pub fn has_response(&self) -> bool {
        matches!(self, Self::Declined { .. } | Self::Failed { .. })
    }
}

/// Interval between two decisions whether to go on waiting for a silent back end.
pub const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How long the head of a response is waited for.
pub struct HeadWait<'a> {
    /// Time without a head after which another back end may be tried.
    pub timeout: Duration,
    /// Notified when the request is sent.
    pub on_send: Option<oneshot::Sender<()>>,
    /// Returns whether the attempt ends without a response, given the time since the request was sent. It is asked after
    /// the timeout and then every [`SILENCE_CHECK_INTERVAL`].
    pub gives_up: &'a mut (dyn FnMut(Duration) -> bool + Send),
}

/// Sends a call to the chosen back end and waits for the head of the response. A stream goes on at the software version
/// that `allowed` names.
///
/// # Errors
///
/// Fails if there is no usable response.
pub async fn send(
    cx: &Arc<GatewayContext>,
    call: &Call,
    mut running: RunningAttempt,
    allowed: AllowedSoftware,
    last_event: Option<u64>,
    wait: HeadWait<'_>,
) -> Result<BackendResponse, AttemptError> {
    let result = send_to_backend(cx, call, &mut running, allowed, last_event, wait).await;
    let (connection, res) = match result {
        Ok(answered) => answered,
        Err(e) => {
            if matches!(e, AttemptError::Send(SendError::NotReached { .. })) {
                reach::note_unreached(cx, &call.service.name, running.backend());
            }
            running.set_outcome(match e {
                AttemptError::NotAccepting { .. }
                | AttemptError::NotConfirmed { .. }
                | AttemptError::Quarantined => Outcome::Declined,
                AttemptError::Send(SendError::Lost { .. }) => Outcome::BrokeOff,
                AttemptError::ResponseTimeout { .. } => Outcome::Silent,
                _ => Outcome::Unreachable,
            });
            return Err(e);
        }
    };
    reach::note_reached(cx, &call.service.name);
    response::receive(cx, call, running, connection, res)
}

async fn send_to_backend(
    cx: &Arc<GatewayContext>,
    call: &Call,
    running: &mut RunningAttempt,
    allowed: AllowedSoftware,
    last_event: Option<u64>,
    wait: HeadWait<'_>,
) -> Result<(Connection, hyper::Response<ReceivedBody>), AttemptError> {
    let at_most_once = !call.route.kind.may_repeat();
    let address = running.place.backend.address;
    let connection = cx.pool.acquire(address, at_most_once).await?;
    if let Err(e) = check_send(cx, running) {
        cx.pool.release(connection, None);
        return Err(e);
    }
    let mut connection = confirm::confirm(cx, call, running, allowed, connection).await?;
    if let Err(e) = check_send(cx, running) {
        cx.pool.release(connection, None);
        return Err(e);
    }
    let send = ForwardMetadata {
        backend: running.backend(),
        deadline: call.remaining(),
        customer: call.customer_name(),
        rank: call.rank(),
        last_event,
    };
    let headers = cx.state.dialect.forward_head(&call.headers, &send);
    let req = request(call, headers);
    let res = exchange(&mut connection, req, running.backend(), wait).await?;
    Ok((connection, res))
}

/// Checks that a call may be sent to its back end now.
fn check_send(cx: &GatewayContext, running: &RunningAttempt) -> Result<(), AttemptError> {
    let now = cx.state.now();
    if !cx.state.backends.lock().may_send(&running.place, now) {
        return Err(AttemptError::NotAccepting {
            backend: running.backend().into(),
        });
    }
    let backend = &running.place.backend;
    let rollouts = cx.state.rollouts.lock();
    if !rollouts.may_send(&backend.service, backend.software.as_deref()) {
        return Err(AttemptError::NotAccepting {
            backend: running.backend().into(),
        });
    }
    drop(rollouts);
    if !running.is_probe && cx.state.quarantine.lock().blocks(&running.suspects) {
        return Err(AttemptError::Quarantined);
    }
    Ok(())
}

/// Sends a request to a back end or node and waits for the head of the response.
///
/// # Errors
///
/// Fails if there is no response.
pub async fn exchange(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
    receiver: &str,
    mut wait: HeadWait<'_>,
) -> Result<hyper::Response<ReceivedBody>, AttemptError> {
    let sent = Instant::now();
    if let Some(on_send) = wait.on_send.take() {
        // Nobody waits for it any more if this fails.
        let _ = on_send.send(());
    }
    let mut answer = std::pin::pin!(connection.send(req));
    let mut next_check = wait.timeout;
    loop {
        if let Ok(answered) = tokio::time::timeout(next_check, &mut answer).await {
            return Ok(answered?);
        }
        if (wait.gives_up)(sent.elapsed()) {
            return Err(AttemptError::ResponseTimeout {
                backend: receiver.into(),
                after: sent.elapsed(),
            });
        }
        next_check = SILENCE_CHECK_INTERVAL;
    }
}

/// Returns the request of a call with these headers.
pub fn request(call: &Call, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = path_of(call);
    *req.headers_mut() = headers;
    req
}

/// Returns path and query of a call; scheme and authority of an absolute-form target are dropped.
fn path_of(call: &Call) -> hyper::Uri {
    match call.uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => call.uri.clone(),
    }
}
