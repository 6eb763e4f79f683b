//! `jayhall status`

use jayhall::operators::wire::{BackendBody, NodeBody, QueueBody, StatusBody};

use super::print;
use crate::failure::Failure;
use crate::options::CommandLine;
use crate::table::columns;

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    let [] = line.arguments()?;
    let status = line.client()?.status().await?;
    print(line, &status, text)
}

fn text(status: &StatusBody) -> String {
    let head = format!(
        "{} is {}, with revision {} in force\n",
        status.node, status.phase, status.revision
    );
    let nodes: Vec<_> = status.nodes.iter().map(node_row).collect();
    let backends: Vec<_> = status.backends.iter().map(backend_row).collect();
    [
        head,
        columns(["NODE", "VM", "ZONE", "STATE", "OPERATORS"], &nodes),
        columns(
            ["BACK END", "ZONE", "CLASS", "MARKET", "STATE", "SERVES"],
            &backends,
        ),
        queues(&status.queues),
    ]
    .join("\n")
}

/// Formats the queues as a table.
pub(super) fn queues(queues: &[QueueBody]) -> String {
    let row = |queue: &QueueBody| {
        [
            queue.model.to_string(),
            queue.rank.to_string(),
            queue.waiting.to_string(),
            queue.running.to_string(),
        ]
    };
    let rows: Vec<_> = queues.iter().map(row).collect();
    columns(["MODEL", "RANK", "WAITING", "RUNNING"], &rows)
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
