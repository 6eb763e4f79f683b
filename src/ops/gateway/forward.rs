//! Serves a call: chooses a back end, forwards the call, retries where that is safe, and returns either
//! one complete response or a refusal that says whether the call may have run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::attempt::{self, Answer, AttemptError, GatewayContext, Running};
use super::call::Call;
use super::record::{self, Ended};
use super::refusal::{self, Body, Cause, Refusal};
use super::stream;
use crate::core::gateway::backends::{BackendId, Outcome};
use crate::core::gateway::placement::{self, Ask, Placement, RefusalCause};
use crate::core::gateway::retry_budget::RetryBudget;
use crate::core::gateway::routes::RouteKind;
use crate::core::time::Moment;
use crate::core::verdict::Verdict;

/// Size limit for a response that is not a stream.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
/// Number of unreachable back ends after which no more are tried.
const MAX_UNREACHED: usize = 3;
/// Longest expected wait at a back end, as a multiple of the route's target latency.
const USEFUL_WAIT: f64 = 1.0;
/// The same for a call that was sent to another back end before.
const USEFUL_WAIT_AGAIN: f64 = 2.0;
/// Lower bound on the timeout after which an idempotent call is sent to another back end.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Lower bound on the timeout for the head of a resumable stream, after which another back end is
/// tried.
const MIN_STREAM_TIMEOUT: Duration = Duration::from_millis(1800);
/// Timeout of an attempt, as a multiple of the expected time to the first event.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Guard that counts a call as in progress.
struct Active(Arc<GatewayContext>);

impl Active {
    fn begin(cx: &Arc<GatewayContext>) -> Self {
        cx.board.active.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(cx))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.board.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Attempts of a call so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Back ends that were tried, whether or not they were reached.
    pub tried: SmallVec<[BackendId; 4]>,
    /// Number of back ends that received the call, or may have.
    pub sends: u32,
    /// Number of back ends that were not reached.
    pub unreached: usize,
    /// Whether the call may have run.
    pub may_have_run: bool,
}

impl Progress {
    /// Returns whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }
}

/// Serves a call.
pub async fn serve(cx: Arc<GatewayContext>, req: Request<Incoming>) -> Response<Body> {
    let active = Active::begin(&cx);
    let head = cx.board.dialect.call_head(req.headers());
    let attempt = head.attempt.clone();
    match Call::read(&cx.board, head, req).await {
        Ok(call) => run(cx, call, active).await,
        Err(refusal) => {
            record::refused_early(&cx.board, &attempt, &refusal);
            refusal.into_response(&*cx.board.dialect)
        }
    }
}

async fn run(cx: Arc<GatewayContext>, call: Call, active: Active) -> Response<Body> {
    let mut progress = Progress::default();
    let timeout = tokio::time::timeout_at(call.deadline, answer(&cx, &call, &mut progress)).await;
    let result =
        timeout.unwrap_or_else(|_| Err(Refusal::with_verdict(Cause::TimedOut, Verdict::NotRun)));
    match result {
        Ok(Whole::Unary(res)) => {
            record::ended(&cx.board, &call, &progress, Ended::Answered(res.status()));
            res
        }
        Ok(Whole::Stream(answer)) => stream::respond(cx, call, progress, answer, active),
        Err(mut refusal) => {
            refusal.verdict = refusal.verdict.and(progress.verdict());
            if refusal.verdict == Verdict::NotRun {
                give_back(&cx, &call);
            }
            refusal.retry_after = refusal.retry_after.map(|after| after.min(call.left() / 3));
            record::ended(&cx.board, &call, &progress, Ended::Refused(refusal));
            refusal.into_response(&*cx.board.dialect)
        }
    }
}

/// Refunds the quota of a call that has not run.
fn give_back(cx: &GatewayContext, call: &Call) {
    if let Some(customer) = call.customer_name() {
        cx.board.quotas.lock().give_back(customer, call.quota_units);
    }
}

/// A response that is passed on to the caller.
enum Whole {
    Unary(Response<Body>),
    Stream(Box<Answer>),
}

/// What to do after an attempt.
enum Next {
    PassOn(Whole),
    TryAnother,
    GiveUp(Refusal),
}

