//! Makes the failures of a case happen.

use std::time::Duration;

use eyre::{Result, bail, eyre};
use jayhall_harness::{Fleet, Process};
use tokio::time::{Instant, sleep, sleep_until};

use crate::case::{Action, Event, Target};

/// Customer whose requests make the load.
pub(crate) const CUSTOMER: &str = "bekele";
/// Longest wait for a request that runs.
const RUNNING_TIMEOUT: Duration = Duration::from_secs(5);

/// A VM that is taken back at a time.
struct Reclaim {
    at: Instant,
    vm: String,
}

/// Makes all events happen, and takes VMs back when their notice has run out.
pub(crate) async fn inject(fleet: &mut Fleet, events: &[Event], begun: Instant) -> Result<()> {
    let mut reclaims = Vec::new();
    for event in events {
        sleep_until(begun + event.at).await;
        apply(fleet, event, &mut reclaims).await?;
    }
    reclaims.sort_by_key(|reclaim| reclaim.at);
    for reclaim in reclaims {
        sleep_until(reclaim.at).await;
        fleet.take_back(&[reclaim.vm]);
    }
    Ok(())
}

async fn apply(fleet: &mut Fleet, event: &Event, reclaims: &mut Vec<Reclaim>) -> Result<()> {
    if let (Action::StartNode, Target::Zone(zone)) = (&event.action, &event.target) {
        return start_node(fleet, zone).await;
    }
    if let (Action::Fault(faults), Target::Store) = (&event.action, &event.target) {
        return fleet.fault(&fleet.store, faults).await;
    }
    for vm in vms(fleet, &event.target).await? {
        match &event.action {
            Action::Notice(within) => {
                fleet.notice(&vm, *within).await?;
                let at = Instant::now() + *within;
                reclaims.push(Reclaim { at, vm });
            }
            Action::Fault(faults) => fleet.fault(fleet.backend(&vm)?, faults).await?,
            Action::Kill => fleet.take_back(&[vm]),
            Action::Freeze => process(fleet, &vm)?.freeze()?,
            Action::Thaw => process(fleet, &vm)?.thaw()?,
            Action::Terminate => process(fleet, &vm)?.terminate()?,
            Action::StartNode => bail!("nodes are started in a zone"),
        }
    }
    Ok(())
}

async fn start_node(fleet: &mut Fleet, zone: &str) -> Result<()> {
    let zone = fleet
        .layout()
        .zones
        .iter()
        .find(|known| known.zone == zone)
        .cloned()
        .ok_or_else(|| eyre!("there is no zone {zone}"))?;
    let vm = format!("node-{}-new-{}", zone.zone, fleet.nodes.len());
    fleet.start_node(&vm, zone.zone, zone.region).await
}

fn process<'a>(fleet: &'a Fleet, vm: &str) -> Result<&'a Process> {
    match fleet.nodes.iter().find(|node| node.vm == vm) {
        Some(node) => Ok(&node.process),
        None => fleet.backend(vm),
    }
}

async fn vms(fleet: &Fleet, target: &Target) -> Result<Vec<String>> {
    Ok(match target {
        Target::Node(n) => vec![fleet.nodes[*n].vm.clone()],
        Target::Engine(n) => vec![engine_vm(fleet, *n)?],
        Target::RunningEngine => vec![running(fleet).await?.0],
        Target::Replica => vec![replica(fleet).await?],
        Target::Zone(zone) => zone_vms(fleet, zone),
        Target::Store => bail!("the store has no VM"),
    })
}

/// Returns the VM of an engine by its number.
pub(crate) fn engine_vm(fleet: &Fleet, n: usize) -> Result<String> {
    fleet
        .backends
        .iter()
        .filter(|(backend, _)| backend.kind == "engine")
        .nth(n)
        .map(|(backend, _)| backend.vm.clone())
        .ok_or_else(|| eyre!("there is no engine {n}"))
}

fn zone_vms(fleet: &Fleet, zone: &str) -> Vec<String> {
    let nodes = fleet.nodes.iter().filter(|node| node.zone == zone);
    let backends = fleet.backends.iter().filter(|(b, _)| b.zone == zone);
    nodes
        .map(|node| node.vm.clone())
        .chain(backends.map(|(backend, _)| backend.vm.clone()))
        .collect()
}

/// Returns an engine that runs a request, and the request's id.
async fn running(fleet: &Fleet) -> Result<(String, String)> {
    let until = Instant::now() + RUNNING_TIMEOUT;
    while Instant::now() < until {
        for (backend, process) in &fleet.backends {
            if backend.kind != "engine" {
                continue;
            }
            let records = fleet.get(process, "/v1/records").await?;
            let records = records.as_array().cloned().unwrap_or_default();
            let found = records.iter().find(|record| record["state"] == "running");
            if let Some(id) = found.and_then(|record| record["request_id"].as_str()) {
                return Ok((backend.vm.clone(), id.to_owned()));
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    bail!("no engine runs a request")
}

/// Returns the VM of the node that keeps the copy of a running request.
async fn replica(fleet: &Fleet) -> Result<String> {
    let (_, id) = running(fleet).await?;
    let sentences = fleet.caller(CUSTOMER).explain(&id).await?;
    fleet
        .nodes
        .iter()
        .find(|node| {
            let marker = format!("copy is kept by {}-", node.vm);
            sentences.iter().any(|sentence| sentence.contains(&marker))
        })
        .map(|node| node.vm.clone())
        .ok_or_else(|| eyre!("no node keeps a copy: {sentences:?}"))
}
