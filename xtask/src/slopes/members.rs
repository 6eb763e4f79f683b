//! Cost of membership per node, with the state machines of all nodes in one process.
//!
//! Runs in simulated time, so processor time is that of the state machines alone. `loopback` measures the cost
//! of encoding and of the network.

use std::time::Duration;

use eyre::{Result, WrapErr};
use jayhall::core::membership::{CustomerUse, DocumentRevision, Event, HomeLoad, MemberState};
use jayhall_harness::net::Net;

use super::report::Series;

const SECOND: Duration = Duration::from_secs(1);
const MEMBER_COUNTS: [usize; 10] = [2, 4, 8, 16, 32, 64, 128, 256, 512, 1100];
/// Seconds before the measurement, so that the exchanges at startup are not counted.
const WARM_UP_SECONDS: u32 = 20;
/// Duration of the measurement in seconds.
const MEASURE_SECONDS: u32 = 30;
/// Time within which a change has to reach all nodes.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Simulated delay between learning of a revision and having fetched its document.
const FETCH_DELAY: Duration = Duration::from_millis(250);
/// Time between two checks of which nodes have learned of a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Models whose load each node reports every second.
const MODELS: [&str; 2] = ["chat", "designs"];
/// Customers whose usage each node reports every second.
const CUSTOMERS: [&str; 5] = ["abebe", "bekele", "chaltu", "desta", "eleni"];
/// Percentage of the members, 1,100 at the target size, that leave at once in a reclaim wave.
const LEAVING_WAVE_PERCENT: usize = 48;

/// Returns the zones of a fleet as (region, zone): 3 zones in 2 regions below 64 nodes, otherwise 16 zones in
/// 6 regions.
fn zones(count: usize) -> Vec<(&'static str, &'static str)> {
    const LARGE: [(&str, &str); 16] = [
        ("r0", "r0-0"),
        ("r0", "r0-1"),
        ("r0", "r0-2"),
        ("r1", "r1-0"),
        ("r1", "r1-1"),
        ("r1", "r1-2"),
        ("r2", "r2-0"),
        ("r2", "r2-1"),
        ("r2", "r2-2"),
        ("r3", "r3-0"),
        ("r3", "r3-1"),
        ("r3", "r3-2"),
        ("r4", "r4-0"),
        ("r4", "r4-1"),
        ("r5", "r5-0"),
        ("r5", "r5-1"),
    ];
    if count >= 64 {
        LARGE.to_vec()
    } else {
        vec![("r0", "r0-0"), ("r0", "r0-1"), ("r1", "r1-0")]
    }
}

fn settled_net(count: usize) -> Net {
    let mut net = Net::with_nodes(1, count, &zones(count));
    net.introduce_all();
    net.run(SECOND * WARM_UP_SECONDS);
    net
}

fn reset_counters(net: &mut Net) {
    net.busy = Duration::ZERO;
    for node in &mut net.nodes {
        (node.sent, node.messages, node.largest) = (0, 0, 0);
    }
}

fn report_usage(net: &mut Net, second: u32) {
    for at in 0..net.nodes.len() {
        for model in MODELS {
            let load = HomeLoad {
                model: model.into(),
                slots: 40,
                running: second,
                waiting_tokens: [1000, 1000, 1000].into_iter().collect(),
                ..HomeLoad::default()
            };
            net.event(at, Event::LoadReported(load));
        }
        for customer in CUSTOMERS {
            let used = CustomerUse {
                customer: customer.into(),
                tokens: u64::from(second) * 100,
                in_flight: 3,
                ..CustomerUse::default()
            };
            net.event(at, Event::UseReported(used));
        }
    }
}

