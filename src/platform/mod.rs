//! Adapter for the users' platform: translates its wire formats into the gateway's types.
//!
//! The module makes no decisions, and no code outside it uses the names of the wire formats.

mod config;
mod directory;
mod duties;
pub mod headers;
mod registry;
mod report;
mod rollout;
mod store;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use serde::de::DeserializeOwned;

use crate::core::gateway::backends::Backend;
use crate::core::gateway::listed_process::ProcessStart;
use crate::core::gateway::rollout::lifecycle::{PublishedRollout, RolloutOrder};
use crate::core::gateway::routes::RouteTable;
use crate::ops::gateway::dialect::{CallHead, Dialect, ForwardMetadata, ResponseHead, Result};

pub use config::decode_draft;
pub use duties::CloudDuties;
pub use store::{PlatformStore, PlatformStoreConfig};

/// Decodes a JSON object. Arrays are rejected, which serde would accept for a struct.
fn decode_object<T: DeserializeOwned>(text: &[u8], context: &'static str) -> Result<T> {
    let object: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(text).wrap_err(context)?;
    serde_json::from_value(object.into()).wrap_err(context)
}

/// Headers, keys and formats of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformDialect;

impl Dialect for PlatformDialect {
    fn call_head(&self, headers: &HeaderMap) -> CallHead {
        headers::call_head(headers)
    }

    fn forward_head(&self, headers: &HeaderMap, send: &ForwardMetadata<'_>) -> HeaderMap {
        headers::forward_head(headers, send)
    }

    fn node_head(
        &self,
        headers: &HeaderMap,
        deadline: Duration,
        last_event: Option<u64>,
    ) -> HeaderMap {
        headers::node_head(headers, deadline, last_event)
    }

    fn response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead {
        headers::response_head(status, headers)
    }

    fn response_for_caller(&self, headers: HeaderMap) -> HeaderMap {
        headers::response_for_caller(headers)
    }

    fn retry_after(&self, after: Duration) -> HeaderValue {
        headers::retry_after(after)
    }

    fn config_key(&self) -> &'static str {
        config::KEY
    }

    fn backend_prefix(&self) -> &'static str {
        registry::PREFIX
    }

    fn decode_table(&self, text: &[u8]) -> Result<RouteTable> {
        config::decode(text)
    }

    fn decode_backend(&self, id: &str, text: &[u8]) -> Result<Backend> {
        registry::decode(id, text)
    }

    fn rollout_prefix(&self) -> &'static str {
        rollout::ORDER_PREFIX
    }

    fn decode_rollout_order(&self, service: &str, text: &[u8]) -> Result<RolloutOrder> {
        rollout::decode_order(service, text)
    }

    fn rollout_status_key(&self, service: &str) -> String {
        rollout::status_key(service)
    }

    fn encode_rollout_status(&self, status: &PublishedRollout) -> Vec<u8> {
        rollout::encode_status(status)
    }

    fn decode_rollout_status(&self, text: &[u8]) -> Result<PublishedRollout> {
        rollout::decode_status(text)
    }

    fn report_path(&self) -> &'static str {
        report::PATH
    }

    fn decode_report(&self, text: &[u8]) -> Result<ProcessStart> {
        report::decode(text)
    }

    fn decode_directory_query(&self, query: &str) -> (Box<str>, Box<str>) {
        directory::parse_query(query)
    }

    fn encode_directory_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8> {
        directory::encode_answer(addresses, ttl)
    }
}
