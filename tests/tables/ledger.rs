//! Faults of the store at each step of a non-idempotent call.
//!
//! A case defines the fault, and the expected reply and number of effects after each of three requests
//! with the same key: the first request, one to the same node a minute after the end of the fault, and
//! one to another node a minute later.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use jayhall::core::ledger::{IdempotencyKey, Outcome, Settlement};
use jayhall::core::service_call::{CallReply, ServiceCall};
use jayhall::node::{Blackboard, Identity};
use jayhall::ops::ledger::{Dispatch, Ledger, LedgerContext};
use jayhall::sources::store::{Fault, MemoryStore};
use jayhall::util::ini::{self, IniSection};
use tokio::time::Instant;

type Result<T> = datatest_stable::Result<T>;

const NOW: u64 = 1_800_000_000_000;
const MINUTE: Duration = Duration::from_secs(60);

/// A service that counts its effects. The store may fail from the first effect on.
struct Service {
    effects: AtomicU32,
    store: MemoryStore,
    fault_at_effect: Option<Fault>,
}

impl Dispatch for Service {
    fn dispatch(&self, _: Arc<ServiceCall>, _: Instant) -> BoxFuture<'static, Settlement> {
        self.effects.fetch_add(1, Ordering::Relaxed);
        if self.fault_at_effect.is_some() {
            self.store.set_fault(self.fault_at_effect);
        }
        let outcome = Outcome {
            status: 200,
            content_type: "".into(),
            body: None,
        };
        Box::pin(async { Settlement::Answered(outcome) })
    }
}

struct Case {
    store: MemoryStore,
    service: Arc<Service>,
    nodes: [Ledger; 2],
}

pub(crate) fn store_fault_has_the_expected_end(_: &Path, text: String) -> Result<()> {
    let sections = ini::parse(&text)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    runtime.block_on(run(&sections))
}

async fn run(sections: &[IniSection]) -> Result<()> {
    let case = set_up(section(sections, "fault")?)?;
    case.check(0, section(sections, "first")?).await?;
    tokio::time::sleep(MINUTE).await;
    case.store.set_fault(None);
    tokio::time::sleep(MINUTE).await;
    case.check(0, section(sections, "again")?).await?;
    tokio::time::sleep(MINUTE).await;
    case.check(1, section(sections, "elsewhere")?).await
}

fn set_up(fault: &IniSection) -> Result<Case> {
    let kind = match value(fault, "kind")? {
        "not_reached" => Fault::NotReached,
        "lost" => Fault::Lost,
        "answer_lost" => Fault::AnswerLost,
        "rate_limited" => Fault::RateLimited(Duration::from_secs(1)),
        other => return Err(format!("no such fault: {other}").into()),
    };
    let store = MemoryStore::new();
    let at = value(fault, "at")?;
    match at {
        "begin" => store.set_fault(Some(kind)),
        "effect" => {}
        "write 1" => store.fail_next_write(kind),
        "write 2" => {
            store.pass_next_write();
            store.fail_next_write(kind);
        }
        other => return Err(format!("no such time: {other}").into()),
    }
    let service = Arc::new(Service {
        effects: AtomicU32::new(0),
        store: store.clone(),
        fault_at_effect: (at == "effect").then_some(kind),
    });
    let nodes = ["n0", "n1"].map(|name| ledger(name, &store, &service));
    Ok(Case {
        store,
        service,
        nodes,
    })
}

impl Case {
    async fn check(&self, node: usize, expected: &IniSection) -> Result<()> {
        let reply = reply_summary(&self.nodes[node].run(call()).await);
        let effects = self.service.effects.load(Ordering::Relaxed).to_string();
        let actual = (&*reply, &*effects);
        let expected_values = (value(expected, "reply")?, value(expected, "effects")?);
        match actual == expected_values {
            true => Ok(()),
            false => {
                Err(format!("[{}]: {actual:?}, not {expected_values:?}", expected.kind).into())
            }
        }
    }
}

fn ledger(name: &str, store: &MemoryStore, service: &Arc<Service>) -> Ledger {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let board = Blackboard::new(Identity {
        node: name.into(),
        vm: name.into(),
        region: "addis".into(),
        zone: "addis-1".into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    });
    Ledger::spawn(&LedgerContext {
        board,
        store: Arc::new(store.clone()),
        dispatch: service.clone(),
        clock: Arc::new(|| NOW),
    })
}

fn call() -> ServiceCall {
    ServiceCall {
        id: "r1".into(),
        customer: "bekele".into(),
        service: "orders".into(),
        key: IdempotencyKey::issue(NOW, &[3; 10]),
        content_type: "".into(),
        body: "{}".into(),
        timeout: Duration::from_secs(10),
    }
}

fn reply_summary(reply: &CallReply) -> String {
    match reply {
        CallReply::Answered {
            is_replay: true, ..
        } => "replay".into(),
        CallReply::Answered { .. } => "ran".into(),
        CallReply::Refused(refusal) => format!("{} {}", refusal.verdict, refusal.cause.as_str()),
        CallReply::Owner(owner) => format!("owner {owner}"),
    }
}

fn section<'a>(sections: &'a [IniSection], kind: &str) -> Result<&'a IniSection> {
    let actual = sections.iter().find(|section| &*section.kind == kind);
    actual.ok_or_else(|| format!("[{kind}] is missing").into())
}

fn value<'a>(section: &'a IniSection, key: &str) -> Result<&'a str> {
    let actual = section.entry(key);
    let missing = || format!("[{}] has no `{key}`", section.kind).into();
    actual.map(|entry| &*entry.value).ok_or_else(missing)
}
