//! `jayhall history`

use jayhall::core::time::UnixMillis;
use jayhall::operators::wire::HistoryEntry;

use super::print_body;
use crate::failure::Failure;
use crate::options::CommandLine;
use crate::table::format_table;

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [] = command_line.arguments()?;
    let entries = command_line.client()?.history().await?;
    print_body(command_line, &entries, |entries| {
        let rows: Vec<_> = entries.iter().map(row).collect();
        format_table(["REVISION", "PUBLISHED", "BY", "CHANGED"], &rows)
    })
}

fn row(entry: &HistoryEntry) -> [String; 4] {
    let changed = match &entry.changed {
        Some(headings) => headings.join(", "),
        None => "whole text".into(),
    };
    [
        entry.revision.to_string(),
        format_time(entry.published_at),
        entry.author.to_string(),
        changed,
    ]
}

/// Returns a time as `2026-01-31 12:00:00 UTC`.
fn format_time(millis: UnixMillis) -> String {
    jayhall::util::time::format_utc(millis)
}
