//! Controller that updates the view of back ends and detects the reclaim of this node's own VM.
//!
//! The list of VMs lags by seconds, whereas the cloud publishes reclaim notices immediately. The home of
//! an engine therefore polls the notices of its engines more often than the list, and announces them in
//! its region.

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

/// Polling interval of the VM list.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Polling interval of reclaim notices.
const NOTICE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Dependencies of the controller.
#[derive(Clone)]
pub struct FleetController {
    /// Blackboard to which the fleet view is written.
    pub board: Arc<Blackboard>,
    /// Gossip, which spreads notices and takes the VM list as discovery addresses.
    pub gossip: Gossip,
    /// The platform's VM list.
    pub list: Arc<dyn VmList>,
    /// The cloud, which is polled for notices.
    pub cloud: Arc<dyn Cloud>,
}

/// Handle to a running controller.
#[derive(Debug)]
pub struct FleetControllerHandle {
    own_notice: watch::Receiver<Option<ReclaimNotice>>,
}

impl FleetControllerHandle {
    /// Waits until the cloud announces the reclaim of this node's VM.
    pub async fn own_notice(&mut self) -> ReclaimNotice {
        loop {
            if let Some(notice) = self.own_notice.borrow_and_update().clone() {
                return notice;
            }
            if self.own_notice.changed().await.is_err() {
                // The controller has ended with the runtime, so that no notice can follow.
                std::future::pending::<()>().await;
            }
        }
    }
}

impl FleetController {
    /// Starts the controller on the current runtime, which should be the control runtime.
    pub fn spawn(self) -> FleetControllerHandle {
        let (tx, own_notice) = watch::channel(None);
        tokio::spawn(self.run(tx));
        FleetControllerHandle { own_notice }
    }

    async fn run(self, own_notice: watch::Sender<Option<ReclaimNotice>>) {
        let mut list_tick = interval(LIST_POLL_INTERVAL);
        list_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut notice_tick = interval(NOTICE_POLL_INTERVAL);
        notice_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut state = WatchState::default();
        let mut members = self.board.members.watch();
        loop {
            tokio::select! {
                _ = members.changed() => {}
                _ = list_tick.tick() => self.read_list(&mut state).await,
                _ = notice_tick.tick() => self.read_notices(&mut state, &own_notice).await,
            }
            self.publish(&state);
        }
    }

    async fn read_list(&self, state: &mut WatchState) {
        match self.list.list().await {
            Ok(listing) if listing.fleet.revision >= state.listing.fleet.revision => {
                let own = &self.board.identity.vm;
                let seeds = listing
                    .entries
                    .iter()
                    .filter(|entry| entry.vm != *own && !entry.is_leaving)
                    .map(|entry| entry.peer_address)
                    .collect();
                self.gossip.set_seeds(seeds).await;
                state.listing = listing;
            }
            Ok(_) => metrics::counter!("jayhall_vm_list_total", "outcome" => "older").increment(1),
            Err(_) => {
                metrics::counter!("jayhall_vm_list_total", "outcome" => "failed").increment(1);
            }
        }
    }

    async fn read_notices(
        &self,
        state: &mut WatchState,
        own_notice: &watch::Sender<Option<ReclaimNotice>>,
    ) {
        let own = &self.board.identity.vm;
        let mut vms = self.polled_backends(&state.listing.fleet);
        vms.push(own.clone());
        let Ok(notices) = self.cloud.notices(vms).await else {
            metrics::counter!("jayhall_notices_total", "outcome" => "failed").increment(1);
            return;
        };
        for notice in notices {
            if notice.vm == *own {
                own_notice.send_if_modified(|known| known.replace(notice).is_none());
            } else if state.add(notice.clone()) {
                tracing::info!(vm = %notice.vm, reclaim_at = notice.reclaim_at, "back end reclaim notice");
                self.gossip
                    .report_notice(BackendNotice {
                        vm: notice.vm,
                        reclaim_at: notice.reclaim_at,
                    })
                    .await;
            }
        }
    }

    /// Returns the back ends whose notices this node polls: those whose home it is.
    fn polled_backends(&self, fleet: &FleetView) -> Vec<VmId> {
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

    fn publish(&self, state: &WatchState) {
        let gossiped: Vec<ReclaimNotice> = self
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
        let view = state
            .listing
            .fleet
            .clone()
            .with_notices(&gossiped)
            .with_notices(&state.notices);
        self.board
            .fleet
            .update(|current| (*current != view).then_some(view));
        self.board.refresh_routes();
    }
}

/// State of the controller: the latest list and the notices polled by this node.
#[derive(Debug, Default)]
struct WatchState {
    listing: VmListing,
    notices: Vec<ReclaimNotice>,
}

impl WatchState {
    /// Adds a notice, and drops notices of VMs that are no longer listed. Returns whether it is new.
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
