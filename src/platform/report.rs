//! Reports of back ends on themselves.

use serde::Deserialize;

use crate::core::gateway::listed_process::ProcessStart;
use crate::ops::gateway::dialect::Result;

/// Path of the report.
pub(super) const PATH: &str = "/report";

/// The part of a report that identifies the process.
#[derive(Deserialize)]
struct ReportWire {
    /// Start of the process in milliseconds since 1970.
    born: u64,
}

/// Decodes the start of the process from a report. Reports are not trusted: one without a start is an error.
pub(super) fn decode(text: &[u8]) -> Result<ProcessStart> {
    let wire: ReportWire = super::decode_object(text, "reading the report of a back end")?;
    Ok(wire.born)
}
