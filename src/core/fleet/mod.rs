//! Which back ends there are.

mod listing;
mod offer;
mod view;

pub use listing::{EntryVm, RejectedVm, VmListing};
pub use offer::{MicroPrice, Offer, ReclaimNotice};
pub use view::{Backend, BackendKind, FleetView, Market};
