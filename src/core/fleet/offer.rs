//! Prices and reclaim notices of the cloud.

use crate::core::fleet::Market;
use crate::core::id::{MachineClass, VmId, ZoneId};
use crate::core::time::UnixMillis;

/// Price per hour in millionths of the currency unit.
pub type MicroPrice = u64;

/// Prices of a machine class in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Availability zone.
    pub zone: ZoneId,
    /// Class of VM.
    pub class: MachineClass,
    /// Price of a reclaimable VM.
    pub reclaimable: MicroPrice,
    /// Price of an on-demand VM.
    pub on_demand: MicroPrice,
    /// Currency of both prices.
    pub currency: Box<str>,
}

impl Offer {
    /// Returns the price in a market.
    pub fn price(&self, market: Market) -> MicroPrice {
        match market {
            Market::Reclaimable => self.reclaimable,
            Market::OnDemand => self.on_demand,
        }
    }
}

/// Announcement by the cloud that it will reclaim a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimNotice {
    /// The VM.
    pub vm: VmId,
    /// Time of the reclaim.
    pub reclaim_at: UnixMillis,
    /// Time of the announcement.
    pub announced_at: UnixMillis,
}
