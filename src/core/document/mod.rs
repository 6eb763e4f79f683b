//! The operators' configuration document: services, models, customers, ranks and global rules.

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
