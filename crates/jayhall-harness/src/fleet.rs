//! Fleet of stand-in and node processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use jayhall::ops::publish::{Draft, Publisher};
use jayhall::sources::store::{EtcdConfig, EtcdStore};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::caller::Caller;
use crate::layout::{Backend, Layout, OPERATOR_KEY, key_of, operator_hash};
use crate::process::{Process, bin_dir};

/// Timeout for all nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(90);
/// Polling interval of the nodes' readiness.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Start options of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetOptions {
    /// Command-line options of the VM list, such as its lag.
    pub list_args: Vec<String>,
    /// Command-line options of the store.
    pub store_args: Vec<String>,
    /// Log filter of the nodes; `info` if empty.
    pub log_filter: String,
    /// Whether nodes start and stop VMs and control engines.
    pub keeps_fleet: bool,
}

/// A node of the fleet.
#[derive(Debug)]
pub struct NodeHandle {
    /// Name of the node's VM.
    pub vm: String,
    /// Zone of the node's VM.
    pub zone: &'static str,
    /// Region of the node's VM.
    pub region: &'static str,
    /// Process of the node.
    pub process: Process,
}

impl NodeHandle {
    /// Returns the listen address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.process.address("callers")
    }

    /// Returns the listen address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.process.address("operators")
    }
}

/// A fleet of stand-ins and nodes. Dropping it kills all processes.
#[derive(Debug)]
pub struct Fleet {
    layout: Layout,
    dir: TempDir,
    bin: PathBuf,
    http: reqwest::Client,
    options: FleetOptions,
    /// Stand-in of the store.
    pub store: Process,
    /// Stand-in of the cloud.
    pub cloud: Process,
    /// Stand-in of the list of VMs.
    pub list: Process,
    /// Stand-in of the weight store.
    pub weights: Process,
    /// Stand-ins of engines and plain services.
    pub backends: Vec<(Backend, Process)>,
    /// Nodes.
    pub nodes: Vec<NodeHandle>,
}

