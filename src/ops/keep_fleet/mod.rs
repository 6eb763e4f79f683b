//! Fleet controller: starts and stops VMs and sends orders to engines. The nodes elect one keeper
//! (leader) per zone through a lease in the store.

mod host;
mod keeper_state;
mod lease;
mod orders;
mod report;
mod round;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::core::cells;
use crate::core::fleet::orders::{Tenure, TenureRules};
use crate::core::id::{NodeId, ZoneId};
use crate::core::membership::Member;
use crate::node::{Blackboard, Phase};
use crate::sources::cloud::Cloud;
use crate::sources::engine::EngineControl;
use crate::sources::platform;
use crate::sources::store::{LeaseId, Store};

pub use host::FleetHost;
pub use lease::{Campaign, Candidate, Clock, Holder, Renewal};

/// Nodes that campaign for the lease on one zone.
const CANDIDATES_PER_ZONE: usize = 2;
/// Interval between scans of the fleet and configuration for zones without a keeper task.
const ZONE_SCAN_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between queries for the zones that the cloud offers.
const OFFERED_ZONES_INTERVAL: Duration = Duration::from_secs(600);
/// Lease renewals per time to live.
const RENEWALS_PER_LEASE: u32 = 3;

/// Dependencies and settings of the keepers.
#[derive(Clone)]
pub struct KeeperSetup {
    /// Shared state of the node.
    pub board: Arc<Blackboard>,
    /// The platform's store, for leases.
    pub store: Arc<dyn Store>,
    /// The cloud.
    pub cloud: Arc<dyn Cloud>,
    /// Client for engine control.
    pub engines: Arc<dyn EngineControl>,
    /// Source of the region's demand, and sink for announcements of leaving engines.
    pub host: Arc<dyn FleetHost>,
    /// Lease and order durations, which must be equal on all nodes.
    pub rules: TenureRules,
    /// Interval between reconciliation rounds of a keeper.
    pub round_interval: Duration,
    /// Maximum number of engines that start or load concurrently; limited by the weight store's
    /// bandwidth.
    pub max_loads: usize,
}

/// The keeper tasks of one node. They stop when this value is dropped.
#[derive(Debug)]
pub struct FleetKeeper {
    task: JoinHandle<()>,
}

impl FleetKeeper {
    /// Starts campaigning on the current runtime for the zones of which this node is a candidate.
    pub fn spawn(setup: KeeperSetup) -> Self {
        Self {
            task: tokio::spawn(run_keepers(setup)),
        }
    }
}

impl Drop for FleetKeeper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs one keeper task for each zone seen since the start of the process.
async fn run_keepers(setup: KeeperSetup) {
    let clock = Clock::start();
    let mut known: BTreeSet<ZoneId> = BTreeSet::new();
    let mut tasks = JoinSet::new();
    let mut scans = interval(ZONE_SCAN_INTERVAL);
    let mut offers = interval(OFFERED_ZONES_INTERVAL);
    for ticks in [&mut scans, &mut offers] {
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    }
    loop {
        let zones = tokio::select! {
            _ = scans.tick() => known_zones(&setup.board),
            _ = offers.tick() => match offered_zones(&setup).await {
                Ok(zones) => zones,
                Err(e) => {
                    tracing::debug!(error = %e, "cannot read the zones that the cloud offers");
                    offers.reset_after(ZONE_SCAN_INTERVAL);
                    BTreeSet::new()
                }
            },
        };
        for zone in zones {
            if known.insert(zone.clone()) {
                let keeper = ZoneKeeper {
                    setup: setup.clone(),
                    clock,
                    zone,
                };
                tasks.spawn(keeper.run());
            }
        }
    }
}

/// Returns the zones in which the cloud offers VMs and which the configuration allows.
async fn offered_zones(setup: &KeeperSetup) -> platform::Result<BTreeSet<ZoneId>> {
    let offers = setup.cloud.offers().await?;
    let allowed = setup.board.config.read();
    let allowed = &allowed.document.rules.zones;
    let zones = offers.into_iter().map(|offer| offer.zone);
    let zones = zones.filter(|zone| allowed.is_empty() || allowed.contains(zone));
    Ok(zones.collect())
}

