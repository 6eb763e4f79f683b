//! Page with the nodes, the back ends and this node's queues.

use maud::{Markup, html};

use super::Console;
use super::page::page;
use super::page_request::{PageRequest, Reply};
use crate::operators::wire::{BackendBody, NodeBody, QueueBody};
use crate::util::time::format_utc;

pub(super) fn show(console: &Console, page_request: &PageRequest) -> Reply {
    let status = console.cx.status();
    let body = html! {
        p { (status.node) " is " (status.phase) ", with revision " (status.revision) " in force." }
        (nodes(&status.nodes))
        (backends(&status.backends))
        (queues(&status.queues))
    };
    Reply::ok(page(page_request, "Fleet", &body))
}

fn table(caption: &str, head: &[&str], rows: &Markup) -> Markup {
    html! {
        table {
            caption { (caption) }
            thead { tr { @for cell in head { th scope="col" { (cell) } } } }
            tbody { (rows) }
        }
    }
}

fn nodes(nodes: &[NodeBody]) -> Markup {
    let rows = html! {
        @for node in nodes {
            tr {
                th scope="row" { (node.node) }
                td { (node.vm) }
                td { (node.region) }
                td { (node.zone) }
                td { (node.state) }
                td { (node.operator_address) }
            }
        }
    };
    let head = [
        "Node",
        "VM",
        "Region",
        "Zone",
        "State",
        "Operators' address",
    ];
    table("Nodes", &head, &rows)
}

fn backends(backends: &[BackendBody]) -> Markup {
    let rows = html! {
        @for backend in backends {
            tr {
                th scope="row" { (backend.vm) }
                td { (backend.kind) }
                td { (backend.zone) }
                td { (backend.class) }
                td { (backend.market) }
                td { (backend.serves.join(", ")) }
                td { (state(backend)) }
            }
        }
    };
    let head = ["VM", "Kind", "Zone", "Class", "Market", "Serves", "State"];
    table("Back ends", &head, &rows)
}

fn state(backend: &BackendBody) -> String {
    match (backend.is_leaving, backend.reclaim_at) {
        (false, _) => "live".into(),
        (true, None) => "leaving".into(),
        (true, Some(at)) => format!("leaving, taken back {}", format_utc(at)),
    }
}

fn queues(queues: &[QueueBody]) -> Markup {
    let rows = html! {
        @for queue in queues {
            tr {
                th scope="row" { (queue.model) }
                td { (queue.rank) }
                td { (queue.waiting) }
                td { (queue.running) }
            }
        }
    };
    table(
        "Queues of this node",
        &["Model", "Rank", "Waiting", "Running"],
        &rows,
    )
}
