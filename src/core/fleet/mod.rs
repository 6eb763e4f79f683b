//! Which back ends there are.

mod view;

pub use view::{Backend, BackendKind, FleetView, Market};
