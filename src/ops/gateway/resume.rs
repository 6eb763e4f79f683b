//! Calls that resume a stream: at which software version they may go on.
//!
//! The caller names the attempt that began its stream, mostly at another node, which may be gone. So a few nodes keep
//! the origin of each stream (see [`super::origin_keepers`]). If none of them knows it, the stream goes on only if its
//! service has had a single software version for as long as a stream may last, or if the store has its origin.
//! Otherwise the call is refused.
//!
//! A node that is cut off knows only the versions from before. So a single version counts only if enough of the other
//! nodes answer and have seen no other one, or if the store confirms that this node's view has all that the store had
//! when the call arrived: a stream that is resumed began before that, at a back end that was listed. After a restore of
//! the store both may lack a version that has joined lately, so that a single version counts only once the store's era
//! is settled (see [`super::settled_era`]). Until then the call is refused with a time to return.

use std::time::Duration;

use super::attempt::GatewayContext;
use super::call::Call;
use super::origin_keepers::{Answers, Kept, ask_archive, ask_keepers, ask_others, kept_here};
use super::record;
use super::refusal::{Cause, Refusal};
use super::settled_era;
use super::state::GatewayState;
use crate::core::gateway::absence::Absence;
use crate::core::gateway::routes::{RouteKind, ServiceName};
use crate::core::gateway::software::{RecentSoftware, SoftwareId};
use crate::core::gateway::stream_origins::{StreamId, StreamOrigin, stream_id};
use crate::util::time::as_millis_u64;

/// Timeout of a question to the store.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of times that the origin of a stream is looked up while it may still become known.
const LOOKUPS: u32 = 3;
/// Pause between two look-ups.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);
/// `Retry-After` of a call whose origin may still become known.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// Where the software version that began a stream is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownFrom {
    /// This node began the stream or keeps its origin.
    Node,
    /// Another node keeps its origin.
    Keeper,
    /// The store has its origin.
    Archive,
    /// The service has had only this version.
    OnlyVersion,
}

/// What is known of the origin of a stream.
enum Lookup {
    /// It began at this software version.
    Found(SoftwareId, KnownFrom),
    /// It will never be known.
    Lost,
    /// It may still become known.
    NotYet,
}

/// Returns the software version at which a call that resumes a stream goes on, and sets its service to the one that
/// began the stream.
///
/// # Errors
///
/// Fails if the stream cannot go on; the call has not run.
pub async fn find_origin(
    cx: &GatewayContext,
    call: &mut Call,
) -> Result<(SoftwareId, KnownFrom), Refusal> {
    for lookup in 1..=LOOKUPS {
        match look_up(cx, call).await {
            Lookup::Found(software, known_from) => {
                if set_service_with(&cx.state, call, software) {
                    record::resumed(&cx.state, call, known_from);
                    return Ok((software, known_from));
                }
                // Another node has seen this version listed.
            }
            Lookup::Lost => return Err(Refusal::not_run(Cause::StreamLost)),
            Lookup::NotYet => {}
        }
        if lookup < LOOKUPS {
            tokio::time::sleep(LOOKUP_PAUSE).await;
        }
    }
    Err(Refusal::retry_later(
        Cause::StreamUnknown,
        retry_after(&cx.state),
    ))
}

/// Returns the time after which the origin of a stream may be known.
fn retry_after(state: &GatewayState) -> Duration {
    match settled_era::absence_in_registry(state) {
        Absence::NeverWritten => RETRY_AFTER,
        Absence::MaybeLost => settled_era::settles_in(state).max(RETRY_AFTER),
    }
}

async fn look_up(cx: &GatewayContext, call: &Call) -> Lookup {
    let state = &cx.state;
    let stream = call.head.resumes.as_deref().map(stream_id);
    if let Some(Kept::At(software)) = stream.map(|stream| kept_here(state, stream)) {
        return Lookup::Found(software, KnownFrom::Node);
    }
    // Without a stream, the nodes are asked for the versions that they have seen.
    let asked_for = stream.unwrap_or_else(|| stream_id(&call.head.attempt));
    let answers = ask_keepers(cx, asked_for).await;
    if let Kept::At(software) = answers.kept {
        return Lookup::Found(software, KnownFrom::Keeper);
    }
    match (recent_software(state, call, &answers), stream) {
        (RecentSoftware::One(_), _) if !is_registry_settled(state, call) => Lookup::NotYet,
        (RecentSoftware::One(software), _) if is_view_complete(cx, call, &answers).await => {
            Lookup::Found(software, KnownFrom::OnlyVersion)
        }
        // Nobody can tell which of the versions it was.
        (RecentSoftware::Several, None) => Lookup::Lost,
        (RecentSoftware::Several, Some(stream)) => look_further(cx, stream, &answers).await,
        (RecentSoftware::One(_) | RecentSoftware::NoRecord, _) => Lookup::NotYet,
    }
}

