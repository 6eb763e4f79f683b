//! Keeps the node registered in the store, under a lease that expires when the process is gone.
//!
//! The nodes' messages serve as the failure detector. The lease only has to remove the entries of nodes
//! that ended without deregistering, so it may be long and is seldom renewed.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;

use super::lease::LeaseKeeper;
use super::state::{GatewayState, Phase};
use super::{keys, node_wire};
use crate::core::time::Moment;
use crate::sources::store::{LeaseId, Op, Result, Store, StoreError, Transaction};

/// Time to live of the lease.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Interval between checks of the entry in this node's view of the store.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a write within which the entry has arrived in this node's view of the store.
const WRITE_VISIBLE_WITHIN: Moment = Moment::from_secs(3);
/// Time over which nodes whose entries the store has lost write them again, for each node of the fleet.
const SPREAD_PER_NODE: Duration = Duration::from_millis(10);
/// Initial backoff after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(350);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// The node's entry in the store, which [`Registration::run`] maintains.
pub struct Registration {
    state: Arc<GatewayState>,
    store: Arc<dyn Store>,
    lease: Mutex<Option<LeaseKeeper>>,
}

impl Registration {
    /// Creates a registration that has not been written yet.
    pub fn new(state: Arc<GatewayState>, store: Arc<dyn Store>) -> Arc<Self> {
        Arc::new(Self {
            state,
            store,
            lease: Mutex::default(),
        })
    }

    /// Maintains the entry until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut phase = self.state.phase.subscribe();
        let mut backoff = INITIAL_BACKOFF;
        let mut written_at = None;
        loop {
            if self.drop_lost_lease().await {
                tokio::select! {
                    () = tokio::time::sleep(self.turn()) => {}
                    _ = phase.changed() => {}
                }
            }
            let wait = match self.ensure_registered(&mut written_at).await {
                Ok(()) => {
                    backoff = INITIAL_BACKOFF;
                    CHECK_INTERVAL
                }
                Err(e) => {
                    tracing::warn!(error = %e, "failed to write the node's entry in the store");
                    let wait = backoff.mul_f64(0.5 + rand::random::<f64>());
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    wait
                }
            };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                _ = phase.changed() => written_at = None,
            }
        }
    }

    /// Revokes the lease, so that the entry is removed at once.
    pub async fn deregister(&self) {
        let Some(lease) = self.lease.lock().await.take() else {
            return;
        };
        let era = self.state.view.lock().revision.era;
        if let Err(e) = lease.close(era).await {
            tracing::warn!(error = %e, "failed to revoke the lease; the node's entry stays in the store until the lease expires");
        }
    }

    /// Writes the entry if it has changed or is missing.
    async fn ensure_registered(&self, written_at: &mut Option<Moment>) -> Result<()> {
        if self.state.phase() == Phase::Starting {
            return Ok(());
        }
        let mut lease = self.lease.lock().await;
        let known = lease.as_ref().and_then(LeaseKeeper::get);
        let id = match known {
            Some(known) => known.id,
            None => {
                *written_at = None;
                let opened =
                    LeaseKeeper::open(Arc::clone(&self.state), Arc::clone(&self.store), LEASE_TTL)
                        .await?;
                let id = opened.get().map_or(0, |granted| granted.id);
                *lease = Some(opened);
                id
            }
        };
        let now = self.state.now();
        let key = keys::node(&self.state.settings.name);
        let is_visible = self.state.view.lock().get(&key).is_some();
        let may_be_pending =
            written_at.is_some_and(|at| now.saturating_sub(at) < WRITE_VISIBLE_WITHIN);
        if written_at.is_some() && (is_visible || may_be_pending) {
            return Ok(());
        }
        self.put_entry(id).await?;
        *written_at = Some(now);
        tracing::info!(lease = id, "node registered in the store");
        Ok(())
    }

    /// Gives up the lease if the store has lost this node's entry in a restore. Returns whether it has.
    async fn drop_lost_lease(&self) -> bool {
        let mut lease = self.lease.lock().await;
        let is_lost = self.is_lost_in_restore(lease.as_ref());
        if is_lost {
            *lease = None;
        }
        is_lost
    }

    /// Returns the time after which this node writes its entry again, so that not all nodes do so at once.
    fn turn(&self) -> Duration {
        let spread = SPREAD_PER_NODE * self.state.node_count() as u32;
        spread.mul_f64(rand::random())
    }

    /// Returns whether the store has come back from a copy without this node's entry.
    fn is_lost_in_restore(&self, lease: Option<&LeaseKeeper>) -> bool {
        let view = self.state.view.lock();
        let key = keys::node(&self.state.settings.name);
        let lease = lease.and_then(LeaseKeeper::get);
        lease.is_some_and(|lease| lease.era < view.revision.era) && view.get(&key).is_none()
    }

    async fn put_entry(&self, lease: LeaseId) -> Result<()> {
        let value =
            node_wire::encode(self.state.own_member()).map_err(|e| StoreError::Refused {
                cause: e.to_string().into(),
            })?;
        let put = Transaction {
            then: vec![Op::Put {
                key: keys::node(&self.state.settings.name).into(),
                value: value.into(),
                lease: Some(lease),
            }],
            ..Transaction::default()
        };
        self.store.transact(put).await.map(drop)
    }
}
