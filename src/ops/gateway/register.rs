//! Keeps the node's entry in the store, under a lease that ends with the process.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::board::Board;
use super::{keys, node_wire};
use crate::core::time::Moment;
use crate::sources::store::{LeaseId, Op, Result, Store, StoreError, Transaction};

/// Time without a renewal after which the store removes the entry.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1100);
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(350);

/// A lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its name.
    pub id: LeaseId,
    /// Time for which a renewal lasts.
    pub ttl: Duration,
    /// When the last confirmed renewal was sent, by the clock that goes on while the VM is suspended.
    pub renewed: Moment,
}

/// The node's entry in the store. It is renewed by [`Registration::run`].
pub struct Registration {
    board: Arc<Board>,
    store: Arc<dyn Store>,
    lease: Mutex<Option<Lease>>,
}

impl Registration {
    /// Creates the entry's keeper.
    pub fn new(board: Arc<Board>, store: Arc<dyn Store>) -> Arc<Self> {
        Arc::new(Self {
            board,
            store,
            lease: Mutex::default(),
        })
    }

    /// Returns the lease, which may have ended.
    pub fn lease(&self) -> Option<Lease> {
        *self.lease.lock()
    }

    /// Keeps the entry until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut phase = self.board.phase.subscribe();
        loop {
            let step = match self.lease() {
                None => self.enter().await,
                Some(lease) => self.renew(lease).await,
            };
            let pause = match step {
                Ok(()) => RENEW_INTERVAL,
                Err(e) => {
                    self.failed(&e);
                    RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())
                }
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = phase.changed() => self.write().await,
            }
        }
    }

    /// Ends the lease, so that the entry goes at once.
    pub async fn leave(&self) {
        let Some(lease) = self.lease.lock().take() else {
            return;
        };
        if let Err(e) = self.store.revoke(lease.id).await {
            tracing::warn!(error = %e, "the node's entry stays in the store until its lease ends");
        }
    }

    async fn enter(&self) -> Result<()> {
        let sent = self.board.now();
        let grant = self.store.grant_lease(LEASE_TTL).await?;
        *self.lease.lock() = Some(Lease {
            id: grant.id,
            ttl: grant.ttl,
            renewed: sent,
        });
        self.put_entry(grant.id).await?;
        tracing::info!(lease = grant.id, "the node stands in the store");
        self.board.set_registered(true);
        Ok(())
    }

    async fn renew(&self, lease: Lease) -> Result<()> {
        let sent = self.board.now();
        self.store.keep_alive(lease.id).await?;
        if let Some(current) = self.lease.lock().as_mut().filter(|l| l.id == lease.id) {
            current.renewed = sent;
        }
        let key = keys::node(&self.board.settings.name);
        let is_there = self.board.view.lock().get(&key).is_some();
        if !is_there || !self.board.is_registered() {
            self.put_entry(lease.id).await?;
            self.board.set_registered(true);
        }
        Ok(())
    }

    async fn write(&self) {
        let Some(lease) = self.lease() else {
            return;
        };
        if let Err(e) = self.put_entry(lease.id).await {
            self.failed(&e);
        }
    }

    async fn put_entry(&self, lease: LeaseId) -> Result<()> {
        let value =
            node_wire::encode(self.board.own_member()).map_err(|e| StoreError::Refused {
                cause: e.to_string().into(),
            })?;
        let put = Transaction {
            then: vec![Op::Put {
                key: keys::node(&self.board.settings.name).into(),
                value: value.into(),
                lease: Some(lease),
            }],
            ..Transaction::default()
        };
        self.store.transact(put).await.map(drop)
    }

    fn failed(&self, e: &StoreError) {
        if *e == StoreError::LeaseNotFound {
            *self.lease.lock() = None;
        }
        if self.board.is_registered() {
            tracing::warn!(error = %e, "the node's entry in the store could not be renewed");
        }
        self.board.set_registered(false);
    }
}
