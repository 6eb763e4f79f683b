//! One send of a call to one back end.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode};
use thiserror::Error;
use tokio::time::Instant;

use super::board::Board;
use super::call::Call;
use super::dialect::{AnswerHead, SendHead};
use super::pool::{BackendPool, Connection, SendError};
use crate::core::gateway::backends::{CallPlace, Outcome};
use crate::core::gateway::placement::RefusalCause;
use crate::core::gateway::work::engine_ms;
use crate::core::verdict::Verdict;

/// What an attempt needs beside the call.
pub struct GatewayContext {
    /// What the node knows.
    pub board: Arc<Board>,
    /// Connections to back ends.
    pub pool: BackendPool,
}

/// Why an attempt has no usable answer.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// The connection failed.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer is not one to this call.
    #[error("the answer of {backend} is not usable: {what}")]
    Unusable {
        /// The back end.
        backend: Box<str>,
        /// What is wrong with it.
        what: &'static str,
    },
    /// The back end was silent for too long.
    #[error("{backend} was silent for {} ms", .after.as_millis())]
    Silent {
        /// The back end.
        backend: Box<str>,
        /// How long.
        after: Duration,
    },
    /// The back end stopped taking calls while a connection was made.
    #[error("{backend} takes no calls any more")]
    Closed {
        /// The back end.
        backend: Box<str>,
    },
    /// No back end may be tried.
    #[error("no back end: {cause:?}")]
    NoPlace {
        /// Why.
        cause: RefusalCause,
        /// When to come back.
        retry_after: Duration,
    },
}

impl AttemptError {
    /// Returns whether the call may have run at this back end.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Send(e) => e.verdict(),
            Self::Unusable { .. } | Self::Silent { .. } => Verdict::MayHaveRun,
            Self::Closed { .. } | Self::NoPlace { .. } => Verdict::NotRun,
        }
    }
}

/// A call at a back end. Its place there ends with this value.
pub struct Running {
    cx: Arc<GatewayContext>,
    place: CallPlace,
    sent: Instant,
    expected: Duration,
    outcome: Outcome,
    customer: Option<Box<str>>,
}

impl Running {
    /// Takes a call's place at a back end.
    pub fn begin(
        cx: &Arc<GatewayContext>,
        call: &Call,
        place: CallPlace,
        expected: Duration,
    ) -> Self {
        let board = &cx.board;
        let kv_tokens = call.service.engine.map_or(0, |engine| engine.kv_tokens);
        board
            .backends
            .lock()
            .begin(&place, &call.head.parts, u64::from(kv_tokens));
        let work_ms = if call.service.engine.is_some() {
            let answer = call.head.tokens.map_or(0, |(_, answer)| answer);
            engine_ms(place.load.unread, answer, place.backend.slots)
        } else {
            0.0
        };
        let now = board.now();
        board.work.lock().add(&call.service.name, work_ms, now);
        Self {
            cx: Arc::clone(cx),
            place,
            sent: Instant::now(),
            expected,
            outcome: Outcome::Declined,
            customer: call.customer_name().map(Into::into),
        }
    }

    /// Returns the name of the back end.
    pub fn backend(&self) -> &str {
        &self.place.backend.id
    }

    /// Returns the time since the call was sent.
    pub fn age(&self) -> Duration {
        self.sent.elapsed()
    }

    /// Notes that the back end began to work, `ago` before now.
    pub fn begun(&mut self, ago: Duration) {
        if self.place.has_begun {
            return;
        }
        let took = self.age();
        let board = &self.cx.board;
        board
            .backends
            .lock()
            .first_event(&mut self.place, took, self.expected);
        if let Some(customer) = &self.customer {
            board.count_usage(customer, ago);
        }
    }

    /// Notes what became of the call.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let board = &self.cx.board;
        let now = board.now();
        let held = self.sent.elapsed();
        board
            .backends
            .lock()
            .end(&self.place, self.outcome, held, now);
    }
}

