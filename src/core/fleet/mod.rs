//! Observed back ends, the planned fleet, and the steps that reconcile the two.

mod counts;
mod demand;
mod explain;
mod listing;
mod offer;
pub mod orders;
mod placement;
mod places;
mod plan;
mod refusals;
mod risk;
mod routes;
mod steps;
mod view;

pub use demand::{EngineBounds, ModelDemand, Need, NeedWindow, compute_need};
pub use listing::{EntryVm, RejectedVm, VmListing};
pub use offer::{MicroPrice, Offer, ReclaimNotice};
pub use placement::{Place, Placed, Placement, place};
pub use plan::{
    ClassCapacity, EngineVm, FleetPlan, ModelInput, ModelPlan, PlanInput, ZoneRisk, plan,
};
pub use refusals::{Refusals, Supply};
pub use risk::RiskMeter;
pub use routes::{Route, Routes};
pub use steps::{Step, StepCause, next_steps};
pub use view::{Backend, BackendKind, FleetView, Market};
