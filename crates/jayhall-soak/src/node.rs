//! A gateway process with the links that faults act on.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use jayhall_harness::{
    DatagramLink, GatewaySettingsText, Link, PlatformStoreStandin, Process, bin_dir,
};
use parking_lot::Mutex;

use crate::cloud::Cloud;
use crate::config;

/// Availability zones of the nodes. The third zone is in another region.
pub(crate) const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// Timeout for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the socket buffers between a node and its callers, in bytes.
const CALLER_BUFFER_BYTES: u32 = 64 * 1024;

/// A gateway node.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) number: usize,
    pub(crate) settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    /// Listen address for callers.
    pub(crate) callers: SocketAddr,
    pub(crate) directory: SocketAddr,
    readiness: SocketAddr,
    /// Link from callers to the node.
    pub(crate) caller_link: Link,
    pub(crate) store_link: Link,
    pub(crate) cloud_link: Link,
    /// Link from other nodes to the node's control listener.
    pub(crate) control_link: Link,
    /// Link for datagrams of other nodes.
    pub(crate) datagram_link: DatagramLink,
    pub(crate) process: Mutex<Option<Process>>,
    /// Whether the process is stopping gracefully.
    pub(crate) is_stopping: AtomicBool,
}

impl Node {
    pub(crate) async fn new(
        number: usize,
        ip: IpAddr,
        store: &PlatformStoreStandin,
        cloud: &Cloud,
        dir: &Path,
    ) -> Result<Self> {
        let at = |port: u16| SocketAddr::new(ip, port);
        let (callers, readiness, directory) = (at(7101), at(7102), at(7103));
        let (control, peers) = (at(7104), at(7105));
        let caller_link = Link::spawn_with_buffers(ip, callers, Some(CALLER_BUFFER_BYTES)).await?;
        let store_link = Link::spawn(ip, store.address()).await?;
        let cloud_link = Link::spawn(ip, cloud.address).await?;
        let control_link = Link::spawn(ip, control).await?;
        store.replace_address(control, control_link.address());
        let datagram_link = DatagramLink::spawn(ip, peers).await?;
        store.replace_address(peers, datagram_link.address());
        let zone = ZONES[number % ZONES.len()];
        let region = if zone == "z3" { "r2" } else { "r1" };
        let text = GatewaySettingsText {
            name: &format!("n{number}"),
            region,
            zone,
            listen: [callers, readiness, directory, control, peers],
            regions: "z1:r1,z2:r1,z3:r2",
            store: store_link.address(),
            cloud: cloud_link.address(),
            bounds: &config::render_bounds(),
        };
        let text = text.render();
        let settings = dir.join(format!("n{number}.ini"));
        std::fs::write(&settings, text).wrap_err("writing the node settings file")?;
        Ok(Self {
            number,
            settings,
            log: dir.join(format!("n{number}.log")),
            program: bin_dir()?.join("jayhalld"),
            callers,
            directory,
            readiness,
            caller_link,
            store_link,
            cloud_link,
            control_link,
            datagram_link,
            process: Mutex::default(),
            is_stopping: AtomicBool::new(false),
        })
    }

    pub(crate) fn start(&self) -> Result<()> {
        let settings = self.settings.display().to_string();
        let args = ["--gateway".into(), "--settings".into(), settings];
        let name = format!("n{}", self.number);
        let process = Process::spawn_logging(&name, &self.program, &args, &self.log)?;
        *self.process.lock() = Some(process);
        Ok(())
    }

    pub(crate) async fn wait_ready(&self) -> Result<()> {
        let url = format!("http://{}/readyz", self.readiness);
        let client = reqwest::Client::new();
        let ready = async {
            loop {
                let res = client.get(&url).send().await;
                if res.is_ok_and(|res| res.status().is_success()) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
            bail!(
                "n{} did not become ready in time; see {}",
                self.number,
                self.log.display()
            );
        }
        Ok(())
    }
}
