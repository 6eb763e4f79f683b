//! Finds the node that serves a request and streams the answer from it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::{BoxStream, StreamExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;

use crate::core::answer::Failure;
use crate::core::cells;
use crate::core::explain::Record;
use crate::core::id::{NodeId, TokenOffset};
use crate::core::request::Completion;
use crate::node::NodeContext;
use crate::ops::call_records::CallRecords;
use crate::ops::requests::{Entry, Progress, Requests, Role};
use crate::peers::convert_request::record_from_wire;

/// Interval after which an empty event is sent to a reader to show that the stream is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of asking another node whether it knows a request.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without an event after which a stream from another node is ended.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of nodes that are asked about a request.
const MAX_NODES_ASKED: usize = 8;
/// Capacity of the event channel to one reader.
const EVENT_BUFFER: usize = 16;

/// Event of the stream of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// Tokens; empty for a heartbeat.
    Tokens {
        /// Offset of the first token.
        offset: TokenOffset,
        /// The tokens.
        tokens: Vec<Box<str>>,
    },
    /// The answer is complete and all of its tokens were sent.
    Complete(Completion),
    /// The request was given up; no more tokens follow.
    Failure(Failure),
    /// Another node serves the request.
    ServedBy(NodeId),
    /// The node does not know the request.
    Unknown,
}

impl AnswerEvent {
    /// Returns whether no event follows this one.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Tokens { .. })
    }
}

/// Stream of the events of one answer.
pub type AnswerEvents = BoxStream<'static, AnswerEvent>;

/// Result of the search for a request.
pub struct Found {
    /// Whether a node knows the request, even if its serving node does not answer at present.
    pub is_known: bool,
    /// Events of the answer; only `Unknown` where no node was found that serves the request.
    pub events: AnswerEvents,
}

impl Found {
    fn with(first: AnswerEvent, rest: AnswerEvents) -> Self {
        Self {
            is_known: true,
            events: prepend(first, rest),
        }
    }
}

/// Finds requests and streams their answers.
#[derive(Clone, Debug)]
pub struct Follower {
    cx: NodeContext,
    requests: Arc<Requests>,
    calls: Arc<CallRecords>,
}

impl Follower {
    /// Creates the operation.
    pub fn new(cx: NodeContext, requests: Arc<Requests>, calls: Arc<CallRecords>) -> Self {
        Self {
            cx,
            requests,
            calls,
        }
    }

    /// Streams the answer of a request that this node serves or has served.
    pub fn follow_local(&self, id: &str, customer: &str, from: TokenOffset) -> AnswerEvents {
        match self.requests.get(id) {
            Some(entry) if &**entry.customer() == customer => follow_entry(entry, from),
            _ => futures::stream::iter([AnswerEvent::Unknown]).boxed(),
        }
    }

    /// Streams the answer of a request, whichever node serves it.
    pub async fn follow(&self, id: &str, customer: &str, from: TokenOffset) -> Found {
        let mut found = Found {
            is_known: false,
            events: futures::stream::iter([AnswerEvent::Unknown]).boxed(),
        };
        let mut local = self.follow_local(id, customer, from);
        let mut to_ask = VecDeque::new();
        match local.next().await {
            Some(AnswerEvent::Unknown) | None => {}
            Some(AnswerEvent::ServedBy(node)) => {
                found.is_known = true;
                to_ask.push_back(node);
            }
            Some(event) => return Found::with(event, local),
        }
        to_ask.extend(self.candidates(id));
        let mut asked_nodes: Vec<NodeId> = vec![self.cx.board.identity.node.clone()];
        while let Some(node) = to_ask.pop_front() {
            if asked_nodes.len() > MAX_NODES_ASKED || asked_nodes.contains(&node) {
                continue;
            }
            asked_nodes.push(node.clone());
            match self.follow_at(&node, id, customer, from).await {
                Some((AnswerEvent::ServedBy(next), _)) => {
                    found.is_known = true;
                    to_ask.push_front(next);
                }
                Some((AnswerEvent::Unknown, _)) | None => {}
                Some((event, rest)) => return Found::with(event, rest),
            }
        }
        found
    }

    /// Returns the record of a request, of any customer where `customer` is `None` (for operators).
    pub async fn explain(&self, id: &str, customer: Option<&str>) -> Option<Record> {
        if let Some(record) = self.explain_local(id, customer) {
            return Some(record);
        }
        for node in self.candidates(id).into_iter().take(MAX_NODES_ASKED) {
            if let Some(record) = self.fetch_record(&node, id, customer).await {
                return Some(record);
            }
        }
        None
    }

