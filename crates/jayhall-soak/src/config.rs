//! Configuration of the gateways under test: routes, customers and time bounds.

use std::time::Duration;

use crate::history::Kind;

/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Services between which configuration changes move the idempotent route.
pub(crate) const PLAIN_SERVICES: [&str; 2] = ["plain-a", "plain-b"];
/// Service that serves the streaming routes.
pub(crate) const STREAM_SERVICE: &str = "engines";
/// Time after which a draining back end must not receive calls.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// Time from SIGTERM to SIGKILL in a graceful stop.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time within which all nodes have to apply a new configuration version.
pub(crate) const CONFIG_PROPAGATION_TIME: Duration = Duration::from_millis(2500);
/// Lease duration of a duty. After another node has acted as its holder, a former holder may act again
/// only after this time.
pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Length of a usage window.
pub(crate) const USAGE_WINDOW: Duration = Duration::from_secs(2);
/// Time after the end of a window within which its usage has to be reported.
pub(crate) const USAGE_REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Retries allowed per call.
pub(crate) const RETRY_RATIO: f64 = 0.2;
/// Retries allowed in a window in addition to the ratio.
pub(crate) const RETRY_SLACK: usize = 52;
/// Length of the sliding window in which retries are counted.
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of back ends that an attempt may be sent to.
pub(crate) const MAX_BACKENDS: usize = 2;

/// A customer of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Customer {
    pub(crate) name: &'static str,
    pub(crate) key: &'static str,
    /// Rate in units per second and burst in units; 0 means unlimited.
    pub(crate) limit: (f64, f64),
}

/// Customers without a limit.
pub(crate) const UNLIMITED: [Customer; 2] = [
    Customer {
        name: "almaz",
        key: "key-of-almaz",
        limit: (0.0, 0.0),
    },
    Customer {
        name: "bekele",
        key: "key-of-bekele",
        limit: (0.0, 0.0),
    },
];
/// Customer that sends calls of all kinds, more than its limit.
pub(crate) const OVER_LIMIT: Customer = Customer {
    name: "chala",
    key: "key-of-chala",
    limit: (2000.0, 2000.0),
};
/// Customer with a small limit, of which a node's equal part is less than a call.
pub(crate) const SMALL_FLOOD: Customer = Customer {
    name: "dawit",
    key: "key-of-dawit",
    limit: (500.0, 500.0),
};
/// Customer with a large limit.
pub(crate) const LARGE_FLOOD: Customer = Customer {
    name: "eleni",
    key: "key-of-eleni",
    limit: (4000.0, 4000.0),
};
/// Customer that stays below its limit.
pub(crate) const BELOW_LIMIT: Customer = Customer {
    name: "fasil",
    key: "key-of-fasil",
    limit: (4000.0, 4000.0),
};
/// Customers of the configuration.
pub(crate) const CUSTOMERS: [Customer; 6] = [
    UNLIMITED[0],
    UNLIMITED[1],
    OVER_LIMIT,
    SMALL_FLOOD,
    LARGE_FLOOD,
    BELOW_LIMIT,
];

/// Units charged for each call, in tokens.
pub(crate) const UNITS_PER_CALL: u32 = 200;
/// Length of the sliding window in which a customer's units are counted.
pub(crate) const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// Fraction of rate and burst by which a customer may exceed its limit in a window.
pub(crate) const QUOTA_OVERRUN: f64 = 0.1;
/// Units by which a customer may exceed its limit in a window besides: ten calls, as in the deployments that the
/// gateway is made for, where the largest calls count about a tenth of the slack.
pub(crate) const QUOTA_SLACK: f64 = 10.0 * UNITS_PER_CALL as f64;

/// A route of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) prefix: &'static str,
    pub(crate) kind: Kind,
    pub(crate) timeout: Duration,
}

/// Routes of the configuration, one for each kind.
pub(crate) const ROUTES: [Route; 6] = [
    Route {
        prefix: "/get/",
        kind: Kind::Idempotent,
        timeout: Duration::from_millis(1500),
    },
    Route {
        prefix: "/once/",
        kind: Kind::AtMostOnce,
        timeout: Duration::from_millis(1500),
    },
    Route {
        prefix: "/stream/",
        kind: Kind::Stream,
        timeout: Duration::from_millis(4000),
    },
    Route {
        prefix: "/resumable-stream/",
        kind: Kind::ResumableStream,
        timeout: Duration::from_millis(4000),
    },
    Route {
        prefix: "/long-stream/",
        kind: Kind::LongStream,
        timeout: Duration::from_millis(15_000),
    },
    Route {
        prefix: "/large/",
        kind: Kind::Large,
        timeout: Duration::from_millis(12_000),
    },
];
/// Number of routes, the first in [`ROUTES`], to which callers send a random series of calls.
pub(crate) const MIXED_ROUTES: usize = 4;

/// Returns the time bounds in the format of the gateway settings file.
pub(crate) fn render_bounds() -> String {
    format!(
        "drain = {}ms\nstop = {}s\nretry_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\n\
         retry_window = {}s\nlease = {}s\nusage_window = {}s\nusage_late = {}s\n",
        DRAIN_TIME.as_millis(),
        STOP_TIMEOUT.as_secs(),
        RETRY_WINDOW.as_secs(),
        LEASE_DURATION.as_secs(),
        USAGE_WINDOW.as_secs(),
        USAGE_REPORT_TIMEOUT.as_secs(),
    )
}

/// Returns the timeout of the route with the given kind.
pub(crate) fn timeout(kind: Kind) -> Duration {
    route(kind).timeout
}

/// Returns the route with the given kind.
pub(crate) fn route(kind: Kind) -> Route {
    let at = ROUTES.iter().position(|route| route.kind == kind);
    ROUTES[at.expect("each kind has a route")]
}

/// Returns the configuration document in which idempotent calls are routed to `moving_route`.
pub(crate) fn document(version: u64, moving_route: &str) -> String {
    let routes = ROUTES.map(|route| {
        let (kind, service, resume) = match route.kind {
            Kind::Idempotent => ("safe", moving_route, false),
            Kind::AtMostOnce => ("unsafe", PLAIN_SERVICES[0], false),
            Kind::Large => ("safe", PLAIN_SERVICES[1], false),
            Kind::Stream => ("streaming", STREAM_SERVICE, false),
            Kind::ResumableStream | Kind::LongStream => ("streaming", STREAM_SERVICE, true),
        };
        format!(
            r#"{{"name":"{0}","hostname":"{HOST}","pathPrefix":"{0}","routeType":"{kind}","timeoutMs":{1},"targetLatencyMs":800,"service":"{service}","maxAttempts":{MAX_BACKENDS},"streamResume":{resume}}}"#,
            route.prefix,
            route.timeout.as_millis(),
        )
    });
    let customers = CUSTOMERS.map(|customer| {
        let (rate, burst) = customer.limit;
        format!(
            r#"{{"name":"{}","apiKeys":["{}"],"unit":"token_stream","plainTokens":{UNITS_PER_CALL},"ratePerS":{rate},"burst":{burst}}}"#,
            customer.name, customer.key,
        )
    });
    let scaling =
        r#"{"min":1,"max":4,"bootS":4,"spotPrice":0.15,"zonePrices":{"z1":1,"z2":1,"z3":1}}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{}"}},{{"name":"{}"}},{{"name":"{STREAM_SERVICE}","engine":{{"slots":16,"kvCapacity":200000}},"scaling":{scaling}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        PLAIN_SERVICES[0],
        PLAIN_SERVICES[1],
        customers.join(",")
    )
}