/// The head of a back end's answer, with what its body needs.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub head: AnswerHead,
    /// Body.
    pub body: Incoming,
    /// Connection that the body comes from.
    pub connection: Connection,
    /// The call's place.
    pub running: Running,
}

/// Sends a call to the back end of its place and waits for the head of the answer, for `timeout` at
/// most.
///
/// # Errors
///
/// Fails where no usable answer comes.
pub async fn send(
    cx: &Arc<GatewayContext>,
    call: &Call,
    mut running: Running,
    last_event: Option<u64>,
    timeout: Duration,
) -> Result<Answer, AttemptError> {
    let result = exchange(cx, call, &running, last_event, timeout).await;
    let (connection, res) = match result {
        Ok(answered) => answered,
        Err(e) => {
            running.set_outcome(match e {
                AttemptError::Closed { .. } => Outcome::Declined,
                _ => Outcome::Unreachable,
            });
            return Err(e);
        }
    };
    let (parts, body) = res.into_parts();
    let head = cx
        .board
        .dialect
        .answer_head(parts.status.as_u16(), &parts.headers);
    note_wishes(cx, &running, &head);
    let is_own = head
        .attempt
        .as_ref()
        .is_none_or(|attempt| *attempt == call.head.attempt);
    let what = match (is_own, parts.status.is_success() && !head.is_signed) {
        (false, _) => Some("it answers another call"),
        (true, true) => Some("a success without the back end's signature"),
        (true, false) => None,
    };
    if let Some(what) = what {
        running.set_outcome(Outcome::Unreachable);
        return Err(AttemptError::Unusable {
            backend: running.backend().into(),
            what,
        });
    }
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
        connection,
        running,
    })
}

/// Notes what an answer says beside the call: that the back end is leaving, or wants to be left alone.
fn note_wishes(cx: &GatewayContext, running: &Running, head: &AnswerHead) {
    let backend = &running.place.backend;
    let board = &cx.board;
    let now = board.now();
    if head.is_leaving && board.backends.lock().record_leaving(backend, now) {
        tracing::info!(
            backend = &*backend.id,
            source = "answer",
            "back end leaving"
        );
    }
    if let Some(stay_away) = head.stay_away {
        board.backends.lock().record_pause(backend, stay_away, now);
        let ms = stay_away.as_millis() as u64;
        tracing::info!(
            backend = &*backend.id,
            ms,
            "back end wants no calls for a while"
        );
    }
}

async fn exchange(
    cx: &Arc<GatewayContext>,
    call: &Call,
    running: &Running,
    last_event: Option<u64>,
    timeout: Duration,
) -> Result<(Connection, hyper::Response<Incoming>), AttemptError> {
    let once = !call.route.kind.may_repeat();
    let address = running.place.backend.address;
    let mut connection = cx.pool.open(address, once).await?;
    let (backend, now) = (&running.place.backend, cx.board.now());
    if !cx.board.backends.lock().accepts(backend, now) {
        cx.pool.keep(connection, None);
        return Err(AttemptError::Closed {
            backend: running.backend().into(),
        });
    }
    let req = request(cx, call, running, last_event);
    let silent = |_| AttemptError::Silent {
        backend: running.backend().into(),
        after: timeout,
    };
    let res = tokio::time::timeout(timeout, connection.send(req))
        .await
        .map_err(silent)??;
    Ok((connection, res))
}

fn request(
    cx: &GatewayContext,
    call: &Call,
    running: &Running,
    last_event: Option<u64>,
) -> Request<Full<bytes::Bytes>> {
    let send = SendHead {
        backend: running.backend(),
        deadline: call.left(),
        customer: call.customer_name(),
        rank: call.rank(),
        last_event,
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = path_of(call);
    *req.headers_mut() = cx.board.dialect.forward_head(&call.headers, &send);
    req
}

/// Returns path and query of a call, without what an absolute form of the target names besides.
fn path_of(call: &Call) -> hyper::Uri {
    match call.uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => call.uri.clone(),
    }
}
