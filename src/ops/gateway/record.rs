//! Log lines and metrics for the outcome of calls.
//!
//! A line names the call's attempt, the inputs of the decision with their age or version, and the
//! outcome. Successes and failures have separate rate limits, so that many successes cannot crowd out
//! failures; the number of suppressed lines is logged with the next one.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use smallvec::SmallVec;

use super::attempt::AttemptError;
use super::call::Call;
use super::confirm::NoReport;
use super::progress::Progress;
use super::quarantine;
use super::refusal::Refusal;
use super::resume::KnownFrom;
use super::running::RunningAttempt;
use super::state::GatewayState;
use crate::core::gateway::backends::Backend;
use crate::core::gateway::cache::PartId;
use crate::core::gateway::listed_process::ProcessStart;
use crate::core::gateway::quota::Shortage;
use crate::core::gateway::silence::{Decision, Silence};
use crate::core::verdict::Verdict;
use crate::util::time::as_millis_u64;

/// Limit on log lines per second for calls that were served.
const MAX_SERVED_LINES_PER_S: u64 = 20;
/// Limit on log lines per second for calls that failed.
const MAX_FAILED_LINES_PER_S: u64 = 100;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With a response from a back end.
    Answered(StatusCode),
    /// With a refusal from the gateway itself.
    Refused(Refusal),
    /// With a stream that broke off before its end.
    BrokenOff(&'static str),
    /// The caller disconnected.
    CallerDisconnected,
}

/// Rate limit on log lines, per second.
struct LineRateLimit {
    second: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LineRateLimit {
    const fn new() -> Self {
        Self {
            second: AtomicU64::new(0),
            written: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Returns the number of lines suppressed since the last one, or `None` if this line is suppressed
    /// too.
    fn admit(&self, second: u64, max_per_s: u64) -> Option<u64> {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        if self.written.fetch_add(1, Ordering::Relaxed) >= max_per_s {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.left_out.swap(0, Ordering::Relaxed))
    }
}

static SERVED_LINES: LineRateLimit = LineRateLimit::new();
static FAILED_LINES: LineRateLimit = LineRateLimit::new();

fn admit_failure_line(state: &GatewayState) -> Option<u64> {
    FAILED_LINES.admit(state.now().as_secs(), MAX_FAILED_LINES_PER_S)
}

/// Records a call that was refused while its head or body was read.
pub fn refused_while_reading(state: &GatewayState, attempt: &str, refusal: &Refusal) {
    metrics::counter!("jayhall_gateway_refusals", "cause" => refusal.cause.as_str()).increment(1);
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt,
            cause = refusal.cause.as_str(),
            status = refusal.status().as_u16(),
            verdict = refusal.verdict.as_str(),
            retry_after_ms = refusal.retry_after.map(as_millis_u64),
            config = state.table().map_or(0, |table| table.version),
            store_age_ms = state.view_age().map(as_millis_u64),
            left_out,
            "call refused"
        );
    }
}

/// Records a call that exceeds its customer's quota, and by how much.
pub fn over_quota(
    state: &GatewayState,
    call: &Call,
    units: f64,
    holder: &str,
    shortage: &Shortage,
) {
    let rank = call.route_rank();
    metrics::counter!("jayhall_gateway_quota_refusals", "rank" => rank.to_string()).increment(1);
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            customer = call.customer_name(),
            units,
            rank,
            came_back = shortage.is_return,
            holder,
            level = shortage.level.round(),
            reserve = shortage.reserve.round(),
            rate = shortage.rate.round(),
            fraction = shortage.fraction,
            retry_after_ms = as_millis_u64(shortage.retry_after),
            left_out,
            "over quota"
        );
    }
}

/// Records a call whose customer's quota no node holds, among those that were asked and answered.
pub fn quota_unknown(state: &GatewayState, call: &Call, units: f64, asked: usize) {
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            customer = call.customer_name(),
            units,
            asked,
            nodes = state.node_count(),
            left_out,
            "quota holders do not answer"
        );
    }
}

/// Returns the identity of a call's request, in hexadecimal.
fn request(call: &Call) -> String {
    format!("{:x}", call.id)
}

