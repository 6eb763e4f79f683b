//! Gossip between real listeners on loopback, in plain text and with mutual TLS.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jayhall::core::membership::{BackendNotice, Member, MemberState};
use jayhall::peers::tls::PEER_NAME;
use jayhall::peers::{PeerTls, Pings, Pool};
use jayhall_wire::GossipRequest;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use jayhall_harness::GossipNode;

/// Timeout for events that are expected within seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Certificate authority of a test.
struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Self(CertifiedIssuer::self_signed(params, key).unwrap())
    }

    fn certificate(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.0).unwrap();
        (certificate.pem(), key.serialize_pem())
    }

    /// Returns the TLS settings of a node whose certificate this authority has signed.
    fn tls(&self) -> PeerTls {
        self.tls_trusting(self)
    }

    fn tls_trusting(&self, trusted: &Authority) -> PeerTls {
        let (certificate, key) = self.certificate(PEER_NAME);
        let authority = trusted.0.pem();
        PeerTls::from_pem(certificate.as_bytes(), key.as_bytes(), authority.as_bytes())
    }
}

async fn is_answered(pool: &Pool, address: SocketAddr) -> bool {
    let req = GossipRequest {
        from: "stranger".into(),
        ..GossipRequest::default()
    };
    let mut client = pool.client(address);
    let answer = tokio::time::timeout(Duration::from_secs(5), client.gossip(req)).await;
    matches!(answer, Ok(Ok(_)))
}

#[tokio::test]
async fn nodes_join_through_a_seed_and_detect_a_stopped_node() {
    let first = GossipNode::spawn(0, "addis-1", &[], None).await.unwrap();
    let seeds = [first.address];
    let second = GossipNode::spawn(1, "addis-2", &seeds, None).await.unwrap();
    let third = GossipNode::spawn(2, "addis-1", &seeds, None).await.unwrap();
    for node in [&first, &second, &third] {
        assert!(node.wait_for(3, WAIT_TIMEOUT).await);
    }
    drop(third);
    for node in [&first, &second] {
        assert!(node.wait_for(2, WAIT_TIMEOUT).await);
    }
}

#[tokio::test]
async fn nodes_with_certificates_of_one_authority_join() {
    let authority = Authority::new();
    let first = GossipNode::spawn(0, "addis-1", &[], Some(authority.tls()))
        .await
        .unwrap();
    let seeds = [first.address];
    let second = GossipNode::spawn(1, "addis-2", &seeds, Some(authority.tls()))
        .await
        .unwrap();
    assert!(first.wait_for(2, WAIT_TIMEOUT).await);
    assert!(second.wait_for(2, WAIT_TIMEOUT).await);
}

#[tokio::test]
async fn peers_without_a_certificate_of_the_authority_are_refused() {
    let authority = Authority::new();
    let other = Authority::new();
    let node = GossipNode::spawn(0, "addis-1", &[], Some(authority.tls()))
        .await
        .unwrap();

    let plain = Pool::open(None, Pings::InUse).unwrap();
    assert!(!is_answered(&plain, node.address).await, "plain text");

    // The client's certificate is signed by another authority, while the client trusts the node's.
    let forged = other.tls_trusting(&authority);
    let forged = Pool::open(Some(&forged), Pings::InUse).unwrap();
    assert!(
        !is_answered(&forged, node.address).await,
        "forged certificate"
    );

    let right = Pool::open(Some(&authority.tls()), Pings::InUse).unwrap();
    assert!(is_answered(&right, node.address).await, "right certificate");
}

#[tokio::test]
async fn a_client_rejects_a_listener_of_another_authority() {
    let authority = Authority::new();
    let other = Authority::new();
    let node = GossipNode::spawn(0, "addis-1", &[], Some(other.tls()))
        .await
        .unwrap();
    let pool = Pool::open(Some(&authority.tls()), Pings::InUse).unwrap();
    assert!(!is_answered(&pool, node.address).await);
}

#[tokio::test]
async fn a_certificate_with_another_name_is_refused() {
    let authority = Authority::new();
    let (certificate, key) = authority.certificate("web.example");
    let pem = authority.0.pem();
    let tls = PeerTls::from_pem(certificate.as_bytes(), key.as_bytes(), pem.as_bytes());
    let node = GossipNode::spawn(0, "addis-1", &[], Some(tls))
        .await
        .unwrap();
    let pool = Pool::open(Some(&authority.tls()), Pings::InUse).unwrap();
    assert!(!is_answered(&pool, node.address).await);
}

