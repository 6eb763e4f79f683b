//! Serves a call: chooses a back end, forwards the call, retries where that is safe, and returns either
//! one complete response or a refusal that says whether the call may have run.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode};

use super::active::{ActiveCall, Stage};
use super::attempt::{self, AttemptError, GatewayContext, HeadWait};
use super::call::Call;
use super::dialect::CallHead;
use super::next_hop::{self, Hop};
use super::peer_forward::{self, ForwardedCall};
use super::progress::{self, Progress};
use super::quota;
use super::record::{self, CallEnd};
use super::refusal::{Body, Cause, Refusal};
use super::response::{self, BackendResponse};
use super::resume::{self, KnownFrom};
use super::silence;
use super::state::GivenUp;
use super::stream;
use crate::core::gateway::placement::RefusalCause;
use crate::core::gateway::quota::Work;
use crate::core::gateway::routes::RouteKind;
use crate::core::gateway::software::AllowedSoftware;
use crate::core::verdict::Verdict;
use crate::sources::http::ReceivedBody;

/// Serves a call.
pub async fn serve(cx: Arc<GatewayContext>, req: Request<ReceivedBody>) -> Response<Body> {
    let active = ActiveCall::begin(&cx.state, false);
    let head = cx.state.dialect.call_head(req.headers());
    let attempt = head.attempt.clone();
    match read_and_charge(&cx, head, req).await {
        Ok(call) => run(cx, call, Progress::default(), active).await,
        Err(refusal) => {
            record::refused_while_reading(&cx.state, &attempt, &refusal);
            refusal.into_response(&*cx.state.dialect)
        }
    }
}

async fn read_and_charge(
    cx: &GatewayContext,
    head: CallHead,
    req: Request<ReceivedBody>,
) -> Result<Call, Refusal> {
    let mut call = Call::read(&cx.state, head, req).await?;
    if !call.is_resumption() {
        call.charge_quota(&cx.state, Work::New).await?;
    }
    Ok(call)
}

/// Serves a call that another node forwards. That node has charged it against its customer's quota.
pub async fn serve_forwarded(
    cx: Arc<GatewayContext>,
    req: Request<ReceivedBody>,
    forwarded: ForwardedCall,
) -> Response<Body> {
    let active = ActiveCall::begin(&cx.state, true);
    let head = cx.state.dialect.call_head(req.headers());
    let attempt = head.attempt.clone();
    let mut call = match Call::read(&cx.state, head, req).await {
        Ok(call) => call,
        Err(refusal) => {
            record::refused_while_reading(&cx.state, &attempt, &refusal);
            return refusal_response(&cx, refusal, true);
        }
    };
    call.max_backends = call.max_backends.min(forwarded.max_sends);
    let mut progress = Progress {
        is_forwarded: true,
        ..Progress::default()
    };
    if let Some(software) = forwarded.software {
        resume::set_service_with(&cx.state, &mut call, software);
        progress.allowed = AllowedSoftware::Only(software);
    }
    run(cx, call, progress, active).await
}

fn refusal_response(cx: &GatewayContext, refusal: Refusal, is_forwarded: bool) -> Response<Body> {
    let verdict = refusal.verdict;
    let mut res = refusal.into_response(&*cx.state.dialect);
    if is_forwarded {
        peer_forward::mark_refusal(&mut res, verdict);
    }
    res
}

