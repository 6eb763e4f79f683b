//! Which nodes there are.

mod member;

pub use member::{Member, MemberState, MemberView};
