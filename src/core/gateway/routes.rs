//! Which service a call belongs to, and what its route allows.
//!
//! A [`RouteTable`] is one version of the operators' configuration in the form in which calls look it
//! up. A table is immutable; a new version replaces it as a whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a customer.
pub type CustomerName = Box<str>;
/// Version of the operators' configuration. It grows by steps of any size.
pub type ConfigVersion = u64;

/// What may be done with a call again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The call is idempotent.
    Idempotent,
    /// The call may run once at most.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another back end may go on behind an event that the caller has.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a call may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other targets of the route.
    pub weight: u32,
}

/// Calls of one host below one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: Box<str>,
    /// Start of the paths, with a slash at its end.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which the operators let a caller wait.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is of full use.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is in time; zero where operators name none.
    pub target_pause: Duration,
    /// Rank of the work; 0 is the most urgent.
    pub rank: u8,
    /// Services that take the calls; never empty.
    pub targets: SmallVec<[Target; 2]>,
    /// Back ends to which one call may be sent.
    pub max_backends: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a service by weight. `draw` is uniform over all values.
    pub fn choose_service(&self, draw: u32) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = (u64::from(draw) * total) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return &target.service;
            }
            left -= weight;
        }
        &self.targets[0].service
    }
}

/// A rate of tokens or calls, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub per_second: f64,
    /// Units that may come at once.
    pub burst: f64,
    /// Whether units are tokens; otherwise each call is one.
    pub counts_tokens: bool,
    /// Units of a call that states no token counts.
    pub plain_call: f64,
}

/// Who pays for calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name that back ends are told.
    pub name: CustomerName,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
    /// Limit over all nodes; without one, calls are not limited.
    pub quota: Option<Quota>,
}

/// Engines of a service that the cloud starts and stops by order.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingRules {
    /// Fewest back ends in an availability zone.
    pub min: u32,
    /// Most back ends in an availability zone.
    pub max: u32,
    /// Time from an order until the back end serves.
    pub boot: Duration,
    /// Price of a reclaimable back end as a part of the price of another one; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a back end in each availability zone.
    pub zone_prices: HashMap<Box<str>, f64>,
}

/// A kind of back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one back end takes from all nodes together.
    pub max_connections: u32,
    /// What model engines of the service can hold; `None` for plain services.
    pub engine: Option<EngineSize>,
    /// How the cloud may be asked for more of them.
    pub scaling: Option<ScalingRules>,
}

/// What one model engine can hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSize {
    /// Tokens in its memory.
    pub kv_tokens: u32,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes of each host, longest path first.
    pub hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Arc<Service>>,
    /// Customers.
    pub customers: Vec<Arc<Customer>>,
    /// Place in `customers` of the holder of each key.
    pub keys: HashMap<Box<str>, usize>,
    /// Bounds on calls.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Returns the route of a call: of the host's routes the one with the longest matching path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the holder of a key.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key).map(|at| &self.customers[*at])
    }
}
