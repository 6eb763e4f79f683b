//! Encoding of the messages between nodes.

use std::time::Duration;

use prost::Message;

use super::load_wire::LoadSumWire;
use super::quota_wire::{ChargeReplyWire, ChargeWire, LendAckWire, LendWire};
use crate::core::gateway::members::StoreKnowledge;
use crate::core::gateway::stream_origins::StreamOrigin;
use crate::core::time::Moment;
use crate::sources::store::Revision;
use crate::util::time::as_millis_u64;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct DatagramWire {
    /// Report of the sender about itself.
    #[prost(message, optional, tag = "1")]
    pub report: Option<ReportWire>,
    /// Sums over availability zones: the sender's own, or others that it forwards.
    #[prost(message, repeated, tag = "2")]
    pub sums: Vec<ZoneSumWire>,
    /// Origins of streams that the receiver keeps.
    #[prost(message, repeated, tag = "3")]
    pub origins: Vec<StreamOriginWire>,
    /// Origins of streams that the receiver writes to the store.
    #[prost(message, repeated, tag = "4")]
    pub archived_origins: Vec<StreamOriginWire>,
    /// Parts of the sender's allowance that it lends to the receiver.
    #[prost(message, optional, tag = "5")]
    pub lend: Option<LendWire>,
    /// Acknowledgement of a lend message.
    #[prost(message, optional, tag = "6")]
    pub lend_ack: Option<LendAckWire>,
    /// Request to charge a call, or to refund it.
    #[prost(message, optional, tag = "7")]
    pub charge: Option<ChargeWire>,
    /// Answer to such a request.
    #[prost(message, optional, tag = "8")]
    pub charge_reply: Option<ChargeReplyWire>,
}

/// Software version that began a stream.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOriginWire {
    /// The stream.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Identifier of the software version.
    #[prost(fixed64, tag = "2")]
    pub software: u64,
    /// Time for which the sender has had the origin, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Report of a node about itself.
#[derive(Clone, PartialEq, Message)]
pub struct ReportWire {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Random number that identifies the run of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its wall-clock time.
    #[prost(uint64, tag = "3")]
    pub wall_ms: u64,
    /// Whether it accepts new callers.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Revision up to which its view of the store is complete.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Version of its configuration.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// Its availability zone.
    #[prost(string, tag = "7")]
    pub zone: String,
    /// Its own load.
    #[prost(message, optional, tag = "8")]
    pub load: Option<LoadSumWire>,
    /// Time since the store last answered the node, in milliseconds.
    #[prost(uint64, optional, tag = "9")]
    pub store_age_ms: Option<u64>,
    /// Era of the revision.
    #[prost(uint64, tag = "10")]
    pub era: u64,
    /// Time since the era began, in milliseconds, as far as the node knows.
    #[prost(uint64, optional, tag = "11")]
    pub era_age_ms: Option<u64>,
    /// Whether it does not reach the back ends of a service.
    #[prost(bool, tag = "12")]
    pub cut_off: bool,
}

/// Sums over the nodes of an availability zone, made by the zone's aggregator.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneSumWire {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The aggregator.
    #[prost(string, tag = "2")]
    pub node: String,
    /// Random number that identifies the run of its process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Sequence number; grows with each sum of the aggregator.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Its wall-clock time.
    #[prost(uint64, tag = "5")]
    pub wall_ms: u64,
    /// Revision up to which its view of the store is complete.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Incarnations of the zone's nodes that were heard from lately and accept new callers.
    #[prost(fixed64, repeated, tag = "7")]
    pub ready: Vec<u64>,
    /// Incarnations of the zone's nodes that were heard from lately and accept no new callers.
    #[prost(fixed64, repeated, tag = "8")]
    pub not_ready: Vec<u64>,
    /// The sums.
    #[prost(message, optional, tag = "9")]
    pub load: Option<LoadSumWire>,
    /// Time since the store last answered a node of the zone, in milliseconds.
    #[prost(uint64, optional, tag = "10")]
    pub store_age_ms: Option<u64>,
    /// Era of the revision.
    #[prost(uint64, tag = "11")]
    pub era: u64,
    /// Time since the era began, in milliseconds, as far as the node knows.
    #[prost(uint64, optional, tag = "12")]
    pub era_age_ms: Option<u64>,
    /// Version of the configuration in force at the node.
    #[prost(uint64, tag = "13")]
    pub config_version: u64,
    /// Incarnations of the zone's nodes that do not reach the back ends of a service.
    #[prost(fixed64, repeated, tag = "14")]
    pub cut_off: Vec<u64>,
}

impl ReportWire {
    /// Returns what the node knows of the store.
    pub fn knowledge(&self) -> StoreKnowledge {
        StoreKnowledge {
            revision: Revision {
                era: self.era,
                number: self.revision,
            },
            config_version: self.config_version,
        }
    }
}

impl ZoneSumWire {
    /// Returns what the node that made the sums knows of the store.
    pub fn knowledge(&self) -> StoreKnowledge {
        StoreKnowledge {
            revision: Revision {
                era: self.era,
                number: self.revision,
            },
            config_version: self.config_version,
        }
    }
}

impl StreamOriginWire {
    /// Returns the message for an origin that is sent at `now`.
    pub fn new(origin: &StreamOrigin, now: Moment) -> Self {
        Self {
            stream: origin.stream,
            software: origin.software,
            age_ms: as_millis_u64(now.saturating_sub(origin.at)),
        }
    }

    /// Returns the origin, which was received at `now`.
    pub fn received(&self, now: Moment) -> StreamOrigin {
        StreamOrigin {
            stream: self.stream,
            software: self.software,
            at: now.saturating_sub(Duration::from_millis(self.age_ms)),
        }
    }
}
