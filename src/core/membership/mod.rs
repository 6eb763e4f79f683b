//! Cluster membership by gossip, with a SWIM-style failure detector.
//!
//! Every node probes a bounded set of members and spreads the changes it receives. A member that
//! does not answer becomes suspect, and is declared dead unless it refutes the suspicion in time. Only
//! the member itself raises its incarnation. [`Membership`] is the state machine of one node;
//! `ops::gossip` connects it to the network.

mod budget;
mod compose;
mod machine;
mod member;
mod merge;
mod message;
mod outbox;
mod reports;
mod table;
mod targets;
mod tick;
pub mod tuning;
mod updates;

pub use machine::{Action, Actions, Event, Membership};
pub use member::{Member, MemberState, MemberView};
pub use message::{DocumentRevision, DocumentRevisions, MemberRecord, Message, StateChange};
pub use reports::{BackendNotice, CustomerUse, HomeLoad, ReportKey, Reports, region_sum_name};
pub use table::{DeadMember, Table};
