//! Peer server that serves only gossip and probes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::{self, BoxStream};
use jayhall::core::id::Address;
use jayhall::node::{Blackboard, Identity};
use jayhall::ops::gossip::{Gossip, GossipSetup, NoDocuments};
use jayhall::peers::{PeerTls, Pings, Pool};
use jayhall_wire::peer_server::{Peer, PeerServer};
use jayhall_wire::*;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

type Answer<T> = Result<Response<T>, Status>;

/// Peer service that implements only gossip and probes.
struct Stub(Gossip);

fn none<T>() -> Answer<T> {
    Err(Status::unimplemented("only gossip is served here"))
}

#[tonic::async_trait]
impl Peer for Stub {
    type DispatchStream = BoxStream<'static, Result<DispatchEvent, Status>>;
    type ReplicateStream = BoxStream<'static, Result<ReplicaAck, Status>>;
    type FollowStream = BoxStream<'static, Result<AnswerEvent, Status>>;

    async fn gossip(&self, req: Request<GossipRequest>) -> Answer<GossipReply> {
        let reply = self.0.handle_gossip(req.into_inner()).await;
        let reply = reply.map_err(|e| Status::invalid_argument(e.to_string()))?;
        Ok(Response::new(reply))
    }

    async fn probe(&self, req: Request<ProbeRequest>) -> Answer<ProbeReply> {
        Ok(Response::new(self.0.handle_probe(req.into_inner()).await))
    }

    async fn fetch_document(&self, _: Request<FetchDocumentRequest>) -> Answer<FetchDocumentReply> {
        none()
    }

    async fn dispatch(&self, _: Request<DispatchRequest>) -> Answer<Self::DispatchStream> {
        Ok(Response::new(Box::pin(stream::empty())))
    }

    async fn cancel(&self, _: Request<CancelRequest>) -> Answer<CancelReply> {
        none()
    }

    async fn replicate(
        &self,
        _: Request<Streaming<ReplicaUpdate>>,
    ) -> Answer<Self::ReplicateStream> {
        Ok(Response::new(Box::pin(stream::empty())))
    }

    async fn hand_over(&self, _: Request<HandOverRequest>) -> Answer<HandOverReply> {
        none()
    }

    async fn follow(&self, _: Request<FollowRequest>) -> Answer<Self::FollowStream> {
        Ok(Response::new(Box::pin(stream::empty())))
    }

    async fn call_service(&self, _: Request<ServiceCallRequest>) -> Answer<ServiceCallReply> {
        none()
    }

    async fn explain(&self, _: Request<ExplainRequest>) -> Answer<ExplainReply> {
        none()
    }
}

/// A node that only serves gossip. Dropping it stops its server.
pub struct GossipNode {
    /// Gossip membership of the node.
    pub gossip: Gossip,
    /// Blackboard on which the node publishes its members.
    pub board: Arc<Blackboard>,
    /// Advertised address of the node.
    pub address: Address,
    _stop: oneshot::Sender<()>,
}

impl GossipNode {
    /// Starts a node on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound or the certificates are invalid.
    pub async fn spawn(
        at: usize,
        zone: &str,
        seeds: &[Address],
        tls: Option<PeerTls>,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        Self::spawn_on(listener, at, zone, (address, seeds), tls)
    }

    /// Starts a node on an existing listener, which advertises `address` to its peers.
    ///
    /// # Errors
    ///
    /// Fails if the certificates are invalid.
    pub fn spawn_on(
        listener: TcpListener,
        at: usize,
        zone: &str,
        (address, seeds): (Address, &[Address]),
        tls: Option<PeerTls>,
    ) -> eyre::Result<Self> {
        let board = Blackboard::new(identity(at, zone, address));
        let gossip = Gossip::spawn(GossipSetup {
            blackboard: Arc::clone(&board),
            pool: Arc::new(Pool::open(tls.as_ref(), Pings::InUse)?),
            seeds: seeds.to_vec(),
            documents: Arc::new(NoDocuments),
            rng_seed: at as u64,
        });
        let mut server = Server::builder();
        if let Some(tls) = tls {
            server = server.tls_config(tls.server())?;
        }
        let server = server.add_service(PeerServer::new(Stub(gossip.clone())));
        let incoming = TcpListenerStream::new(listener);
        let (stop, stopped) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let stopped = async {
                // Dropping the node drops the sender, which ends this wait.
                let _ = stopped.await;
            };
            // A failed listener becomes visible as a missing member.
            let _ = server.serve_with_incoming_shutdown(incoming, stopped).await;
        });
        Ok(Self {
            gossip,
            board,
            address,
            _stop: stop,
        })
    }

    /// Waits until the node knows exactly `count` members. Returns `false` after the timeout `most`.
    pub async fn wait_for(&self, count: usize, most: Duration) -> bool {
        let mut rx = self.board.members.watch();
        let is_met = rx.wait_for(|view| view.members.len() == count);
        tokio::time::timeout(most, is_met).await.is_ok()
    }
}

fn identity(at: usize, zone: &str, address: SocketAddr) -> Identity {
    Identity {
        node: format!("n{at}-{}", address.port()).into(),
        vm: format!("vm-{at}").into(),
        region: "addis".into(),
        zone: zone.into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    }
}
