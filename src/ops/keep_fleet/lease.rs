//! Leader election of the keeper of a zone through a lease in the store.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::core::fleet::orders::{Tenure, TenureRules};
use crate::core::id::{FencingNumber, NodeId};
use crate::core::time::Moment;
use crate::core::verdict::Verdict;
use crate::sources::store::{
    Compare, Condition, Key, KeyRange, LeaseId, Op, RangeRequest, Result, Revision, Store,
    StoreError, Transaction,
};

/// Prefix of the keys that name the keepers; one key per zone.
const KEEPER_PREFIX: &str = "fleet/keeper/";

/// Monotonic clock that starts at zero, based on tokio's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Moment {
        self.origin.elapsed()
    }
}

/// A node that campaigns for the lease on a zone.
pub struct Candidate {
    store: Arc<dyn Store>,
    clock: Clock,
    rules: TenureRules,
    key: Key,
    node: NodeId,
    /// Campaigns so far; part of the stored value, so that a read-back can tell them apart.
    campaigns: u64,
}

/// A node that believes it holds the lease.
pub struct Holder {
    candidate: Candidate,
    lease: LeaseId,
    tenure: Tenure,
}

/// Outcome of a campaign.
pub enum Campaign {
    /// This node is the keeper.
    Won(Holder),
    /// Another node is the keeper, or the store call failed.
    Lost(Candidate, Option<StoreError>),
}

/// Outcome of a lease renewal.
pub enum Renewal {
    /// The lease is still valid.
    Kept(Holder),
    /// The lease has expired, or may have.
    Ended(Candidate),
}

impl Candidate {
    /// Creates a candidate for the lease on `zone`.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Clock,
        rules: TenureRules,
        zone: &str,
        node: &str,
    ) -> Self {
        Self {
            store,
            clock,
            rules,
            key: format!("{KEEPER_PREFIX}{zone}").into(),
            node: node.into(),
            campaigns: 0,
        }
    }

    /// Makes one attempt to acquire the lease.
    pub async fn campaign(mut self) -> Campaign {
        self.campaigns += 1;
        match self.try_acquire().await {
            Ok(Some((lease, tenure))) => Campaign::Won(Holder {
                candidate: self,
                lease,
                tenure,
            }),
            Ok(None) => Campaign::Lost(self, None),
            Err(e) => Campaign::Lost(self, Some(e)),
        }
    }

    async fn try_acquire(&self) -> Result<Option<(LeaseId, Tenure)>> {
        let found = self.store.range(RangeRequest::one(&self.key)).await?;
        if !found.entries.is_empty() {
            return Ok(None);
        }
        let sent_at = self.clock.now();
        let lease = self.store.grant_lease(self.rules.lease).await?;
        let fence = self.claim(lease.id).await;
        if !matches!(fence, Ok(Some(_))) {
            // If the revocation fails, the unused lease expires.
            let _ = self.store.revoke(lease.id).await;
        }
        let tenure = fence?.map(|fence| Tenure {
            fence,
            acquired_at: self.clock.now(),
            lease_ends_at: sent_at + self.rules.lease,
        });
        Ok(tenure.map(|tenure| (lease.id, tenure)))
    }

    /// Creates the zone's key if it does not exist. Returns the revision of the write, which is the
    /// fencing number.
    async fn claim(&self, lease: LeaseId) -> Result<Option<FencingNumber>> {
        let claim = Transaction {
            compares: vec![Compare {
                key: self.key.clone(),
                condition: Condition::CreateRevision(Revision::NONE),
            }],
            then: vec![Op::Put {
                key: self.key.clone(),
                value: self.value(),
                lease: Some(lease),
            }],
            otherwise: vec![Op::Get(KeyRange::One(self.key.clone()))],
        };
        match self.store.transact(claim).await {
            Ok(reply) if reply.succeeded => Ok(Some(reply.revision.fencing_token())),
            Ok(_) => Ok(None),
            Err(e) if e.verdict() == Verdict::MayHaveRun => self.read_back().await,
            Err(e) => Err(e),
        }
    }

    /// Determines whether a claim took effect whose reply was lost.
    async fn read_back(&self) -> Result<Option<FencingNumber>> {
        let found = self.store.range(RangeRequest::one(&self.key)).await?;
        let own_entry = found.entries.iter().find(|kv| kv.value == self.value());
        Ok(own_entry.map(|kv| kv.create_revision.fencing_token()))
    }

    fn value(&self) -> Bytes {
        format!("{} {}", self.node, self.campaigns).into()
    }
}

impl Holder {
    /// Returns the tenure.
    pub fn tenure(&self) -> Tenure {
        self.tenure
    }

    /// Returns the ID of the lease in the store.
    pub fn lease(&self) -> LeaseId {
        self.lease
    }

    /// Renews the lease. If the call fails, the tenure stays valid until the expiry known so far.
    pub async fn renew(mut self) -> Renewal {
        let sent_at = self.candidate.clock.now();
        match self.candidate.store.keep_alive(self.lease).await {
            Ok(_) => self.tenure = self.tenure.renewed(sent_at, &self.candidate.rules),
            Err(StoreError::LeaseNotFound) => return Renewal::Ended(self.candidate),
            Err(e) => tracing::debug!(error = %e, "cannot renew the keeper lease"),
        }
        match self.candidate.clock.now() < self.tenure.lease_ends_at {
            true => Renewal::Kept(self),
            false => Renewal::Ended(self.candidate),
        }
    }

    /// Revokes the lease.
    pub async fn resign(self) -> Candidate {
        if let Err(e) = self.candidate.store.revoke(self.lease).await {
            tracing::debug!(error = %e, "cannot revoke the keeper lease; it will expire");
        }
        self.candidate
    }
}
