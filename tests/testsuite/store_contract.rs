//! Contract tests that run against every implementation of the store.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use jayhall::core::verdict::Verdict;
use jayhall::sources::store::{
    CallRate, Compare, Condition, EtcdConfig, EtcdStore, Fault, KeyRange, MemoryStore, Op,
    OpResult, RangeRequest, Store, StoreError, Transaction, WatchEvent, WatchRequest,
};
use jayhall_standins::CommonFaults;
use jayhall_standins::store::{self, StoreFaults, StoreSettings};

async fn value_of(store: &dyn Store, key: &str) -> Option<Vec<u8>> {
    let reply = store.range(RangeRequest::one(key)).await.unwrap();
    reply.entries.first().map(|entry| entry.value.to_vec())
}

async fn swap_sets_only_from_the_expected_revision(store: &dyn Store) {
    let created = Transaction::compare_and_swap("contract/a", 0.into(), "one".into());
    let created = store.transact(created).await.unwrap();
    assert!(created.succeeded);
    let stale = Transaction::compare_and_swap("contract/a", 0.into(), "two".into());
    let stale = store.transact(stale).await.unwrap();
    assert!(!stale.succeeded);
    let found = &stale.found().unwrap()[0];
    assert_eq!(
        (found.mod_revision, found.version, &*found.value),
        (created.revision, 1, &b"one"[..])
    );
    let next = Transaction::compare_and_swap("contract/a", created.revision, "three".into());
    assert!(store.transact(next).await.unwrap().succeeded);
    let reply = store.range(RangeRequest::one("contract/a")).await.unwrap();
    let entry = &reply.entries[0];
    assert_eq!((entry.version, &*entry.value), (2, &b"three"[..]));
    assert_eq!(entry.create_revision, created.revision);
    assert!(entry.mod_revision > created.revision);
}

async fn all_compares_have_to_hold(store: &dyn Store) {
    let compare = |condition| Compare {
        key: "contract/absent".into(),
        condition,
    };
    let put = Op::Put {
        key: "contract/compared".into(),
        value: "set".into(),
        lease: None,
    };
    let mut req = Transaction {
        compares: vec![
            compare(Condition::CreateRevision(0.into())),
            compare(Condition::Version(1)),
        ],
        then: vec![put],
        otherwise: vec![],
    };
    assert!(!store.transact(req.clone()).await.unwrap().succeeded);
    req.compares[1].condition = Condition::Version(0);
    assert!(store.transact(req).await.unwrap().succeeded);
    let set = value_of(store, "contract/compared").await;
    assert_eq!(set.as_deref(), Some(&b"set"[..]));
}

async fn prefixes_read_and_delete_their_keys_only(store: &dyn Store) {
    for key in ["contract/p/1", "contract/p/2", "contract/q"] {
        let created = Transaction::compare_and_swap(key, 0.into(), "x".into());
        assert!(store.transact(created).await.unwrap().succeeded);
    }
    let prefix = KeyRange::Prefix("contract/p/".into());
    let reply = store.range(RangeRequest::prefix("contract/p/")).await;
    let keys: Vec<_> = reply.unwrap().entries.into_iter().map(|e| e.key).collect();
    assert_eq!(keys, ["contract/p/1".into(), "contract/p/2".into()]);
    let delete = Transaction {
        then: vec![Op::Delete(prefix.clone()), Op::Get(prefix)],
        ..Transaction::default()
    };
    let results = store.transact(delete).await.unwrap().results;
    assert_eq!(results, [OpResult::Deleted(2), OpResult::Got(vec![])]);
    assert!(value_of(store, "contract/q").await.is_some());
}

async fn a_revoked_lease_deletes_its_keys(store: &dyn Store) {
    let lease = store.grant_lease(Duration::from_secs(60)).await.unwrap();
    let put = Op::Put {
        key: "contract/leased".into(),
        value: "held".into(),
        lease: Some(lease.id),
    };
    let req = Transaction {
        then: vec![put],
        ..Transaction::default()
    };
    store.transact(req.clone()).await.unwrap();
    assert_eq!(store.keep_alive(lease.id).await.unwrap(), lease);
    store.revoke(lease.id).await.unwrap();
    assert_eq!(value_of(store, "contract/leased").await, None);
    assert_eq!(
        store.keep_alive(lease.id).await,
        Err(StoreError::LeaseNotFound)
    );
    assert_eq!(store.transact(req).await, Err(StoreError::LeaseNotFound));
}

async fn a_watch_delivers_puts_and_deletions_from_its_revision_on(store: &dyn Store) {
    let first = Transaction::compare_and_swap("contract/w/1", 0.into(), "one".into());
    let first = store.transact(first).await.unwrap();
    let mut events = store
        .watch(WatchRequest {
            range: KeyRange::Prefix("contract/w/".into()),
            from: Some(first.revision),
        })
        .await
        .unwrap();
    let outside = Transaction::compare_and_swap("contract/v", 0.into(), "x".into());
    store.transact(outside).await.unwrap();
    let delete = Transaction {
        then: vec![Op::Delete(KeyRange::One("contract/w/1".into()))],
        ..Transaction::default()
    };
    let deleted = store.transact(delete).await.unwrap();
    let started = events.next().await.unwrap().unwrap();
    assert!(matches!(started, WatchEvent::Started { .. }));
    let Some(Ok(WatchEvent::Put(entry))) = events.next().await else {
        panic!("the put event is missing");
    };
    assert_eq!(
        (entry.mod_revision, &*entry.value),
        (first.revision, &b"one"[..])
    );
    let expected = WatchEvent::Deleted {
        key: "contract/w/1".into(),
        revision: deleted.revision,
    };
    assert_eq!(events.next().await.unwrap().unwrap(), expected);
}

