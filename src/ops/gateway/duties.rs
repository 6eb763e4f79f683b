//! The duties of the fleet's leader, called the holder: usage reports, and orders for back ends.
//!
//! The holder is the node whose name is in the store under the holder's key, which is bound to a lease
//! of that node. The revision of the key is the fencing token.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::claim::{self, Claim};
use super::decided_counts::{self, DecidedCounts};
use super::dialect::{Duties, DutyReply, Holder};
use super::keys;
use super::lease::LeaseKeeper;
use super::relay;
use super::state::{GatewayState, Phase};
use crate::core::gateway::backends::Listing;
use crate::core::gateway::routes::ServiceName;
use crate::core::gateway::scaling::{Order, ServiceScaling, ZoneState};
use crate::core::gateway::tenure::{MayAct, Tenure};
use crate::core::gateway::usage::Window;
use crate::core::time::Moment;
use crate::sources::store::{Op, Result, Revision, Store, StoreError, Transaction};

/// Interval between rounds of the holder, and between checks of the other nodes.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Age of a node's last message up to which its counts are taken as current.
const MAX_COUNTS_AGE: Duration = Duration::from_millis(2000);
/// Time to live of the lease on the holder's key.
const LEASE_TTL: Duration = Duration::from_millis(4400);
/// Time for which vacant duties are left to the nodes that watch the store, so that not all nodes claim
/// them at once.
pub(super) const FOLLOWER_CLAIM_DELAY: Duration = Duration::from_secs(2);
/// Upper bound of the jitter before a node claims the duties.
pub(super) const MAX_CLAIM_JITTER: Duration = Duration::from_millis(250);

/// Claims the duties for this node, and performs them while it is the holder.
pub struct DutyRunner {
    state: Arc<GatewayState>,
    store: Arc<dyn Store>,
    duties: Arc<dyn Duties>,
    tenure: Option<Tenure>,
    /// Lease on the holder's key, while this node is the holder.
    lease: Option<LeaseKeeper>,
    /// Time since which this node could claim the duties.
    vacant_since: Option<Moment>,
    scaling: HashMap<ServiceName, ServiceScaling>,
    counts: DecidedCounts,
    /// All windows before this one have been reported in the current tenure.
    reported_before: Option<Window>,
}

impl DutyRunner {
    /// Creates a runner for a node that is not the holder.
    pub fn new(state: Arc<GatewayState>, store: Arc<dyn Store>, duties: Arc<dyn Duties>) -> Self {
        Self {
            counts: DecidedCounts::new(Arc::clone(&state), Arc::clone(&store)),
            state,
            store,
            duties,
            tenure: None,
            lease: None,
            vacant_since: None,
            scaling: HashMap::new(),
            reported_before: None,
        }
    }