/// Looks for the origin of a stream that the first nodes do not keep, and whose service has had several versions.
async fn look_further(cx: &GatewayContext, stream: StreamId, answers: &Answers) -> Lookup {
    match (ask_archive(cx, stream).await, answers.kept) {
        (Kept::At(software), _) => return Lookup::Found(software, KnownFrom::Archive),
        (Kept::Nowhere, Kept::Nowhere) => {}
        _ => return Lookup::NotYet,
    }
    match ask_others(cx, stream, answers).await {
        Kept::At(software) => Lookup::Found(software, KnownFrom::Keeper),
        Kept::Nowhere => Lookup::Lost,
        Kept::NotKnown => Lookup::NotYet,
    }
}

/// Returns the versions that the services of a call's route have had lately, as far as this node or those that answered
/// have seen.
fn recent_software(state: &GatewayState, call: &Call, answers: &Answers) -> RecentSoftware {
    let now = state.now();
    let software = state.software.lock();
    match software.recent(services(call), now) {
        RecentSoftware::One(_) if software.lacks(&answers.seen, services(call), now) => {
            RecentSoftware::Several
        }
        recent => recent,
    }
}

fn services(call: &Call) -> impl Iterator<Item = &ServiceName> {
    call.route.targets.iter().map(|target| &target.service)
}

/// Returns whether a version that the registry does not show has no back ends.
fn is_registry_settled(state: &GatewayState, call: &Call) -> bool {
    let is_settled = settled_era::absence_in_registry(state) == Absence::NeverWritten;
    if !is_settled {
        let revision = state.view.lock().revision;
        let settles_in = settled_era::settles_in(state);
        tracing::info!(
            attempt = &*call.head.attempt,
            %revision,
            settles_in_ms = as_millis_u64(settles_in),
            "the registry may lack software versions of a service: the era of the store is not settled"
        );
    }
    is_settled
}

/// Returns whether this node knows all versions at which the call's stream may have begun, together with the nodes that
/// answered.
async fn is_view_complete(cx: &GatewayContext, call: &Call, answers: &Answers) -> bool {
    if answers.suffice && is_view_fresh(&cx.state) {
        return true;
    }
    let received = cx.state.now().saturating_sub(call.received.elapsed());
    let confirmed = cx.archive.is_view_complete_since(received);
    match tokio::time::timeout(CONFIRM_TIMEOUT, confirmed).await {
        Ok(Ok(is_complete)) => is_complete,
        Ok(Err(e)) => {
            tracing::info!(attempt = &*call.head.attempt, error = %e, "cannot confirm the software versions of a service");
            false
        }
        Err(_) => {
            tracing::info!(
                attempt = &*call.head.attempt,
                "cannot confirm the software versions of a service in time"
            );
            false
        }
    }
}

/// Returns whether this node would know a software version that has been listed for longer than departures may take
/// to arrive.
fn is_view_fresh(state: &GatewayState) -> bool {
    let age = state.view_age();
    age.is_some_and(|age| age <= state.settings.bounds.drain)
}

/// Sets the service of a call to the one that has a software version. Returns whether its route has that service, as
/// far as this node knows.
pub fn set_service_with(state: &GatewayState, call: &mut Call, software: SoftwareId) -> bool {
    let known = state.software.lock();
    let Some(name) = known.service_with(software, services(call)) else {
        return false;
    };
    let table = state.table();
    let service = table.and_then(|table| table.services.get(name).cloned());
    if let Some(service) = service {
        call.service = service;
    }
    true
}

/// Records that the first event of a call's stream was passed on, and where it is from. Other nodes are told if the
/// caller may resume it.
pub fn note_begun(cx: &GatewayContext, call: &Call, software: Option<SoftwareId>) {
    if call.route.kind != (RouteKind::Stream { resumable: true }) || call.is_resumption() {
        return;
    }
    let at = cx.state.now();
    let Some(software) = software else {
        // Otherwise the stream would go on at the only version that is known.
        cx.state
            .software
            .lock()
            .note_unknown(&call.service.name, at);
        return;
    };
    let origin = StreamOrigin {
        stream: stream_id(&call.head.attempt),
        software,
        at,
    };
    cx.state.origins.lock().record_begun(origin);
    if cx.new_origins.try_send(origin).is_err() {
        metrics::counter!("jayhall_gateway_unsent_origins").increment(1);
    }
}
