//! The operators' API, tested on an in-process node.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use jayhall::core::explain::{Decision, Record, RecordEntry};
use jayhall::core::verdict::Verdict;
use jayhall::operators::wire::{
    ConfigBody, DiffBody, ExplanationBody, HistoryEntry, KeysBody, PublishBody, StatusBody,
};
use jayhall::operators::{NodeControl, OperatorContext, OperatorProblem, QueueStatus, router};
use jayhall::ops::publish::Publisher;
use jayhall::sources::store::{Fault, MemoryStore};
use parking_lot::Mutex;
use salvo::Service;
use salvo::http::{Method, StatusCode};
use salvo::test::{RequestBuilder, ResponseExt, TestClient};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::promise_config::cluster::{Cluster, text};

pub(crate) const OPERATOR_KEY: &str = "operator-key-of-hana";

#[derive(Default)]
pub(crate) struct FakeControl {
    pub(crate) drained: Mutex<u32>,
}

impl NodeControl for FakeControl {
    fn queues(&self) -> Vec<QueueStatus> {
        vec![QueueStatus {
            model: "contracts".into(),
            rank: "urgent".into(),
            waiting: 3,
            running: 8,
        }]
    }

    fn explain(&self, request: &str) -> BoxFuture<'_, Option<Record>> {
        let mut record = Record::default();
        record.push(RecordEntry {
            at: 1000,
            decision: Decision::Refused {
                cause: "its <deadline> cannot be met".into(),
                verdict: Verdict::NotRun,
                retry_after_ms: 500,
            },
        });
        let record = (request == "r1").then_some(record);
        async move { record }.boxed()
    }

    fn drain(&self) {
        *self.drained.lock() += 1;
    }
}

/// A node with the operators' HTTP service, called in process without a socket.
pub(crate) struct OperatorNode {
    pub(crate) store: MemoryStore,
    pub(crate) cluster: Cluster,
    pub(crate) control: Arc<FakeControl>,
    pub(crate) service: Service,
}

