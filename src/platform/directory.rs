//! Callers' question for addresses.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct AnswerWire<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: f64,
}

/// Reads region and availability zone of the caller from a query.
pub(super) fn question(query: &str) -> (Box<str>, Box<str>) {
    let value = |name: &str| -> Box<str> {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.into())
            .unwrap_or_default()
    };
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
