//! The client of the platform's store, against a stand-in server of its protocol.

use std::net::Ipv4Addr;
use std::time::Duration;

use futures::StreamExt;
use jayhall::core::verdict::Verdict;
use jayhall::platform::{PlatformStore, PlatformStoreConfig};
use jayhall::sources::store::{
    CallRate, KeyRange, Op, RangeRequest, Store, StoreError, Transaction, WatchEvent, WatchRequest,
};
use jayhall_harness::{PlatformStoreStandin, StoreFault};

use super::fixture::put;

async fn spawn() -> (PlatformStoreStandin, PlatformStore) {
    let standin = PlatformStoreStandin::spawn(Ipv4Addr::LOCALHOST.into())
        .await
        .unwrap();
    let store = PlatformStore::new(&PlatformStoreConfig {
        base: format!("http://{}", standin.address()).into(),
        calls: CallRate {
            per_second: 1000.0,
            burst: 1000,
        },
    });
    (standin, store)
}

#[tokio::test]
async fn a_compare_and_swap_requires_the_expected_revision() {
    let (_standin, store) = spawn().await;
    let made = store
        .transact(Transaction::compare_and_swap("k", 0.into(), "one".into()))
        .await
        .unwrap();
    assert!(made.succeeded);
    let stale = store
        .transact(Transaction::compare_and_swap("k", 0.into(), "two".into()))
        .await
        .unwrap();
    assert!(!stale.succeeded);
    let found = &stale.found().unwrap()[0];
    assert_eq!(
        (&*found.value, found.mod_revision),
        (&b"one"[..], made.revision)
    );
    let next = Transaction::compare_and_swap("k", made.revision, "three".into());
    assert!(store.transact(next).await.unwrap().succeeded);
    let read = store.range(RangeRequest::one("k")).await.unwrap();
    assert_eq!(&*read.entries[0].value, b"three");
    let absent = store.range(RangeRequest::one("absent")).await.unwrap();
    assert!(absent.entries.is_empty());
}

#[tokio::test]
async fn all_pages_of_a_list_are_read() {
    let (_standin, store) = spawn().await;
    for key in ["p/1", "p/2", "p/3", "p/4", "p/5", "p/6", "p/7", "q/1"] {
        store.transact(put(key, "x")).await.unwrap();
    }
    let listed = store.range(RangeRequest::prefix("p/")).await.unwrap();
    assert_eq!(listed.entries.len(), 7);
    let all = store.range(RangeRequest::prefix("")).await.unwrap();
    assert_eq!(all.entries.len(), 8);
}

#[tokio::test]
async fn keys_are_removed_with_their_lease() {
    let (_standin, store) = spawn().await;
    let lease = store.grant_lease(Duration::from_secs(30)).await.unwrap();
    let mut leased = put("k", "x");
    if let Op::Put { lease: of, .. } = &mut leased.then[0] {
        *of = Some(lease.id);
    }
    store.transact(leased.clone()).await.unwrap();
    assert_eq!(store.keep_alive(lease.id).await.unwrap().id, lease.id);
    store.revoke(lease.id).await.unwrap();
    assert_eq!(
        store.keep_alive(lease.id).await,
        Err(StoreError::LeaseNotFound)
    );
    assert_eq!(store.transact(leased).await, Err(StoreError::LeaseNotFound));
    let read = store.range(RangeRequest::one("k")).await.unwrap();
    assert!(read.entries.is_empty());
}

#[tokio::test]
async fn a_watch_reports_all_changes_and_progress() {
    let (_standin, store) = spawn().await;
    let first = store.transact(put("k", "one")).await.unwrap();
    let mut events = store
        .watch(WatchRequest {
            range: KeyRange::Prefix("".into()),
            from: Some(first.revision),
        })
        .await
        .unwrap();
    let Some(Ok(WatchEvent::Put(kv))) = events.next().await else {
        panic!("the first change is missing");
    };
    assert_eq!(&*kv.value, b"one");
    let started = events.next().await.unwrap().unwrap();
    assert_eq!(
        started,
        WatchEvent::Started {
            revision: first.revision
        }
    );
    let delete = Transaction {
        then: vec![Op::Delete(KeyRange::One("k".into()))],
        ..Transaction::default()
    };
    store.transact(delete).await.unwrap();
    loop {
        match events.next().await.unwrap().unwrap() {
            WatchEvent::Deleted { key, .. } => break assert_eq!(&*key, "k"),
            WatchEvent::Started { .. } => {}
            WatchEvent::Put(kv) => panic!("change repeated: {kv:?}"),
        }
    }
}

