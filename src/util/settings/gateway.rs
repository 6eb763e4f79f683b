//! Settings of a node that runs as a gateway on the users' platform.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{LOG, LogFormat, LogSettings, NODE, Problems, Reader, Result};
use crate::util::schema::{KeySpec, SectionSpec, ValueKind};

/// Bytes in a megabyte of memory.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Allowed range of durations.
const ANY_DURATION: ValueKind = ValueKind::Time {
    min: Duration::ZERO,
    max: Duration::from_secs(10_000 * 24 * 3600),
};

/// Addresses of the gateway and of its dependencies.
pub const GATEWAY: SectionSpec = SectionSpec {
    kind: "gateway",
    is_named: false,
    keys: &[
        KeySpec::required("callers", ValueKind::Address, "address for callers"),
        KeySpec::required(
            "readiness",
            ValueKind::Address,
            "address for checks of readiness",
        ),
        KeySpec::required(
            "directory",
            ValueKind::Address,
            "address for questions where to connect",
        ),
        KeySpec::required(
            "control",
            ValueKind::Address,
            "address for other nodes that fetch state, and for metrics",
        ),
        KeySpec::required(
            "peers",
            ValueKind::Address,
            "address for datagrams between nodes",
        ),
        KeySpec::optional(
            "seeds",
            ValueKind::Text,
            "",
            "control addresses of other nodes, with commas between them",
        ),
        KeySpec::required(
            "regions",
            ValueKind::Text,
            "availability zones with their regions, as ZONE:REGION with commas between them",
        ),
        KeySpec::optional(
            "first_start",
            ValueKind::YesNo,
            "no",
            "whether the whole system starts for the first time, so that no other node holds a duty",
        ),
        KeySpec::required("store", ValueKind::Url, "the platform's store"),
        KeySpec::optional(
            "cloud",
            ValueKind::Url,
            "",
            "the platform's interface for duties; without one nodes have none",
        ),
        KeySpec::optional(
            "cores",
            ValueKind::Decimal,
            "1",
            "processor of the VM, in cores or parts of one",
        ),
        KeySpec::optional(
            "link",
            ValueKind::Decimal,
            "1000",
            "the VM's link to the network, in Mbit/s",
        ),
        KeySpec::optional(
            "memory",
            ValueKind::Decimal,
            "160",
            "memory that the process may use, in MB",
        ),
        KeySpec::optional(
            "learn_limits",
            ValueKind::YesNo,
            "no",
            "whether to learn how many calls each back end takes well",
        ),
    ],
};

/// Operational limits that operators configure and the gateway enforces.
pub const BOUNDS: SectionSpec = SectionSpec {
    kind: "bounds",
    is_named: false,
    keys: &[
        KeySpec::optional(
            "drain",
            ANY_DURATION,
            "2500ms",
            "time after which a leaving back end gets no call",
        ),
        KeySpec::optional("stop", ANY_DURATION, "8s", "time from SIGTERM to SIGKILL"),
        KeySpec::optional(
            "retry_ratio",
            ValueKind::Decimal,
            "0.2",
            "second sends for each call, over all nodes",
        ),
        KeySpec::optional(
            "retry_slack",
            ValueKind::Decimal,
            "50",
            "second sends besides, over all nodes",
        ),
        KeySpec::optional(
            "retry_window",
            ANY_DURATION,
            "10s",
            "span in which second sends are counted",
        ),
        KeySpec::optional(
            "lease",
            ANY_DURATION,
            "3s",
            "shortest time between calls of one duty by A, B and A again",
        ),
        KeySpec::optional(
            "usage_window",
            ANY_DURATION,
            "5s",
            "length of a window of usage",
        ),
        KeySpec::optional(
            "usage_late",
            ANY_DURATION,
            "10s",
            "time after a window within which its usage is reported",
        ),
        KeySpec::optional(
            "directory_ttl",
            ANY_DURATION,
            "5s",
            "longest time for which callers keep an answer",
        ),
        KeySpec::optional(
            "exposure",
            ValueKind::Decimal,
            "0",
            "part of a service's calls that a new version gets before its rollout has succeeded; 0 leaves orders out",
        ),
        KeySpec::optional(
            "exposure_slack",
            ValueKind::Decimal,
            "0",
            "calls of a new version besides, over all nodes",
        ),
        KeySpec::optional(
            "rollback",
            ANY_DURATION,
            "5s",
            "time after which a new version that has shown to be bad gets no call",
        ),
    ],
};

/// Sections of a gateway's settings.
pub const GATEWAY_SECTIONS: [&SectionSpec; 4] = [&NODE, &GATEWAY, &BOUNDS, &LOG];

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node.
    pub name: Box<str>,
    /// Region of the node.
    pub region: Box<str>,
    /// Availability zone of the node.
    pub zone: Box<str>,
    /// Listen addresses.
    pub listen: GatewayListen,
    /// Control addresses of other nodes, for the initial contact.
    pub seeds: Vec<SocketAddr>,
    /// Region of each availability zone.
    pub regions: HashMap<Box<str>, Box<str>>,
    /// URL of the platform's store.
    pub store: Box<str>,
    /// URL of the platform's interface for duties; empty if there is none.
    pub cloud: Box<str>,
    /// Processor capacity of the VM, in cores.
    pub cores: f64,
    /// Network bandwidth of the VM, in Mbit/s.
    pub link_mbps: f64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Whether the whole system starts for the first time, so that no other node can hold a duty.
    pub is_first_start: bool,
    /// Whether to learn how many calls each back end takes well.
    pub learns_limits: bool,
    /// Operational limits.
    pub bounds: GatewayBounds,
    /// Log output.
    pub log: LogSettings,
}

