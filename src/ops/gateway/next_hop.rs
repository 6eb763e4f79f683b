//! Chooses where a call is sent to next, and how long its response may take.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::attempt::{AttemptError, GatewayContext};
use super::call::Call;
use super::peer_forward;
use super::progress::Progress;
use super::rollout;
use super::running::RunningAttempt;
use super::state::GatewayState;
use crate::core::gateway::backends::BackendId;
use crate::core::gateway::brittle::Shares;
use crate::core::gateway::members::Member;
use crate::core::gateway::placement::{self, Placement, PlacementRequest, RefusalCause};
use crate::core::gateway::quarantine::Check;
use crate::core::gateway::rollout::candidates::Candidates;
use crate::core::gateway::routes::RouteKind;
use crate::core::gateway::software::AllowedSoftware;

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

/// Where a call is sent to.
pub enum Hop {
    /// To a back end, with the timeout for its response.
    Backend(RunningAttempt, Duration),
    /// To another node, which forwards it to a back end.
    Node(Member),
}

impl Hop {
    /// Returns the name of the back end or node.
    pub fn name(&self) -> &str {
        match self {
            Self::Backend(running, _) => running.backend(),
            Self::Node(node) => &node.name,
        }
    }
}

/// Chooses where a call is sent to: a back end, whose slot it occupies at once, or a node if this one does not reach
/// the back ends.
///
/// # Errors
///
/// Fails if there is neither.
pub fn next_hop(
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
///
/// # Errors
///
/// Fails if the call is quarantined.
pub fn check_quarantine(
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

/// Returns whether there is a back end or node to which a call could be sent now.
pub fn has_next_hop(cx: &GatewayContext, call: &Call, progress: &Progress) -> bool {
    peer_forward::choose_node(cx, call, progress).is_some()
        || matches!(
            place(cx, call, progress, Slot::Free),
            Placement::Send { .. }
        )
}

/// What to do with the slot at the back end that is chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Slot {
    /// To occupy it.
    Occupied,
    /// To leave it free, as no call is sent.
    Free,
}

/// Chooses a back end. A slot there is occupied in the same step, so that concurrent calls see each other's slots.
fn place(cx: &GatewayContext, call: &Call, progress: &Progress, slot: Slot) -> Placement {
    let state = &cx.state;
    let excluded: SmallVec<[BackendId; 4]> = progress
        .tried
        .iter()
        .chain(&progress.avoided)
        .cloned()
        .collect();
    let (prompt_tokens, answer_tokens) = call.head.tokens.unwrap_or_default();
    let answer_tokens = call
        .head
        .length_hint
        .unwrap_or(answer_tokens)
        .min(answer_tokens);
    let mut ask = PlacementRequest {
        service: &call.service.name,
        engine: call.service.engine,
        parts: &call.head.parts,
        prompt_tokens,
        answer_tokens,
        rank: call.rank(),
        max_wait: max_wait(call, progress),
        zone: &state.settings.zone,
        tried: &excluded,
        software: progress.allowed,
        shares: shares(state, &call.service.name),
        candidates: &Candidates::Any,
    };
    let mut rollouts = state.rollouts.lock();
    let mut backends = state.backends.lock();
    let now = state.now();
    backends.expire_loads(now);
    let plan = rollouts.plan(&call.service.name, progress.allowed, &backends, now);
    let mut place_among = |candidates| {
        ask.candidates = candidates;
        let draw = &mut rand::random::<f64>;
        placement::place(&backends, state.regions(), &ask, now, draw)
    };
    let mut placement = match &plan {
        Some(plan) => plan.place(place_among),
        None => place_among(&Candidates::Any),
    };
    if let Placement::Send { place, .. } = &mut placement
        && slot == Slot::Occupied
    {
        rollout::record_send(&mut rollouts, &place.backend);
        let kv_tokens = call.service.engine.map_or(0, |engine| engine.kv_tokens);
        backends.begin(place, &call.head.parts, u64::from(kv_tokens), now);
    }
    placement
}

/// Chooses a back end and occupies a slot there.
fn start_attempt(
    cx: &Arc<GatewayContext>,
    call: &Call,
    progress: &Progress,
) -> Result<(RunningAttempt, Duration), AttemptError> {
    match place(cx, call, progress, Slot::Occupied) {
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

/// Returns this node's shares in the places of a service's back ends, if these are brittle.
fn shares(state: &GatewayState, service: &str) -> Option<Shares> {
    if !state.backends.lock().is_brittle(service, state.now()) {
        return None;
    }
    let members = state.members.lock();
    Some(Shares {
        position: members.position(&state.settings.name),
        nodes: members.count(),
    })
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
pub fn attempt_timeout(call: &Call, progress: &Progress, expected: Duration) -> Duration {
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
