//! `jayhall status`

use jayhall::operators::wire::{BackendBody, NodeBody, QueueBody, StatusBody};

use super::print_body;
use crate::failure::Failure;
use crate::options::CommandLine;
use crate::table::format_table;

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [] = command_line.arguments()?;
    let status = command_line.client()?.status().await?;
    print_body(command_line, &status, format_status)
}

fn format_status(status: &StatusBody) -> String {
    let summary = format!(
        "{} is {}, with revision {} in force\n",
        status.node, status.phase, status.revision
    );
    let nodes: Vec<_> = status.nodes.iter().map(node_row).collect();
    let backends: Vec<_> = status.backends.iter().map(backend_row).collect();
    [
        summary,
        format_table(["NODE", "VM", "ZONE", "STATE", "OPERATORS"], &nodes),
        format_table(
            ["BACK END", "ZONE", "CLASS", "MARKET", "STATE", "SERVES"],
            &backends,
        ),
        format_queues(&status.queues),
    ]
    .join("\n")
}

/// Formats the queues as a table.
pub(super) fn format_queues(queues: &[QueueBody]) -> String {
    let row = |queue: &QueueBody| {
        [
            queue.model.to_string(),
            queue.rank.to_string(),
            queue.waiting.to_string(),
            queue.running.to_string(),
        ]
    };
    let rows: Vec<_> = queues.iter().map(row).collect();
    format_table(["MODEL", "RANK", "WAITING", "RUNNING"], &rows)
}

fn node_row(node: &NodeBody) -> [String; 5] {
    [
        node.node.to_string(),
        node.vm.to_string(),
        node.zone.to_string(),
        node.state.to_string(),
        node.operator_address.to_string(),
    ]
}

fn backend_row(backend: &BackendBody) -> [String; 6] {
    let state = match backend.is_leaving {
        true => "leaving",
        false => "live",
    };
    [
        format!("{} ({})", backend.vm, backend.kind),
        backend.zone.to_string(),
        backend.class.to_string(),
        backend.market.to_string(),
        state.into(),
        backend.serves.join(", "),
    ]
}