async fn answer(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
) -> Result<Whole, Refusal> {
    loop {
        let next = match offer(cx, call, progress, call.head.last_event).await {
            Ok(answer) => judge(cx, call, progress, answer).await,
            Err(e) => after_failure(cx, call, progress, &e),
        };
        match next {
            Next::PassOn(whole) => return Ok(whole),
            Next::TryAnother => {}
            Next::GiveUp(refusal) => return Err(refusal),
        }
    }
}

/// Chooses a back end, sends the call to it and waits for the head of the response.
///
/// # Errors
///
/// Fails if no back end can be tried, or if there is no usable response.
pub async fn offer(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    last_event: Option<u64>,
) -> Result<Answer, AttemptError> {
    let (running, timeout) = begin(cx, call, progress)?;
    progress.tried.push(running.backend().into());
    // The call may have run until the outcome is known. The future is dropped before that if the caller
    // disconnects or the deadline passes.
    let may_have_run = std::mem::replace(&mut progress.may_have_run, true);
    progress.sends += 1;
    note_send(cx, call, progress.sends);
    let result = attempt::send(cx, call, running, last_event, timeout).await;
    if let Err(e) = &result {
        if e.verdict() == Verdict::NotRun {
            progress.sends -= 1;
            progress.unreached += 1;
            progress.may_have_run = may_have_run;
        }
        record::attempt_failed(&cx.board, call, progress, e);
    } else if result.as_ref().is_ok_and(|answer| answer.head.not_run) {
        progress.may_have_run = may_have_run;
    }
    result
}

/// Chooses a back end and occupies a slot there in one step, so that concurrent calls see each other's
/// slots.
fn begin(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &Progress,
) -> Result<(Running, Duration), AttemptError> {
    let board = &cx.board;
    let factor = match progress.tried.is_empty() {
        true => USEFUL_WAIT,
        false => USEFUL_WAIT_AGAIN,
    };
    let (prompt_tokens, answer_tokens) = call.head.tokens.unwrap_or_default();
    let answer_tokens = call
        .head
        .length_hint
        .unwrap_or(answer_tokens)
        .min(answer_tokens);
    let ask = Ask {
        service: &call.service.name,
        engine: call.service.engine,
        parts: &call.head.parts,
        prompt_tokens,
        answer_tokens,
        rank: call.rank(),
        max_wait: call
            .route
            .target_latency
            .mul_f64(factor)
            .min(call.left() / 2),
        zone: &board.settings.zone,
        tried: &progress.tried,
    };
    let placement = {
        let mut backends = board.backends.lock();
        let now = board.now();
        backends.forget_silent(now);
        placement::place(
            &backends,
            board.regions(),
            &ask,
            now,
            &mut rand::random::<f64>,
        )
    };
    match placement {
        Placement::Send {
            place, expected, ..
        } => {
            let running = Running::begin(cx, call, place, expected);
            Ok((running, attempt_timeout(call, progress, expected)))
        }
        Placement::Refuse {
            cause, retry_after, ..
        } => Err(AttemptError::NoPlace { cause, retry_after }),
    }
}

/// Returns the timeout for the response head, after which another back end may be tried.
fn attempt_timeout(call: &Call, progress: &Progress, expected: Duration) -> Duration {
    let is_last = progress.sends + 1 >= call.route.max_backends;
    let suspicious = expected.mul_f64(TIMEOUT_FACTOR);
    match call.route.kind {
        _ if is_last => call.left(),
        RouteKind::Idempotent => MIN_ATTEMPT_TIMEOUT.max(suspicious).min(call.left()),
        RouteKind::Stream { resumable: true } => {
            MIN_STREAM_TIMEOUT.max(suspicious).min(call.left())
        }
        RouteKind::Stream { .. } | RouteKind::AtMostOnce => call.left(),
    }
}

/// Counts the first send of a call, from which the service's retry budget grows.
fn note_send(cx: &GatewayContext, call: &Call, sends: u32) {
    if sends == 1 {
        with_budget(cx, call, RetryBudget::note_call);
    }
}