/// Returns the ids of the parts of a call's prompt, in hexadecimal and separated by commas.
fn part_ids(call: &Call) -> String {
    let ids: SmallVec<[PartId; 4]> = call.head.parts.iter().map(|part| part.id).collect();
    quarantine::hex(&ids)
}

/// Records that a call resumes a stream whose software version is known.
pub fn resumed(state: &GatewayState, call: &Call, known_from: KnownFrom) {
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            resumes = call.head.resumes.as_deref(),
            last_event = call.head.last_event,
            ?known_from,
            store_age_ms = state.view_age().map(as_millis_u64),
            left_out,
            "stream resumed by its caller"
        );
    }
}

/// Records an attempt without a usable response.
pub fn attempt_failed(state: &GatewayState, call: &Call, progress: &Progress, e: &AttemptError) {
    if let AttemptError::Declined { backend, status } = e {
        return declined(state, call, backend, *status);
    }
    metrics::counter!("jayhall_gateway_failed_sends", "service" => call.service.name.to_string())
        .increment(1);
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            backend = progress.tried.last().map(|id| &**id),
            sends = progress.sends,
            verdict = e.verdict().as_str(),
            request = request(call),
            part_ids = part_ids(call),
            error = %e,
            left_out,
            "send failed"
        );
    }
}

/// Records that the process at a back end's address is not the listed one, so that its software is not known.
pub fn process_replaced(backend: &Backend, reported: ProcessStart) {
    tracing::warn!(
        backend = &*backend.id,
        service = &*backend.service,
        listed = backend.started,
        reported,
        "back end started again without a new entry"
    );
}

/// Records that the listed process of a back end still runs, to which connections had broken.
pub fn process_confirmed(state: &GatewayState, backend: &Backend) {
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            backend = &*backend.id,
            service = &*backend.service,
            listed = backend.started,
            left_out,
            "process of a back end confirmed"
        );
    }
}

/// Records that a back end gave no usable report on its process.
pub fn process_not_reported(state: &GatewayState, call: &Call, backend: &Backend, e: &NoReport) {
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            backend = &*backend.id,
            listed = backend.started,
            error = %e,
            left_out,
            "no report on the process of a back end"
        );
    }
}

/// Records a response that does not go on with a stream.
pub fn not_continued(state: &GatewayState, call: &Call, backend: &str, status: StatusCode) {
    metrics::counter!("jayhall_gateway_failed_sends", "service" => call.service.name.to_string())
        .increment(1);
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            backend,
            status = status.as_u16(),
            left_out,
            "back end did not go on with a stream"
        );
    }
}

/// Records a response which states that the call was not run.
fn declined(state: &GatewayState, call: &Call, backend: &str, status: StatusCode) {
    metrics::counter!("jayhall_gateway_declined_sends", "service" => call.service.name.to_string())
        .increment(1);
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            backend,
            status = status.as_u16(),
            left_out,
            "back end declined"
        );
    }
}

/// Records a back end that has been silent for longer than usual, and what is done about it.
pub fn back_end_silent(
    state: &GatewayState,
    call: &Call,
    backend: &str,
    silence: &Silence,
    decision: Decision,
) {
    let (decision, reason) = match decision {
        Decision::TryAnother => ("try_another", None),
        Decision::Wait(reason) => ("wait", Some(reason.as_str())),
    };
    metrics::counter!("jayhall_gateway_silences", "service" => call.service.name.to_string(), "decision" => decision)
        .increment(1);
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            backend,
            silent_ms = as_millis_u64(silence.lasted),
            decision,
            reason,
            others_active = silence.others.active,
            others_silent = silence.others.silent,
            left_ms = as_millis_u64(call.remaining()),
            left_out,
            "back end silent"
        );
    }
}

/// Records that a silent back end has gone on.
pub fn back_end_went_on(state: &GatewayState, call: &Call, backend: &str, silence: Duration) {
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            backend,
            longest_silence_ms = as_millis_u64(silence),
            left_out,
            "back end no longer silent"
        );
    }
}

