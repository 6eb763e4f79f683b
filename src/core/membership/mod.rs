//! Which nodes there are.
//!
//! Every node probes a few others and passes on what it hears. A member that does not answer is
//! suspected, and dead when it does not refute the suspicion in time; only the member itself raises
//! its incarnation. [`Membership`] is the state machine of one node; `ops::gossip` connects it to the
//! network.

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
pub use reports::{BackendNotice, CustomerUse, HomeLoad, ReportKey, Reports, sum_name};
pub use table::{DeadMember, Table};
