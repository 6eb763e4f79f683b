//! State that the controllers of this node publish to the rest of the process.
//!
//! Each section is a `watch` channel that holds one immutable snapshot: readers never block on a writer
//! and can await changes. Exactly one controller writes each section.

use std::sync::Arc;

use tokio::sync::watch;

use crate::core::cells::Homes;
use crate::core::document::Document;
use crate::core::fleet::{FleetView, Routes};
use crate::core::id::{Address, ConfigRevision, NodeId, RegionId, VmId, ZoneId};
use crate::core::membership::MemberView;

/// Identity of this process; constant until it exits.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Unique name of this process; a restart gets a new one.
    pub node: NodeId,
    /// VM on which the process runs.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Listen address for other nodes.
    pub peer_address: Address,
    /// Listen address for callers.
    pub caller_address: Address,
    /// Listen address for operators.
    pub operator_address: Address,
}

/// Configuration document that is in force on this node.
#[derive(Clone, Debug, Default)]
pub struct InstalledDocument {
    /// Revision; 0 until a document is installed.
    pub revision: ConfigRevision,
    /// Text as published.
    pub text: Box<str>,
    /// Parsed and validated document.
    pub document: Document,
}

/// Life-cycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Has no document yet and refuses calls.
    Starting,
    /// Accepts new requests.
    Serving,
    /// Accepts no new requests and hands its accepted requests over to other nodes.
    Leaving,
    /// The hand-over has ended.
    Stopped,
}

/// A watched value: one writer, and readers that can await changes. Used for each section of the blackboard.
#[derive(Debug)]
pub struct WatchCell<T> {
    tx: watch::Sender<Arc<T>>,
}

impl<T> WatchCell<T> {
    /// Creates a section with an initial value.
    pub fn new(value: T) -> Self {
        Self {
            tx: watch::Sender::new(Arc::new(value)),
        }
    }

    /// Returns the current value.
    pub fn read(&self) -> Arc<T> {
        self.tx.borrow().clone()
    }

    /// Replaces the value and notifies all watchers.
    pub fn write(&self, value: T) {
        self.tx.send_replace(Arc::new(value));
    }

    /// Replaces the value if `change` returns a new one. Returns whether it did; otherwise no watcher is
    /// notified.
    pub fn update(&self, change: impl FnOnce(&T) -> Option<T>) -> bool {
        self.tx.send_if_modified(|current| match change(current) {
            Some(next) => {
                *current = Arc::new(next);
                true
            }
            None => false,
        })
    }

    /// Returns a receiver that can await changes.
    pub fn watch(&self) -> watch::Receiver<Arc<T>> {
        self.tx.subscribe()
    }
}

/// Latest state of the node: each section has one writer and any number of readers.
#[derive(Debug)]
pub struct Blackboard {
    /// Identity of this process.
    pub identity: Identity,
    /// Written by the membership controller.
    pub members: WatchCell<MemberView>,
    /// Written by the configuration controller.
    pub config: WatchCell<InstalledDocument>,
    /// Written by the fleet controller.
    pub fleet: WatchCell<FleetView>,
    /// Home node of each engine; written by the fleet controller.
    pub homes: WatchCell<Homes>,
    /// Engines and their home nodes, by model; written by the fleet controller.
    pub routes: WatchCell<Routes>,
    /// Written by the life-cycle controller.
    pub phase: WatchCell<Phase>,
}

impl Blackboard {
    /// Creates the blackboard of a process that has just started.
    pub fn new(identity: Identity) -> Arc<Self> {
        Arc::new(Self {
            identity,
            members: WatchCell::new(MemberView::default()),
            config: WatchCell::new(InstalledDocument::default()),
            fleet: WatchCell::new(FleetView::default()),
            homes: WatchCell::new(Homes::default()),
            routes: WatchCell::new(Routes::default()),
            phase: WatchCell::new(Phase::Starting),
        })
    }

    /// Recomputes homes and routes from the current members and back ends.
    pub fn refresh_routes(&self) {
        let fleet = self.fleet.read();
        let homes = Homes::of(&fleet, &self.members.read(), None);
        let routes = Routes::of(&fleet, &homes);
        self.homes
            .update(|current| (*current != homes).then_some(homes));
        self.routes
            .update(|current| (*current != routes).then_some(routes));
    }
}