async fn run(
    cx: Arc<GatewayContext>,
    mut call: Call,
    mut progress: Progress,
    mut active: ActiveCall,
) -> Response<Body> {
    active.enter(Stage::Serving);
    let deadline = call.deadline;
    let served = serve_with_retries(&cx, &mut call, &mut progress);
    let result = match cx.state.run_until(deadline, served).await {
        Ok(result) => result,
        Err(GivenUp::Deadline) => Err(Refusal::not_run(Cause::TimedOut)),
        Err(GivenUp::Stopping) => Err(Refusal::not_run(Cause::Stopping)),
    };
    match result {
        Ok(CallerResponse::Unary(res)) => {
            record::ended(&cx.state, &call, &progress, CallEnd::Answered(res.status()));
            res
        }
        Ok(CallerResponse::Stream(response)) => {
            active.enter(Stage::Streaming);
            stream::respond(cx, call, progress, response, active)
        }
        Err(mut refusal) => {
            refusal.verdict = refusal.verdict.and(progress.verdict());
            if refusal.verdict == Verdict::NotRun {
                refund(&cx, &call);
            }
            refusal.retry_after = refusal
                .retry_after
                .map(|after| after.min(call.remaining() / 3));
            record::ended(&cx.state, &call, &progress, CallEnd::Refused(refusal));
            refusal_response(&cx, refusal, progress.is_forwarded)
        }
    }
}

/// Refunds the quota of a call that has not run.
fn refund(cx: &GatewayContext, call: &Call) {
    if let (Some(customer), Some(charged)) = (call.customer_name(), &call.charged) {
        quota::refund(&cx.state, customer, charged);
    }
}

/// A response that is passed on to the caller.
enum CallerResponse {
    Unary(Response<Body>),
    Stream(Box<BackendResponse>),
}

/// What to do after an attempt.
enum NextStep {
    Respond(CallerResponse),
    TryAnother,
    GiveUp(Refusal),
}

async fn serve_with_retries(
    cx: &Arc<GatewayContext>,
    call: &mut Call,
    progress: &mut Progress,
) -> Result<CallerResponse, Refusal> {
    if call.is_resumption() && !progress.is_forwarded {
        prepare_resumption(cx, call, progress).await?;
    }
    loop {
        let next = match try_backend(cx, call, progress, call.head.last_event).await {
            Ok(response) => handle_response(cx, call, progress, response).await,
            Err(e) => handle_failure(cx, call, progress, &e),
        };
        match next {
            NextStep::Respond(response) => return Ok(response),
            NextStep::TryAnother => {}
            NextStep::GiveUp(refusal) => return Err(refusal),
        }
    }
}

/// Finds out where a resumed stream may go on, and charges the call.
async fn prepare_resumption(
    cx: &GatewayContext,
    call: &mut Call,
    progress: &mut Progress,
) -> Result<(), Refusal> {
    let (software, known_from) = resume::find_origin(cx, call).await?;
    progress.allowed = AllowedSoftware::Only(software);
    // Any caller can claim to resume a stream.
    let work = match known_from {
        KnownFrom::OnlyVersion => Work::New,
        KnownFrom::Node | KnownFrom::Keeper | KnownFrom::Archive => Work::Continued,
    };
    call.charge_quota(&cx.state, work).await
}

