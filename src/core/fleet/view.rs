//! A node's view of the back ends.

use smallvec::SmallVec;

use crate::core::id::{Address, MachineClass, RegionId, VmId, ZoneId};
use crate::core::time::UnixMillis;

/// Kind of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BackendKind {
    /// Runs models.
    Engine,
    /// Runs a plain service.
    Service,
}

/// Pricing model of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Market {
    /// Cheap; the cloud may reclaim the VM with seconds of notice.
    Reclaimable,
    /// More expensive; runs until it is stopped.
    OnDemand,
}

/// A back-end VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name in the platform's VM list.
    pub vm: VmId,
    /// Kind of the back end.
    pub kind: BackendKind,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Class of the VM.
    pub class: MachineClass,
    /// Market of the VM.
    pub market: Market,
    /// Address for requests.
    pub address: Address,
    /// Models or services that the back end serves.
    pub serves: SmallVec<[Box<str>; 2]>,
    /// When the cloud reclaims the VM, if that has been announced.
    pub reclaim_at: Option<UnixMillis>,
    /// Whether the VM list or a reclaim notice marks the back end as leaving.
    pub is_leaving: bool,
}

/// The back ends that a node knows, sorted by VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Revision of the platform's VM list.
    pub revision: u64,
    /// All back ends, including leaving ones.
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
