//! Registry entries, which back ends write into the store.

use eyre::{WrapErr, eyre};
use serde::Deserialize;

use crate::core::gateway::backends::Backend;
use crate::ops::gateway::dialect::Result;

/// Key prefix of the entries; the rest of a key is the back end's name.
pub(super) const PREFIX: &str = "servers/";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EntryWire {
    service: Box<str>,
    address: Box<str>,
    zone: Box<str>,
    slots: u32,
    state: Box<str>,
    /// Start of the process in milliseconds since 1970.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    spot: bool,
    /// Version of the software.
    #[serde(default)]
    version: serde_json::Value,
}

/// Decodes an entry. Entries are not trusted: an invalid one is an error and adds no back end.
pub(super) fn decode(id: &str, text: &[u8]) -> Result<Backend> {
    let wire: EntryWire = super::decode_object(text, "reading an entry of a back end")?;
    let is_leaving = match &*wire.state {
        "ready" => false,
        "draining" => true,
        other => return Err(eyre!("state {other:?} is not known")),
    };
    let address = wire
        .address
        .parse()
        .wrap_err_with(|| format!("address {:?} is not an IP number and a port", wire.address))?;
    Ok(Backend {
        id: id.into(),
        service: wire.service,
        address,
        zone: wire.zone,
        slots: wire.slots,
        is_leaving,
        started: wire.born,
        is_spot: wire.spot,
        software: wire
            .version
            .as_str()
            .filter(|v| !v.is_empty())
            .map(Into::into),
    })
}