#[tokio::test]
async fn a_file_with_two_authorities_accepts_certificates_of_both() {
    let (old, new) = (Authority::new(), Authority::new());
    let both = format!("{}\n{}", old.0.pem(), new.0.pem());
    let tls = |authority: &Authority| {
        let (certificate, key) = authority.certificate(PEER_NAME);
        PeerTls::from_pem(certificate.as_bytes(), key.as_bytes(), both.as_bytes())
    };
    let first = GossipNode::spawn(0, "addis-1", &[], Some(tls(&old)))
        .await
        .unwrap();
    let second = GossipNode::spawn(1, "addis-1", &[first.address], Some(tls(&new)))
        .await
        .unwrap();
    assert!(first.wait_for(2, WAIT_TIMEOUT).await && second.wait_for(2, WAIT_TIMEOUT).await);
}

#[test]
fn invalid_tls_files_are_rejected_when_the_pool_is_opened() {
    let tls = PeerTls::from_pem(b"no certificate", b"no key", b"no authority");
    assert!(Pool::open(Some(&tls), Pings::InUse).is_err());
}

/// Starts a proxy to a node. Incrementing the returned counter silences all open connections, while
/// later connections work.
async fn silencing_proxy(to: SocketAddr) -> (SocketAddr, Arc<watch::Sender<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silenced_rounds = Arc::new(watch::Sender::new(0));
    let rounds = Arc::clone(&silenced_rounds);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(to).await.unwrap();
            let (client_rx, client_tx) = client.into_split();
            let (server_rx, server_tx) = server.into_split();
            tokio::spawn(forward(client_rx, server_tx, rounds.subscribe()));
            tokio::spawn(forward(server_rx, client_tx, rounds.subscribe()));
        }
    });
    (address, silenced_rounds)
}

/// Copies bytes from `rx` to `tx`. Discards them once the connection is silenced.
async fn forward(
    mut rx: impl AsyncReadExt + Unpin,
    mut tx: impl AsyncWriteExt + Unpin,
    silenced_rounds: watch::Receiver<u32>,
) {
    let round = *silenced_rounds.borrow();
    let mut buf = vec![0; 16 * 1024];
    while let Ok(read) = rx.read(&mut buf).await {
        if read == 0 {
            return;
        }
        if *silenced_rounds.borrow() == round && tx.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}

/// Starts a node that other nodes reach only through a proxy.
async fn node_behind_proxy(
    at: usize,
    seeds: &[SocketAddr],
) -> (GossipNode, Arc<watch::Sender<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, silenced_rounds) = silencing_proxy(listener.local_addr().unwrap()).await;
    let node = GossipNode::spawn_on(listener, at, "addis-1", (address, seeds), None).unwrap();
    (node, silenced_rounds)
}

#[tokio::test]
async fn a_silent_connection_does_not_make_a_node_suspect() {
    let (first, first_silenced) = node_behind_proxy(0, &[]).await;
    let (second, second_silenced) = node_behind_proxy(1, &[first.address]).await;
    assert!(first.wait_for(2, WAIT_TIMEOUT).await && second.wait_for(2, WAIT_TIMEOUT).await);
    for round in 0..3 {
        first_silenced.send_modify(|round| *round += 1);
        second_silenced.send_modify(|round| *round += 1);
        let vm: Box<str> = format!("engine-{round}").into();
        let notice = BackendNotice {
            vm: vm.clone(),
            reclaim_at: 1,
        };
        second.gossip.report_notice(notice).await;
        let mut reports = first.gossip.watch_reports();
        let received = reports.wait_for(|r| r.notices.iter().any(|n| n.vm == vm));
        let mut members = first.board.members.watch();
        let state_change = members.wait_for(|view| {
            let is_alive = |m: &Member| m.state == MemberState::Alive;
            view.members.len() < 2 || !view.members.iter().all(is_alive)
        });
        tokio::select! {
            received = tokio::time::timeout(WAIT_TIMEOUT, received) => assert!(received.is_ok()),
            _ = state_change => panic!("the node behind the silent connection is suspected"),
        }
    }
}
