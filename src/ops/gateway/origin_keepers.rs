//! Which nodes keep the origin of a stream: how they get it, and how it is asked for.
//!
//! The node that passes on the first event of a stream sends its origin to a few nodes, which are chosen by rendezvous
//! hashing, and a node at which the stream is resumed asks these. A node that leaves hands its origins over (see
//! [`super::origin_hand_over`]). While a service has several software versions, the origins are in the store, too (see
//! [`super::origin_archive`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::mpsc;

use super::attempt::GatewayContext;
use super::mesh::Mesh;
use super::origin_archive;
use super::settled_era;
use super::state::GatewayState;
use crate::core::gateway::absence::Absence;
use crate::core::gateway::members::Member;
use crate::core::gateway::software::{STREAM_LIFETIME, SeenSoftware, SoftwareId};
use crate::core::gateway::stream_origins::{StreamId, StreamOrigin};
use crate::core::time::Moment;
use crate::sources::http::AnswerLimits;
use crate::util::query;
use crate::util::time::as_millis_u64;

/// Path on the control listener at which nodes ask for the origin of a stream.
pub const PATH: &str = "/stream-origin";
/// In the answer to a question: software versions that the node has seen, each as the hashes of service and version.
const SEEN_SOFTWARE: HeaderName = HeaderName::from_static("jayhall-software-seen");
/// In the answer to a question: time since the process started, in milliseconds.
const PROCESS_AGE: HeaderName = HeaderName::from_static("jayhall-process-age-ms");
/// Number of nodes that keep the origin of a stream.
pub(super) const KEEPERS: usize = 3;
/// Number of nodes that are asked for it: more than keep it, as nodes come and go.
const ASKED: usize = 4;
/// Number of nodes that are asked in all if the first ones have started after the stream may have begun. If so many have
/// started since, the nodes that kept the origin have been lost, too.
const WIDELY_ASKED: usize = 12;
/// Number of the first ones that have to answer, if there are as many: one of them keeps the origin if any node does.
const ENOUGH_ANSWERS: usize = 1 + ASKED - KEEPERS;
/// Timeout of a question to a node.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a question to a node that reads the store to answer it.
const ARCHIVE_TIMEOUT: Duration = Duration::from_millis(900);
/// Size limit for a node's answer.
const MAX_ORIGIN_BYTES: usize = 1024;
/// Time without a message of a node after which it keeps no origins and is not asked.
pub(super) const NODE_TIMEOUT: Moment = Moment::from_millis(2000);
/// Time after its start within which a node receives the origins of nodes that leave.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);
/// Limit on origins that wait to be sent to the nodes that keep them.
const MAX_UNSENT_ORIGINS: usize = 1024;
/// Limit on the origins that are sent together.
const MAX_ORIGINS_PER_ROUND: usize = 64;

/// What the nodes that were asked for the origin of a stream know.
#[derive(Debug)]
pub(super) struct Answers {
    pub(super) kept: Kept,
    /// Whether enough of them have answered.
    pub(super) suffice: bool,
    /// Versions that services have had lately.
    pub(super) seen: Vec<SeenSoftware>,
    /// Number of nodes that were asked.
    asked: usize,
    /// Whether one of them has run for longer than a stream lasts. All nodes that were chosen to keep the origin then
    /// come before that one in the order in which nodes are asked, or have ended.
    has_old: bool,
}

/// What one node or the store answers.
#[derive(Debug)]
struct Answer {
    kept: Kept,
    seen: Vec<SeenSoftware>,
    /// When the process of the node started, if it says so.
    started_at: Option<Moment>,
}

impl Answer {
    /// Stands for a node that did not answer, or whose answer cannot be decoded.
    fn none() -> Self {
        Self {
            kept: Kept::NotKnown,
            seen: Vec::new(),
            started_at: None,
        }
    }
}

/// What nodes or the store know of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// It began at this software version.
    At(SoftwareId),
    /// They do not keep it.
    Nowhere,
    /// Some did not answer, and the others do not keep it.
    NotKnown,
}

/// Which origins another node is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Question {
    /// Those that it keeps in memory.
    Memory,
    /// Those in the store, too.
    Archive,
}

