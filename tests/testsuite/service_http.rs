//! The clients of services and of other nodes, over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jayhall::core::ledger::{IdempotencyKey, Settlement};
use jayhall::core::service_call::{CallRefusal, CallReply, RefusalCause, ServiceCall};
use jayhall::core::verdict::Verdict;
use jayhall::ops::call_service::{ForwardError, OwnerClient, PeerOwnerClient};
use jayhall::peers::{Pings, Pool};
use jayhall::sources::service::{BackendCall, BackendClient, BackendRequest, ServiceClient};
use jayhall_standins::CommonFaults;
use jayhall_standins::service::{self, ServiceSettings};
use jayhall_wire as wire;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn key(number: u8) -> IdempotencyKey {
    IdempotencyKey::issue(1_800_000_000_000, &[number; 10])
}

fn call(address: SocketAddr, number: u8) -> BackendCall {
    BackendCall {
        address,
        ask: BackendRequest::Call {
            key: key(number),
            content_type: "application/json".into(),
            body: "{}".into(),
        },
        timeout: Duration::from_millis(500),
    }
}

#[tokio::test]
async fn a_call_takes_effect_once_and_is_answered() {
    let standin = service::spawn(ServiceSettings::default()).await.unwrap();
    let client = ServiceClient::open().unwrap();
    let settlement = client.call(call(standin.address, 1)).await;
    let Settlement::Answered(outcome) = settlement else {
        panic!("{settlement:?}");
    };
    assert_eq!(outcome.status, 200);
    assert_eq!(standin.effects(&key(1).to_string()), 1);
}

#[tokio::test]
async fn after_a_lost_answer_a_timeout_or_a_refusal_the_call_may_have_run() {
    let standin = service::spawn(ServiceSettings::default()).await.unwrap();
    let client = ServiceClient::open().unwrap();
    let faults = [
        CommonFaults {
            lose_answer_next: 1,
            ..CommonFaults::default()
        },
        CommonFaults {
            freeze: true,
            ..CommonFaults::default()
        },
        CommonFaults {
            refuse: true,
            ..CommonFaults::default()
        },
    ];
    for (number, faults) in (2..).zip(faults) {
        standin.set_faults(faults);
        let settlement = client.call(call(standin.address, number)).await;
        assert_eq!(settlement, Settlement::MayHaveRun);
        assert!(standin.effects(&key(number).to_string()) <= 1);
    }
    assert_eq!(standin.effects(&key(2).to_string()), 1);
}

#[tokio::test]
async fn a_call_to_a_closed_port_was_not_run() {
    let client = ServiceClient::open().unwrap();
    let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
    assert_eq!(client.call(call(closed_port, 5)).await, Settlement::NotRun);
}

/// Following a redirect would send the call twice.
#[tokio::test]
async fn a_redirect_is_not_followed() {
    let target = service::spawn(ServiceSettings::default()).await.unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let location = format!("http://{}/call", target.address);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).await.unwrap();
        let answer = format!(
            "HTTP/1.1 307 Temporary Redirect\r\nlocation: {location}\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let client = ServiceClient::open().unwrap();
    let settlement = client.call(call(address, 6)).await;
    assert!(matches!(settlement, Settlement::Answered(outcome) if outcome.status == 307));
    assert_eq!(target.effects(&key(6).to_string()), 0);
}

fn service_call() -> ServiceCall {
    ServiceCall {
        id: "r1".into(),
        customer: "bekele".into(),
        service: "orders".into(),
        key: key(7),
        content_type: "application/json".into(),
        body: "{}".into(),
        timeout: Duration::from_millis(500),
    }
}

#[tokio::test]
async fn an_unreachable_node_was_not_sent_the_call_and_a_silent_one_may_have_been() {
    let owners = PeerOwnerClient::new(Arc::new(Pool::open(None, Pings::Always).unwrap()));
    let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
    let asked = owners.call(closed_port, service_call()).await;
    assert_eq!(asked, Err(ForwardError::NotSent));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let asked = owners
        .call(listener.local_addr().unwrap(), service_call())
        .await;
    assert_eq!(asked, Err(ForwardError::Lost));
}

#[test]
fn calls_and_replies_survive_the_wire() {
    let call = service_call();
    let sent = wire::ServiceCallRequest::from(call.clone());
    assert_eq!(ServiceCall::try_from(sent.clone()), Ok(call));
    let bad_key = wire::ServiceCallRequest {
        key: "7".into(),
        ..sent
    };
    assert!(ServiceCall::try_from(bad_key).is_err());
    let refusal = CallReply::Refused(CallRefusal {
        verdict: Verdict::MayHaveRun,
        cause: RefusalCause::OwnerLost,
        retry_after: Some(Duration::from_millis(40)),
    });
    for reply in [refusal, CallReply::Owner("n1".into())] {
        let sent = wire::ServiceCallReply::from(reply.clone());
        assert_eq!(CallReply::from(sent), reply);
    }
}

#[test]
fn a_malformed_reply_means_that_the_call_may_have_run() {
    let CallReply::Refused(refusal) = CallReply::from(wire::ServiceCallReply::default()) else {
        panic!("an empty reply was converted to an answer");
    };
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}
