//! Non-idempotent calls over loopback against stand-ins of the store and the service, in real time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jayhall::core::document::{Document, ServiceRule};
use jayhall::core::fleet::{Backend, BackendKind, FleetView, Market};
use jayhall::core::ledger::IdempotencyKey;
use jayhall::core::membership::{Member, MemberState, MemberView};
use jayhall::core::service_call::{CallReply, ServiceCall};
use jayhall::node::{Blackboard, Identity, InstalledDocument};
use jayhall::ops::call_service::{CallService, CallServiceContext, PeerOwnerClient};
use jayhall::peers::Pool;
use jayhall::sources::service::ServiceClient;
use jayhall::sources::store::{EtcdConfig, EtcdStore};
use jayhall::util::time::unix_now;
use jayhall_standins::CommonFaults;
use jayhall_standins::service::{self, Service, ServiceSettings};
use jayhall_standins::store::{self, Store, StoreFaults, StoreSettings};

use crate::service_nodes::assert_ran;

struct Loopback {
    store: Store,
    orders: Service,
    node: CallService,
}

async fn start() -> Loopback {
    let store = store::spawn(StoreSettings::default()).await.unwrap();
    let orders = service::spawn(ServiceSettings::default()).await.unwrap();
    let etcd = EtcdConfig::new(&format!("http://{}", store.address));
    let node = CallService::spawn(CallServiceContext {
        board: board(orders.address),
        store: Arc::new(EtcdStore::open(etcd).unwrap()),
        owners: Arc::new(PeerOwnerClient::new(Arc::new(Pool::default()))),
        backends: Arc::new(ServiceClient::open().unwrap()),
        store_region: Some("addis".into()),
        clock: Arc::new(unix_now),
    });
    Loopback {
        store,
        orders,
        node,
    }
}

fn board(orders: SocketAddr) -> Arc<Blackboard> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let board = Blackboard::new(Identity {
        node: "n0".into(),
        vm: "v0".into(),
        region: "addis".into(),
        zone: "addis-1".into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    });
    let own_member = Member {
        node: "n0".into(),
        vm: "v0".into(),
        region: "addis".into(),
        zone: "addis-1".into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
        state: MemberState::Alive,
        incarnation: 0,
    };
    board.members.write(MemberView {
        members: vec![own_member],
    });
    let rule = ServiceRule {
        name: "orders".into(),
        is_idempotent: false,
        rank: "urgent".into(),
        timeout: Duration::from_secs(5),
        slots_per_backend: 8,
    };
    board.config.write(InstalledDocument {
        revision: 1,
        text: "".into(),
        document: Document {
            services: vec![rule],
            ..Document::default()
        },
    });
    let backend = Backend {
        vm: "s1".into(),
        kind: BackendKind::Service,
        region: "addis".into(),
        zone: "addis-1".into(),
        class: "small".into(),
        market: Market::OnDemand,
        address: orders,
        serves: ["orders".into()].into_iter().collect(),
        reclaim_at: None,
        is_leaving: false,
    };
    board.fleet.write(FleetView {
        revision: 1,
        backends: vec![backend],
    });
    board
}

/// Returns a new call, in the shard of `first` if that is given.
fn call(first: Option<&ServiceCall>) -> ServiceCall {
    let mut number = 0u16;
    loop {
        number += 1;
        let mut random = [u8::from(first.is_some()); 10];
        random[8..].copy_from_slice(&number.to_be_bytes());
        let call = ServiceCall {
            id: "r1".into(),
            customer: "bekele".into(),
            service: "orders".into(),
            key: IdempotencyKey::issue(unix_now(), &random),
            content_type: "application/json".into(),
            body: "{\"staves\":40}".into(),
            timeout: Duration::from_secs(8),
        };
        let shard = |call: &ServiceCall| call.entry_key().shard();
        if first.is_none_or(|first| shard(first) == shard(&call)) {
            return call;
        }
    }
}

#[tokio::test]
async fn a_repeated_order_lands_once() {
    let loopback = start().await;
    let order = call(None);
    let first = loopback.node.call_once(order.clone()).await;
    assert!(!assert_ran(&first));
    let second = loopback.node.call_once(order.clone()).await;
    assert!(assert_ran(&second));
    let body = |reply| match reply {
        CallReply::Answered { outcome, .. } => outcome.body,
        _ => None,
    };
    assert_eq!(body(first), body(second));
    assert_eq!(loopback.orders.effects(&order.key.to_string()), 1);
}

#[tokio::test]
async fn a_lost_answer_of_the_store_is_settled_by_reading_back() {
    let loopback = start().await;
    let before = call(None);
    assert_ran(&loopback.node.call_once(before.clone()).await);
    while loopback.node.unsettled() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    loopback.store.set_faults(StoreFaults {
        common: CommonFaults {
            lose_answer_next: 1,
            ..CommonFaults::default()
        },
        ..StoreFaults::default()
    });
    let order = call(Some(&before));
    assert!(!assert_ran(&loopback.node.call_once(order.clone()).await));
    assert_eq!(loopback.orders.effects(&order.key.to_string()), 1);
}

#[tokio::test]
async fn an_outage_refuses_and_the_order_lands_later() {
    let loopback = start().await;
    let outage = StoreFaults {
        outage: true,
        ..StoreFaults::default()
    };
    loopback.store.set_faults(outage);
    let order = call(None);
    let reply = loopback.node.call_once(order.clone()).await;
    assert!(matches!(&reply, CallReply::Refused(refusal)
        if refusal.verdict == jayhall::core::verdict::Verdict::NotRun
            && refusal.retry_after.is_some()));
    assert_eq!(loopback.orders.effects(&order.key.to_string()), 0);
    loopback.store.set_faults(StoreFaults::default());
    while !matches!(
        loopback.node.call_once(order.clone()).await,
        CallReply::Answered { .. }
    ) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(loopback.orders.effects(&order.key.to_string()), 1);
}
