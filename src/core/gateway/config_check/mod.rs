//! Check of a configuration before operators send it, and its comparison with the one in force.
//!
//! A [`Draft`] keeps what a [`RouteTable`](super::routes::RouteTable) drops or corrects: the order of entries, entries
//! of the same name, and values that cannot be used.

mod changes;
mod findings;

use std::time::Duration;

use super::routes::{CallerLimits, ConfigVersion, CustomerName, RouteKind, Service, Target};

pub use changes::{Change, ChangeKind, FieldChange, Section, compare};
pub use findings::{Finding, Place, Problem, Severity, check};

/// Hash by which a key is known here, so that the key itself is not shown.
pub type KeyHash = Box<str>;

/// A configuration as it was written.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<RouteDraft>,
    /// Services.
    pub services: Vec<Service>,
    /// Customers.
    pub customers: Vec<CustomerDraft>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// A route as it was written.
#[derive(Clone, Debug)]
pub struct RouteDraft {
    /// Name for logs.
    pub name: Box<str>,
    /// Host of its calls.
    pub host: Box<str>,
    /// Path prefix of its calls.
    pub path_prefix: Box<str>,
    /// Name of its kind.
    pub kind_name: Box<str>,
    /// Kind; `None` if the name is unknown.
    pub kind: Option<RouteKind>,
    /// Upper limit of a call's deadline.
    pub timeout: Duration,
    /// Target latency of the answer.
    pub target_latency: Duration,
    /// Target for the longest pause between two events.
    pub target_pause: Duration,
    /// Rank of the work.
    pub rank: u8,
    /// Services that receive the calls.
    pub targets: Vec<Target>,
    /// Largest number of back ends to which one call may be sent.
    pub max_backends: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether streams may be resumed.
    pub is_resumable: bool,
}

/// A customer as it was written.
#[derive(Clone, Debug)]
pub struct CustomerDraft {
    /// Name.
    pub name: CustomerName,
    /// Rank that takes precedence over the route's rank.
    pub rank: Option<u8>,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Limit in units a second; 0 for none.
    pub per_second: f64,
    /// Size of the token bucket in units.
    pub burst: f64,
    /// Whether units are tokens; otherwise each call is one.
    pub counts_tokens: bool,
    /// Units of a call without token counts.
    pub plain_call: f64,
}

impl CustomerDraft {
    /// Returns the units of the smallest call that says nothing of its size.
    fn smallest_call(&self) -> f64 {
        match self.counts_tokens {
            true => self.plain_call.max(1.0),
            false => 1.0,
        }
    }
}
