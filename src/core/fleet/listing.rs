//! The platform's list of VMs.

use crate::core::fleet::{FleetView, ReclaimNotice};
use crate::core::id::{Address, RegionId, VmId, ZoneId};

/// A VM on which a node of jayhall runs; a seed for membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// Name in the platform's list.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Where other nodes connect.
    pub peer_address: Address,
    /// Where callers connect.
    pub caller_address: Address,
    /// Whether the list says that it leaves.
    pub is_leaving: bool,
}

/// The platform's list of VMs. It lags by seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListing {
    /// Back ends, sorted by VM.
    pub fleet: FleetView,
    /// Entry VMs, sorted by VM.
    pub entries: Vec<EntryVm>,
    /// VMs left out because the list says something about them that makes no sense.
    pub rejected: Vec<RejectedVm>,
}

/// A VM that was left out of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVm {
    /// Name in the platform's list.
    pub vm: VmId,
    /// What makes no sense.
    pub reason: Box<str>,
}

impl FleetView {
    /// Marks the back ends that notices name as leaving.
    #[must_use]
    pub fn with_notices(mut self, notices: &[ReclaimNotice]) -> Self {
        for notice in notices {
            let named = self.backends.iter_mut().find(|b| b.vm == notice.vm);
            if let Some(backend) = named {
                backend.reclaim_at = Some(notice.reclaim_at);
                backend.is_leaving = true;
            }
        }
        self
    }
}
