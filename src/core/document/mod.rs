//! The operators' document: services, customers, ranks of work and the rules that bind them.

mod model;

pub use model::{
    CustomerRule, Document, KeyHash, MachineClassRule, ModelRule, RankRule, Rules, ServiceRule,
};
