//! Decides for a call whose back end is silent whether to wait for it or to try another one.

use std::time::Duration;

use super::attempt::GatewayContext;
use super::call::Call;
use super::next_hop;
use super::progress::{self, Progress};
use super::record;
use crate::core::gateway::backends::BackendId;
use crate::core::gateway::silence::{Decision, OtherBackends, Silence, WaitReason};

/// A back end that has been silent for longer than usual.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilentBackend<'a> {
    /// Its name.
    pub(super) name: &'a str,
    /// Time since its last event, or since the call was sent.
    pub(super) lasted: Duration,
    /// Time after which another back end may be tried.
    pub(super) timeout: Duration,
}

/// Returns whether an attempt without a response head after `lasted` is given up: another back end can be tried, or the
/// deadline has passed.
pub(super) fn gives_up(
    cx: &GatewayContext,
    call: &Call,
    progress: &mut Progress,
    lasted: Duration,
    timeout: Duration,
) -> bool {
    if call.remaining().is_zero() {
        return true;
    }
    let name = progress.tried.last().cloned().unwrap_or_default();
    let silent = SilentBackend {
        name: &name,
        lasted,
        timeout,
    };
    decide(cx, call, progress, &silent) == Decision::TryAnother
}

/// Decides about the silent back end of a call. [`Decision::TryAnother`] is returned only if there is one; the retry
/// budget has been charged for it then.
pub(super) fn decide(
    cx: &GatewayContext,
    call: &Call,
    progress: &mut Progress,
    silent: &SilentBackend<'_>,
) -> Decision {
    let silence = observe(cx, call, progress, silent);
    let decision = match silence.decide() {
        Decision::TryAnother => try_to_move(cx, call, progress, silent.timeout),
        wait @ Decision::Wait(_) => wait,
    };
    let has_alternative = matches!(
        decision,
        Decision::TryAnother | Decision::Wait(WaitReason::NoBudget)
    );
    if has_alternative {
        let now = cx.state.now();
        cx.state.backends.lock().record_silent(silent.name, now);
    }
    progress.longest_silence = progress.longest_silence.max(silent.lasted);
    if progress.silence.replace(decision) != Some(decision) {
        record::back_end_silent(&cx.state, call, silent.name, &silence, decision);
    }
    decision
}

/// Records that the back end of a call has sent something, if it was silent before.
pub(super) fn note_went_on(
    cx: &GatewayContext,
    call: &Call,
    progress: &mut Progress,
    backend: &str,
) {
    if progress.silence.take().is_some() {
        cx.state.backends.lock().record_went_on(backend);
        record::back_end_went_on(&cx.state, call, backend, progress.longest_silence);
    }
}

fn observe(
    cx: &GatewayContext,
    call: &Call,
    progress: &Progress,
    silent: &SilentBackend<'_>,
) -> Silence {
    let state = &cx.state;
    let service = &call.service.name;
    let may_repeat = call.route.kind.may_repeat();
    let is_blocked = state.quarantine.lock().blocks(&call.suspects);
    Silence {
        lasted: silent.lasted,
        timeout: silent.timeout,
        has_attempts: may_repeat && !is_blocked && progress::has_attempts(cx, call, progress),
        is_cut_off: state.reach.lock().is_cut_off(service),
        others: others(cx, service, silent),
    }
}

fn others(cx: &GatewayContext, service: &str, silent: &SilentBackend<'_>) -> OtherBackends {
    let now = cx.state.now();
    let activities = cx.state.activities.lock();
    activities.others(service, silent.name, silent.timeout, now)
}

/// Charges the retry budget for another send, if there is a back end for it that is not silent itself.
fn try_to_move(
    cx: &GatewayContext,
    call: &Call,
    progress: &mut Progress,
    timeout: Duration,
) -> Decision {
    progress.avoided = silent_backends(cx, call, timeout);
    if !next_hop::has_next_hop(cx, call, progress) {
        return Decision::Wait(WaitReason::NoCandidate);
    }
    if !progress::may_retry(cx, call, progress) {
        return Decision::Wait(WaitReason::NoBudget);
    }
    progress.has_retry = true;
    Decision::TryAnother
}

fn silent_backends(cx: &GatewayContext, call: &Call, timeout: Duration) -> Vec<BackendId> {
    let now = cx.state.now();
    let activities = cx.state.activities.lock();
    activities.silent(&call.service.name, timeout, now)
}