    /// Returns the record of a request that this node serves, or of a service call that it
    /// received.
    pub fn explain_local(&self, id: &str, customer: Option<&str>) -> Option<Record> {
        let Some(entry) = self.requests.get(id) else {
            return self.calls.get(id, customer);
        };
        if customer.is_some_and(|customer| customer != &**entry.customer()) {
            return None;
        }
        (entry.role() == Role::Serving).then(|| entry.record())
    }

    async fn fetch_record(&self, node: &str, id: &str, customer: Option<&str>) -> Option<Record> {
        let address = self.cx.board.members.read().get(node)?.peer_address;
        let mut client = self.cx.pool.client(address);
        let reply = client.explain(jayhall_wire::ExplainRequest {
            request: id.into(),
            customer: customer.unwrap_or_default().into(),
        });
        let reply = timeout(LOOKUP_TIMEOUT, reply)
            .await
            .ok()?
            .ok()?
            .into_inner();
        if !reply.found {
            return None;
        }
        record_from_wire(&reply.record, reply.left_out).ok()
    }

    /// Returns the nodes that may know a request, the most likely first: replicas are chosen by the
    /// same ranking.
    fn candidates(&self, id: &str) -> Vec<NodeId> {
        let view = self.cx.board.members.read();
        let own_region = &self.cx.board.identity.region;
        let names = |is_own: bool| {
            view.members
                .iter()
                .filter(move |member| (member.region == *own_region) == is_own)
                .map(|member| &*member.node)
        };
        cells::ranked(id, names(true))
            .into_iter()
            .chain(cells::ranked(id, names(false)))
            .map(NodeId::from)
            .collect()
    }

    async fn follow_at(
        &self,
        node: &str,
        id: &str,
        customer: &str,
        from: TokenOffset,
    ) -> Option<(AnswerEvent, AnswerEvents)> {
        let address = self.cx.board.members.read().get(node)?.peer_address;
        let mut client = self.cx.pool.client(address);
        let reply = client.follow(jayhall_wire::FollowRequest {
            request: id.into(),
            customer: customer.into(),
            from_offset: from,
        });
        let stream = timeout(LOOKUP_TIMEOUT, reply)
            .await
            .ok()?
            .ok()?
            .into_inner();
        let mut events = decode_events(stream);
        let first = timeout(LOOKUP_TIMEOUT, events.next()).await.ok()??;
        Some((first, events))
    }
}

/// Decodes the events of another node. The stream ends when the node sends nothing for
/// [`PEER_IDLE_TIMEOUT`].
fn decode_events(stream: tonic::Streaming<jayhall_wire::AnswerEvent>) -> AnswerEvents {
    tokio_stream::StreamExt::timeout(stream, PEER_IDLE_TIMEOUT)
        .take_while(|event| futures::future::ready(matches!(event, Ok(Ok(_)))))
        .filter_map(|event| async { AnswerEvent::try_from(event.ok()?.ok()?).ok() })
        .boxed()
}

fn prepend(event: AnswerEvent, rest: AnswerEvents) -> AnswerEvents {
    futures::stream::iter([event]).chain(rest).boxed()
}

/// Streams the tokens that a request of this node has and those that follow.
pub fn follow_entry(entry: Arc<Entry>, from: TokenOffset) -> AnswerEvents {
    let (tx, rx) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(send_progress(entry, from, tx));
    ReceiverStream::new(rx).boxed()
}

async fn send_progress(entry: Arc<Entry>, from: TokenOffset, tx: mpsc::Sender<AnswerEvent>) {
    let mut changes = entry.watch();
    let mut offset = from;
    let mut is_heartbeat_due = false;
    loop {
        changes.mark_unchanged();
        let event = match entry.read(offset) {
            Progress::Tokens(tokens) => {
                let event = AnswerEvent::Tokens {
                    offset,
                    tokens: tokens.clone(),
                };
                offset += TokenOffset::try_from(tokens.len()).unwrap_or(0);
                Some(event)
            }
            Progress::Complete(completion) => Some(AnswerEvent::Complete(completion)),
            Progress::Failure(failure) => Some(AnswerEvent::Failure(failure)),
            Progress::ServedBy(node) => Some(AnswerEvent::ServedBy(node)),
            Progress::Pending if is_heartbeat_due => Some(AnswerEvent::Tokens {
                offset,
                tokens: Vec::new(),
            }),
            Progress::Pending => None,
        };
        if let Some(event) = event {
            let is_last = event.is_last();
            if tx.send(event).await.is_err() || is_last {
                return;
            }
        }
        let waited = timeout(HEARTBEAT_INTERVAL, changes.changed()).await;
        is_heartbeat_due = waited.is_err();
        if matches!(waited, Ok(Err(_))) || tx.is_closed() {
            return;
        }
    }
}
