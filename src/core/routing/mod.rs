//! Which home and which engine a request goes to.
//!
//! An entry node chooses among homes from reports that are late; a home chooses among its engines,
//! whose use it knows. Both weigh the wait, the way there and the prompt tokens that need not be
//! computed again.

mod blocks;
mod choose;
mod health;
mod link;
mod load;
mod prefix;

pub use blocks::{BLOCK_TOKENS, BlockHash, PromptBlocks};
pub use choose::{
    Candidate, Choice, Distance, NEAR_EQUAL_ENGINES, NEAR_EQUAL_HOMES, RouteRequest, choose,
};
pub use health::{Availability, HealthBook, HealthChange, HealthRules, Observation};
pub use link::{LinkAnswer, LinkBudget, LinkShares, TrafficKind};
pub use load::{Dispatched, LoadBook, LoadEstimate, LoadReport};
pub use prefix::{CacheEvent, CacheEventKind, CachedTokens, PrefixIndex};
