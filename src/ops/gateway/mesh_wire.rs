//! Messages between nodes, and how they are encoded.

use std::collections::HashMap;

use prost::Message;

use crate::core::gateway::load::{Load, RANKS};
use crate::core::gateway::quota::ZoneTotals;
use crate::core::gateway::routes::{CustomerName, ServiceName};
use crate::core::gateway::usage::{Counts, Window};

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct DatagramWire {
    /// What the sender tells of itself.
    #[prost(message, optional, tag = "1")]
    pub report: Option<ReportWire>,
    /// Sums over availability zones, that of the sender or others that it passes on.
    #[prost(message, repeated, tag = "2")]
    pub sums: Vec<ZoneSumWire>,
}

/// What a node tells of itself.
#[derive(Clone, PartialEq, Message)]
pub struct ReportWire {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Start of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its time of day.
    #[prost(uint64, tag = "3")]
    pub wall_ms: u64,
    /// Whether it takes new callers.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Revision of the store up to which it knows all changes.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Version of its configuration.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// Its availability zone.
    #[prost(string, tag = "7")]
    pub zone: String,
    /// Its part of the load.
    #[prost(message, optional, tag = "8")]
    pub load: Option<LoadSumWire>,
}

/// Sums over the nodes of an availability zone, as one of them knows them.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneSumWire {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Node that tells.
    #[prost(string, tag = "2")]
    pub node: String,
    /// Start of its process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Grows with each sum that it tells.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Its time of day.
    #[prost(uint64, tag = "5")]
    pub wall_ms: u64,
    /// Revision of the store up to which it knows all changes.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Starts of the processes of the zone's nodes that were heard of lately and take new callers.
    #[prost(fixed64, repeated, tag = "7")]
    pub ready: Vec<u64>,
    /// The same of those that take none.
    #[prost(fixed64, repeated, tag = "8")]
    pub not_ready: Vec<u64>,
    /// The sums.
    #[prost(message, optional, tag = "9")]
    pub load: Option<LoadSumWire>,
}

/// What one node has let through and works on, or all nodes of an availability zone.
#[derive(Clone, PartialEq, Message)]
pub struct LoadSumWire {
    /// Units let through for each customer.
    #[prost(message, repeated, tag = "1")]
    pub totals: Vec<TotalWire>,
    /// Counts of calls.
    #[prost(message, repeated, tag = "2")]
    pub usage: Vec<CountWire>,
    /// Work in milliseconds a second for each service.
    #[prost(message, repeated, tag = "3")]
    pub work: Vec<RateWire>,
    /// Calls at back ends, where the receiver is in the same region.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadWire>,
    /// Whether `loads` is complete.
    #[prost(bool, tag = "5")]
    pub has_loads: bool,
    /// Short names of processes of back ends that said lately that they are leaving.
    #[prost(fixed32, repeated, tag = "6")]
    pub leaving: Vec<u32>,
}

/// What was let through for a customer.
#[derive(Clone, PartialEq, Message)]
pub struct TotalWire {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Units.
    #[prost(double, tag = "2")]
    pub units: f64,
}

/// Work of a service.
#[derive(Clone, PartialEq, Message)]
pub struct RateWire {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Units a second.
    #[prost(float, tag = "2")]
    pub per_second: f32,
}

/// Calls of a customer in a window.
#[derive(Clone, PartialEq, Message)]
pub struct CountWire {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Calls.
    #[prost(uint32, tag = "3")]
    pub calls: u32,
}

/// Calls at a back end.
#[derive(Clone, PartialEq, Message)]
pub struct LoadWire {
    /// Short name of the back end.
    #[prost(fixed32, tag = "1")]
    pub backend: u32,
    /// Calls.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
    /// Tokens that they hold.
    #[prost(uint32, tag = "3")]
    pub kv_tokens: u32,
    /// Calls without a first event, by rank.
    #[prost(uint32, repeated, tag = "4")]
    pub waiting: Vec<u32>,
    /// Tokens yet to be read, by rank.
    #[prost(uint32, repeated, tag = "5")]
    pub unread: Vec<u32>,
}

