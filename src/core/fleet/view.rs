//! The back ends that a node knows.

use smallvec::SmallVec;

use crate::core::id::{Address, MachineClass, RegionId, VmId, ZoneId};
use crate::core::time::UnixMillis;

/// What a back end does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BackendKind {
    /// Runs models.
    Engine,
    /// Runs a plain service.
    Service,
}

/// How a VM is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Market {
    /// Cheap; the cloud may take it back on seconds of notice.
    Reclaimable,
    /// Dearer, kept until it is stopped.
    OnDemand,
}

/// A back-end VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name in the platform's list.
    pub vm: VmId,
    /// What it does.
    pub kind: BackendKind,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Class of the VM.
    pub class: MachineClass,
    /// How the VM is paid for.
    pub market: Market,
    /// Where requests go.
    pub address: Address,
    /// Models or services that it serves.
    pub serves: SmallVec<[Box<str>; 2]>,
    /// When the cloud takes the VM back, once that is known.
    pub reclaim_at: Option<UnixMillis>,
    /// Whether the list or a notice says that it leaves.
    pub is_leaving: bool,
}

/// The back ends that a node knows, sorted by VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Revision of the platform's list.
    pub revision: u64,
    /// All back ends, the leaving ones among them.
    pub backends: Vec<Backend>,
}

impl FleetView {
    /// Returns the back end on a VM.
    pub fn get(&self, vm: &str) -> Option<&Backend> {
        self.backends.iter().find(|backend| &*backend.vm == vm)
    }

    /// Returns the back ends of a kind that serve `name` and are not leaving.
    pub fn serving<'a>(
        &'a self,
        kind: BackendKind,
        name: &'a str,
    ) -> impl Iterator<Item = &'a Backend> {
        self.backends
            .iter()
            .filter(move |b| b.kind == kind && !b.is_leaving)
            .filter(move |b| b.serves.iter().any(|served| &**served == name))
    }
}
