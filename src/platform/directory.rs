//! Callers' question for addresses.

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

/// Reads region and availability zone of the caller from a query.
pub(super) fn question(query: &str) -> (Box<str>, Box<str>) {
    let value = |name| query::value(query, name).unwrap_or_default().into();
    (value("region"), value("zone"))
}

/// Returns an answer as JSON.
pub(super) fn answer(addresses: &[SocketAddr], ttl: Duration) -> Vec<u8> {
    let wire = AnswerWire {
        addresses,
        ttl_s: ttl.as_secs_f64(),
    };
    serde_json::to_vec(&wire).expect("addresses and a number can be written as JSON")
}
