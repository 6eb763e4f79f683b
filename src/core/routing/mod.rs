//! Selection of the home node and the engine that serve a request.
//!
//! An entry node chooses among home nodes by their load reports, which arrive late; a home chooses
//! among its own engines, whose load it knows exactly. Both choices compare the expected wait, the
//! network latency and the prompt tokens that are not in the prefix cache.

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
pub use health::{Availability, HealthChange, HealthRules, Observation, OutlierDetector};
pub use link::{LinkBudget, LinkDecision, LinkShares, TrafficKind};
pub use load::{LoadEstimate, LoadReport, LoadTable, SentRequest};
pub use prefix::{CacheEvent, CacheEventKind, CachedTokens, PrefixIndex};
