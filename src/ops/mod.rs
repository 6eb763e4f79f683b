//! Operations of a node, one module each.

pub mod accept;
pub mod admit;
pub mod call_records;
pub mod call_service;
pub mod choose_home;
pub mod directory;
pub mod follow;
pub mod gateway;
pub mod gossip;
pub mod hand_over;
pub mod home;
pub(crate) mod keep_copy;
pub mod keep_fleet;
pub mod ledger;
pub mod publish;
pub mod replicate;
pub mod report;
pub mod requests;
pub mod run_request;
pub mod spread;
pub mod watch_fleet;
