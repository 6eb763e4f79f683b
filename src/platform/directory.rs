//! Query and answer of the directory, where callers look up addresses of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::util::query;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct AnswerWire<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: f64,
}

/// Returns the caller's region and availability zone from the query string.
pub(super) fn parse_query(query: &str) -> (Box<str>, Box<str>) {
    let value = |name| query::value(query, name).unwrap_or_default().into();
    (value("region"), value("zone"))
}

/// Encodes an answer as JSON.
pub(super) fn encode_answer(addresses: &[SocketAddr], ttl: Duration) -> Vec<u8> {
    let wire = AnswerWire {
        addresses,
        ttl_s: ttl.as_secs_f64(),
    };
    serde_json::to_vec(&wire).expect("addresses and a number serialize to JSON")
}
