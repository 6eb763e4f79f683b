//! Leases in the store that the process renews as long as it needs them.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinHandle;

use super::state::GatewayState;
use crate::core::time::Moment;
use crate::sources::store::{Era, LeaseId, Result, Store, StoreError};

/// Initial backoff after a failed renewal.
const INITIAL_BACKOFF: Duration = Duration::from_millis(350);
/// Number of renewals within the time to live, so that some may fail before the lease expires.
const RENEWALS_PER_TTL: u32 = 4;

/// A lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Identifier in the store.
    pub id: LeaseId,
    /// Era of the store that granted it. In a later one the store may have lost the lease.
    pub era: Era,
    /// Time to live after a renewal.
    pub ttl: Duration,
    /// Time at which the last confirmed renewal was sent, by the monotonic clock, which goes on while
    /// the VM is suspended.
    pub renewed: Moment,
}

/// A lease that is renewed until this value is dropped or the store reports that the lease has expired.
pub struct LeaseKeeper {
    store: Arc<dyn Store>,
    lease: Arc<Mutex<Option<Lease>>>,
    renewals: JoinHandle<()>,
}

impl LeaseKeeper {
    /// Obtains a lease from the store and starts to renew it.
    ///
    /// # Errors
    ///
    /// Fails if the store grants no lease.
    pub async fn open(
        state: Arc<GatewayState>,
        store: Arc<dyn Store>,
        ttl: Duration,
    ) -> Result<Self> {
        let sent = state.now();
        let grant = store.grant_lease(ttl).await?;
        let lease = Arc::new(Mutex::new(Some(Lease {
            id: grant.id,
            era: grant.era,
            ttl: grant.ttl,
            renewed: sent,
        })));
        let renewals = tokio::spawn(renew(state, Arc::clone(&store), Arc::clone(&lease)));
        Ok(Self {
            store,
            lease,
            renewals,
        })
    }

    /// Returns the lease, or `None` once the store has reported that it expired or has come back from an older
    /// copy.
    pub fn get(&self) -> Option<Lease> {
        *self.lease.lock()
    }

    /// Revokes the lease, so that its keys are removed at once. A lease of another era than `era`, the current
    /// one, is left to expire, as its id may be that of another lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the revocation; the lease then expires by itself.
    pub async fn close(self, era: Era) -> Result<()> {
        self.renewals.abort();
        let lease = self.lease.lock().take();
        match lease.filter(|lease| lease.era == era) {
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

async fn renew(state: Arc<GatewayState>, store: Arc<dyn Store>, lease: Arc<Mutex<Option<Lease>>>) {
    let mut failures = 0;
    loop {
        let Some(Lease { id, ttl, era, .. }) = *lease.lock() else {
            return;
        };
        let interval = ttl / RENEWALS_PER_TTL;
        let delay = match failures {
            0 => interval,
            failures => (INITIAL_BACKOFF * 2_u32.pow(failures - 1)).min(interval),
        };
        // Jitter, so that nodes that started together do not renew together.
        tokio::time::sleep(delay.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        let sent = state.now();
        match store.keep_alive(id).await {
            Ok(grant) if grant.era != era => {
                tracing::warn!(
                    lease = id,
                    era,
                    store_era = grant.era,
                    "the store may have lost the lease"
                );
                *lease.lock() = None;
                return;
            }
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
