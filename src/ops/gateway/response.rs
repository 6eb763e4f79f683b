//! The response of a back end to a call: whether it can be used, and whether what its status says to callers holds.

use std::ops::RangeInclusive;

use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::Instant;

use super::attempt::{AttemptError, GatewayContext};
use super::body_memory::{self, MAX_ANSWER_BYTES, ReadError};
use super::call::Call;
use super::dialect::{ResponseHead, RunStatement};
use super::pool::Connection;
use super::refusal::{self, Body};
use super::running::RunningAttempt;
use crate::core::gateway::backends::Outcome;
use crate::sources::http::ReceivedBody;

/// The module's result.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// Statuses that an answer may have. Lower ones are interim, and higher ones are none of HTTP.
const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

/// A back end's response whose body has not been read yet. The call may have run, and the status may be passed on.
pub struct BackendResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Decoded head.
    pub head: ResponseHead,
    /// Body.
    pub body: ReceivedBody,
    /// Connection that the body is read from.
    pub connection: Connection,
    /// Accounting of the call at the back end.
    pub running: RunningAttempt,
}

/// Decodes and checks the head of the response to a call.
///
/// # Errors
///
/// Fails if the response is not usable, if the back end declines the call, or if callers would read "not run" into the
/// response though the back end does not state it.
pub fn receive(
    cx: &GatewayContext,
    call: &Call,
    mut running: RunningAttempt,
    connection: Connection,
    res: Response<ReceivedBody>,
) -> Result<BackendResponse> {
    let (parts, body) = res.into_parts();
    let status = parts.status.as_u16();
    if !ANSWER_STATUSES.contains(&status) {
        let problem = "its status is none of an answer";
        return Err(unusable(running, Outcome::Unreachable, problem));
    }
    let head = cx.state.dialect.response_head(status, &parts.headers);
    if !running.is_forwarded() {
        apply_backend_hints(cx, &running, &head);
    }
    if let Some(problem) = find_problem(call, &connection, parts.status, &head) {
        return Err(unusable(running, Outcome::Unreachable, problem));
    }
    check_run_statement(&mut running, parts.status, head.run_statement)?;
    Ok(BackendResponse {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
        connection,
        running,
    })
}

/// Checks that a response may be passed on: what callers read into its status about the run of the call has to be true.
fn check_run_statement(
    running: &mut RunningAttempt,
    status: StatusCode,
    statement: RunStatement,
) -> Result<()> {
    let backend = running.backend().into();
    match statement {
        RunStatement::None => Ok(()),
        RunStatement::NotRun => {
            running.set_outcome(Outcome::Declined);
            Err(AttemptError::Declined { backend, status })
        }
        RunStatement::ImpliedByStatus => {
            // Charged to the customer like other failures. When the run began is not known.
            running.mark_started(running.age() / 2);
            running.set_outcome(Outcome::Failed);
            Err(AttemptError::Failed { backend, status })
        }
    }
}

/// Ends an attempt whose response cannot be used.
fn unusable(mut running: RunningAttempt, outcome: Outcome, problem: &'static str) -> AttemptError {
    running.set_outcome(outcome);
    AttemptError::Unusable {
        backend: running.backend().into(),
        problem,
    }
}

/// Returns why a response cannot be that of the back end to this call, if so.
fn find_problem(
    call: &Call,
    connection: &Connection,
    status: StatusCode,
    head: &ResponseHead,
) -> Option<&'static str> {
    match &head.attempt {
        Some(attempt) if *attempt != call.head.attempt => Some("it belongs to another attempt"),
        None if connection.is_reused() => Some("it names no attempt on a reused connection"),
        _ if status.is_success() && !head.is_signed => {
            Some("it is a success without the back end's signature")
        }
        _ => None,
    }
}

/// Applies hints about the back end itself that its response carries: that it is leaving, or that it
/// asks for a pause without calls.
fn apply_backend_hints(cx: &GatewayContext, running: &RunningAttempt, head: &ResponseHead) {
    let backend = &running.place.backend;
    let state = &cx.state;
    let now = state.now();
    if head.is_leaving && state.backends.lock().record_leaving(backend, now) {
        tracing::info!(
            backend = &*backend.id,
            source = "answer",
            "back end leaving"
        );
    }
    let limit = head.call_limit;
    if state.backends.lock().record_call_limit(backend, limit, now) {
        tracing::info!(
            backend = &*backend.id,
            per_second = limit,
            source = "answer",
            "call limit of a back end changed"
        );
    }
    if let Some(bearable) = head.bearable_rejections {
        let is_rejected = head.run_statement == RunStatement::NotRun;
        let is_new = state
            .backends
            .lock()
            .record_brittle(backend, is_rejected, now);
        if is_new {
            tracing::info!(
                backend = &*backend.id,
                service = &*backend.service,
                bearable,
                "the back ends of a service are brittle"
            );
        }
    }
    if let Some(pause_calls_for) = head.pause_calls_for {
        state
            .backends
            .lock()
            .record_pause(backend, pause_calls_for, now);
        let ms = pause_calls_for.as_millis() as u64;
        tracing::info!(
            backend = &*backend.id,
            ms,
            "back end wants no calls for a while"
        );
    }
}

/// Reads the whole body of a response that is not a stream. Returns the response for the caller.
///
/// # Errors
///
/// Fails if the body breaks off, is too large, or finds no memory until the deadline of the call.
pub async fn read_whole(
    cx: &GatewayContext,
    call: &Call,
    response: BackendResponse,
) -> Result<Response<Body>> {
    let BackendResponse {
        status,
        headers,
        head,
        mut body,
        connection,
        mut running,
    } = response;
    let started = Instant::now();
    let budget = &cx.state.bodies.answers;
    // The work has been done, so the answer waits for memory as long as its call may.
    let wait = call.remaining();
    let body = match body_memory::read_body(&mut body, budget, MAX_ANSWER_BYTES, wait).await {
        Ok(body) => body,
        Err(e) => {
            tracing::debug!(backend = running.backend(), error = %e, "failed to read the body of a response");
            let (outcome, problem) = match e {
                ReadError::NoMemory => (Outcome::Answered, "there is no memory for it"),
                ReadError::TooLarge { .. } => (Outcome::BrokeOff, "it is too large"),
                ReadError::Incomplete(_) => (Outcome::BrokeOff, "it broke off"),
            };
            return Err(unusable(running, outcome, problem));
        }
    };
    let head_after = running.age().saturating_sub(started.elapsed());
    running.record_time(head_after);
    let since_start = head_after / 2;
    running.mark_started(since_start);
    if status.is_success() {
        running.clear_suspects();
    }
    running.set_outcome(match status.is_server_error() {
        true => Outcome::Failed,
        false => Outcome::Answered,
    });
    cx.pool.release(connection, head.idle_timeout);
    let mut res = Response::new(refusal::full_body(body));
    *res.status_mut() = status;
    *res.headers_mut() = cx.state.dialect.response_for_caller(headers);
    Ok(res)
}