impl OperatorNode {
    pub(crate) fn start() -> Self {
        let store = MemoryStore::new();
        let cluster = Cluster::start_with(store.clone(), 1);
        let control = Arc::new(FakeControl::default());
        let hash = jayhall::core::document::sections::digest(OPERATOR_KEY);
        let cx = OperatorContext {
            blackboard: cluster.nodes[0].blackboard.clone(),
            spread: cluster.nodes[0].spread.clone(),
            publisher: Publisher::open(Arc::new(store.clone())),
            control: control.clone(),
            operator_keys: Arc::new([[7; 32], hash]),
        };
        Self {
            store,
            cluster,
            control,
            service: Service::new(router(cx)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> (StatusCode, String) {
        let mut res = RequestBuilder::new(format!("http://127.0.0.1/api/v1/{path}"), method)
            .add_header("authorization", format!("Bearer {OPERATOR_KEY}"), true)
            .json(body)
            .send(&self.service)
            .await;
        let status = res.status_code.unwrap_or(StatusCode::OK);
        (status, res.take_string().await.unwrap())
    }

    async fn ok<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> T {
        let (status, body) = self.call(method, path, body).await;
        assert_eq!(status, StatusCode::OK, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        self.ok(Method::GET, path, &()).await
    }

    async fn refused(&self, method: Method, path: &str, body: &impl Serialize) -> OperatorProblem {
        let (status, body) = self.call(method, path, body).await;
        let problem: OperatorProblem = serde_json::from_str(&body).unwrap();
        assert_eq!(problem.status, status.as_u16());
        problem
    }

    pub(crate) async fn publish(&self, base_revision: u64, text: &str) -> (StatusCode, String) {
        self.call(Method::PUT, "config", &publish_body(base_revision, text))
            .await
    }
}

fn publish_body(base_revision: u64, text: &str) -> PublishBody {
    PublishBody {
        text: text.into(),
        base_revision,
        author: "hana".into(),
    }
}

#[tokio::test(start_paused = true)]
async fn calls_without_a_valid_key_are_rejected() {
    let node = OperatorNode::start();
    for header in [
        None,
        Some("Bearer wrong"),
        Some(OPERATOR_KEY),
        Some("Bearer "),
    ] {
        for path in ["config", "status", "requests/r1", "config/history"] {
            let mut req = TestClient::get(format!("http://127.0.0.1/api/v1/{path}"));
            if let Some(header) = header {
                req = req.add_header("authorization", header, true);
            }
            let res = req.send(&node.service).await;
            assert_eq!(res.status_code, Some(StatusCode::UNAUTHORIZED), "{path}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_document_is_published_shown_and_compared() {
    let node = OperatorNode::start();
    let (status, body) = node.publish(0, &text(2, 1)).await;
    assert_eq!((status, &*body), (StatusCode::OK, r#"{"revision":1}"#));
    node.publish(1, &text(2, 5)).await;
    let current: ConfigBody = node.get("config").await;
    assert_eq!((current.revision, &*current.text), (2, &*text(2, 5)));
    let first: ConfigBody = node.get("config?revision=1").await;
    assert_eq!(*first.text, text(2, 1));
    let diff: DiffBody = node.get("config/diff?from=1&to=2").await;
    assert!(
        diff.difference.contains("-weight = 1\n+weight = 5\n"),
        "{}",
        diff.difference
    );
    let history: Vec<HistoryEntry> = node.get("config/history").await;
    assert_eq!(history.len(), 2);
    assert_eq!(history[0].changed, Some(vec!["customer customer-0".into()]));
    assert!(
        history[0].author.starts_with("hana (key "),
        "{}",
        history[0].author
    );
    assert_eq!(
        node.refused(Method::GET, "config?revision=9", &())
            .await
            .status,
        404
    );
}

#[tokio::test(start_paused = true)]
async fn problems_conflicts_and_outages_have_distinct_errors() {
    let node = OperatorNode::start();
    let wrong = publish_body(0, "[rank]\n");
    let problem = node.refused(Method::PUT, "config", &wrong).await;
    assert_eq!((problem.status, problem.verdict), (422, Verdict::NotRun));
    assert_eq!(problem.problems[1].line, 1);
    assert_eq!(&*problem.problems[1].remedy, "write [rank NAME]");
    node.publish(0, &text(2, 1)).await;
    node.publish(1, &text(2, 2)).await;
    let late = publish_body(1, &text(2, 3));
    let problem = node.refused(Method::PUT, "config", &late).await;
    assert_eq!((problem.status, problem.current_revision), (409, Some(2)));
    assert!(problem.difference.unwrap().contains("weight = 3"));
    for (fault, verdict) in [
        (Fault::NotReached, Verdict::NotRun),
        (Fault::Lost, Verdict::MayHaveRun),
    ] {
        for _ in 0..5 {
            node.store.fail_next_write(fault);
        }
        let next = publish_body(2, &text(2, 3));
        let problem = node.refused(Method::PUT, "config", &next).await;
        assert_eq!((problem.status, problem.verdict), (503, verdict));
        assert!(problem.retry_after_s.is_some());
    }
    let (status, _) = node.call(Method::PUT, "config", &"no object").await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(node.cluster.in_force(), [2]);
}

#[tokio::test(start_paused = true)]
async fn keys_are_added_and_revoked_and_comments_stay() {
    let node = OperatorNode::start();
    let with_comment = format!("; prices of this season\n{}", text(2, 1));
    node.publish(0, &with_comment).await;
    let hash = format!("sha256:{}", "ab".repeat(32));
    let path = "customers/customer-1/keys";
    let body = serde_json::json!({"hash": hash, "author": "hana"});
    let keys: KeysBody = node.ok(Method::POST, path, &body).await;
    assert_eq!((keys.revision, keys.keys.len()), (2, 2));
    let again: KeysBody = node.get(path).await;
    assert_eq!(again, keys);
    let current: ConfigBody = node.get("config").await;
    assert!(current.text.starts_with("; prices of this season\n"));
    let taken = node
        .refused(Method::POST, "customers/customer-0/keys", &body)
        .await;
    assert_eq!(taken.status, 422);
    let gone: KeysBody = node
        .ok(Method::DELETE, &format!("{path}/abababab"), &())
        .await;
    assert_eq!(gone.keys, keys.keys[..1]);
    for (path, status) in [
        ("customers/customer-1/keys/abababab", 404),
        ("customers/customer-1/keys/ab", 400),
        ("customers/nobody/keys/abababab", 404),
    ] {
        assert_eq!(
            node.refused(Method::DELETE, path, &()).await.status,
            status,
            "{path}"
        );
    }
    let current: ConfigBody = node.get("config").await;
    assert_eq!(*current.text, with_comment);
}

#[tokio::test(start_paused = true)]
async fn status_explanation_and_drain() {
    let node = OperatorNode::start();
    let status: StatusBody = node.get("status").await;
    assert_eq!((&*status.phase, status.nodes.len()), ("starting", 1));
    assert_eq!(status.queues[0].waiting, 3);
    let explanation: ExplanationBody = node.get("requests/r1").await;
    assert!(explanation.sentences[0].contains("nothing is charged"));
    assert_eq!(
        node.refused(Method::GET, "requests/r2", &()).await.status,
        404
    );
    node.ok::<serde_json::Value>(Method::POST, "drain", &())
        .await;
    assert_eq!(*node.control.drained.lock(), 1);
}
