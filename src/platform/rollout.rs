//! Orders of the operators to move a service to another software version, and the status that they read.

use std::time::Duration;

use eyre::eyre;
use serde::{Deserialize, Serialize};

use crate::core::gateway::rollout::lifecycle::{PublishedRollout, RolloutOrder, RolloutState};
use crate::core::gateway::software::SoftwareVersion;
use crate::ops::gateway::dialect::Result;

/// Key prefix of the orders; the rest of a key is the service's name.
pub(super) const ORDER_PREFIX: &str = "op/rollout/";
/// Key prefix of the status, followed by the service's name.
const STATUS_PREFIX: &str = "status/rollout/";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct OrderWire {
    service: Box<str>,
    target: SoftwareVersion,
    duration_s: f64,
}

#[derive(Serialize, Deserialize)]
struct StatusWire {
    state: StateWire,
    target: SoftwareVersion,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateWire {
    Running,
    Succeeded,
    RolledBack,
}

impl From<RolloutState> for StateWire {
    fn from(state: RolloutState) -> Self {
        match state {
            RolloutState::Running => Self::Running,
            RolloutState::Succeeded => Self::Succeeded,
            RolloutState::RolledBack => Self::RolledBack,
        }
    }
}

impl From<StateWire> for RolloutState {
    fn from(state: StateWire) -> Self {
        match state {
            StateWire::Running => Self::Running,
            StateWire::Succeeded => Self::Succeeded,
            StateWire::RolledBack => Self::RolledBack,
        }
    }
}

/// Decodes an order. `service` is the part of its key after the prefix.
pub(super) fn decode_order(service: &str, text: &[u8]) -> Result<RolloutOrder> {
    let wire: OrderWire = super::decode_object(text, "reading an order of a rollout")?;
    if *wire.service != *service {
        return Err(eyre!("it names the service {:?}", wire.service));
    }
    if wire.target.is_empty() {
        return Err(eyre!("it names no target"));
    }
    let duration = Duration::try_from_secs_f64(wire.duration_s)?;
    Ok(RolloutOrder {
        service: wire.service,
        target: wire.target,
        duration,
    })
}

/// Returns the key of the status of a service's rollout.
pub(super) fn status_key(service: &str) -> String {
    format!("{STATUS_PREFIX}{service}")
}

/// Encodes a status.
pub(super) fn encode_status(status: &PublishedRollout) -> Vec<u8> {
    let wire = StatusWire {
        state: status.state.into(),
        target: status.target.clone(),
    };
    serde_json::to_vec(&wire).expect("two texts serialize to JSON")
}

/// Decodes a status.
pub(super) fn decode_status(text: &[u8]) -> Result<PublishedRollout> {
    let wire: StatusWire = super::decode_object(text, "reading the status of a rollout")?;
    Ok(PublishedRollout {
        state: wire.state.into(),
        target: wire.target,
    })
}
