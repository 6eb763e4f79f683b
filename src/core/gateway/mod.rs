//! Decisions of the gateway: placement of calls on back ends, admission control and scaling.
//!
//! The gateway routes calls by host and path prefix to the back ends listed in a registry. The code here
//! depends only on its state, the event and the time passed in; [`crate::ops::gateway`] does the I/O.

pub mod absence;
pub mod backends;
pub mod brittle;
pub mod cache;
pub mod call_limit;
pub mod clock;
pub mod concurrency;
pub mod config_check;
pub mod crashes;
pub mod decay;
pub mod listed_process;
pub mod load;
pub mod members;
pub mod observed;
pub mod origin;
pub mod placement;
pub mod precedence;
pub mod quarantine;
pub mod quota;
pub mod reachability;
pub mod request_id;
pub mod retry_budget;
pub mod rollout;
pub mod routes;
pub mod scaling;
pub mod silence;
pub mod software;
pub mod store_contact;
pub mod stream_origins;
pub mod suspects;
pub mod tenure;
pub mod usage;
pub mod work;
pub mod zone_sums;
