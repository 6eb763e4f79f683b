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

use super::attempt::{self, AttemptError, BackendResponse, GatewayContext, RunningAttempt};
use super::call::Call;
use super::dialect::CallHead;
use super::peer_forward::{self, ForwardedCall};
use super::record::{self, CallEnd};
use super::refusal::{self, Body, Cause, Refusal};
use super::resume;
use super::state::{GatewayState, GivenUp};
use super::stream;
use crate::core::gateway::backends::{BackendId, Outcome};
use crate::core::gateway::brittle::Shares;
use crate::core::gateway::members::Member;
use crate::core::gateway::placement::{self, Placement, PlacementRequest, RefusalCause};
use crate::core::gateway::quarantine::Check;
use crate::core::gateway::retry_budget::RetryBudget;
use crate::core::gateway::routes::RouteKind;
use crate::core::gateway::software::{AllowedSoftware, SoftwareVersion};
use crate::core::time::Moment;
use crate::core::verdict::Verdict;

/// Size limit for a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Number of unreachable back ends after which no more are tried.
const MAX_UNREACHED_BACKENDS: usize = 3;
/// Longest expected wait at a back end, as a multiple of the route's target latency.
const MAX_WAIT_FACTOR: f64 = 1.0;
/// Longest expected wait, as a multiple of the target latency, for a call that another back end was sent
/// before.
const MAX_RETRY_WAIT_FACTOR: f64 = 2.0;
/// Lower bound on the timeout after which an idempotent call is sent to another back end.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Lower bound on the timeout for the head of a resumable stream, after which another back end is
/// tried.
const MIN_STREAM_TIMEOUT: Duration = Duration::from_millis(1800);
/// Timeout of an attempt, as a multiple of the expected time to the first event.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 3.0;

/// Guard that counts a call as in progress.
struct ActiveCall(Arc<GatewayContext>);

impl ActiveCall {
    fn begin(cx: &Arc<GatewayContext>) -> Self {
        cx.state.active.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(cx))
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.state.active.fetch_sub(1, Ordering::Relaxed);
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
    /// Whether the next send is the probe of a quarantine entry.
    pub is_probe: bool,
    /// Software of the back ends that sent events, in the order of their events.
    pub software: SmallVec<[SoftwareVersion; 2]>,
    /// Software versions at which the call may be placed.
    pub allowed: AllowedSoftware,
    /// Whether another node forwards the call to this one.
    pub is_forwarded: bool,
    /// Number of nodes through which it was forwarded.
    pub forwards: u32,
}

impl Progress {
    /// Returns whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    /// Records the software of a back end that has sent events.
    pub fn note_software(&mut self, software: Option<&str>) {
        let software = software.unwrap_or_default();
        if self.software.last().is_none_or(|last| **last != *software) {
            self.software.push(software.into());
        }
    }
}

/// Serves a call.
pub async fn serve(cx: Arc<GatewayContext>, req: Request<Incoming>) -> Response<Body> {
    let active = ActiveCall::begin(&cx);
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
    req: Request<Incoming>,
) -> Result<Call, Refusal> {
    let mut call = Call::read(&cx.state, head, req).await?;
    call.charge_quota(&cx.state)?;
    Ok(call)
}