/// Returns the zones that need a keeper: those with back ends or nodes, the configured ones and this
/// node's.
fn known_zones(board: &Blackboard) -> BTreeSet<ZoneId> {
    let fleet = board.fleet.read();
    let members = board.members.read();
    let backends = fleet.backends.iter().map(|b| b.zone.clone());
    let nodes = members.members.iter().map(|m| m.zone.clone());
    let mut zones: BTreeSet<ZoneId> = backends.chain(nodes).collect();
    zones.extend(board.config.read().document.rules.zones.iter().cloned());
    zones.insert(board.identity.zone.clone());
    zones
}

/// Returns the candidates for a zone's lease, chosen among the nodes in the zone, or among all nodes if
/// the zone has none.
fn candidates(board: &Blackboard, zone: &str) -> Vec<NodeId> {
    let members = board.members.read();
    let in_zone: Vec<&Member> = members
        .accepting_work()
        .filter(|m| &*m.zone == zone)
        .collect();
    let eligible = match in_zone.is_empty() {
        true => members.accepting_work().collect(),
        false => in_zone,
    };
    let job = format!("keep-fleet/{zone}");
    let ranked = cells::ranked(&job, eligible.iter().map(|m| &*m.node));
    let first = ranked.into_iter().take(CANDIDATES_PER_ZONE);
    first.map(NodeId::from).collect()
}

/// The task on this node that campaigns for a zone and, once elected, acts as its keeper.
pub(crate) struct ZoneKeeper {
    setup: KeeperSetup,
    clock: Clock,
    zone: ZoneId,
}

/// Lease state shared between the rounds of a keeper and its renewal loop.
pub(crate) struct HeldLease {
    id: LeaseId,
    tenure: Mutex<Tenure>,
}

impl HeldLease {
    pub(crate) fn tenure(&self) -> Tenure {
        *self.tenure.lock()
    }

    /// Ends the tenure at once, after an engine has reported a newer keeper.
    pub(crate) fn end_tenure(&self) {
        self.tenure.lock().lease_ends_at = Duration::ZERO;
    }
}

impl ZoneKeeper {
    async fn run(self) {
        let rules = self.setup.rules;
        let node = self.setup.board.identity.node.clone();
        let store = self.setup.store.clone();
        let mut candidate = Candidate::new(store, self.clock, rules, &self.zone, &node);
        loop {
            if !self.is_candidate() {
                sleep(rules.lease / 2).await;
                continue;
            }
            candidate = match candidate.campaign().await {
                Campaign::Won(holder) => self.act_as_keeper(holder).await,
                Campaign::Lost(candidate, error) => {
                    if let Some(e) = error {
                        tracing::debug!(zone = &*self.zone, error = %e, "keeper lease not acquired");
                    }
                    candidate
                }
            };
            sleep(rules.lease / 2).await;
        }
    }

    fn is_candidate(&self) -> bool {
        let board = &self.setup.board;
        let is_serving = *board.phase.read() == Phase::Serving;
        is_serving && candidates(board, &self.zone).contains(&board.identity.node)
    }

    /// Acts as the keeper until the lease ends or the node leaves.
    async fn act_as_keeper(&self, mut holder: Holder) -> Candidate {
        let zone = &*self.zone;
        tracing::info!(zone, fence = holder.tenure().fence, "keeps the zone");
        metrics::counter!("jayhall_keeper_tenures_total").increment(1);
        let lease = HeldLease {
            id: holder.lease(),
            tenure: Mutex::new(holder.tenure()),
        };
        let rounds = self.run_rounds(&lease);
        tokio::pin!(rounds);
        let mut renewals = interval(self.setup.rules.lease / RENEWALS_PER_LEASE);
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = renewals.tick() => {}
                () = &mut rounds => continue,
            }
            if *self.setup.board.phase.read() >= Phase::Leaving {
                return holder.resign().await;
            }
            holder = match holder.renew().await {
                Renewal::Kept(holder) => holder,
                Renewal::Ended(candidate) => {
                    tracing::info!(zone, "no longer keeps the zone");
                    return candidate;
                }
            };
            *lease.tenure.lock() = holder.tenure();
        }
    }
}