/// Records a stream that broke off at a back end, and for how long the back end had sent events.
pub fn broke_off(
    state: &GatewayState,
    call: &Call,
    running: &RunningAttempt,
    cause: &str,
    last_event: Option<u64>,
) {
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            backend = running.backend(),
            cause,
            request = request(call),
            part_ids = part_ids(call),
            answering_ms = running.answering_for().map(as_millis_u64),
            last_event,
            left_out,
            "stream broke off at a back end"
        );
    }
}

/// Records that an event of a stream waited for memory.
pub fn waited_for_memory(state: &GatewayState, call: &Call, waited: Duration) {
    metrics::histogram!("jayhall_gateway_memory_wait_seconds").record(waited.as_secs_f64());
    if let Some(left_out) = admit_failure_line(state) {
        tracing::info!(
            attempt = &*call.head.attempt,
            waited_ms = as_millis_u64(waited),
            reserved = state.bodies.events.reserved_bytes(),
            reserved_by_answers = state.bodies.answers.reserved_bytes(),
            left_ms = as_millis_u64(call.remaining()),
            left_out,
            "stream waited for memory"
        );
    }
}

/// Records the end of a call whose response is not a stream.
pub fn ended(state: &GatewayState, call: &Call, progress: &Progress, ended: CallEnd) {
    stream_ended(state, call, progress, ended, None, None);
}

/// Records the end of a call.
pub fn stream_ended(
    state: &GatewayState,
    call: &Call,
    progress: &Progress,
    ended: CallEnd,
    first_event_after: Option<Duration>,
    last_event: Option<u64>,
) {
    let (outcome, status, verdict) = match ended {
        CallEnd::Answered(status) => ("answered", status.as_u16(), Verdict::Ran),
        CallEnd::Refused(refusal) => (
            refusal.cause.as_str(),
            refusal.status().as_u16(),
            refusal.verdict,
        ),
        CallEnd::BrokenOff(what) => (what, 200, Verdict::MayHaveRun),
        CallEnd::CallerDisconnected => ("caller_left", 0, progress.verdict()),
    };
    let took = call.received.elapsed();
    if !progress.is_forwarded {
        count(call, outcome, first_event_after.unwrap_or(took));
    }
    let is_served = matches!(ended, CallEnd::Answered(status) if !status.is_server_error());
    let line = match is_served {
        true => SERVED_LINES.admit(state.now().as_secs(), MAX_SERVED_LINES_PER_S),
        false => admit_failure_line(state),
    };
    let Some(left_out) = line else { return };
    let retry_after = match ended {
        CallEnd::Refused(refusal) => refusal.retry_after,
        _ => None,
    };
    let silence = progress.longest_silence;
    let silence_ms = (!silence.is_zero()).then(|| as_millis_u64(silence));
    tracing::info!(
        attempt = &*call.head.attempt,
        outcome,
        status,
        verdict = verdict.as_str(),
        route = &*call.route.name,
        service = &*call.service.name,
        customer = call.customer_name(),
        rank = call.rank(),
        tokens = ?call.head.tokens,
        request = request(call),
        part_ids = part_ids(call),
        parts = ?call.head.parts.iter().map(|part| part.tokens).collect::<SmallVec<[u32; 4]>>(),
        backends = ?progress.tried,
        sends = progress.sends,
        forwards = progress.forwards,
        is_forwarded = progress.is_forwarded,
        first_ms = first_event_after.map(as_millis_u64),
        took_ms = as_millis_u64(took),
        left_ms = as_millis_u64(call.remaining()),
        retry_after_ms = retry_after.map(as_millis_u64),
        longest_silence_ms = silence_ms,
        is_silent = progress.silence.is_some(),
        last_event,
        resumes = call.head.resumes.as_deref(),
        software = ?progress.software,
        config = call.config_version,
        store_age_ms = state.view_age().map(as_millis_u64),
        left_out,
        "call ended"
    );
}

fn count(call: &Call, outcome: &'static str, first: Duration) {
    let customer = call.customer_name().unwrap_or("none").to_owned();
    let kind = call.route.name.to_string();
    metrics::counter!("jayhall_gateway_calls", "outcome" => outcome, "customer" => customer.clone())
        .increment(1);
    metrics::histogram!("jayhall_gateway_first_byte_seconds", "customer" => customer, "route" => kind)
        .record(first.as_secs_f64());
}