/// Serves a call that another node forwards. That node has charged it against its customer's quota.
pub async fn serve_forwarded(
    cx: Arc<GatewayContext>,
    req: Request<Incoming>,
    forwarded: ForwardedCall,
) -> Response<Body> {
    let active = ActiveCall::begin(&cx);
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
    if let AllowedSoftware::Only(software) = forwarded.allowed {
        resume::set_service_with(&cx.state, &mut call, software);
    }
    let progress = Progress {
        is_forwarded: true,
        allowed: forwarded.allowed,
        ..Progress::default()
    };
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
    active: ActiveCall,
) -> Response<Body> {
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
    if let Some(customer) = call.customer_name() {
        cx.state.quotas.lock().refund(customer, call.quota_units);
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
    if !progress.is_forwarded {
        progress.allowed = resume::allowed_software(cx, call).await?;
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

/// Chooses a back end, sends the call to it and waits for the head of the response.
///
/// # Errors
///
/// Fails if no back end can be tried, or if there is no usable response.
pub async fn try_backend(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    last_event: Option<u64>,
) -> Result<BackendResponse, AttemptError> {
    check_quarantine(cx, call, progress)?;
    let hop = next_hop(cx, call, progress);
    if std::mem::take(&mut progress.is_probe) && !matches!(hop, Ok(Hop::Backend(..))) {
        cx.state.quarantine.lock().return_probe(&call.suspects);
    }
    let hop = hop?;
    progress.tried.push(hop.name().into());
    // The call may have run until the outcome is known. The future is dropped before that if the caller
    // disconnects or the deadline passes.
    let may_have_run = std::mem::replace(&mut progress.may_have_run, true);
    let sends_before = progress.sends;
    let result = match hop {
        Hop::Backend(running, timeout) => {
            progress.sends += 1;
            note_send(cx, call, progress.sends);
            attempt::send(cx, call, running, last_event, timeout).await
        }
        Hop::Node(node) => {
            progress.forwards += 1;
            let forwarded = ForwardedCall {
                max_sends: call.max_backends.saturating_sub(progress.sends).max(1),
                allowed: progress.allowed,
            };
            let timeout = attempt_timeout(call, progress, call.route.target_latency);
            // The node may send it to all back ends that are left.
            progress.sends = call.max_backends;
            peer_forward::send(cx, call, &node, forwarded, last_event, timeout).await
        }
    };
    if let Err(e) = &result {
        if e.verdict() == Verdict::NotRun {
            progress.sends = sends_before;
            progress.unreached += 1;
            progress.may_have_run = may_have_run;
        }
        record::attempt_failed(&cx.state, call, progress, e);
    } else if result.as_ref().is_ok_and(|response| response.head.not_run) {
        progress.may_have_run = may_have_run;
    }
    result
}

/// Where a call is sent to.
enum Hop {
    /// To a back end, with the timeout for its response.
    Backend(RunningAttempt, Duration),
    /// To another node, which forwards it to a back end.
    Node(Member),
}

impl Hop {
    fn name(&self) -> &str {
        match self {
            Self::Backend(running, _) => running.backend(),
            Self::Node(node) => &node.name,
        }
    }
}

fn next_hop(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &Progress,
) -> Result<Hop, AttemptError> {
    if let Some(node) = peer_forward::choose_node(cx, call, progress) {
        return Ok(Hop::Node(node));
    }
    let no_backend = match start_attempt(cx, call, progress) {
        Ok((running, timeout)) => return Ok(Hop::Backend(running, timeout)),
        Err(e) => e,
    };
    let is_none_open = matches!(
        no_backend,
        AttemptError::NoCandidate {
            cause: RefusalCause::NoBackend,
            ..
        }
    );
    let node = is_none_open
        .then(|| peer_forward::choose_node_without_backend(cx, call, progress))
        .flatten();
    node.map(Hop::Node).ok_or(no_backend)
}

/// Checks that a call may be sent to a back end: calls with its suspects may have crashed some.
fn check_quarantine(
    cx: &GatewayContext,
    call: &Call,
    progress: &mut Progress,
) -> Result<(), AttemptError> {
    if !cx.state.quarantine.lock().blocks(&call.suspects) {
        return Ok(());
    }
    if progress.sends > 0 {
        return Err(AttemptError::Quarantined);
    }
    let wall = cx.state.wall();
    let check = cx.state.quarantine.lock().check(&call.suspects, wall);
    progress.is_probe = check == Check::Probe;
    match check {
        Check::Pass | Check::Probe => Ok(()),
        Check::Block => Err(AttemptError::Quarantined),
    }
}

/// Chooses a back end and occupies a slot there in one step, so that concurrent calls see each other's
/// slots.
fn start_attempt(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &Progress,
) -> Result<(RunningAttempt, Duration), AttemptError> {
    let state = &cx.state;
    let (prompt_tokens, answer_tokens) = call.head.tokens.unwrap_or_default();
    let answer_tokens = call
        .head
        .length_hint
        .unwrap_or(answer_tokens)
        .min(answer_tokens);
    let ask = PlacementRequest {
        service: &call.service.name,
        engine: call.service.engine,
        parts: &call.head.parts,
        prompt_tokens,
        answer_tokens,
        rank: call.rank(),
        max_wait: max_wait(call, progress),
        zone: &state.settings.zone,
        tried: &progress.tried,
        software: progress.allowed,
        shares: shares(state),
    };
    let placement = {
        let mut backends = state.backends.lock();
        let now = state.now();
        backends.expire_loads(now);
        let mut placement = placement::place(
            &backends,
            state.regions(),
            &ask,
            now,
            &mut rand::random::<f64>,
        );
        if let Placement::Send { place, .. } = &mut placement {
            let kv_tokens = call.service.engine.map_or(0, |engine| engine.kv_tokens);
            backends.begin(place, &call.head.parts, u64::from(kv_tokens), now);
        }
        placement
    };
    match placement {
        Placement::Send {
            place, expected, ..
        } => {
            let running = RunningAttempt::begin(cx, call, place, expected, progress.is_probe);
            Ok((running, attempt_timeout(call, progress, expected)))
        }
        Placement::Refuse {
            cause, retry_after, ..
        } => Err(AttemptError::NoCandidate { cause, retry_after }),
    }
}

/// Returns this node's shares in the places of brittle back ends.
fn shares(state: &GatewayState) -> Shares {
    let members = state.members.lock();
    Shares {
        position: members.position(&state.settings.name),
        nodes: members.count(),
    }
}

/// Returns the longest expected wait at a back end after which the call is still worth to be placed there.
fn max_wait(call: &Call, progress: &Progress) -> Duration {
    let longest = call.remaining() / 2;
    let target_latency = call.route.target_latency;
    match progress.allowed {
        // A stream that has begun cannot go on elsewhere.
        AllowedSoftware::Only(_) => longest,
        _ if progress.tried.is_empty() => target_latency.mul_f64(MAX_WAIT_FACTOR).min(longest),
        _ => target_latency.mul_f64(MAX_RETRY_WAIT_FACTOR).min(longest),
    }
}

/// Returns the timeout for the response head, after which another back end may be tried.
fn attempt_timeout(call: &Call, progress: &Progress, expected: Duration) -> Duration {
    let is_last = progress.sends + 1 >= call.max_backends;
    let suspect_after = expected.mul_f64(ATTEMPT_TIMEOUT_FACTOR);
    match call.route.kind {
        _ if is_last => call.remaining(),
        RouteKind::Idempotent => MIN_ATTEMPT_TIMEOUT.max(suspect_after).min(call.remaining()),
        RouteKind::Stream { resumable: true } => {
            MIN_STREAM_TIMEOUT.max(suspect_after).min(call.remaining())
        }
        RouteKind::Stream { .. } | RouteKind::AtMostOnce => call.remaining(),
    }
}

/// Counts the first send of a call, from which the service's retry budget grows.
fn note_send(cx: &GatewayContext, call: &Call, sends: u32) {
    if sends == 1 {
        with_retry_budget(cx, call, RetryBudget::record_call);
    }
}

/// Returns whether the call may be sent to one more back end, and charges the retry budget if it was
/// sent before.
pub fn may_retry(cx: &GatewayContext, call: &Call, progress: &Progress) -> bool {
    if progress.sends == 0 {
        return progress.unreached < MAX_UNREACHED_BACKENDS;
    }
    progress.sends < call.max_backends
        && !cx.state.quarantine.lock().crashes.demands_caution(call.id)
        && progress.unreached < MAX_UNREACHED_BACKENDS
        && with_retry_budget(cx, call, RetryBudget::try_take)
}

fn with_retry_budget<T>(
    cx: &GatewayContext,
    call: &Call,
    f: impl FnOnce(&mut RetryBudget, Moment) -> T,
) -> T {
    let state = &cx.state;
    let now = state.now();
    let bounds = &state.settings.bounds;
    let nodes = state.node_count();
    let mut retries = state.retries.lock();
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
async fn handle_response(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    response: BackendResponse,
) -> NextStep {
    if response.head.not_run {
        return handle_decline(cx, call, progress, response);
    }
    if call.route.kind.is_stream() && response.status == StatusCode::OK {
        return NextStep::Respond(CallerResponse::Stream(Box::new(response)));
    }
    let failed = response.status.is_server_error();
    let retry = failed && call.route.kind == RouteKind::Idempotent && may_retry(cx, call, progress);
    match read_full_response(cx, response).await {
        Ok(_) if retry => NextStep::TryAnother,
        Ok(res) => NextStep::Respond(CallerResponse::Unary(res)),
        Err(e) => {
            record::attempt_failed(&cx.state, call, progress, &e);
            handle_failure(cx, call, progress, &e)
        }
    }
}

fn handle_decline(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &mut Progress,
    mut response: BackendResponse,
) -> NextStep {
    response.running.set_outcome(Outcome::Declined);
    record::declined(&cx.state, call, response.running.backend(), response.status);
    drop(response);
    if may_retry(cx, call, progress) {
        NextStep::TryAnother
    } else {
        let retry_after = call.route.target_latency / 2;
        NextStep::GiveUp(Refusal::retry_later(Cause::Declined, retry_after))
    }
}

fn handle_failure(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &Progress,
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
    if may_repeat && may_retry(cx, call, progress) {
        return NextStep::TryAnother;
    }
    if call.remaining().is_zero() {
        return NextStep::GiveUp(Refusal::with_verdict(Cause::TimedOut, e.verdict()));
    }
    NextStep::GiveUp(match e.verdict() {
        Verdict::NotRun => Refusal::retry_later(Cause::NoBackend, call.route.target_latency / 2),
        verdict => Refusal::with_verdict(Cause::AnswerLost, verdict),
    })
}

/// Reads the whole body of a response that is not a stream.
async fn read_full_response(
    cx: &GatewayContext,
    response: BackendResponse,
) -> Result<Response<Body>, AttemptError> {
    let BackendResponse {
        status,
        headers,
        head,
        body,
        connection,
        mut running,
    } = response;
    let started = Instant::now();
    let body: Bytes = match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            tracing::debug!(backend = running.backend(), error = %e, "failed to read the body of a response");
            running.set_outcome(Outcome::BrokeOff);
            return Err(AttemptError::Unusable {
                backend: running.backend().into(),
                problem: "it broke off",
            });
        }
    };
    let since_start = running.age().saturating_sub(started.elapsed()) / 2;
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
