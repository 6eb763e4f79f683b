//! Forwards calls through another node while this node reaches no back end.
//!
//! The other node receives the call on its control listener as the caller sent it, with what is left of its deadline
//! and of its sends. It places the call as one of its own callers' calls, but charges no quota and does not forward it
//! again. Its answer is the back end's, or a refusal that says whether the call may have run.

use std::sync::Arc;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use rand::seq::IndexedRandom;

use super::attempt::{self, AttemptError, GatewayContext, HeadWait};
use super::call::Call;
use super::forward;
use super::progress::Progress;
use super::refusal::Body;
use super::response::{self, BackendResponse};
use super::running::RunningAttempt;
use crate::core::gateway::backends::Entry;
use crate::core::gateway::members::Member;
use crate::core::gateway::software::{AllowedSoftware, SoftwareId};
use crate::core::time::Moment;
use crate::core::verdict::Verdict;
use crate::sources::http::ReceivedBody;

/// In a forwarded call: number of back ends to which it may be sent.
const MAX_SENDS: HeaderName = HeaderName::from_static("jayhall-max-sends");
/// In a forwarded call: software version at which its stream goes on. In the answer: that of the back end.
const SOFTWARE: HeaderName = HeaderName::from_static("jayhall-software");
/// In the refusal of a forwarded call: whether the call may have run.
const VERDICT: HeaderName = HeaderName::from_static("jayhall-verdict");

/// Number of nodes through which a call is forwarded, one after the other.
const MAX_FORWARDS: u32 = 2;
/// Number of back ends that a call may not reach before it is forwarded.
const MAX_UNREACHED_DIRECTLY: usize = 2;
/// Time without a message of a node after which no calls are forwarded through it.
const NODE_TIMEOUT: Moment = Moment::from_millis(1500);

/// What a node that forwards a call says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedCall {
    /// Number of back ends to which it may be sent.
    pub max_sends: u32,
    /// Software version at which its stream goes on; `None` if it has not begun.
    pub software: Option<SoftwareId>,
}

/// Returns the node through which a call is to be forwarded instead of being sent to a back end, if this node is cut
/// off from the back ends or the call did not reach some.
pub fn choose_node(cx: &GatewayContext, call: &Call, progress: &Progress) -> Option<Member> {
    let is_cut_off = cx.state.reach.lock().is_cut_off(&call.service.name);
    let is_due = is_cut_off || progress.unreached >= MAX_UNREACHED_DIRECTLY;
    is_due.then(|| any_node(cx, progress)).flatten()
}

/// Returns the node through which a call is to be forwarded for which no back end is open: a back end that accepts
/// calls may only be in backoff because this node did not reach it.
pub fn choose_node_without_backend(
    cx: &GatewayContext,
    call: &Call,
    progress: &Progress,
) -> Option<Member> {
    let is_suspect = {
        let now = cx.state.now();
        let backends = cx.state.backends.lock();
        let mut accepting = backends.accepting(&call.service.name, now);
        accepting.any(Entry::is_suspect)
    };
    is_suspect.then(|| any_node(cx, progress)).flatten()
}

fn any_node(cx: &GatewayContext, progress: &Progress) -> Option<Member> {
    if progress.allowed == AllowedSoftware::Unknown {
        return None;
    }
    if progress.is_forwarded || progress.forwards >= MAX_FORWARDS {
        return None;
    }
    let state = &cx.state;
    let members = state.members.lock();
    let mut nodes = members.forwarders(&state.settings.name, state.now(), NODE_TIMEOUT);
    nodes.retain(|node| !progress.tried.contains(&node.name));
    nodes.choose(&mut rand::rng()).map(|node| (*node).clone())
}

/// Forwards a call through a node and waits for the head of the response.
///
/// # Errors
///
/// Fails if there is no usable response.
pub async fn send(
    cx: &Arc<GatewayContext>,
    call: &Call,
    node: &Member,
    forwarded: ForwardedCall,
    last_event: Option<u64>,
    wait: HeadWait<'_>,
) -> Result<BackendResponse, AttemptError> {
    let at_most_once = !call.route.kind.may_repeat();
    let mut connection = cx.pool.acquire(node.control, at_most_once).await?;
    let req = attempt::request(call, node_headers(cx, call, forwarded, last_event));
    let res = attempt::exchange(&mut connection, req, &node.name, wait).await?;
    if let Some(verdict) = refusal_verdict(res.headers()) {
        return Err(AttemptError::NodeRefused {
            node: node.name.clone(),
            verdict,
        });
    }
    let running = RunningAttempt::begin_forwarded(cx, call, node, software(res.headers()));
    response::receive(cx, call, running, connection, res)
}

fn node_headers(
    cx: &GatewayContext,
    call: &Call,
    forwarded: ForwardedCall,
    last_event: Option<u64>,
) -> HeaderMap {
    let dialect = &cx.state.dialect;
    let mut headers = dialect.node_head(&call.headers, call.remaining(), last_event);
    headers.insert(MAX_SENDS, forwarded.max_sends.into());
    mark_software(&mut headers, forwarded.software);
    headers
}

fn software(headers: &HeaderMap) -> Option<SoftwareId> {
    let text = headers.get(SOFTWARE)?.to_str().ok()?;
    SoftwareId::from_str_radix(text, 16).ok()
}

fn refusal_verdict(headers: &HeaderMap) -> Option<Verdict> {
    let verdict = headers.get(VERDICT)?;
    Some(match verdict == Verdict::NotRun.as_str() {
        true => Verdict::NotRun,
        false => Verdict::MayHaveRun,
    })
}

/// Returns whether a request on the control listener is a forwarded call.
pub fn is_forwarded(headers: &HeaderMap) -> bool {
    headers.contains_key(MAX_SENDS)
}

/// Serves a call that another node forwards.
pub async fn serve(cx: Arc<GatewayContext>, mut req: Request<ReceivedBody>) -> Response<Body> {
    let headers = req.headers_mut();
    let software = software(headers);
    let max_sends = headers.remove(MAX_SENDS);
    let max_sends = max_sends.and_then(|value| value.to_str().ok()?.parse().ok());
    headers.remove(SOFTWARE);
    let forwarded = ForwardedCall {
        max_sends: max_sends.unwrap_or(1),
        software,
    };
    forward::serve_forwarded(cx, req, forwarded).await
}

/// Adds to a refusal of a forwarded call whether the call may have run.
pub fn mark_refusal(res: &mut Response<Body>, verdict: Verdict) {
    let value = HeaderValue::from_static(verdict.as_str());
    res.headers_mut().insert(VERDICT, value);
}

/// Adds the software version that began a stream, or goes on with it, to the headers of a forwarded call or of its
/// answer.
pub fn mark_software(headers: &mut HeaderMap, software: Option<SoftwareId>) {
    if let Some(software) = software {
        let value = HeaderValue::from_str(&format!("{software:x}"));
        headers.insert(
            SOFTWARE,
            value.expect("a hexadecimal number is a header value"),
        );
    }
}

/// Removes from an answer what only this node needs.
pub fn strip(headers: &mut HeaderMap) {
    headers.remove(SOFTWARE);
}