/// Asks the nodes that would keep the origin of a stream if it began now.
pub(super) async fn ask_keepers(cx: &GatewayContext, stream: StreamId) -> Answers {
    let asked = keepers(&cx.state, stream, ASKED, |member| member.control);
    let is_alone = cx.state.node_count() <= 1;
    let enough = ENOUGH_ANSWERS.min(asked.len()).max(usize::from(!is_alone));
    let answers = ask_all(cx, asked, stream).await;
    let answered = answers.iter().filter(|a| a.kept != Kept::NotKnown).count();
    let suffice = answered >= enough;
    let kept = match combine(&answers) {
        Kept::Nowhere if !suffice => Kept::NotKnown,
        kept => kept,
    };
    let oldest = answers.iter().filter_map(|answer| answer.started_at).min();
    let began_at = cx.state.now().saturating_sub(STREAM_LIFETIME);
    Answers {
        kept,
        suffice,
        asked: answers.len(),
        seen: answers.into_iter().flat_map(|answer| answer.seen).collect(),
        has_old: Absence::in_memory(oldest, began_at) == Absence::NeverWritten,
    }
}

/// Asks the nodes that come next for the origin of a stream that the first ones do not keep, as far as these cannot know
/// that nobody does. The store does not have the origin either.
pub(super) async fn ask_others(cx: &GatewayContext, stream: StreamId, first: &Answers) -> Kept {
    let state = &cx.state;
    let is_settled = settled_era::absence_in_registry(state) == Absence::NeverWritten;
    if first.has_old && is_settled {
        return Kept::Nowhere;
    }
    let mut others = keepers(state, stream, WIDELY_ASKED, |member| member.control);
    let others = others.split_off(first.asked.min(others.len()));
    let kept = combine(&ask_all(cx, others, stream).await);
    match kept {
        Kept::Nowhere if !is_settled && state.node_count() > WIDELY_ASKED => Kept::NotKnown,
        Kept::Nowhere if is_hand_over_due(state) => Kept::NotKnown,
        kept => kept,
    }
}

/// Returns whether a node that leaves may still have to hand its origins over to this one, which has just started.
fn is_hand_over_due(state: &GatewayState) -> bool {
    let now = state.now();
    if now.saturating_sub(state.started_at) > HAND_OVER_TIME {
        return false;
    }
    let members = state.members.lock();
    let mut leaving = members.iter().filter(|member| !member.is_ready);
    leaving.any(|member| {
        *member.name != *state.settings.name && !members.is_silent(&member.name, now, NODE_TIMEOUT)
    })
}

async fn ask_all(cx: &GatewayContext, asked: Vec<SocketAddr>, stream: StreamId) -> Vec<Answer> {
    let asked = asked.into_iter();
    join_all(asked.map(|control| ask(cx, control, stream, Question::Memory))).await
}

/// Returns what all answers show together.
fn combine(answers: &[Answer]) -> Kept {
    let kept = || answers.iter().map(|answer| answer.kept);
    let at = kept().find(|kept| matches!(kept, Kept::At(_)));
    let without_origin = match kept().all(|kept| kept == Kept::Nowhere) {
        true => Kept::Nowhere,
        false => Kept::NotKnown,
    };
    at.unwrap_or(without_origin)
}

/// Returns what is wanted of each node among the first `count` for the origin of a stream, without this one.
pub(super) fn keepers<T>(
    state: &GatewayState,
    stream: StreamId,
    count: usize,
    wanted: impl Fn(&Member) -> T,
) -> Vec<T> {
    let own = &state.settings.name;
    let members = state.members.lock();
    let keepers = members.keepers(stream, own, count, state.now(), NODE_TIMEOUT);
    let others = keepers.into_iter().filter(|member| member.name != *own);
    others.map(wanted).collect()
}

/// Asks a node for the origin of a stream. Records it at this node, too.
async fn ask(
    cx: &GatewayContext,
    control: SocketAddr,
    stream: StreamId,
    question: Question,
) -> Answer {
    let (suffix, timeout) = match question {
        Question::Memory => ("", ASK_TIMEOUT),
        Question::Archive => ("&archive=1", ARCHIVE_TIMEOUT),
    };
    let url = format!("http://{control}{PATH}?stream={stream:x}{suffix}");
    let res = match get(cx, url, timeout).await {
        Ok(res) => res,
        Err(e) => {
            tracing::debug!(peer = %control, error = %e, "failed to ask for the origin of a stream");
            return Answer::none();
        }
    };
    let seen = res
        .headers()
        .get(SEEN_SOFTWARE)
        .map_or_else(Vec::new, decode_seen);
    let kept = match res.status() {
        StatusCode::NOT_FOUND => Kept::Nowhere,
        status if !status.is_success() => Kept::NotKnown,
        _ => match parse_software(res.body()) {
            Some(software) => {
                record_origin(&cx.state, stream, software);
                Kept::At(software)
            }
            None => {
                tracing::warn!(peer = %control, "cannot decode the origin of a stream");
                Kept::NotKnown
            }
        },
    };
    let started_at = age_in(res.headers()).map(|age| cx.state.now().saturating_sub(age));
    Answer {
        kept,
        seen,
        started_at,
    }
}

