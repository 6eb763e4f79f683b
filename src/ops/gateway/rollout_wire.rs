//! Encoding of the records of rollouts in the store, and of the counts of answers between nodes.

use std::collections::HashMap;
use std::time::Duration;

use prost::Message;
use serde::{Deserialize, Serialize};

use crate::core::gateway::rollout::evidence::{
    Counts, CountsByRoute, RouteCounts, RouteId, TIME_BUCKETS,
};
use crate::core::gateway::rollout::lifecycle::{Phase, RolloutId, RolloutRecord};
use crate::core::gateway::software::SoftwareVersion;
use crate::core::time::UnixMillis;
use crate::util::time::as_millis_u64;

/// Record of a rollout in the store.
#[derive(Serialize, Deserialize)]
struct RecordWire {
    target: SoftwareVersion,
    phase: PhaseWire,
    ordered_at_ms: UnixMillis,
    duration_ms: u64,
    changed_at_ms: UnixMillis,
    replaced: Vec<SoftwareVersion>,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PhaseWire {
    Canary,
    Promoted,
    Succeeded,
    RolledBack,
}

impl From<Phase> for PhaseWire {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Canary => Self::Canary,
            Phase::Promoted => Self::Promoted,
            Phase::Succeeded => Self::Succeeded,
            Phase::RolledBack => Self::RolledBack,
        }
    }
}

impl From<PhaseWire> for Phase {
    fn from(phase: PhaseWire) -> Self {
        match phase {
            PhaseWire::Canary => Self::Canary,
            PhaseWire::Promoted => Self::Promoted,
            PhaseWire::Succeeded => Self::Succeeded,
            PhaseWire::RolledBack => Self::RolledBack,
        }
    }
}

impl From<&RolloutRecord> for RecordWire {
    fn from(record: &RolloutRecord) -> Self {
        Self {
            target: record.target.clone(),
            phase: record.phase.into(),
            ordered_at_ms: record.ordered_at,
            duration_ms: as_millis_u64(record.duration),
            changed_at_ms: record.changed_at,
            replaced: record.replaced.clone(),
        }
    }
}

impl From<RecordWire> for RolloutRecord {
    fn from(wire: RecordWire) -> Self {
        Self {
            target: wire.target,
            phase: wire.phase.into(),
            ordered_at: wire.ordered_at_ms,
            duration: Duration::from_millis(wire.duration_ms),
            changed_at: wire.changed_at_ms,
            replaced: wire.replaced,
        }
    }
}

/// Encodes a record.
///
/// # Errors
///
/// Fails if serialization fails.
pub fn encode_record(record: &RolloutRecord) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&RecordWire::from(record))
}

/// Decodes a record.
///
/// # Errors
///
/// Fails if the text is not a valid record.
pub fn decode_record(text: &[u8]) -> serde_json::Result<RolloutRecord> {
    serde_json::from_slice::<RecordWire>(text).map(Into::into)
}

/// Answers on a route of a service during a rollout.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutCountWire {
    /// The rollout.
    #[prost(fixed64, tag = "1")]
    pub rollout: u64,
    /// The route.
    #[prost(fixed32, tag = "2")]
    pub route: u32,
    /// Answers of the old versions.
    #[prost(message, optional, tag = "3")]
    pub old: Option<GroupCountWire>,
    /// Answers of the new version.
    #[prost(message, optional, tag = "4")]
    pub new: Option<GroupCountWire>,
}

/// Answers of a group of back ends.
#[derive(Clone, PartialEq, Message)]
pub struct GroupCountWire {
    /// Answers, also those that are failures.
    #[prost(uint32, tag = "1")]
    pub answers: u32,
    /// Answers that are failures.
    #[prost(uint32, tag = "2")]
    pub failures: u32,
    /// Answers by time, in buckets; empty ones at the end are left out.
    #[prost(uint32, repeated, tag = "3")]
    pub times: Vec<u32>,
}

impl From<&Counts> for GroupCountWire {
    fn from(counts: &Counts) -> Self {
        let used = counts.times.iter().rposition(|count| *count > 0);
        Self {
            answers: counts.answers,
            failures: counts.failures,
            times: counts.times[..used.map_or(0, |at| at + 1)].to_vec(),
        }
    }
}

impl From<&GroupCountWire> for Counts {
    fn from(wire: &GroupCountWire) -> Self {
        let mut counts = Self {
            answers: wire.answers,
            failures: wire.failures,
            ..Self::default()
        };
        for (bucket, count) in wire.times.iter().take(TIME_BUCKETS).enumerate() {
            counts.times[bucket] = *count;
        }
        counts
    }
}

/// Encodes counts for other nodes.
pub fn encode_counts(counts: &[(RolloutId, RouteId, RouteCounts)]) -> Vec<RolloutCountWire> {
    let counts = counts.iter();
    counts
        .map(|(rollout, route, counts)| RolloutCountWire {
            rollout: *rollout,
            route: *route,
            old: Some((&counts.old).into()),
            new: Some((&counts.new).into()),
        })
        .collect()
}

/// Decodes the counts of another node or zone.
pub fn decode_counts(wires: &[RolloutCountWire]) -> HashMap<RolloutId, CountsByRoute> {
    let mut rollouts: HashMap<RolloutId, CountsByRoute> = HashMap::new();
    for wire in wires {
        let group =
            |wire: &Option<GroupCountWire>| wire.as_ref().map_or_else(Counts::default, Into::into);
        let counts = RouteCounts {
            old: group(&wire.old),
            new: group(&wire.new),
        };
        rollouts
            .entry(wire.rollout)
            .or_default()
            .insert(wire.route, counts);
    }
    rollouts
}
