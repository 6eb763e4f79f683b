//! What controllers write and everything else reads.
//!
//! Each section is a watch of one immutable value, so that readers never wait for writers and may wait
//! for a change. One controller owns the writing of each section.

use std::sync::Arc;

use tokio::sync::watch;

use crate::core::cells::Homes;
use crate::core::document::Document;
use crate::core::fleet::{FleetView, Routes};
use crate::core::id::{Address, ConfigRevision, NodeId, RegionId, VmId, ZoneId};
use crate::core::membership::MemberView;

/// Who this process is; fixed for its life.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this life of the process.
    pub node: NodeId,
    /// VM on which it runs.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Where other nodes connect.
    pub peer_address: Address,
    /// Where callers connect.
    pub caller_address: Address,
    /// Where operators connect.
    pub operator_address: Address,
}

/// The document in force on this node.
#[derive(Clone, Debug, Default)]
pub struct Installed {
    /// Revision; 0 before the first one.
    pub revision: ConfigRevision,
    /// Text as published.
    pub text: Box<str>,
    /// Validated form.
    pub document: Document,
}

/// Phase in the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Has no document yet and serves no caller.
    Starting,
    /// Takes new work.
    Serving,
    /// Takes no new work; hands over what it has.
    Leaving,
    /// Has handed over everything.
    Stopped,
}

/// One section of the blackboard.
#[derive(Debug)]
pub struct SectionOf<T> {
    tx: watch::Sender<Arc<T>>,
}

impl<T> SectionOf<T> {
    /// Creates a section with its first value.
    pub fn new(value: T) -> Self {
        Self {
            tx: watch::Sender::new(Arc::new(value)),
        }
    }

    /// Returns the current value.
    pub fn read(&self) -> Arc<T> {
        self.tx.borrow().clone()
    }

    /// Replaces the value and wakes those who wait for a change.
    pub fn write(&self, value: T) {
        self.tx.send_replace(Arc::new(value));
    }

    /// Replaces the value by what `change` makes of it. Returns whether there was a change; without
    /// one nobody is woken.
    pub fn update(&self, change: impl FnOnce(&T) -> Option<T>) -> bool {
        self.tx.send_if_modified(|current| match change(current) {
            Some(next) => {
                *current = Arc::new(next);
                true
            }
            None => false,
        })
    }

    /// Returns a receiver that can wait for changes.
    pub fn watch(&self) -> watch::Receiver<Arc<T>> {
        self.tx.subscribe()
    }
}

/// What controllers write and everything else reads.
#[derive(Debug)]
pub struct Blackboard {
    /// Who this process is.
    pub identity: Identity,
    /// Written by the membership controller.
    pub members: SectionOf<MemberView>,
    /// Written by the configuration controller.
    pub config: SectionOf<Installed>,
    /// Written by the fleet controller.
    pub fleet: SectionOf<FleetView>,
    /// Homes of all engines; written by the fleet controller.
    pub homes: SectionOf<Homes>,
    /// Engines with their homes by model; written by the fleet controller.
    pub routes: SectionOf<Routes>,
    /// Written by the life-cycle controller.
    pub phase: SectionOf<Phase>,
}

impl Blackboard {
    /// Creates the blackboard of a process that has just started.
    pub fn new(identity: Identity) -> Arc<Self> {
        Arc::new(Self {
            identity,
            members: SectionOf::new(MemberView::default()),
            config: SectionOf::new(Installed::default()),
            fleet: SectionOf::new(FleetView::default()),
            homes: SectionOf::new(Homes::default()),
            routes: SectionOf::new(Routes::default()),
            phase: SectionOf::new(Phase::Starting),
        })
    }

    /// Computes homes and routes anew from the members and the back ends.
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