#[tokio::test]
async fn errors_tell_whether_a_call_may_have_had_effect() {
    let (standin, store) = spawn().await;
    for (status, verdict) in [
        (503, Verdict::NotRun),
        (429, Verdict::NotRun),
        (403, Verdict::NotRun),
        (500, Verdict::MayHaveRun),
    ] {
        standin.set(StoreFault::Refuse(status));
        let error = store.transact(put("k", "x")).await.unwrap_err();
        assert_eq!(error.verdict(), verdict, "{status}");
    }
    standin.set(StoreFault::Forgetful);
    let watch = WatchRequest {
        range: KeyRange::Prefix("".into()),
        from: Some(1.into()),
    };
    let gone = store.watch(watch).await.unwrap().next().await.unwrap();
    assert!(
        matches!(gone, Err(StoreError::Compacted { .. })),
        "{gone:?}"
    );
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_reached() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let store = PlatformStore::new(&PlatformStoreConfig {
        base: format!("http://{address}").into(),
        calls: CallRate {
            per_second: 10.0,
            burst: 10,
        },
    });
    let error = store.transact(put("k", "x")).await.unwrap_err();
    assert!(matches!(error, StoreError::NotReached { .. }), "{error}");
}

#[tokio::test]
async fn a_revision_of_the_store_before_its_restore_is_lower_than_those_after_it() {
    let (standin, store) = spawn().await;
    store.transact(put("k", "one")).await.unwrap();
    let copy = standin.store().copy();
    let lost = store.transact(put("k", "two")).await.unwrap().revision;
    standin.store().restore(&copy);
    let listed = store.range(RangeRequest::prefix("")).await.unwrap();
    assert!(listed.revision > lost);
    assert!(listed.revision.number < lost.number);
    assert!(listed.revision.fencing_token() > lost.fencing_token());
    assert_eq!(listed.entries[0].mod_revision.era, listed.revision.era);
}

#[tokio::test]
async fn a_watch_ends_with_a_restore_although_the_store_has_given_out_its_revision_again() {
    let (standin, store) = spawn().await;
    let copy = standin.store().copy();
    let lost = store.transact(put("k", "lost")).await.unwrap().revision;
    let watch = store.watch(WatchRequest {
        range: KeyRange::Prefix("".into()),
        from: Some(lost.next()),
    });
    let mut events = watch.await.unwrap();
    standin.store().restore(&copy);
    for value in ["again", "unseen"] {
        store.transact(put("k", value)).await.unwrap();
    }
    let event = events.next().await.unwrap();
    assert!(
        matches!(event, Err(StoreError::Compacted { .. })),
        "{event:?}"
    );
}

#[tokio::test]
async fn a_compare_and_swap_on_a_lost_revision_does_not_succeed() {
    let (standin, store) = spawn().await;
    let copy = standin.store().copy();
    let lost = store.transact(put("k", "lost")).await.unwrap().revision;
    standin.store().restore(&copy);
    store.transact(put("k", "another")).await.unwrap();
    let swap = Transaction::compare_and_swap("k", lost, "mine".into());
    let error = store.transact(swap).await.unwrap_err();
    assert!(matches!(error, StoreError::Restored { .. }), "{error}");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
}

#[tokio::test]
async fn the_answer_to_a_lease_renewal_names_the_era_of_the_store() {
    let (standin, store) = spawn().await;
    let lease = store.grant_lease(Duration::from_secs(30)).await.unwrap();
    standin.store().restore(&standin.store().copy());
    let renewed = store.keep_alive(lease.id).await.unwrap();
    assert!(renewed.era > lease.era);
}
