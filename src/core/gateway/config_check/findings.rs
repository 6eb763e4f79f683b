//! What is wrong with a configuration.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use super::{CustomerDraft, Draft, RouteDraft};
use crate::core::gateway::routes::{ConfigVersion, CustomerName, RouteKind, Service, ServiceName};

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration is not to be sent.
    Error,
    /// An entry has no effect, or an effect that is hardly meant.
    Warning,
}

/// The entry that a finding is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// The version.
    Version,
    /// A route, with its position in the file, from 1.
    Route(usize, Box<str>),
    /// A service.
    Service(ServiceName),
    /// A customer.
    Customer(CustomerName),
    /// The limits on callers.
    Limits,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// The version does not follow the one in force.
    VersionNotHigher(ConfigVersion),
    /// The kind of the route is unknown.
    UnknownKind(Box<str>),
    /// The path prefix does not begin and end with a slash.
    PrefixWithoutSlashes(Box<str>),
    /// The host has a port, which no call is looked up with.
    HostWithPort(Box<str>),
    /// An earlier route has the same host and path prefix.
    ShadowedBy(Place),
    /// The route names no service.
    NoTarget,
    /// The route names a service that is not listed.
    UnknownService(ServiceName),
    /// A service of the route has the weight 0 beside others.
    NoWeight(ServiceName),
    /// The route allows no attempt.
    NoAttempts,
    /// The route's time is over before its target latency.
    TimeoutBelowTarget,
    /// The route has no timeout, so that a default one applies.
    NoTimeout,
    /// The route resumes streams, or limits their pauses, but is none of streams.
    NotStreaming,
    /// An entry before has the same name.
    SameName,
    /// No route leads to the service.
    NoRoute,
    /// The smallest number of back ends is above the largest one.
    MinAboveMax(u32, u32),
    /// The customer has no key, so that no call is charged to it.
    NoKey,
    /// Another customer holds the same key.
    KeyOf(CustomerName),
    /// The burst is smaller than any call.
    BurstBelowCall(f64),
    /// There is a burst without a rate, so that there is no limit.
    BurstWithoutRate,
    /// This time is zero.
    ZeroTime(&'static str),
    /// This size is zero.
    ZeroSize(&'static str),
}

impl Problem {
    /// Returns how bad the problem is.
    pub fn severity(&self) -> Severity {
        match self {
            Self::NoWeight(_)
            | Self::TimeoutBelowTarget
            | Self::NoTimeout
            | Self::NotStreaming
            | Self::NoRoute
            | Self::NoKey
            | Self::BurstWithoutRate => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// Something that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The entry.
    pub place: Place,
    /// What is wrong with it.
    pub problem: Problem,
}

/// Returns what is wrong with a configuration, errors first. `in_force` is the one that it is to replace.
pub fn check(draft: &Draft, in_force: Option<&Draft>) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(in_force) = in_force.filter(|in_force| draft.version <= in_force.version) {
        findings.push(Finding {
            place: Place::Version,
            problem: Problem::VersionNotHigher(in_force.version),
        });
    }
    check_routes(draft, &mut findings);
    check_services(draft, &mut findings);
    check_customers(draft, &mut findings);
    check_limits(draft, &mut findings);
    findings.sort_by_key(|finding| finding.problem.severity());
    findings
}

fn check_routes(draft: &Draft, findings: &mut Vec<Finding>) {
    let services: HashSet<&str> = draft.services.iter().map(|s| &*s.name).collect();
    let mut first: HashMap<(String, &str), Place> = HashMap::new();
    for (index, route) in draft.routes.iter().enumerate() {
        let place = Place::Route(index + 1, label(route));
        let mut problems = route_problems(route, &services);
        let matched = (route.host.to_ascii_lowercase(), &*route.path_prefix);
        match first.get(&matched) {
            Some(earlier) => problems.push(Problem::ShadowedBy(earlier.clone())),
            None => {
                first.insert(matched, place.clone());
            }
        }
        add(findings, &place, problems);
    }
}

/// Returns the name of a route, or what it matches if it has none.
fn label(route: &RouteDraft) -> Box<str> {
    match route.name.is_empty() {
        true => format!("{}{}", route.host, route.path_prefix).into(),
        false => route.name.clone(),
    }
}

fn route_problems(route: &RouteDraft, services: &HashSet<&str>) -> Vec<Problem> {
    let mut problems = Vec::new();
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        problems.push(Problem::PrefixWithoutSlashes(prefix.clone()));
    }
    if route.host.contains(':') {
        problems.push(Problem::HostWithPort(route.host.clone()));
    }
    if route.kind.is_none() {
        problems.push(Problem::UnknownKind(route.kind_name.clone()));
    }
    if route.targets.is_empty() {
        problems.push(Problem::NoTarget);
    }
    for target in &route.targets {
        if !services.contains(&*target.service) {
            problems.push(Problem::UnknownService(target.service.clone()));
        }
        if target.weight == 0 {
            problems.push(Problem::NoWeight(target.service.clone()));
        }
    }
    if route.max_backends == 0 {
        problems.push(Problem::NoAttempts);
    }
    if route.timeout.is_zero() {
        problems.push(Problem::NoTimeout);
    } else if route.timeout < route.target_latency {
        problems.push(Problem::TimeoutBelowTarget);
    }
    let is_stream = route.kind.is_none_or(RouteKind::is_stream);
    if !is_stream && (route.is_resumable || !route.target_pause.is_zero()) {
        problems.push(Problem::NotStreaming);
    }
    problems
}

fn check_services(draft: &Draft, findings: &mut Vec<Finding>) {
    let targets = draft.routes.iter().flat_map(|route| &route.targets);
    let used: HashSet<&str> = targets.map(|target| &*target.service).collect();
    let mut names = HashSet::new();
    for service in &draft.services {
        let mut problems = service_problems(service);
        if !names.insert(&service.name) {
            problems.push(Problem::SameName);
        }
        if !used.contains(&*service.name) {
            problems.push(Problem::NoRoute);
        }
        add(findings, &Place::Service(service.name.clone()), problems);
    }
}

fn service_problems(service: &Service) -> Vec<Problem> {
    let scaling = service.scaling.iter();
    scaling
        .filter(|scaling| scaling.min > scaling.max)
        .map(|scaling| Problem::MinAboveMax(scaling.min, scaling.max))
        .collect()
}

fn check_customers(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut names = HashSet::new();
    let mut holders: HashMap<&str, &CustomerName> = HashMap::new();
    for customer in &draft.customers {
        let mut problems = customer_problems(customer);
        if !names.insert(&customer.name) {
            problems.push(Problem::SameName);
        }
        for key in &customer.keys {
            let holder = *holders.entry(key).or_insert(&customer.name);
            if *holder != customer.name {
                problems.push(Problem::KeyOf(holder.clone()));
            }
        }
        add(findings, &Place::Customer(customer.name.clone()), problems);
    }
}

fn customer_problems(customer: &CustomerDraft) -> Vec<Problem> {
    let mut problems = Vec::new();
    if customer.keys.is_empty() {
        problems.push(Problem::NoKey);
    }
    let has_rate = customer.per_second > 0.0;
    if has_rate && customer.burst < customer.smallest_call() {
        problems.push(Problem::BurstBelowCall(customer.smallest_call()));
    }
    if !has_rate && customer.burst > 0.0 {
        problems.push(Problem::BurstWithoutRate);
    }
    problems
}

fn check_limits(draft: &Draft, findings: &mut Vec<Finding>) {
    let limits = &draft.limits;
    let times: [(&'static str, Duration); 2] = [
        ("header timeout", limits.head_timeout),
        ("idle timeout", limits.idle_timeout),
    ];
    let sizes = [
        ("largest head", limits.head_bytes),
        ("largest body", limits.body_bytes),
    ];
    let times = times.into_iter().filter(|(_, time)| time.is_zero());
    let sizes = sizes.into_iter().filter(|(_, bytes)| *bytes == 0);
    let times = times.map(|(name, _)| Problem::ZeroTime(name));
    let sizes = sizes.map(|(name, _)| Problem::ZeroSize(name));
    add(findings, &Place::Limits, times.chain(sizes).collect());
}

fn add(findings: &mut Vec<Finding>, place: &Place, problems: Vec<Problem>) {
    findings.extend(problems.into_iter().map(|problem| Finding {
        place: place.clone(),
        problem,
    }));
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version => f.write_str("version"),
            Self::Route(number, name) => write!(f, "route {number} ({name})"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Customer(name) => write!(f, "customer {name}"),
            Self::Limits => f.write_str("limits"),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionNotHigher(version) => {
                write!(f, "version {version} is in force; a new one must be higher")
            }
            Self::UnknownKind(kind) => write!(f, "its type {kind:?} is not known"),
            Self::PrefixWithoutSlashes(prefix) => {
                write!(
                    f,
                    "its path prefix {prefix:?} must begin and end with a slash"
                )
            }
            Self::HostWithPort(host) => write!(f, "its host {host:?} must have no port"),
            Self::ShadowedBy(earlier) => {
                write!(
                    f,
                    "it never matches: {earlier} has the same host and path prefix"
                )
            }
            Self::NoTarget => f.write_str("it names no service"),
            Self::UnknownService(service) => write!(f, "there is no service {service}"),
            Self::NoWeight(service) => write!(f, "service {service} has the weight 0"),
            Self::NoAttempts => f.write_str("it allows no attempt"),
            Self::TimeoutBelowTarget => f.write_str("its timeout is below its target latency"),
            Self::NoTimeout => f.write_str("it has no timeout; a default one applies"),
            Self::NotStreaming => {
                f.write_str("resuming and pauses have no effect, as its answers are no streams")
            }
            Self::SameName => f.write_str("an earlier entry has the same name"),
            Self::NoRoute => f.write_str("no route leads to it"),
            Self::MinAboveMax(min, max) => {
                write!(
                    f,
                    "its smallest number of back ends, {min}, is above the largest, {max}"
                )
            }
            Self::NoKey => f.write_str("it has no key"),
            Self::KeyOf(customer) => write!(f, "customer {customer} holds one of its keys"),
            Self::BurstBelowCall(units) => {
                write!(f, "its burst is smaller than its smallest call, {units}")
            }
            Self::BurstWithoutRate => f.write_str("its burst has no effect without a rate"),
            Self::ZeroTime(name) | Self::ZeroSize(name) => write!(f, "the {name} is 0"),
        }
    }
}