/// Returns whether the call may be sent to one more back end, and charges the retry budget if it was
/// sent before.
pub fn may_send_again(cx: &GatewayContext, call: &Call, progress: &Progress) -> bool {
    if progress.sends == 0 {
        return progress.unreached < MAX_UNREACHED;
    }
    progress.sends < call.route.max_backends
        && progress.unreached < MAX_UNREACHED
        && with_budget(cx, call, RetryBudget::take)
}

fn with_budget<T>(
    cx: &GatewayContext,
    call: &Call,
    f: impl FnOnce(&mut RetryBudget, Moment) -> T,
) -> T {
    let board = &cx.board;
    let now = board.now();
    let bounds = &board.settings.bounds;
    let nodes = board.node_count();
    let mut retries = board.retries.lock();
    let budget = retries.entry(call.service.name.clone()).or_insert_with(|| {
        RetryBudget::new(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window,
            nodes,
            now,
        )
    });
    f(budget, now)
}

/// Decides what to do with a response.
async fn judge(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    answer: Answer,
) -> Next {
    if answer.head.not_run {
        return after_decline(cx, call, progress, answer);
    }
    if call.route.kind.is_stream() && answer.status == StatusCode::OK {
        return Next::PassOn(Whole::Stream(Box::new(answer)));
    }
    let failed = answer.status.is_server_error();
    let again =
        failed && call.route.kind == RouteKind::Idempotent && may_send_again(cx, call, progress);
    match read_whole(cx, answer).await {
        Ok(_) if again => Next::TryAnother,
        Ok(res) => Next::PassOn(Whole::Unary(res)),
        Err(e) => {
            record::attempt_failed(&cx.board, call, progress, &e);
            after_failure(cx, call, progress, &e)
        }
    }
}

fn after_decline(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    mut answer: Answer,
) -> Next {
    answer.running.set_outcome(Outcome::Declined);
    record::declined(&cx.board, call, answer.running.backend(), answer.status);
    drop(answer);
    if may_send_again(cx, call, progress) {
        Next::TryAnother
    } else {
        let retry_after = call.route.target_latency / 2;
        Next::GiveUp(Refusal::come_back(Cause::Declined, retry_after))
    }
}

fn after_failure(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &Progress,
    e: &AttemptError,
) -> Next {
    if let AttemptError::NoPlace { cause, retry_after } = e {
        let cause = match cause {
            RefusalCause::NoBackend => Cause::NoBackend,
            RefusalCause::Overloaded => Cause::Overloaded,
        };
        return Next::GiveUp(Refusal::come_back(cause, *retry_after));
    }
    let may_repeat = call.route.kind.may_repeat() || e.verdict() == Verdict::NotRun;
    if may_repeat && may_send_again(cx, call, progress) {
        return Next::TryAnother;
    }
    if call.left().is_zero() {
        return Next::GiveUp(Refusal::with_verdict(Cause::TimedOut, e.verdict()));
    }
    Next::GiveUp(match e.verdict() {
        Verdict::NotRun => Refusal::come_back(Cause::NoBackend, call.route.target_latency / 2),
        verdict => Refusal::with_verdict(Cause::AnswerLost, verdict),
    })
}

/// Reads the whole body of a response that is not a stream.
async fn read_whole(cx: &GatewayContext, answer: Answer) -> Result<Response<Body>, AttemptError> {
    let Answer {
        status,
        headers,
        head,
        body,
        connection,
        mut running,
    } = answer;
    let started = Instant::now();
    let body: Bytes = match Limited::new(body, MAX_ANSWER).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            tracing::debug!(backend = running.backend(), error = %e, "failed to read the body of a response");
            running.set_outcome(Outcome::Unreachable);
            return Err(AttemptError::Unusable {
                backend: running.backend().into(),
                what: "it broke off",
            });
        }
    };
    let worked = running.age().saturating_sub(started.elapsed()) / 2;
    running.begun(worked);
    running.set_outcome(match status.is_server_error() {
        true => Outcome::Failed,
        false => Outcome::Answered,
    });
    cx.pool.keep(connection, head.idle_timeout);
    let mut res = Response::new(refusal::whole(body));
    *res.status_mut() = status;
    *res.headers_mut() = cx.board.dialect.answer_for_caller(headers);
    Ok(res)
}