impl Fleet {
    /// Starts a fleet, publishes its document and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or the nodes are not ready in time.
    pub async fn spawn(layout: Layout, options: FleetOptions) -> Result<Self> {
        let dir = TempDir::new().wrap_err("creating a directory for settings and logs")?;
        let bin = bin_dir()?;
        let spawn = |kind: &str, extra: &[String]| {
            let mut args = vec![kind.to_owned(), "--listen".into(), "127.0.0.1:0".into()];
            args.extend_from_slice(extra);
            stand_in(&bin, dir.path(), kind, &args)
        };
        let mut fleet = Self {
            store: spawn("store", &options.store_args)?,
            cloud: spawn("cloud", &[])?,
            list: spawn("vm-list", &options.list_args)?,
            weights: spawn("weights", &[])?,
            http: reqwest::Client::builder().no_proxy().build()?,
            backends: Vec::new(),
            nodes: Vec::new(),
            layout,
            options,
            dir,
            bin,
        };
        fleet.publish(&fleet.layout.document.clone(), 0).await?;
        fleet.start_backends().await?;
        for zone in fleet.layout.zones.clone() {
            for i in 0..zone.nodes {
                fleet
                    .start_node(
                        &format!("node-{}-{}", zone.zone, i + 1),
                        zone.zone,
                        zone.region,
                    )
                    .await?;
            }
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Publishes a document that replaces the given revision.
    ///
    /// # Errors
    ///
    /// Fails if the document is invalid or the store rejects it.
    pub async fn publish(&self, text: &str, base_revision: u64) -> Result<u64> {
        let url = self.url(&self.store);
        let store = Arc::new(EtcdStore::open(EtcdConfig::new(&url))?);
        let published = Publisher::open(store)
            .publish(Draft {
                text: text.into(),
                base_revision,
                base_text: None,
                author: "harness".into(),
                published_at: jayhall::util::time::unix_now(),
            })
            .await
            .wrap_err("publishing the document")?;
        Ok(published.head.revision)
    }

    async fn start_backends(&mut self) -> Result<()> {
        for backend in self.layout.backends() {
            self.start_backend(backend).await?;
        }
        Ok(())
    }

    /// Starts a back end and adds it to the VM list.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start or the VM list does not accept the entry.
    pub async fn start_backend(&mut self, backend: Backend) -> Result<()> {
        let mut args = vec![
            backend.kind.to_owned(),
            "--listen".into(),
            "127.0.0.1:0".into(),
        ];
        if backend.kind == "engine" {
            args.push(format!("--models={}", backend.serves.join(",")));
            args.extend_from_slice(&self.layout.engine_args);
        }
        let process = stand_in(&self.bin, self.dir.path(), &backend.vm, &args)?;
        self.add_vm(json!({
            "vm": backend.vm, "kind": backend.kind, "zone": backend.zone,
            "region": backend.region, "class": "small", "market": "reclaimable", "state": "live",
            "address": process.address("").to_string(), "serves": backend.serves,
        }))
        .await?;
        self.backends.push((backend, process));
        Ok(())
    }

    /// Starts a node and adds it to the VM list.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start or the VM list does not accept the entry.
    pub async fn start_node(
        &mut self,
        vm: &str,
        zone: &'static str,
        region: &'static str,
    ) -> Result<()> {
        let path = self.dir.path().join(format!("{vm}.ini"));
        std::fs::write(&path, self.settings(vm, zone, region))?;
        let args = vec!["--settings".to_owned(), path.display().to_string()];
        let log = self.dir.path().join(format!("{vm}.log"));
        let process = Process::spawn(vm, &self.bin.join("jayhalld"), &args, &log)?;
        self.add_vm(json!({
            "vm": vm, "kind": "entry", "zone": zone, "region": region, "class": "small",
            "market": "reclaimable", "state": "live",
            "address": process.address("callers").to_string(),
            "peer_address": process.address("peers").to_string(), "serves": [],
        }))
        .await?;
        self.nodes.push(NodeHandle {
            vm: vm.to_owned(),
            zone,
            region,
            process,
        });
        Ok(())
    }

    fn settings(&self, vm: &str, zone: &str, region: &str) -> String {
        let filter = if self.options.log_filter.is_empty() {
            "info"
        } else {
            &self.options.log_filter
        };
        format!(
            "[node]\nvm = {vm}\nregion = {region}\nzone = {zone}\n\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\n\
             [platform]\nstore = {}\ncloud = {}\nlist = {}\nweights = {}\n\n\
             [operators]\nkey_hashes = {}\n\n[fleet]\nkeep = {}\n\n[log]\nformat = text\nfilter = {filter}\n",
            self.url(&self.store),
            self.url(&self.cloud),
            self.url(&self.list),
            self.url(&self.weights),
            operator_hash(),
            if self.options.keeps_fleet {
                "yes"
            } else {
                "no"
            },
        )
    }

    /// Waits until every node is serving and sees all nodes and back ends.
    ///
    /// # Errors
    ///
    /// Fails if the nodes are not ready within the timeout.
    pub async fn wait_ready(&self) -> Result<()> {
        let until = tokio::time::Instant::now() + READY_TIMEOUT;
        for node in &self.nodes {
            loop {
                match self.health(node).await {
                    Ok((true, members, engines))
                        if members >= self.nodes.len() && engines >= self.backends.len() =>
                    {
                        break;
                    }
                    _ if tokio::time::Instant::now() > until => {
                        bail!(
                            "{} does not serve; logs are in {}",
                            node.vm,
                            self.logs().display()
                        )
                    }
                    _ => tokio::time::sleep(READY_INTERVAL).await,
                }
            }
        }
        Ok(())
    }

    async fn health(&self, node: &NodeHandle) -> Result<(bool, usize, usize)> {
        let url = format!("http://{}/v1/health", node.callers());
        let body: Value = self.http.get(url).send().await?.json().await?;
        let number = |key: &str| body[key].as_u64().unwrap_or(0) as usize;
        Ok((
            body["serving"] == true,
            number("members"),
            number("backends"),
        ))
    }

    /// Returns the directory of settings and logs.
    pub fn logs(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the layout of the fleet.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns a caller with a customer's key that uses all nodes of the fleet.
    pub fn caller(&self, customer: &str) -> Caller {
        let nodes = self.nodes.iter().map(NodeHandle::callers).collect();
        Caller::new(&key_of(customer), nodes)
    }

    /// Sends a reclaim notice for a VM.
    ///
    /// # Errors
    ///
    /// Fails if the cloud stand-in does not respond with success.
    pub async fn notice(&self, vm: &str, within: Duration) -> Result<()> {
        let body = json!({"vm": vm, "in_ms": within.as_millis() as u64});
        self.post(&self.cloud, "/test/notice", &body).await
    }

    /// Sets the faults of a stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not respond as expected.
    pub async fn fault(&self, process: &Process, faults: &Value) -> Result<()> {
        self.post(process, "/faults", faults).await
    }

    /// Gets a JSON document from a stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not respond as expected.
    pub async fn get(&self, process: &Process, path: &str) -> Result<Value> {
        let url = format!("{}{path}", self.url(process));
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Runs the operators' command-line tool against a node and returns its standard output.
    ///
    /// # Errors
    ///
    /// Fails if the command cannot be started or exits with an error.
    pub async fn command(&self, node: &NodeHandle, args: &[&str]) -> Result<String> {
        let key_file = self.dir.path().join("operator.key");
        std::fs::write(&key_file, OPERATOR_KEY)?;
        let output = tokio::process::Command::new(self.bin.join("jayhall"))
            .args(args)
            .arg("--node")
            .arg(node.operators().to_string())
            .arg("--key-file")
            .arg(&key_file)
            .output()
            .await
            .wrap_err("starting jayhall")?;
        if !output.status.success() {
            let errors = String::from_utf8_lossy(&output.stderr);
            bail!(
                "jayhall {} ended with {}: {errors}",
                args.join(" "),
                output.status
            );
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Kills the processes on the given VMs, as the cloud does when it reclaims them. Processes that have
    /// already exited are skipped.
    pub fn take_back(&mut self, vms: &[String]) {
        let nodes = self.nodes.iter_mut().filter(|node| vms.contains(&node.vm));
        let nodes = nodes.map(|node| &mut node.process);
        let backends = self.backends.iter_mut();
        let backends = backends.filter(|(backend, _)| vms.contains(&backend.vm));
        let backends = backends.map(|(_, process)| process);
        for process in nodes.chain(backends) {
            if process.ended().is_none() {
                process.kill();
            }
        }
    }

    /// Returns the back end on a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no back end.
    pub fn backend(&self, vm: &str) -> Result<&Process> {
        self.backends
            .iter()
            .find(|(backend, _)| backend.vm == vm)
            .map(|(_, process)| process)
            .ok_or_else(|| eyre!("there is no back end {vm}"))
    }

    async fn add_vm(&self, vm: Value) -> Result<()> {
        self.post(&self.list, "/test/vms", &vm).await
    }

    async fn post(&self, process: &Process, path: &str, body: &Value) -> Result<()> {
        let url = format!("{}{path}", self.url(process));
        let res = self.http.post(&url).json(body).send().await?;
        if !res.status().is_success() {
            bail!("{url} answered {}: {}", res.status(), res.text().await?);
        }
        Ok(())
    }

    fn url(&self, process: &Process) -> String {
        format!("http://{}", process.address(""))
    }
}

fn stand_in(bin: &Path, dir: &Path, name: &str, args: &[String]) -> Result<Process> {
    let log = dir.join(format!("{name}.log"));
    Process::spawn(name, &bin.join("jayhall-standin"), args, &log)
}
