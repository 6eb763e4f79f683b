//! VM listing of the platform.

use crate::core::fleet::{FleetView, ReclaimNotice};
use crate::core::id::{Address, RegionId, VmId, ZoneId};

/// A VM on which a jayhall node runs. Used as a seed for membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// Name in the platform's VM list.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address for connections from other nodes.
    pub peer_address: Address,
    /// Address for connections from callers.
    pub caller_address: Address,
    /// Whether the list marks the VM as leaving.
    pub is_leaving: bool,
}

/// The platform's VM list. It lags behind by seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListing {
    /// Back ends, sorted by VM.
    pub fleet: FleetView,
    /// Entry VMs, sorted by VM.
    pub entries: Vec<EntryVm>,
    /// VMs that were left out because their entries are invalid.
    pub rejected: Vec<RejectedVm>,
}

/// A VM that was left out of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVm {
    /// Name in the platform's VM list.
    pub vm: VmId,
    /// Why the entry is invalid.
    pub reason: Box<str>,
}

impl FleetView {
    /// Marks the back ends for which there is a notice as leaving.
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
