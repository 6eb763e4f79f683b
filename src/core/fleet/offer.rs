//! What the cloud offers and announces.

use crate::core::fleet::Market;
use crate::core::id::{MachineClass, VmId, ZoneId};
use crate::core::time::UnixMillis;

/// Price an hour in millionths of the currency.
pub type MicroPrice = u64;

/// Price of a class of VM in a zone.
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
    /// Currency of both.
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

/// An announcement that the cloud takes a VM back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimNotice {
    /// The VM.
    pub vm: VmId,
    /// When it is taken back.
    pub reclaim_at: UnixMillis,
    /// When that was announced.
    pub announced_at: UnixMillis,
}
