//! Decodes a configuration as it was written, to check it before it is sent.

use eyre::WrapErr;
use sha2::{Digest, Sha256};

use super::{ConfigWire, CustomerWire, RouteWire, UNIT_TOKENS, millis, route_kind, targets};
use crate::core::gateway::config_check::{CustomerDraft, Draft, KeyHash, RouteDraft};
use crate::ops::gateway::dialect::Result;

/// Bytes of a key's hash that are shown.
const SHOWN_HASH_BYTES: usize = 8;

/// Decodes a configuration without the corrections that nodes make.
///
/// # Errors
///
/// Fails with line and column if the text is no configuration.
pub fn decode_draft(text: &[u8]) -> Result<Draft> {
    let wire: ConfigWire = serde_json::from_slice(text).wrap_err("reading a configuration")?;
    Ok(wire.into())
}

impl From<ConfigWire> for Draft {
    fn from(wire: ConfigWire) -> Self {
        Self {
            version: wire.version,
            routes: wire.routes.into_iter().map(RouteDraft::from).collect(),
            services: wire.services.into_iter().map(Into::into).collect(),
            customers: wire.tenants.into_iter().map(CustomerDraft::from).collect(),
            limits: wire.limits.into(),
        }
    }
}

impl From<RouteWire> for RouteDraft {
    fn from(wire: RouteWire) -> Self {
        Self {
            kind: route_kind(&wire),
            kind_name: wire.route_type,
            name: wire.name,
            host: wire.hostname,
            path_prefix: wire.path_prefix,
            timeout: millis(wire.timeout_ms),
            target_latency: millis(wire.target_latency_ms),
            target_pause: millis(wire.gap_aim_ms),
            rank: wire.priority,
            targets: targets(wire.weighted_backends, wire.service).collect(),
            max_backends: wire.max_attempts,
            is_public: wire.public,
            is_resumable: wire.stream_resume,
        }
    }
}

impl From<CustomerWire> for CustomerDraft {
    fn from(wire: CustomerWire) -> Self {
        Self {
            keys: wire.api_keys.iter().map(|key| hash_key(key)).collect(),
            counts_tokens: &*wire.unit == UNIT_TOKENS,
            name: wire.name,
            rank: wire.priority,
            per_second: wire.rate_per_s,
            burst: wire.burst,
            plain_call: wire.plain_tokens,
        }
    }
}

fn hash_key(key: &str) -> KeyHash {
    hex::encode(&Sha256::digest(key)[..SHOWN_HASH_BYTES]).into()
}
