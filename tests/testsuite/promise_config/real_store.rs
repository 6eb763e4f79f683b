//! Tests of publishing through the etcd client, against the stand-in of the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use jayhall::ops::publish::Publisher;
use jayhall::sources::store::{
    EtcdConfig, EtcdStore, LeaseGrant, LeaseId, RangeReply, RangeRequest, Result, Store,
    Transaction, TransactionReply, WatchRequest, WatchStream,
};
use jayhall_standins::CommonFaults;
use jayhall_standins::store::{self, StoreFaults, StoreSettings};

use super::cluster::{draft, text};

/// A store client that injects faults into the stand-in for its next `remaining_faults` transactions.
struct FaultyStore {
    inner: EtcdStore,
    standin: Arc<store::Store>,
    faults: StoreFaults,
    remaining_faults: AtomicU32,
}

impl Store for FaultyStore {
    fn range(&self, req: RangeRequest) -> BoxFuture<'_, Result<RangeReply>> {
        self.inner.range(req)
    }

    fn transact(&self, req: Transaction) -> BoxFuture<'_, Result<TransactionReply>> {
        async move {
            let is_faulty = self
                .remaining_faults
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining_faults| {
                    remaining_faults.checked_sub(1)
                })
                .is_ok();
            if is_faulty {
                self.standin.set_faults(self.faults.clone());
            }
            self.inner.transact(req).await
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseGrant>> {
        self.inner.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<LeaseGrant>> {
        self.inner.keep_alive(lease)
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<()>> {
        self.inner.revoke(lease)
    }

    fn watch(&self, req: WatchRequest) -> BoxFuture<'_, Result<WatchStream>> {
        self.inner.watch(req)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_and_calls_doubled_by_the_store_leave_one_revision() {
    let faults = [
        StoreFaults {
            common: CommonFaults {
                lose_answer_next: 1,
                ..CommonFaults::default()
            },
            ..StoreFaults::default()
        },
        StoreFaults {
            duplicate_next: 1,
            ..StoreFaults::default()
        },
    ];
    let standin = Arc::new(store::spawn(StoreSettings::default()).await.unwrap());
    let url = format!("http://{}", standin.address);
    let mut revision = 0;
    for faults in faults {
        let publisher = Publisher::open(Arc::new(FaultyStore {
            inner: EtcdStore::open(EtcdConfig::new(&url)).unwrap(),
            standin: standin.clone(),
            faults,
            remaining_faults: AtomicU32::new(1),
        }));
        let next = text(500, revision as u32 + 1);
        let published = publisher.publish(draft(revision, &*next)).await.unwrap();
        revision += 1;
        assert_eq!(published.head.revision, revision);
        let stored = publisher.archive().head().await.unwrap().head.unwrap();
        assert_eq!(stored, published.head);
        assert_eq!(
            *publisher.archive().verified_text(&stored).await.unwrap(),
            next
        );
        assert_eq!(
            publisher.archive().history().await.unwrap().len() as u64,
            revision
        );
    }
}