impl LoadSumWire {
    /// Sets what was let through.
    pub fn set_totals(&mut self, totals: Vec<(CustomerName, f64)>) {
        let totals = totals.into_iter();
        self.totals = totals
            .map(|(customer, units)| TotalWire {
                customer: customer.into(),
                units,
            })
            .collect();
    }

    /// Returns what was let through.
    pub fn totals(&self) -> Vec<(CustomerName, f64)> {
        let totals = self.totals.iter();
        totals
            .map(|total| (total.customer.as_str().into(), total.units))
            .collect()
    }

    /// Adds the counts of a window.
    pub fn add_usage(&mut self, window: Window, counts: &Counts) {
        self.usage
            .extend(counts.iter().map(|(customer, calls)| CountWire {
                window,
                customer: customer.to_string(),
                calls: *calls,
            }));
    }

    /// Returns the counts of each window.
    pub fn usage(&self) -> HashMap<Window, Counts> {
        let mut usage: HashMap<Window, Counts> = HashMap::new();
        for count in &self.usage {
            let counts = usage.entry(count.window).or_default();
            counts.insert(count.customer.as_str().into(), count.calls);
        }
        usage
    }

    /// Sets the work of services.
    pub fn set_work(&mut self, work: impl IntoIterator<Item = (ServiceName, f64)>) {
        let work = work.into_iter();
        self.work = work
            .map(|(name, per_second)| RateWire {
                name: name.into(),
                per_second: per_second as f32,
            })
            .collect();
    }

    /// Returns the work of services.
    pub fn work(&self) -> Vec<(ServiceName, f64)> {
        let work = self.work.iter();
        work.map(|rate| (rate.name.as_str().into(), f64::from(rate.per_second)))
            .collect()
    }

    /// Sets the calls at back ends.
    pub fn set_loads(&mut self, loads: &[(u32, Load)]) {
        self.loads = loads.iter().map(Into::into).collect();
        self.has_loads = true;
    }

    /// Returns the calls at back ends, where they were told.
    pub fn loads(&self) -> Option<HashMap<u32, Load>> {
        let loads = self.loads.iter();
        self.has_loads
            .then(|| loads.map(|load| (load.backend, load.into())).collect())
    }
}

impl ZoneSumWire {
    /// Returns what the zone's nodes have let through.
    pub fn totals(&self) -> ZoneTotals {
        ZoneTotals {
            zone: self.zone.as_str().into(),
            sender_incarnation: self.incarnation,
            nodes: self.ready.len() + self.not_ready.len(),
            totals: self
                .load
                .as_ref()
                .map(LoadSumWire::totals)
                .unwrap_or_default(),
        }
    }
}

impl From<&(u32, Load)> for LoadWire {
    fn from((backend, load): &(u32, Load)) -> Self {
        let ranks = |values: &[u32; RANKS]| {
            let used = values.iter().rposition(|v| *v > 0).map_or(0, |at| at + 1);
            values[..used].to_vec()
        };
        Self {
            backend: *backend,
            calls: load.calls,
            kv_tokens: load.kv_tokens,
            waiting: ranks(&load.waiting),
            unread: ranks(&load.unread),
        }
    }
}

impl From<&LoadWire> for Load {
    fn from(wire: &LoadWire) -> Self {
        let mut load = Self {
            calls: wire.calls,
            kv_tokens: wire.kv_tokens,
            ..Self::default()
        };
        for (rank, value) in wire.waiting.iter().take(RANKS).enumerate() {
            load.waiting[rank] = *value;
        }
        for (rank, value) in wire.unread.iter().take(RANKS).enumerate() {
            load.unread[rank] = *value;
        }
        load
    }
}
