//! `jayhall history`

use jayhall::core::time::UnixMillis;
use jayhall::operators::wire::HistoryEntry;

use super::print;
use crate::failure::Failure;
use crate::options::CommandLine;
use crate::table::columns;

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    let [] = line.arguments()?;
    let entries = line.client()?.history().await?;
    print(line, &entries, |entries| {
        let rows: Vec<_> = entries.iter().map(row).collect();
        columns(["REVISION", "PUBLISHED", "BY", "CHANGED"], &rows)
    })
}

fn row(entry: &HistoryEntry) -> [String; 4] {
    let changed = match &entry.changed {
        Some(headings) => headings.join(", "),
        None => "whole text".into(),
    };
    [
        entry.revision.to_string(),
        utc(entry.published_at),
        entry.author.to_string(),
        changed,
    ]
}

/// Returns a time as `2026-01-31 12:00:00 UTC`.
fn utc(millis: UnixMillis) -> String {
    jayhall::util::time::format_utc(millis)
}
