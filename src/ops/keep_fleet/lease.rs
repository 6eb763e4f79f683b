//! The lease that makes one node the keeper of a zone.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::core::fleet::orders::{Tenure, TenureRules};
use crate::core::id::{FencingNumber, NodeId};
use crate::core::time::Moment;
use crate::core::verdict::Verdict;
use crate::sources::store::{
    Compare, Condition, Key, KeyRange, LeaseId, Op, RangeRequest, Result, Store, StoreError,
    Transaction,
};

/// Start of the keys under which keepers are noted.
const KEEPER_PREFIX: &str = "fleet/keeper/";

/// Time since the process started, on tokio's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        self.origin.elapsed()
    }
}

/// A lease that a node strives for and does not hold.
pub struct Candidate {
    store: Arc<dyn Store>,
    clock: Clock,
    rules: TenureRules,
    key: Key,
    node: NodeId,
    /// Tells the campaigns of this process apart.
    campaigns: u64,
}

/// A lease that a node holds, as far as it knows.
pub struct Holder {
    candidate: Candidate,
    lease: LeaseId,
    tenure: Tenure,
}

/// What a campaign led to.
pub enum Campaign {
    /// The node is the keeper.
    Won(Holder),
    /// Another node is, or the store could not tell.
    Lost(Candidate, Option<StoreError>),
}

/// What keeping the lease alive led to.
pub enum Renewal {
    /// The lease goes on.
    Kept(Holder),
    /// The lease has ended, or may have.
    Ended(Candidate),
}

impl Candidate {
    /// Creates a candidate for the lease on a zone.
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

    /// Tries once to become the keeper.
    pub async fn campaign(mut self) -> Campaign {
        self.campaigns += 1;
        match self.try_to_win().await {
            Ok(Some((lease, tenure))) => Campaign::Won(Holder {
                candidate: self,
                lease,
                tenure,
            }),
            Ok(None) => Campaign::Lost(self, None),
            Err(e) => Campaign::Lost(self, Some(e)),
        }
    }

    async fn try_to_win(&self) -> Result<Option<(LeaseId, Tenure)>> {
        let found = self.store.range(RangeRequest::one(&self.key)).await?;
        if !found.entries.is_empty() {
            return Ok(None);
        }
        let sent_at = self.clock.now();
        let lease = self.store.grant_lease(self.rules.lease).await?;
        let fence = self.claim(lease.id).await;
        if !matches!(fence, Ok(Some(_))) {
            // A lease that is left over ends by itself.
            let _ = self.store.revoke(lease.id).await;
        }
        let tenure = fence?.map(|fence| Tenure {
            fence,
            acquired_at: self.clock.now(),
            lease_ends_at: sent_at + self.rules.lease,
        });
        Ok(tenure.map(|tenure| (lease.id, tenure)))
    }

    /// Writes the key if nobody has and returns the revision of the write.
    async fn claim(&self, lease: LeaseId) -> Result<Option<FencingNumber>> {
        let claim = Transaction {
            compares: vec![Compare {
                key: self.key.clone(),
                condition: Condition::CreateRevision(0),
            }],
            then: vec![Op::Put {
                key: self.key.clone(),
                value: self.value(),
                lease: Some(lease),
            }],
            otherwise: vec![Op::Get(KeyRange::One(self.key.clone()))],
        };
        match self.store.transact(claim).await {
            Ok(reply) if reply.succeeded => Ok(Some(reply.revision)),
            Ok(_) => Ok(None),
            Err(e) if e.verdict() == Verdict::MayHaveRun => self.read_back().await,
            Err(e) => Err(e),
        }
    }

    /// Finds out whether a claim whose answer was lost took effect.
    async fn read_back(&self) -> Result<Option<FencingNumber>> {
        let found = self.store.range(RangeRequest::one(&self.key)).await?;
        let own = found.entries.iter().find(|kv| kv.value == self.value());
        Ok(own.map(|kv| kv.create_revision))
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

    /// Returns the lease in the store.
    pub fn lease(&self) -> LeaseId {
        self.lease
    }

    /// Keeps the lease alive. Without an answer the tenure goes on until its end as known so far.
    pub async fn renew(mut self) -> Renewal {
        let sent_at = self.candidate.clock.now();
        match self.candidate.store.keep_alive(self.lease).await {
            Ok(_) => self.tenure = self.tenure.renewed(sent_at, &self.candidate.rules),
            Err(StoreError::LeaseNotFound) => return Renewal::Ended(self.candidate),
            Err(e) => tracing::debug!(error = %e, "keeper lease not renewed"),
        }
        match self.candidate.clock.now() < self.tenure.lease_ends_at {
            true => Renewal::Kept(self),
            false => Renewal::Ended(self.candidate),
        }
    }

    /// Gives the lease up.
    pub async fn resign(self) -> Candidate {
        if let Err(e) = self.candidate.store.revoke(self.lease).await {
            tracing::debug!(error = %e, "keeper lease ends by itself");
        }
        self.candidate
    }
}