/// Returns the resident set size of this process in bytes.
pub(super) fn resident_bytes() -> Result<f64> {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split(' ').nth(1).unwrap_or_default().parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Measures membership at all fleet sizes up to `max_members`.
pub(super) fn measure(max_members: usize) -> Result<Vec<Series>> {
    let members = "members";
    let mut quiet_cpu = Series::new("quiet: processor time, microseconds/s per node", members);
    let mut quiet_bytes = Series::new("quiet: bytes sent/s per node", members);
    let mut busy_cpu = Series::new(
        "with reports: processor time, microseconds/s per node",
        members,
    );
    let mut busy_bytes = Series::new("with reports: bytes sent/s per node", members);
    let mut largest = Series::new("with reports: largest message, bytes", members);
    let mut memory = Series::new("with reports: memory per node, kilobytes", members);
    let mut revision = Series::new("time until all have a new revision, ms", members);
    let mut leaving = Series::new("time until all know that a node leaves, ms", members);
    let mut wave = Series::new("time until all know that 48% leave at once, ms", members);
    for count in MEMBER_COUNTS
        .into_iter()
        .filter(|count| *count <= max_members)
    {
        eprintln!("slopes: {count} members");
        let before = resident_bytes()?;
        let mut net = settled_net(count);
        let per_node = |total: f64| total / count as f64 / f64::from(MEASURE_SECONDS);

        reset_counters(&mut net);
        net.run(SECOND * MEASURE_SECONDS);
        quiet_cpu.push(count, per_node(net.busy.as_secs_f64() * 1e6));
        let sent: usize = net.nodes.iter().map(|node| node.sent).sum();
        quiet_bytes.push(count, per_node(sent as f64));

        reset_counters(&mut net);
        for second in 0..MEASURE_SECONDS {
            report_usage(&mut net, second);
            net.run(SECOND);
        }
        busy_cpu.push(count, per_node(net.busy.as_secs_f64() * 1e6));
        let sent: usize = net.nodes.iter().map(|node| node.sent).sum();
        busy_bytes.push(count, per_node(sent as f64));
        let largest_message = net.nodes.iter().map(|node| node.largest).max();
        largest.push(count, largest_message.unwrap_or(0) as f64);
        let grown = resident_bytes()? - before;
        memory.push(count, grown / count as f64 / 1024.0);

        revision.push(count, measure_revision_spread(&mut net)?);
        leaving.push(count, measure_leave_spread(&mut net, &[0])?);
        let wave_len = count * LEAVING_WAVE_PERCENT / 100;
        if wave_len > 0 {
            let nodes: Vec<_> = (1..=wave_len).collect();
            wave.push(count, measure_leave_spread(&mut net, &nodes)?);
        }
    }
    Ok(vec![
        quiet_cpu,
        quiet_bytes,
        busy_cpu,
        busy_bytes,
        largest,
        memory,
        revision,
        leaving,
        wave,
    ])
}

/// Announces a new revision at one node; every other node has fetched it [`FETCH_DELAY`] after it learned of it.
/// Returns the milliseconds until all nodes have the revision.
fn measure_revision_spread(net: &mut Net) -> Result<f64> {
    let start = net.now;
    let mut fetched_at: Vec<Option<Duration>> = vec![None; net.nodes.len()];
    set_revision(net, 0);
    fetched_at[0] = Some(start);
    for node in &mut net.nodes {
        node.heard.clear();
    }
    while net.now < start + PROPAGATION_TIMEOUT {
        net.run(POLL_INTERVAL);
        for (at, fetched_at) in fetched_at.iter_mut().enumerate() {
            let has_learned = fetched_at.is_none() && !net.nodes[at].heard.is_empty();
            if has_learned {
                *fetched_at = Some(net.now + FETCH_DELAY);
            }
            if *fetched_at == Some(net.now) {
                set_revision(net, at);
            }
        }
        if fetched_at
            .iter()
            .flatten()
            .filter(|at| **at <= net.now)
            .count()
            == fetched_at.len()
        {
            return Ok((net.now - start).as_secs_f64() * 1e3);
        }
    }
    Err(eyre::eyre!(
        "a new revision did not reach all nodes in time"
    ))
}

fn set_revision(net: &mut Net, at: usize) {
    let revision = DocumentRevision {
        document: "config".into(),
        revision: 1,
    };
    net.event(
        at,
        Event::DocumentsChanged([revision].into_iter().collect()),
    );
}

/// Makes nodes leave at once. Returns the milliseconds until all nodes have them as leaving or removed.
fn measure_leave_spread(net: &mut Net, nodes: &[usize]) -> Result<f64> {
    for at in nodes {
        net.event(*at, Event::Leave);
    }
    let names: Vec<_> = nodes.iter().map(|at| net.name(*at)).collect();
    let took = net.run_until(PROPAGATION_TIMEOUT, |net| {
        net.nodes.iter().all(|node| {
            let table = node.machine.table();
            let is_known = |name| {
                table
                    .get(name)
                    .is_none_or(|m| m.state == MemberState::Leaving)
            };
            names.iter().all(|name| is_known(name))
        })
    });
    took.map(|took| took.as_secs_f64() * 1e3)
        .ok_or_else(|| eyre::eyre!("the state of leaving nodes did not reach all nodes in time"))
        .wrap_err_with(|| format!("{} members, {} leaving", net.nodes.len(), nodes.len()))
}