async fn too_large_a_value_is_refused(store: &dyn Store) {
    let value = vec![b'x'; jayhall::sources::store::MAX_VALUE_BYTES + 64 * 1024];
    let req = Transaction::compare_and_swap("contract/large", 0.into(), value.into());
    let e = store.transact(req).await.unwrap_err();
    assert!(matches!(e, StoreError::Refused { .. }), "{e}");
    assert_eq!(e.verdict(), Verdict::NotRun);
}

async fn all_cases(store: Arc<dyn Store>) {
    let store = &*store;
    swap_sets_only_from_the_expected_revision(store).await;
    all_compares_have_to_hold(store).await;
    prefixes_read_and_delete_their_keys_only(store).await;
    a_revoked_lease_deletes_its_keys(store).await;
    a_watch_delivers_puts_and_deletions_from_its_revision_on(store).await;
    too_large_a_value_is_refused(store).await;
}

#[tokio::test]
async fn the_memory_store_fulfils_the_contract() {
    all_cases(Arc::new(MemoryStore::new())).await;
}

#[tokio::test]
async fn the_etcd_store_fulfils_the_contract() {
    let standin = store::spawn(StoreSettings::default()).await.unwrap();
    let cfg = EtcdConfig::new(&format!("http://{}", standin.address));
    all_cases(Arc::new(EtcdStore::open(cfg).unwrap())).await;
}

#[tokio::test]
async fn the_etcd_store_reports_whether_a_failed_call_may_have_run() {
    let standin = store::spawn(StoreSettings::default()).await.unwrap();
    let mut cfg = EtcdConfig::new(&format!("http://{}", standin.address));
    cfg.call_timeout = Duration::from_millis(300);
    let etcd = EtcdStore::open(cfg).unwrap();
    let verdict_of = async |key: &str| {
        let compare_and_swap = Transaction::compare_and_swap(key, 0.into(), "v".into());
        etcd.transact(compare_and_swap).await.unwrap_err().verdict()
    };
    let faults = |common| StoreFaults {
        common,
        ..StoreFaults::default()
    };
    standin.set_faults(faults(CommonFaults {
        lose_answer_next: 1,
        ..CommonFaults::default()
    }));
    assert_eq!(verdict_of("lost").await, Verdict::MayHaveRun);
    let found = value_of(&etcd, "lost").await;
    assert_eq!(found.as_deref(), Some(&b"v"[..]));
    standin.set_faults(faults(CommonFaults {
        freeze: true,
        ..CommonFaults::default()
    }));
    assert_eq!(verdict_of("frozen").await, Verdict::MayHaveRun);
    drop(standin);
    let unreachable = EtcdStore::open(EtcdConfig::new("http://127.0.0.1:1")).unwrap();
    let e = unreachable.range(RangeRequest::one("k")).await.unwrap_err();
    assert!(matches!(e, StoreError::NotReached { .. }), "{e}");
}

#[tokio::test]
async fn a_node_stays_within_its_share_of_the_store() {
    let standin = store::spawn(StoreSettings::default()).await.unwrap();
    let mut cfg = EtcdConfig::new(&format!("http://{}", standin.address));
    cfg.writes = CallRate {
        per_second: 0.5,
        burst: 3,
    };
    let etcd = EtcdStore::open(cfg).unwrap();
    for number in 0..3 {
        let compare_and_swap =
            Transaction::compare_and_swap(&format!("k{number}"), 0.into(), "v".into());
        etcd.transact(compare_and_swap).await.unwrap();
    }
    let e = etcd
        .transact(Transaction::compare_and_swap("k3", 0.into(), "v".into()))
        .await;
    assert!(matches!(e, Err(StoreError::RateLimited { .. })), "{e:?}");
    assert_eq!(value_of(&etcd, "k3").await, None);
}

#[tokio::test(start_paused = true)]
async fn a_lease_expires_at_its_deadline_and_watchers_are_notified() {
    let store = MemoryStore::new();
    let lease = store.grant_lease(Duration::from_secs(5)).await.unwrap();
    let put = Op::Put {
        key: "owner".into(),
        value: "n1".into(),
        lease: Some(lease.id),
    };
    let req = Transaction {
        then: vec![put],
        ..Transaction::default()
    };
    store.transact(req).await.unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    store.keep_alive(lease.id).await.unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(value_of(&store, "owner").await.is_some());
    let range = KeyRange::One("owner".into());
    let watch = WatchRequest { range, from: None };
    let mut events = store.watch(watch).await.unwrap().skip(1);
    let deleted = events.next().await.unwrap().unwrap();
    assert!(matches!(deleted, WatchEvent::Deleted { .. }));
    assert_eq!(value_of(&store, "owner").await, None);
}

#[tokio::test]
async fn an_answer_lost_after_the_effect_may_have_run() {
    let store = MemoryStore::new();
    store.fail_next_write(Fault::AnswerLost);
    store.fail_next_write(Fault::NotReached);
    let compare_and_swap = || Transaction::compare_and_swap("k", 0.into(), "v".into());
    let e = store.transact(compare_and_swap()).await.unwrap_err();
    assert_eq!(e.verdict(), Verdict::MayHaveRun);
    let e = store.transact(compare_and_swap()).await.unwrap_err();
    assert_eq!(e.verdict(), Verdict::NotRun);
    assert_eq!(value_of(&store, "k").await.as_deref(), Some(&b"v"[..]));
}
