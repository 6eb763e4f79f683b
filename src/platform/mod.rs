//! Adapter of the users' platform: names on its wire, decoded once into the product's types.
//!
//! Nothing here decides anything, and nothing outside knows a name of that wire.

mod config;
mod directory;
mod duties;
pub mod headers;
mod registry;
mod store;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use serde::de::DeserializeOwned;

use crate::core::gateway::backends::Backend;
use crate::core::gateway::routes::RouteTable;
use crate::ops::gateway::dialect::{CallHead, Dialect, ForwardMetadata, ResponseHead, Result};

pub use duties::CloudDuties;
pub use store::{PlatformStore, PlatformStoreConfig};

/// Decodes a JSON object. serde would take a list for a type with named fields, too.
fn decode_object<T: DeserializeOwned>(text: &[u8], what: &'static str) -> Result<T> {
    let object: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(text).wrap_err(what)?;
    serde_json::from_value(object.into()).wrap_err(what)
}

/// The platform's names.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformDialect;

impl Dialect for PlatformDialect {
    fn call_head(&self, headers: &HeaderMap) -> CallHead {
        headers::call_head(headers)
    }

    fn forward_head(&self, headers: &HeaderMap, send: &ForwardMetadata<'_>) -> HeaderMap {
        headers::forward_head(headers, send)
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

    fn decode_directory_query(&self, query: &str) -> (Box<str>, Box<str>) {
        directory::question(query)
    }

    fn encode_directory_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8> {
        directory::answer(addresses, ttl)
    }
}
