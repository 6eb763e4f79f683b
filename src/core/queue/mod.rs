//! Order of service: which waiting request a free slot gets.
//!
//! Urgent ranks go first, and every other rank keeps a floor of the service. Within a rank, customers
//! share by weight in tokens, with a bounded memory of what they used. Within a customer the earliest
//! deadline goes first.

mod fair;
mod floor;
mod item;
mod rank;

pub use fair::{FairQueue, QueueError, Result};
pub use item::{Ahead, Item, Next, QueueRules, WaitingTokens};
