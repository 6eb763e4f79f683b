//! Gateways in processes of their own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hyper::StatusCode;
use jayhall::sources::store::Store;
use jayhall_harness::{GatewaySettingsText, PlatformStoreStandin, Process};

use super::fixture::{backend_entry, default_settings, free_addresses, put};

/// A gateway in a process of its own.
pub(super) struct GatewayProcess {
    pub(super) process: Process,
    pub(super) callers: SocketAddr,
    dir: tempfile::TempDir,
}

impl GatewayProcess {
    pub(super) async fn spawn(store: &PlatformStoreStandin) -> Self {
        Self::spawn_in(store, tempfile::tempdir().unwrap()).await
    }

    /// Starts a gateway that appends its log to `node.log` in this folder.
    pub(super) async fn spawn_in(store: &PlatformStoreStandin, dir: tempfile::TempDir) -> Self {
        let listen = free_addresses();
        let text = GatewaySettingsText {
            listen,
            store: store.address(),
            ..default_settings()
        };
        let settings = dir.path().join("node.ini");
        std::fs::write(&settings, text.render()).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_jayhalld"));
        let args = [
            "--gateway".into(),
            "--settings".into(),
            settings.display().to_string(),
        ];
        let log = dir.path().join("node.log");
        let process = Process::spawn_logging("n1", program, &args, &log).unwrap();
        wait_ready(listen[1]).await;
        Self {
            process,
            callers: listen[0],
            dir,
        }
    }

    /// Waits until the process has ended, and returns whether it ended well and what it has logged.
    pub(super) async fn ended(&mut self) -> (bool, String) {
        loop {
            if let Some(is_success) = self.process.ended() {
                let log = std::fs::read_to_string(self.dir.path().join("node.log")).unwrap();
                return (is_success, log);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the most memory that the process has had, in MB.
    pub(super) fn peak_mb(&self) -> u64 {
        let path = PathBuf::from(format!("/proc/{}/status", self.process.id()));
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.unwrap().trim().trim_end_matches(" kB");
        kb.parse::<u64>().unwrap() / 1024
    }
}

async fn wait_ready(readiness: SocketAddr) {
    let client = reqwest::Client::new();
    let url = format!("http://{readiness}/readyz");
    for _ in 0..500 {
        let res = client.get(&url).send().await;
        if res.is_ok_and(|res| res.status() == StatusCode::OK) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the process does not become ready");
}

pub(super) async fn put_backend(store: &PlatformStoreStandin, service: &str, address: SocketAddr) {
    let entry = backend_entry(service, address, "ready");
    let put = put(&format!("servers/{service}"), entry);
    store.store().transact(put).await.unwrap();
}