/// Chooses a back end, sends the call to it and waits for the head of the response.
///
/// # Errors
///
/// Fails if no back end can be tried, if there is no usable response, or if the back end declines the call or fails with a
/// status that callers would misread.
pub async fn try_backend(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    last_event: Option<u64>,
) -> Result<BackendResponse, AttemptError> {
    next_hop::check_quarantine(cx, call, progress)?;
    let hop = next_hop::next_hop(cx, call, progress);
    if std::mem::take(&mut progress.is_probe) && !matches!(hop, Ok(Hop::Backend(..))) {
        cx.state.quarantine.lock().return_probe(&call.suspects);
    }
    let hop = hop?;
    progress.tried.push(hop.name().into());
    progress.avoided.clear();
    progress.silence = None;
    let on_send = progress.on_send.take();
    // The call may have run until the outcome is known. The future is dropped before that if the caller
    // disconnects or the deadline passes.
    let may_have_run = std::mem::replace(&mut progress.may_have_run, true);
    let sends_before = progress.sends;
    let result = match hop {
        Hop::Backend(running, timeout) => {
            progress.sends += 1;
            progress::note_send(cx, call, progress.sends);
            let allowed = progress.allowed;
            let mut gives_up = |lasted| silence::gives_up(cx, call, progress, lasted, timeout);
            let wait = HeadWait {
                timeout,
                on_send,
                gives_up: &mut gives_up,
            };
            attempt::send(cx, call, running, allowed, last_event, wait).await
        }
        Hop::Node(node) => {
            progress.forwards += 1;
            let forwarded = ForwardedCall {
                max_sends: call.max_backends.saturating_sub(progress.sends).max(1),
                software: progress.allowed.only(),
            };
            let timeout = next_hop::attempt_timeout(call, progress, call.route.target_latency);
            // The node may send it to all back ends that are left.
            progress.sends = call.max_backends;
            let mut gives_up = |lasted| silence::gives_up(cx, call, progress, lasted, timeout);
            let wait = HeadWait {
                timeout,
                on_send,
                gives_up: &mut gives_up,
            };
            peer_forward::send(cx, call, &node, forwarded, last_event, wait).await
        }
    };
    if let Err(e) = &result {
        if e.verdict() == Verdict::NotRun {
            progress.may_have_run = may_have_run;
            if !e.has_response() {
                progress.sends = sends_before;
                progress.unreached += 1;
            }
        }
        record::attempt_failed(&cx.state, call, progress, e);
    }
    let has_responded = result
        .as_ref()
        .map_or_else(AttemptError::has_response, |_| true);
    if has_responded && progress.silence.is_some() {
        let backend = progress.tried.last().cloned().unwrap_or_default();
        silence::note_went_on(cx, call, progress, &backend);
    }
    result
}

/// Decides what to do with a response.
async fn handle_response(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    response: BackendResponse,
) -> NextStep {
    if call.route.kind.is_stream() && response.status == StatusCode::OK {
        return NextStep::Respond(CallerResponse::Stream(Box::new(response)));
    }
    let failed = response.status.is_server_error();
    let retry = failed
        && call.route.kind == RouteKind::Idempotent
        && progress::may_retry(cx, call, progress);
    match response::read_whole(cx, call, response).await {
        Ok(_) if retry => NextStep::TryAnother,
        Ok(res) => NextStep::Respond(CallerResponse::Unary(res)),
        Err(e) => {
            record::attempt_failed(&cx.state, call, progress, &e);
            handle_failure(cx, call, progress, &e)
        }
    }
}

fn handle_failure(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    e: &AttemptError,
) -> NextStep {
    if let AttemptError::NoCandidate { cause, retry_after } = e {
        let cause = match cause {
            RefusalCause::NoBackend => Cause::NoBackend,
            RefusalCause::Overloaded => Cause::Overloaded,
            RefusalCause::NoSuchSoftware => {
                return NextStep::GiveUp(Refusal::not_run(Cause::StreamLost));
            }
        };
        return NextStep::GiveUp(Refusal::retry_later(cause, *retry_after));
    }
    if matches!(e, AttemptError::Quarantined) {
        return NextStep::GiveUp(Refusal::not_run(Cause::Quarantined));
    }
    let may_repeat = call.route.kind.may_repeat() || e.verdict() == Verdict::NotRun;
    if may_repeat && progress::may_retry(cx, call, progress) {
        return NextStep::TryAnother;
    }
    let retry_after = call.route.target_latency / 2;
    NextStep::GiveUp(match (e, e.verdict()) {
        (AttemptError::Declined { .. }, _) => Refusal::retry_later(Cause::Declined, retry_after),
        (_, verdict) if call.remaining().is_zero() => {
            Refusal::with_verdict(Cause::TimedOut, verdict)
        }
        (AttemptError::Failed { .. }, verdict) => {
            Refusal::with_verdict(Cause::BackendFailed, verdict)
        }
        (_, Verdict::NotRun) => Refusal::retry_later(Cause::NoBackend, retry_after),
        (_, verdict) => Refusal::with_verdict(Cause::AnswerLost, verdict),
    })
}