/// Returns the age of the process that answered.
fn age_in(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(PROCESS_AGE)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Adds to the answer to another node what it is worth: the age of this process, and which software versions it has seen.
pub fn add_evidence(state: &GatewayState, headers: &mut HeaderMap) {
    let now = state.now();
    let age = now.saturating_sub(state.started_at);
    headers.insert(PROCESS_AGE, as_millis_u64(age).into());
    let seen = state.software.lock().seen(now);
    let texts = seen
        .iter()
        .map(|seen| format!("{:x}.{:x}", seen.service, seen.software));
    let text = texts.collect::<Vec<_>>().join(",");
    match HeaderValue::try_from(text) {
        Ok(value) => drop(headers.insert(SEEN_SOFTWARE, value)),
        Err(e) => tracing::error!(error = %e, "cannot encode software versions"),
    }
}

/// Decodes the versions that another node has seen. Parts of another form are left out.
fn decode_seen(value: &HeaderValue) -> Vec<SeenSoftware> {
    let text = value.to_str().unwrap_or_default();
    let parts = text.split(',').filter_map(|part| part.split_once('.'));
    let parsed = parts.filter_map(|(service, software)| {
        Some(SeenSoftware {
            service: u64::from_str_radix(service, 16).ok()?,
            software: SoftwareId::from_str_radix(software, 16).ok()?,
        })
    });
    parsed.collect()
}

async fn get(cx: &GatewayContext, url: String, timeout: Duration) -> eyre::Result<Response<Bytes>> {
    let limits = AnswerLimits {
        timeout,
        bytes: MAX_ORIGIN_BYTES,
    };
    let req = Request::get(url).body(Full::default())?;
    Ok(cx.peers.send(req, limits).await?)
}

fn parse_software(text: &[u8]) -> Option<SoftwareId> {
    let text = std::str::from_utf8(text).ok()?;
    SoftwareId::from_str_radix(text, 16).ok()
}

fn record_origin(state: &GatewayState, stream: StreamId, software: SoftwareId) {
    let at = state.now();
    let origin = StreamOrigin {
        stream,
        software,
        at,
    };
    state.origins.lock().record(origin);
}

/// Returns what this node knows of the origin of a stream, for another node. `query` names the stream, and whether the
/// store is to be read if this node does not keep the origin.
pub async fn respond(cx: &GatewayContext, query: &str) -> Kept {
    let stream = query::value(query, "stream");
    let Some(Ok(stream)) = stream.map(|text| StreamId::from_str_radix(text, 16)) else {
        return Kept::NotKnown;
    };
    if query::value(query, "archive").is_some() {
        return read_archive(cx, stream).await;
    }
    kept_here(&cx.state, stream)
}

pub(super) fn kept_here(state: &GatewayState, stream: StreamId) -> Kept {
    let known = state.origins.lock().get(stream);
    known.map_or(Kept::Nowhere, Kept::At)
}

/// Looks an origin up in the store, through the node of this availability zone that reads origins.
pub(super) async fn ask_archive(cx: &GatewayContext, stream: StreamId) -> Kept {
    match origin_archive::archivist(&cx.state) {
        Some(node) => ask(cx, node.control, stream, Question::Archive).await.kept,
        None => read_archive(cx, stream).await,
    }
}

async fn read_archive(cx: &GatewayContext, stream: StreamId) -> Kept {
    if let Kept::At(software) = kept_here(&cx.state, stream) {
        return Kept::At(software);
    }
    if let Err(e) = cx.archive.read().await {
        tracing::warn!(error = %e, "failed to read origins of streams from the store");
        return Kept::NotKnown;
    }
    kept_here(&cx.state, stream)
}

/// Creates the queue of origins that [`send_origins`] sends.
pub fn origin_queue() -> (mpsc::Sender<StreamOrigin>, mpsc::Receiver<StreamOrigin>) {
    mpsc::channel(MAX_UNSENT_ORIGINS)
}

/// Sends origins of streams to the nodes that keep them, until the task is dropped.
pub async fn send_origins(
    state: Arc<GatewayState>,
    mesh: Arc<Mesh>,
    mut queue: mpsc::Receiver<StreamOrigin>,
) {
    let mut origins = Vec::new();
    while queue.recv_many(&mut origins, MAX_ORIGINS_PER_ROUND).await > 0 {
        let with_keepers = origins.drain(..).map(|origin| {
            let keepers = keepers(&state, origin.stream, KEEPERS, |member| member.peers);
            (origin, keepers)
        });
        let with_keepers: Vec<_> = with_keepers.collect();
        mesh.send_origins(&with_keepers).await;
    }
}
