//! Routing table: the service of each call and the limits of its route.
//!
//! A [`RouteTable`] is one version of the operators' configuration, indexed for lookups by calls. It is
//! immutable; a new version replaces it as a whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a customer.
pub type CustomerName = Box<str>;
/// Version of the operators' configuration. It increases, but may skip numbers.
pub type ConfigVersion = u64;

/// Whether calls of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The call is idempotent.
    Idempotent,
    /// The call must run at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another back end can resume the stream after the last event that the caller received.
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

/// A service that receives a share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight, relative to the other targets of the route.
    pub weight: u32,
}

/// The route for calls of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: Box<str>,
    /// Path prefix, ending with a slash.
    pub path_prefix: Box<str>,
    /// Whether its calls may be retried.
    pub kind: RouteKind,
    /// Upper limit of a call's deadline, set by the operators.
    pub timeout: Duration,
    /// Target latency of the answer, or of the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest pause between two events of a stream; zero if the operators set none.
    pub target_pause: Duration,
    /// Rank of the work; 0 is the most urgent.
    pub rank: u8,
    /// Services that receive the calls; never empty.
    pub targets: SmallVec<[Target; 2]>,
    /// Largest number of back ends to which one call may be sent.
    pub max_backends: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a service by weight. `draw` is uniform over all values of `u32`.
    pub fn choose_service(&self, draw: u32) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = (u64::from(draw) * total) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return &target.service;
            }
            remaining -= weight;
        }
        &self.targets[0].service
    }
}

/// Rate limit of a customer, in tokens or calls over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub per_second: f64,
    /// Size of the token bucket in units.
    pub burst: f64,
    /// Whether units are tokens; otherwise each call is one.
    pub counts_tokens: bool,
    /// Units of a call without token counts in its head.
    pub plain_call: f64,
}

/// A customer, to whom calls are charged.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name, which is also sent to back ends.
    pub name: CustomerName,
    /// Rank that takes precedence over the route's rank.
    pub rank: Option<u8>,
    /// Limit over all nodes; without one, calls are not limited.
    pub quota: Option<Quota>,
}

/// Bounds and prices for scaling a service by orders to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingRules {
    /// Smallest number of back ends in an availability zone.
    pub min: u32,
    /// Largest number of back ends in an availability zone.
    pub max: u32,
    /// Time from an order until the new back end serves calls.
    pub boot: Duration,
    /// Price of a reclaimable (spot) back end as a fraction of the regular price; `None` if the cloud offers
    /// none.
    pub spot_price: Option<f64>,
    /// Price of a back end in each availability zone.
    pub zone_prices: HashMap<Box<str>, f64>,
}

/// A service, provided by interchangeable back ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one back end accepts from all nodes together.
    pub max_connections: u32,
    /// Memory of the service's model engines; `None` if its back ends are no model engines.
    pub engine: Option<EngineSize>,
    /// Rules for ordering back ends from the cloud; `None` if the service is not scaled.
    pub scaling: Option<ScalingRules>,
}

/// Memory of one model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSize {
    /// Capacity of its KV cache in tokens.
    pub kv_tokens: u32,
}

/// Limits on callers' connections and messages.
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
    /// Index in `customers` of the owner of each key.
    pub keys: HashMap<Box<str>, usize>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Returns the route of a call: the host's route with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the quotas of all customers that have one.
    pub fn quotas(&self) -> HashMap<CustomerName, Quota> {
        let customers = self.customers.iter();
        customers
            .filter_map(|customer| Some((customer.name.clone(), customer.quota?)))
            .collect()
    }

    /// Returns the owner of a key.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key).map(|index| &self.customers[*index])
    }
}
