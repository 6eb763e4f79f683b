//! Decodes the operators' configuration from the store.

mod draft;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eyre::eyre;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::core::gateway::routes::{
    CallerLimits, Customer, EngineSize, Quota, Route, RouteKind, RouteTable, ScalingRules, Service,
    Target,
};
use crate::ops::gateway::dialect::Result;

pub use draft::decode_draft;

/// Key of the configuration in the store.
pub(super) const KEY: &str = "op/config";
/// Value of `unit` for limits that are counted in tokens.
const UNIT_TOKENS: &str = "token_stream";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigWire {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteWire>,
    #[serde(default)]
    services: Vec<ServiceWire>,
    #[serde(default)]
    limits: LimitsWire,
    #[serde(default)]
    tenants: Vec<CustomerWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteWire {
    #[serde(default)]
    name: Box<str>,
    hostname: Box<str>,
    path_prefix: Box<str>,
    /// Whether calls may be retried: `safe`, `unsafe` or `streaming`.
    route_type: Box<str>,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    /// Target for the longest pause between events.
    #[serde(default)]
    gap_aim_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<Box<str>>,
    #[serde(default)]
    weighted_backends: Vec<WeightedServiceWire>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Deserialize)]
struct WeightedServiceWire {
    service: Box<str>,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceWire {
    name: Box<str>,
    #[serde(default)]
    max_connections: u32,
    engine: Option<EngineWire>,
    scaling: Option<ScalingWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineWire {
    #[serde(default)]
    kv_capacity: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ScalingWire {
    min: u32,
    max: u32,
    #[serde(default)]
    boot_s: f64,
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: HashMap<Box<str>, f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct LimitsWire {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

impl Default for LimitsWire {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000.0,
            idle_timeout_ms: 15_000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CustomerWire {
    name: Box<str>,
    #[serde(default)]
    api_keys: Vec<Box<str>>,
    priority: Option<u8>,
    #[serde(default)]
    unit: Box<str>,
    #[serde(default)]
    plain_tokens: f64,
    /// Units a second; 0 or absent means no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

fn one() -> u32 {
    1
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

/// Returns the kind of a route, or `None` if its name is unknown.
fn route_kind(wire: &RouteWire) -> Option<RouteKind> {
    match &*wire.route_type {
        "safe" => Some(RouteKind::Idempotent),
        "unsafe" => Some(RouteKind::AtMostOnce),
        "streaming" => Some(RouteKind::Stream {
            resumable: wire.stream_resume,
        }),
        _ => None,
    }
}

/// Returns the services of a route: those with weights, and the single one.
fn targets(
    weighted: Vec<WeightedServiceWire>,
    single: Option<Box<str>>,
) -> impl Iterator<Item = Target> {
    let weighted = weighted.into_iter().map(|part| Target {
        service: part.service,
        weight: part.weight,
    });
    weighted.chain(single.map(|service| Target { service, weight: 1 }))
}

/// Decodes a configuration.
pub(super) fn decode(text: &[u8]) -> Result<RouteTable> {
    let wire: ConfigWire = super::decode_object(text, "reading a configuration")?;
    RouteTable::try_from(wire)
}

impl TryFrom<ConfigWire> for RouteTable {
    type Error = eyre::Report;

    fn try_from(wire: ConfigWire) -> Result<Self> {
        let mut hosts: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in wire.routes {
            let host = route.hostname.to_ascii_lowercase().into();
            hosts
                .entry(host)
                .or_default()
                .push(Arc::new(route.try_into()?));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut customers = Vec::with_capacity(wire.tenants.len());
        let mut keys = HashMap::new();
        for (index, mut customer) in wire.tenants.into_iter().enumerate() {
            for key in std::mem::take(&mut customer.api_keys) {
                keys.insert(key, index);
            }
            customers.push(Arc::new(customer.into()));
        }
        Ok(Self {
            version: wire.version,
            hosts,
            services: wire
                .services
                .into_iter()
                .map(|service| (service.name.clone(), Arc::new(service.into())))
                .collect(),
            customers,
            keys,
            limits: wire.limits.into(),
        })
    }
}

impl TryFrom<RouteWire> for Route {
    type Error = eyre::Report;

    fn try_from(wire: RouteWire) -> Result<Self> {
        let kind = route_kind(&wire).ok_or_else(|| {
            eyre!(
                "route {}: routeType {:?} is not known",
                wire.name,
                wire.route_type
            )
        })?;
        let targets: SmallVec<[Target; 2]> =
            targets(wire.weighted_backends, wire.service).collect();
        if targets.is_empty() {
            return Err(eyre!("route {}: no service is named", wire.name));
        }
        Ok(Self {
            name: wire.name,
            path_prefix: wire.path_prefix,
            kind,
            timeout: millis(wire.timeout_ms),
            target_latency: millis(wire.target_latency_ms),
            target_pause: millis(wire.gap_aim_ms),
            rank: wire.priority,
            targets,
            max_backends: wire.max_attempts.max(1),
            is_public: wire.public,
        })
    }
}

impl From<ServiceWire> for Service {
    fn from(wire: ServiceWire) -> Self {
        Self {
            name: wire.name,
            max_connections: wire.max_connections,
            engine: wire.engine.map(|engine| EngineSize {
                kv_tokens: engine.kv_capacity,
            }),
            scaling: wire.scaling.map(|scaling| ScalingRules {
                min: scaling.min,
                max: scaling.max,
                boot: millis(scaling.boot_s * 1e3),
                spot_price: scaling.spot_price.filter(|price| *price > 0.0),
                zone_prices: scaling.zone_prices,
            }),
        }
    }
}

impl From<LimitsWire> for CallerLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            head_bytes: wire.max_header_bytes,
            body_bytes: wire.max_body_bytes,
            head_timeout: millis(wire.header_timeout_ms),
            idle_timeout: millis(wire.idle_timeout_ms),
        }
    }
}

impl From<CustomerWire> for Customer {
    fn from(wire: CustomerWire) -> Self {
        let quota = (wire.rate_per_s > 0.0).then(|| Quota {
            per_second: wire.rate_per_s,
            burst: wire.burst,
            counts_tokens: &*wire.unit == UNIT_TOKENS,
            plain_call: wire.plain_tokens.max(1.0),
        });
        Self {
            name: wire.name,
            rank: wire.priority,
            quota,
        }
    }
}
