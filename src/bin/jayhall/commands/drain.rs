//! `jayhall drain`

use std::time::Duration;

use eyre::eyre;
use jayhall::core::id::Address;
use jayhall::operators::OperatorClient;
use jayhall::operators::wire::{NodeBody, StatusBody};
use tokio::time::{Instant, sleep};

use super::print_body;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Time after which `--wait` gives up.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time between two polls of the node's status.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [name] = command_line.arguments()?;
    let client = command_line.client()?;
    let status = client.status().await?;
    let node = find_node(&status, name).ok_or_else(|| {
        Failure::usage(format!(
            "no node or VM is called {name}; see `jayhall status`"
        ))
    })?;
    let address: Address = node
        .operator_address
        .parse()
        .map_err(|e| eyre!("{}: {e}", node.operator_address))
        .map_err(Failure::Other)?;
    let body = client.at(address).drain().await?;
    print_body(command_line, &body, |body| {
        format!("{} hands over its work and leaves\n", body.node)
    })?;
    if command_line.should_wait() {
        wait_until_left(&client.at(address), &client, &node.node).await?;
    }
    Ok(())
}

fn find_node<'a>(status: &'a StatusBody, name: &str) -> Option<&'a NodeBody> {
    status
        .nodes
        .iter()
        .find(|node| *node.node == *name || *node.vm == *name)
}

/// Polls until the node has stopped or, if it does not answer, until the other node does not list it as alive.
async fn wait_until_left(
    node: &OperatorClient,
    other: &OperatorClient,
    name: &str,
) -> Result<(), Failure> {
    let started = Instant::now();
    while started.elapsed() < LEAVE_TIMEOUT {
        sleep(POLL_INTERVAL).await;
        let has_left = match node.status().await {
            Ok(status) => *status.node != *name || &*status.phase == "stopped",
            Err(_) => match other.status().await {
                Ok(status) => find_node(&status, name).is_none_or(|node| &*node.state != "alive"),
                // `other` addresses the leaving node itself if the operator named that node.
                Err(_) => true,
            },
        };
        if has_left {
            eprintln!("{name} has left after {} s", started.elapsed().as_secs());
            return Ok(());
        }
        eprintln!(
            "{name} is still leaving after {} s ...",
            started.elapsed().as_secs()
        );
    }
    Err(Failure::Other(eyre!(
        "{name} has not left within {} s",
        LEAVE_TIMEOUT.as_secs()
    )))
}