    /// Claims the duties when they are vacant and performs them, until the task is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(ROUND_INTERVAL).await;
            let is_serving = self.state.phase() == Phase::Serving;
            if !is_serving {
                self.release("this node leaves").await;
            }
            if let Err(e) = self.counts.rewrite_lost().await {
                tracing::warn!(error = %e, "failed to write decided counts again; retrying");
            }
            if !is_serving {
                continue;
            }
            match self.tenure {
                None => self.try_claim().await,
                Some(tenure) => self.perform_duties(tenure).await,
            }
        }
    }

    async fn try_claim(&mut self) {
        let Some(claim) = claim::possible_claim(&self.state) else {
            self.vacant_since = None;
            return;
        };
        let vacant_since = *self.vacant_since.get_or_insert(self.state.now());
        let vacant_for = self.state.now().saturating_sub(vacant_since);
        if relay::is_follower(&self.state) && vacant_for < FOLLOWER_CLAIM_DELAY {
            return;
        }
        tokio::time::sleep(MAX_CLAIM_JITTER.mul_f64(rand::random())).await;
        if claim::possible_claim(&self.state) != Some(claim) {
            return;
        }
        if let Err(e) = self.claim(claim).await {
            tracing::info!(error = %e, "failed to claim the duties");
        }
    }

    /// Writes this node's name to the holder's key, under a new lease.
    async fn claim(&mut self, claim: Claim) -> Result<()> {
        let state = Arc::clone(&self.state);
        let keeper = LeaseKeeper::open(state, Arc::clone(&self.store), LEASE_TTL).await?;
        let Some(lease) = keeper.get() else {
            return Ok(());
        };
        let mut req = Transaction::compare_and_swap(
            keys::HOLDER,
            claim.expected,
            claim::claim_value(&self.state, lease.era),
        );
        if let Some(Op::Put { lease: of, .. }) = req.then.first_mut() {
            *of = Some(lease.id);
        }
        // A claim without a response may have taken effect. The store then names this node, which
        // claims again.
        let reply = self.store.transact(req).await?;
        if !reply.succeeded {
            return keeper.close(lease.era).await;
        }
        if reply.revision.era != lease.era {
            // The lease of the key may be that of another node. This node claims the key once more.
            return Err(StoreError::Restored {
                era: reply.revision.era,
            });
        }
        self.begin_tenure(reply.revision, claim.settle);
        self.lease = Some(keeper);
        Ok(())
    }

    /// Releases the duties, so that another node can claim them at once.
    async fn release(&mut self, cause: &'static str) {
        let Some(tenure) = self.tenure.take() else {
            return;
        };
        tracing::info!(
            fence = tenure.fence(),
            cause,
            "this node holds the duties no longer"
        );
        let era = self.state.view.lock().revision.era;
        if let Some(lease) = self.lease.take()
            && let Err(e) = lease.close(era).await
        {
            tracing::warn!(error = %e, "failed to revoke the lease; the holder's key stays in the store until the lease expires");
        }
    }

    fn begin_tenure(&mut self, claim: Revision, settle: Duration) {
        tracing::info!(
            fence = claim.fencing_token(),
            settle_ms = settle.as_millis() as u64,
            "this node holds the duties"
        );
        self.scaling.clear();
        self.reported_before = None;
        self.tenure = Some(Tenure {
            claim,
            since: self.state.now(),
            settle,
        });
    }

    async fn perform_duties(&mut self, tenure: Tenure) {
        if !self.is_holder(tenure) {
            self.release("the store names another").await;
            return;
        }
        if !self.may_act(tenure) {
            return;
        }
        if let Err(e) = self.report_usage(tenure).await {
            tracing::warn!(error = %e, "failed to decide the counts of a usage window; retrying");
        }
        self.order_backends(tenure).await;
    }

    /// Returns whether the store still names this node in the current tenure, as far as this node
    /// knows.
    fn is_holder(&self, tenure: Tenure) -> bool {
        let view = self.state.view.lock();
        match view.get(keys::HOLDER).map(|holder| holder.revision) {
            Some(named) if named >= tenure.claim => named == tenure.claim,
            // The watch may not have delivered the change yet by which this node became the holder.
            _ => view.revision < tenure.claim,
        }
    }

    fn may_act(&self, tenure: Tenure) -> bool {
        let Some(lease) = self.lease.as_ref().and_then(LeaseKeeper::get) else {
            return false;
        };
        tenure.may_act(self.state.now(), lease.renewed, lease.ttl) == MayAct::Yes
    }

    fn holder(&self, tenure: Tenure) -> Holder {
        Holder {
            node: self.state.settings.name.clone(),
            fence: tenure.fence(),
        }
    }

    /// Reports the usage windows whose counts are complete. The counts of each window are first decided
    /// in the store, once for all holders, then reported.
    async fn report_usage(&mut self, tenure: Tenure) -> Result<()> {
        let windows = decided_counts::windows_to_report(&self.state, self.has_current_counts());
        let complete_before = windows.end;
        if complete_before == 0 || self.reported_before == Some(complete_before) {
            return Ok(());
        }
        for window in windows {
            if self.counts.is_reported(window) {
                continue;
            }
            let Some(counts) = self.counts.decide(window, tenure.claim).await? else {
                continue;
            };
            if !self.may_act(tenure) {
                return Ok(());
            }
            let holder = self.holder(tenure);
            let reply = self
                .duties
                .report_usage(holder, window, counts.clone())
                .await;
            tracing::info!(
                window,
                fence = tenure.fence(),
                ?reply,
                calls = counts.values().sum::<u32>(),
                "usage reported"
            );
            if reply != DutyReply::Taken {
                return Ok(());
            }
            self.counts.record_report(window, counts);
        }
        self.reported_before = Some(complete_before);
        self.counts.forget_old_reports(complete_before);
        Ok(())
    }

    /// Returns whether all other nodes have sent their counts lately.
    fn has_current_counts(&self) -> bool {
        let now = self.state.now();
        let own = &self.state.settings.name;
        let members = self.state.members.lock();
        members
            .iter()
            .filter(|member| member.name != *own)
            .all(|member| members.is_fresh(&member.name, now, MAX_COUNTS_AGE))
    }

    /// Orders back ends for services whose present number differs from the planned one.
    async fn order_backends(&mut self, tenure: Tenure) {
        let Some(table) = self.state.table() else {
            return;
        };
        for service in table.services.values() {
            let Some(rules) = &service.scaling else {
                continue;
            };
            let zones = self.zones(&service.name, rules.zone_prices.keys());
            let now = self.state.now();
            let scaling = self.scaling.entry(service.name.clone()).or_default();
            for order in scaling.plan(rules, &zones, now) {
                if !self.may_act(tenure) {
                    return;
                }
                self.send_order(tenure, &service.name, order, &zones).await;
            }
        }
    }

    async fn send_order(
        &mut self,
        tenure: Tenure,
        service: &str,
        order: Order,
        zones: &BTreeMap<Box<str>, ZoneState>,
    ) {
        let holder = self.holder(tenure);
        let reply = self
            .duties
            .order(holder, service.into(), order.clone())
            .await;
        tracing::info!(
            service,
            zone = &*order.zone,
            spot = order.spot,
            desired = order.desired,
            there = ?zones.get(&order.zone),
            fence = tenure.fence(),
            ?reply,
            "back ends ordered"
        );
        let now = self.state.now();
        if let Some(scaling) = self.scaling.get_mut(service) {
            scaling.record_reply(&order, reply == DutyReply::Taken, now);
        }
    }

    fn zones<'a>(
        &self,
        service: &str,
        priced: impl Iterator<Item = &'a Box<str>>,
    ) -> BTreeMap<Box<str>, ZoneState> {
        let mut zones: BTreeMap<Box<str>, ZoneState> = priced
            .map(|zone| (zone.clone(), ZoneState::default()))
            .collect();
        // Beside them a rollout may have started as many of another version.
        let in_use = self.state.rollouts.lock().in_use(service);
        let backends = self.state.backends.lock();
        for entry in backends
            .of_service(service)
            .filter(|entry| in_use.allow(entry))
        {
            let backend = &entry.backend;
            let state = zones.entry(backend.zone.clone()).or_default();
            if entry.is_leaving() || entry.listing != Listing::Listed {
                continue;
            }
            state.limited += u32::from(entry.is_limited());
            match backend.is_spot {
                true => state.spot += 1,
                false => state.regular += 1,
            }
        }
        drop(backends);
        let now = self.state.now();
        let own_zone = &self.state.settings.zone;
        for (zone, work) in self.state.work.lock().by_zone(service, own_zone, now) {
            zones.entry(zone).or_default().work_ms_per_s += work;
        }
        zones
    }
}
