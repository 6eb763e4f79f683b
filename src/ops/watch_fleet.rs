//! Keeps the view of back ends up to date, and notices when this node's own VM is taken back.
//!
//! The list of VMs lags by seconds. Notices come from the cloud at once, so the home of an engine asks
//! for those of its own engines more often than it reads the list, and tells its region of them.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::core::cells::home_of;
use crate::core::fleet::{Backend, BackendKind, FleetView, ReclaimNotice, VmListing};
use crate::core::id::VmId;
use crate::core::membership::BackendNotice;
use crate::node::Blackboard;
use crate::ops::gossip::Gossip;
use crate::sources::cloud::Cloud;
use crate::sources::vm_list::VmList;

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two questions for notices.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// What the controller reads from and writes to.
#[derive(Clone)]
pub struct FleetWatch {
    /// Where the view is written.
    pub board: Arc<Blackboard>,
    /// Where notices are told and heard, and seeds are set.
    pub gossip: Gossip,
    /// The platform's list.
    pub list: Arc<dyn VmList>,
    /// The cloud.
    pub cloud: Arc<dyn Cloud>,
}

/// A running controller.
#[derive(Debug)]
pub struct FleetWatcher {
    own_notice: watch::Receiver<Option<ReclaimNotice>>,
}

impl FleetWatcher {
    /// Waits until the cloud announces that this node's VM is taken back.
    pub async fn own_notice(&mut self) -> ReclaimNotice {
        loop {
            if let Some(notice) = self.own_notice.borrow_and_update().clone() {
                return notice;
            }
            if self.own_notice.changed().await.is_err() {
                // The controller has ended with the runtime; nothing more will come.
                std::future::pending::<()>().await;
            }
        }
    }
}

impl FleetWatch {
    /// Starts the controller on the current runtime, which should be that of control.
    pub fn spawn(self) -> FleetWatcher {
        let (tx, own_notice) = watch::channel(None);
        tokio::spawn(self.run(tx));
        FleetWatcher { own_notice }
    }

    async fn run(self, own_notice: watch::Sender<Option<ReclaimNotice>>) {
        let mut list_tick = interval(LIST_INTERVAL);
        list_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut notice_tick = interval(NOTICE_INTERVAL);
        notice_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut known = Known::default();
        let mut members = self.board.members.watch();
        loop {
            tokio::select! {
                _ = members.changed() => {}
                _ = list_tick.tick() => self.read_list(&mut known).await,
                _ = notice_tick.tick() => self.read_notices(&mut known, &own_notice).await,
            }
            self.publish(&known);
        }
    }

    async fn read_list(&self, known: &mut Known) {
        match self.list.list().await {
            Ok(listing) if listing.fleet.revision >= known.listing.fleet.revision => {
                let own = &self.board.identity.vm;
                let seeds = listing
                    .entries
                    .iter()
                    .filter(|entry| entry.vm != *own && !entry.is_leaving)
                    .map(|entry| entry.peer_address)
                    .collect();
                self.gossip.set_seeds(seeds).await;
                known.listing = listing;
            }
            Ok(_) => metrics::counter!("jayhall_vm_list_total", "outcome" => "older").increment(1),
            Err(_) => {
                metrics::counter!("jayhall_vm_list_total", "outcome" => "failed").increment(1);
            }
        }
    }

    async fn read_notices(
        &self,
        known: &mut Known,
        own_notice: &watch::Sender<Option<ReclaimNotice>>,
    ) {
        let own = &self.board.identity.vm;
        let mut vms = self.own_backends(&known.listing.fleet);
        vms.push(own.clone());
        let Ok(notices) = self.cloud.notices(vms).await else {
            metrics::counter!("jayhall_notices_total", "outcome" => "failed").increment(1);
            return;
        };
        for notice in notices {
            if notice.vm == *own {
                own_notice.send_if_modified(|known| known.replace(notice).is_none());
            } else if known.add(notice.clone()) {
                tracing::info!(vm = %notice.vm, reclaim_at = notice.reclaim_at, "back end is taken back");
                self.gossip
                    .report_notice(BackendNotice {
                        vm: notice.vm,
                        reclaim_at: notice.reclaim_at,
                    })
                    .await;
            }
        }
    }

    /// Returns the back ends whose notices this node asks for: those that it is home of.
    fn own_backends(&self, fleet: &FleetView) -> Vec<VmId> {
        let members = self.board.members.read();
        let homes = self.board.homes.read();
        let own = &self.board.identity.node;
        let is_own = |backend: &&Backend| match backend.kind {
            BackendKind::Engine => homes.get(&backend.vm) == Some(own),
            BackendKind::Service => home_of(backend, &members).as_ref() == Some(own),
        };
        let backends = fleet.backends.iter().filter(is_own);
        backends.map(|backend| backend.vm.clone()).collect()
    }

    fn publish(&self, known: &Known) {
        let heard: Vec<ReclaimNotice> = self
            .gossip
            .reports()
            .notices
            .iter()
            .map(|notice| ReclaimNotice {
                vm: notice.vm.clone(),
                reclaim_at: notice.reclaim_at,
                announced_at: 0,
            })
            .collect();
        let view = known
            .listing
            .fleet
            .clone()
            .with_notices(&heard)
            .with_notices(&known.notices);
        self.board
            .fleet
            .update(|current| (*current != view).then_some(view));
        self.board.refresh_routes();
    }
}

/// What the controller has learnt.
#[derive(Debug, Default)]
struct Known {
    listing: VmListing,
    notices: Vec<ReclaimNotice>,
}

impl Known {
    /// Remembers a notice. Returns whether it is new. Notices of VMs that are gone are dropped.
    fn add(&mut self, notice: ReclaimNotice) -> bool {
        if self.notices.iter().any(|known| known.vm == notice.vm) {
            return false;
        }
        let listed = &self.listing.fleet;
        self.notices.retain(|known| listed.get(&known.vm).is_some());
        self.notices.push(notice);
        true
    }
}