/// Listen addresses of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness probes.
    pub readiness: SocketAddr,
    /// For callers that look up which nodes to connect to.
    pub directory: SocketAddr,
    /// For HTTP requests of other nodes and for metrics.
    pub control: SocketAddr,
    /// For datagrams of other nodes.
    pub peers: SocketAddr,
}

/// Operational limits that operators configure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// Time after which a leaving back end receives no more calls.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub stop: Duration,
    /// Retry budget in proportion to calls, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed in addition to `retry_ratio`, over all nodes.
    pub retry_slack: f64,
    /// Window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Lease time of a duty: the shortest time in which its calls may change from node A to node B and back
    /// to A.
    pub lease: Duration,
    /// Length of a usage accounting window.
    pub usage_window: Duration,
    /// Time limit for reporting the usage of a window after its end.
    pub usage_late: Duration,
    /// Longest time for which callers cache an answer of the directory.
    pub directory_ttl: Duration,
    /// Largest part of a service's calls that a new software version gets before its rollout has succeeded; 0 leaves
    /// orders out.
    pub exposure: f64,
    /// Calls of a new version allowed in addition to `exposure`, over all nodes.
    pub exposure_slack: f64,
    /// Time after which a new version that has shown to be bad gets no call.
    pub rollback: Duration,
}

impl GatewaySettings {
    /// Loads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or its text has problems; reports all of them.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        let path = path.as_ref();
        let text = super::read_file(path)?;
        Self::parse(&text).map_err(|problems| super::invalid_settings(path, problems))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the text.
    pub fn parse(text: &str) -> std::result::Result<Self, Problems> {
        let mut reader = Reader::new(text, &GATEWAY_SECTIONS);
        let settings = read(&mut reader);
        reader.finish(settings)
    }
}

fn read(reader: &mut Reader) -> Option<GatewaySettings> {
    let node = reader.read_section(&NODE, |fields| {
        (
            fields.name("vm"),
            fields.name("region"),
            fields.name("zone"),
        )
    });
    let (name, region, zone) = node;
    let listen = reader.read_section(&GATEWAY, |fields| {
        Some(GatewayListen {
            callers: fields.address("callers")?,
            readiness: fields.address("readiness")?,
            directory: fields.address("directory")?,
            control: fields.address("control")?,
            peers: fields.address("peers")?,
        })
    });
    let texts = reader.read_section(&GATEWAY, |fields| {
        (
            fields.text("seeds"),
            fields.text("regions"),
            fields.url("store"),
            fields.url("cloud"),
            fields.yes_no("first_start"),
            fields.yes_no("learn_limits"),
        )
    });
    let (seeds, regions, store, cloud, is_first_start, learns_limits) = texts;
    let (cores, link_mbps, memory_mb) = reader.read_section(&GATEWAY, |fields| {
        (
            fields.decimal("cores"),
            fields.decimal("link"),
            fields.decimal("memory"),
        )
    });
    let bounds = reader.read_section(&BOUNDS, |fields| GatewayBounds {
        drain: fields.duration("drain"),
        stop: fields.duration("stop"),
        retry_ratio: fields.decimal("retry_ratio"),
        retry_slack: fields.decimal("retry_slack"),
        retry_window: fields.duration("retry_window"),
        lease: fields.duration("lease"),
        usage_window: fields.duration("usage_window"),
        usage_late: fields.duration("usage_late"),
        directory_ttl: fields.duration("directory_ttl"),
        exposure: fields.decimal("exposure"),
        exposure_slack: fields.decimal("exposure_slack"),
        rollback: fields.duration("rollback"),
    });
    let seeds = read_seeds(reader, &seeds);
    let regions = read_regions(reader, &regions);
    let log = reader.read_log();
    Some(GatewaySettings {
        name,
        region,
        zone,
        listen: listen?,
        seeds,
        regions,
        store,
        cloud,
        cores,
        link_mbps,
        memory_bytes: (memory_mb * BYTES_PER_MB) as u64,
        is_first_start,
        learns_limits,
        bounds,
        log,
    })
}

fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

fn read_seeds(reader: &mut Reader, text: &str) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for item in split_list(text) {
        match item.parse() {
            Ok(seed) => seeds.push(seed),
            Err(_) => {
                let message = format!("{item:?} is not an address");
                reader.report(
                    "gateway",
                    "seeds",
                    message,
                    "write IP:PORT with commas between",
                );
            }
        }
    }
    seeds
}

fn read_regions(reader: &mut Reader, text: &str) -> HashMap<Box<str>, Box<str>> {
    let mut regions = HashMap::new();
    for item in split_list(text) {
        match item.split_once(':') {
            Some((zone, region)) => {
                regions.insert(zone.trim().into(), region.trim().into());
            }
            None => {
                let message = format!("{item:?} names no region");
                reader.report(
                    "gateway",
                    "regions",
                    message,
                    "write ZONE:REGION with commas between",
                );
            }
        }
    }
    regions
}

impl Reader {
    /// Reads the `[log]` section.
    pub(super) fn read_log(&mut self) -> LogSettings {
        self.read_section(&LOG, |fields| LogSettings {
            format: match &*fields.choice("format") {
                "json" => LogFormat::Json,
                _ => LogFormat::Text,
            },
            filter: fields.text("filter"),
        })
    }
}
