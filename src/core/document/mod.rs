//! The operators' document: services, customers, ranks of work and the rules that bind them.

mod check;
pub mod edit;
mod model;
mod parse;
mod render;
pub mod schema;
pub mod sections;

pub use model::{
    CustomerRule, Document, KeyHash, MachineClassRule, ModelRule, RankRule, Rules, ServiceRule,
};
pub use parse::Result;
pub use render::render;

pub use crate::util::problem::{Problem, Problems};
