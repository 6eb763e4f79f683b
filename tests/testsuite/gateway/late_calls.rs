//! Calls that were given up while the network held up their bytes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use jayhall::core::gateway::scaling::Order;
use jayhall::ops::gateway::dialect::{Duties, DutyReply, Holder};
use jayhall::platform::{CloudDuties, PlatformStore, PlatformStoreConfig};
use jayhall::sources::store::{CallRate, RangeRequest, Store};
use jayhall_harness::PlatformStoreStandin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::fixture::{Behaviour, FakeBackend, Fixture, config, numbered_call, put};

/// Time from the end of a call to the end of a hold.
const HOLD_TIME: Duration = Duration::from_millis(100);
/// Time after the end of a hold within which held bytes arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// A path to an address that can hold bytes up as a partition does. Those of open connections arrive after its end,
/// unless their sender has reset the connection. Connections that are opened meanwhile are never made.
struct HoldingLink {
    address: SocketAddr,
    holds: watch::Sender<bool>,
}

impl HoldingLink {
    async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (holds, seen) = watch::channel(false);
        tokio::spawn(async move {
            let mut unmade = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                match *seen.borrow() {
                    true => unmade.push(stream),
                    false => drop(tokio::spawn(connect(stream, target, seen.clone()))),
                }
            }
        });
        Self { address, holds }
    }

    fn hold(&self) {
        self.holds.send_replace(true);
    }

    /// Ends the hold and waits until what was held has arrived.
    async fn heal(&self) {
        tokio::time::sleep(HOLD_TIME).await;
        self.holds.send_replace(false);
        tokio::time::sleep(ARRIVAL_TIME).await;
    }
}

async fn connect(stream: TcpStream, target: SocketAddr, holds: watch::Receiver<bool>) {
    let (near_read, near_write) = stream.into_split();
    let far = TcpStream::connect(target).await.unwrap();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pass(near_read, far_write, holds.clone()),
        pass(far_read, near_write, holds)
    );
}

/// Passes on bytes in one direction until the sender ends or resets the connection.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut holds: watch::Receiver<bool>) {
    let (tx, mut rx) = mpsc::unbounded_channel::<Vec<u8>>();
    let is_reset = Arc::new(AtomicBool::new(false));
    let reset_seen = Arc::clone(&is_reset);
    let writer = tokio::spawn(async move {
        while let Some(bytes) = rx.recv().await {
            holds.wait_for(|holds| !holds).await.unwrap();
            if reset_seen.load(Ordering::Relaxed) || to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        // The end of the stream comes behind the bytes, when the receiver has dealt with them.
        tokio::time::sleep(ARRIVAL_TIME).await;
    });
    let mut buf = vec![0; 16 * 1024];
    loop {
        match from.read(&mut buf).await {
            Ok(0) => break,
            Ok(len) if tx.send(buf[..len].to_vec()).is_ok() => {}
            Ok(_) => break,
            Err(_) => {
                is_reset.store(true, Ordering::Relaxed);
                break;
            }
        }
    }
    drop(tx);
    writer.await.unwrap();
}

async fn order(duties: &CloudDuties, desired: u32) -> DutyReply {
    let holder = Holder {
        node: "n1".into(),
        fence: 7,
    };
    let order = Order {
        zone: "z1".into(),
        spot: false,
        desired,
    };
    duties.order(holder, "llm".into(), order).await
}

/// Guards against a holder's order that was given up and arrives after its successor's: closing a connection leaves what
/// was written to it with the kernel, which sends it when the partition has ended.
#[tokio::test]
async fn an_order_that_was_given_up_does_not_reach_the_cloud_later() {
    let cloud = FakeBackend::spawn(Behaviour::Answer(200, "{}")).await;
    let link = HoldingLink::spawn(cloud.address).await;
    let duties = CloudDuties::new(&format!("http://{}", link.address));
    assert_eq!(order(&duties, 1).await, DutyReply::Taken);
    link.hold();
    assert_eq!(order(&duties, 2).await, DutyReply::NoAnswer);
    link.heal().await;
    assert_eq!(cloud.runs(), 1);
    assert_eq!(order(&duties, 3).await, DutyReply::Taken);
    assert_eq!(cloud.runs(), 2);
}

/// Guards against the same with writes that have no condition: they would undo what was written after them.
#[tokio::test]
async fn a_write_that_was_given_up_does_not_undo_a_later_one() {
    let standin = PlatformStoreStandin::spawn(Ipv4Addr::LOCALHOST.into());
    let standin = standin.await.unwrap();
    let link = HoldingLink::spawn(standin.address()).await;
    let store = PlatformStore::new(&PlatformStoreConfig {
        base: format!("http://{}", link.address).into(),
        calls: CallRate {
            per_second: 1000.0,
            burst: 1000,
        },
    });
    store.transact(put("k", "first")).await.unwrap();
    link.hold();
    store.transact(put("k", "given up")).await.unwrap_err();
    standin.store().transact(put("k", "later")).await.unwrap();
    link.heal().await;
    let read = store.range(RangeRequest::one("k")).await.unwrap();
    assert_eq!(&*read.entries[0].value, b"later");
}

/// Guards against the same with calls: a back end would run a call whose caller has had its final answer.
#[tokio::test]
async fn a_call_that_was_given_up_does_not_reach_its_back_end_later() {
    let fixture = Fixture::new();
    fixture.put("op/config", config(1)).await;
    let backend = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    let link = HoldingLink::spawn(backend.address).await;
    fixture
        .list_address("b0", "plain", link.address, "ready")
        .await;
    let node = fixture.node("n1").await;
    fixture.ready(&node).await;
    let status = async || {
        let call = numbered_call(&fixture, &node, "/once/x");
        call.send().await.unwrap().status()
    };
    assert_eq!(status().await, StatusCode::OK);
    link.hold();
    assert_eq!(status().await, StatusCode::GATEWAY_TIMEOUT);
    link.heal().await;
    assert_eq!(backend.runs(), 1);
}
