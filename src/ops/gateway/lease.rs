//! Leases in the store that a process renews for as long as it needs them.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinHandle;

use super::board::Board;
use crate::core::time::Moment;
use crate::sources::store::{LeaseId, Result, Store, StoreError};

/// First pause after a renewal that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(350);
/// Renewals for which the length of a lease has room: some may fail before it ends.
const RENEWALS: u32 = 4;

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

/// A lease that is renewed until this value is dropped or the store says that it has ended.
pub struct LeaseKeeper {
    store: Arc<dyn Store>,
    lease: Arc<Mutex<Option<Lease>>>,
    renewals: JoinHandle<()>,
}

impl LeaseKeeper {
    /// Takes a lease of a length and begins to renew it.
    ///
    /// # Errors
    ///
    /// Fails where the store grants none.
    pub async fn open(board: Arc<Board>, store: Arc<dyn Store>, ttl: Duration) -> Result<Self> {
        let sent = board.now();
        let grant = store.grant_lease(ttl).await?;
        let lease = Arc::new(Mutex::new(Some(Lease {
            id: grant.id,
            ttl: grant.ttl,
            renewed: sent,
        })));
        let renewals = tokio::spawn(renew(board, Arc::clone(&store), Arc::clone(&lease)));
        Ok(Self {
            store,
            lease,
            renewals,
        })
    }

    /// Returns the lease, or `None` once the store has said that it has ended.
    pub fn get(&self) -> Option<Lease> {
        *self.lease.lock()
    }

    /// Ends the lease, so that its keys go at once.
    ///
    /// # Errors
    ///
    /// Fails where the store does not confirm that; the lease then ends by itself.
    pub async fn close(self) -> Result<()> {
        self.renewals.abort();
        let lease = self.lease.lock().take();
        match lease {
            Some(lease) => self.store.revoke(lease.id).await,
            None => Ok(()),
        }
    }
}

impl Drop for LeaseKeeper {
    fn drop(&mut self) {
        self.renewals.abort();
    }
}

async fn renew(board: Arc<Board>, store: Arc<dyn Store>, lease: Arc<Mutex<Option<Lease>>>) {
    let mut failures = 0;
    loop {
        let Some(Lease { id, ttl, .. }) = *lease.lock() else {
            return;
        };
        let interval = ttl / RENEWALS;
        let pause = match failures {
            0 => interval,
            failures => (FIRST_PAUSE * 2_u32.pow(failures - 1)).min(interval),
        };
        // Nodes that started together do not renew together.
        tokio::time::sleep(pause.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        let sent = board.now();
        match store.keep_alive(id).await {
            Ok(_) => {
                if failures > 0 {
                    tracing::info!(lease = id, failures, "lease renewed again");
                }
                failures = 0;
                if let Some(lease) = lease.lock().as_mut() {
                    lease.renewed = sent;
                }
            }
            Err(StoreError::LeaseNotFound) => {
                tracing::warn!(lease = id, "the store has ended the lease");
                *lease.lock() = None;
                return;
            }
            Err(e) => {
                if failures == 0 {
                    tracing::warn!(lease = id, error = %e, "lease not renewed");
                }
                failures = (failures + 1).min(8);
            }
        }
    }
}
