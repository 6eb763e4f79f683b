//! Cost of gossip over gRPC with TLS, with several nodes in this process.

use std::time::Duration;

use eyre::{Result, ensure};
use jayhall::peers::PeerTls;
use jayhall::peers::tls::PEER_NAME;
use jayhall_harness::GossipNode;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

use super::members::resident_bytes;
use super::report::Series;

const NODE_COUNTS: [usize; 4] = [2, 4, 8, 16];
const ZONES: [&str; 3] = ["addis-1", "addis-2", "addis-3"];
/// Time within which all nodes have to discover each other.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time before the measurement, so that the exchanges at startup are not counted.
const WARM_UP: Duration = Duration::from_secs(5);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(15);
/// Clock ticks per second (`USER_HZ`) in which `/proc/self/stat` counts processor time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Measures gossip at all fleet sizes.
pub(super) async fn measure() -> Result<Vec<Series>> {
    let nodes = "nodes";
    let mut cpu = Series::new(
        "loopback with TLS: share of a core per node, percent",
        nodes,
    );
    let mut memory = Series::new("loopback with TLS: memory per node, kilobytes", nodes);
    let tls = certificates()?;
    for count in NODE_COUNTS {
        eprintln!("slopes: {count} nodes over loopback");
        let memory_before = resident_bytes()?;
        let fleet = spawn_nodes(count, &tls).await?;
        tokio::time::sleep(WARM_UP).await;
        let before = cpu_seconds()?;
        tokio::time::sleep(MEASURE_TIME).await;
        let used = cpu_seconds()? - before;
        cpu.push(
            count,
            100.0 * used / MEASURE_TIME.as_secs_f64() / count as f64,
        );
        let grown = resident_bytes()? - memory_before;
        memory.push(count, grown / count as f64 / 1024.0);
        drop(fleet);
    }
    Ok(vec![cpu, memory])
}

async fn spawn_nodes(count: usize, tls: &PeerTls) -> Result<Vec<GossipNode>> {
    let mut fleet: Vec<GossipNode> = Vec::new();
    for at in 0..count {
        let seeds: Vec<_> = fleet.first().map(|node| node.address).into_iter().collect();
        let zone = ZONES[at % ZONES.len()];
        fleet.push(GossipNode::spawn(at, zone, &seeds, Some(tls.clone())).await?);
    }
    for node in &fleet {
        ensure!(
            node.wait_for(count, DISCOVERY_TIMEOUT).await,
            "{count} nodes did not discover each other"
        );
    }
    Ok(fleet)
}

fn certificates() -> Result<PeerTls> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let key = KeyPair::generate()?;
    let params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    let certificate = params.signed_by(&key, &authority)?;
    Ok(PeerTls::from_pem(
        certificate.pem().as_bytes(),
        key.serialize_pem().as_bytes(),
        authority.pem().as_bytes(),
    ))
}

/// Returns the processor time of this process in seconds.
fn cpu_seconds() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let (_, rest) = text.rsplit_once(')').unwrap_or_default();
    // User and system time are fields 14 and 15; `rest` begins behind field 2, the program name in parentheses.
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: Result<Vec<f64>, _> = fields.map(str::parse).collect();
    Ok(ticks?.iter().sum::<f64>() / CLOCK_TICKS_PER_SECOND)
}
