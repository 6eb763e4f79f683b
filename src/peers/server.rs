//! Server of the peer protocol. Each call is passed to the operation that handles it.

use std::pin::Pin;
use std::sync::Arc;

use futures::{Stream, StreamExt};
use jayhall_wire as wire;
use jayhall_wire::peer_server::Peer;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::convert_copy::{HandOver, ReplicaUpdate};
use super::convert_request::{MalformedMessage, record_to_wire};
use crate::core::dispatch::DispatchOrder;
use crate::core::service_call::ServiceCall;
use crate::node::Node;
use crate::ops::gossip::{Gossip, GossipError};
use crate::ops::hand_over::HandOverDecision;
use crate::ops::keep_copy;
use crate::ops::spread::Spread;

/// Capacity of the channel of acknowledgements to one serving node.
const ACK_BUFFER: usize = 1024;

type Events<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Server of the peer protocol.
#[derive(Clone)]
pub struct PeerService {
    node: Arc<Node>,
    gossip: Gossip,
    spread: Arc<Spread>,
}

impl PeerService {
    /// Creates the service of a node.
    pub fn new(node: Arc<Node>, gossip: Gossip, spread: Arc<Spread>) -> Self {
        Self {
            node,
            gossip,
            spread,
        }
    }
}

impl From<MalformedMessage> for Status {
    fn from(e: MalformedMessage) -> Self {
        Self::invalid_argument(e.to_string())
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type DispatchStream = Events<wire::DispatchEvent>;
    type ReplicateStream = Events<wire::ReplicaAck>;
    type FollowStream = Events<wire::AnswerEvent>;

    async fn gossip(
        &self,
        req: Request<wire::GossipRequest>,
    ) -> Result<Response<wire::GossipReply>, Status> {
        let reply = self.gossip.handle_gossip(req.into_inner()).await;
        reply.map(Response::new).map_err(|e| match e {
            GossipError::Convert(e) => Status::invalid_argument(e.to_string()),
            GossipError::Busy => Status::resource_exhausted(e.to_string()),
        })
    }

    async fn probe(
        &self,
        req: Request<wire::ProbeRequest>,
    ) -> Result<Response<wire::ProbeReply>, Status> {
        let reply = self.gossip.handle_probe(req.into_inner()).await;
        Ok(Response::new(reply))
    }

    async fn fetch_document(
        &self,
        req: Request<wire::FetchDocumentRequest>,
    ) -> Result<Response<wire::FetchDocumentReply>, Status> {
        Ok(Response::new(self.spread.handle_fetch(req.get_ref())))
    }

    async fn dispatch(
        &self,
        req: Request<wire::DispatchRequest>,
    ) -> Result<Response<Self::DispatchStream>, Status> {
        let order = DispatchOrder::try_from(req.into_inner())?;
        let events = ReceiverStream::new(self.node.home.dispatch(order));
        Ok(Response::new(events.map(|event| Ok(event.into())).boxed()))
    }

    async fn cancel(
        &self,
        req: Request<wire::CancelRequest>,
    ) -> Result<Response<wire::CancelReply>, Status> {
        let req = req.into_inner();
        let found = self.node.home.cancel(&req.request, req.attempt);
        Ok(Response::new(wire::CancelReply { found }))
    }

    async fn replicate(
        &self,
        req: Request<Streaming<wire::ReplicaUpdate>>,
    ) -> Result<Response<Self::ReplicateStream>, Status> {
        let (tx, rx) = mpsc::channel(ACK_BUFFER);
        tokio::spawn(store_copies(Arc::clone(&self.node), req.into_inner(), tx));
        Ok(Response::new(ReceiverStream::new(rx).boxed()))
    }

    async fn hand_over(
        &self,
        req: Request<wire::HandOverRequest>,
    ) -> Result<Response<wire::HandOverReply>, Status> {
        let offer = HandOver::try_from(req.into_inner())?;
        let reply = match self.node.hand_overs.accept(offer) {
            HandOverDecision::Accepted => wire::HandOverReply {
                accepted: true,
                cause: String::new(),
            },
            HandOverDecision::Refused { cause } => wire::HandOverReply {
                accepted: false,
                cause: cause.into(),
            },
        };
        Ok(Response::new(reply))
    }

    async fn follow(
        &self,
        req: Request<wire::FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let req = req.into_inner();
        let events = self
            .node
            .follower
            .follow_local(&req.request, &req.customer, req.from_offset);
        Ok(Response::new(events.map(|event| Ok(event.into())).boxed()))
    }

    async fn call_service(
        &self,
        req: Request<wire::ServiceCallRequest>,
    ) -> Result<Response<wire::ServiceCallReply>, Status> {
        let call = ServiceCall::try_from(req.into_inner())
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let reply = self.node.calls.handle(call).await;
        Ok(Response::new(reply.into()))
    }

    async fn explain(
        &self,
        req: Request<wire::ExplainRequest>,
    ) -> Result<Response<wire::ExplainReply>, Status> {
        let req = req.into_inner();
        let customer = (!req.customer.is_empty()).then_some(&*req.customer);
        let record = self.node.follower.explain_local(&req.request, customer);
        Ok(Response::new(match record {
            Some(record) => wire::ExplainReply {
                found: true,
                record: record_to_wire(&record),
                left_out: record.left_out,
            },
            None => wire::ExplainReply::default(),
        }))
    }
}

/// Stores copies for one serving node until it closes the stream or an update fails.
async fn store_copies(
    node: Arc<Node>,
    mut updates: Streaming<wire::ReplicaUpdate>,
    tx: mpsc::Sender<Result<wire::ReplicaAck, Status>>,
) {
    let own_node = &node.cx.board.identity.node;
    while let Ok(Some(update)) = updates.message().await {
        let ack = ReplicaUpdate::try_from(update)
            .map_err(Status::from)
            .and_then(|update| {
                keep_copy::apply(&node.requests, own_node, update)
                    .map_err(|_| Status::resource_exhausted("no room for a copy"))
            });
        let is_kept = ack.is_ok();
        if tx.send(ack).await.is_err() || !is_kept {
            return;
        }
    }
}
