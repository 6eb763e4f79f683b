//! Gateways as processes, with the command and the settings of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// Loopback address of a party of this run.
pub fn ip(party: u8) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + (high & 63), low, party).into()
}

/// Folder for settings and logs of this run.
pub fn temp_dir() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("jayhall-review-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}

/// A place where a gateway runs.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
    first_start: bool,
    text: String,
}

/// What the settings of all machines have in common.
pub struct Site {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    /// ZONE:REGION, with commas between.
    pub regions: String,
    pub bounds: String,
}

/// Bounds of the small site that the claims name.
pub const BOUNDS: &str = "drain = 2500ms\nstop = 8s\nretry_ratio = 0.2\nretry_slack = 52\nretry_window = 10s\n\
    lease = 3000ms\nusage_window = 5s\nusage_late = 10s\ndirectory_ttl = 5s\n";

fn free(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

impl Machine {
    pub fn new(number: u8, zone: &str, region: &str, site: &Site, seeds: &[SocketAddr]) -> Self {
        let ip = ip(10 + number);
        let (front, ready, directory, control, peers) = (free(ip), free(ip), free(ip), free(ip), free(ip));
        let name = format!("front-{zone}-{number}");
        let mut all = seeds.to_vec();
        if all.is_empty() {
            all.push(control);
        }
        let seeds: Vec<String> = all.iter().map(ToString::to_string).collect();
        let text = format!(
            "[node]\nvm = {name}\nregion = {region}\nzone = {zone}\n\n[gateway]\ncallers = {front}\n\
             readiness = {ready}\ndirectory = {directory}\ncontrol = {control}\npeers = {peers}\n\
             seeds = {}\nfirst_start = @first@\nregions = {}\nstore = http://{}\ncloud = http://{}\n\
             cores = 0.25\nlink = 1000.0\n\n[bounds]\n{}\n[log]\nformat = json\nfilter = info\n",
            seeds.join(","),
            site.regions,
            site.store,
            site.cloud,
            site.bounds
        );
        let dir = temp_dir();
        Self {
            settings: dir.join(format!("{name}.ini")),
            log: dir.join(format!("{name}.log")),
            name,
            zone: zone.into(),
            front,
            ready,
            directory,
            control,
            peers,
            child: None,
            first_start: true,
            text,
        }
    }

    /// Starts the process with the deploy file's command, from the repository's root.
    pub fn start(&mut self) {
        let first = if self.first_start { "yes" } else { "no" };
        self.first_start = false;
        fs::write(&self.settings, self.text.replace("@first@", first)).expect("the settings file");
        let log = File::options().create(true).append(true).open(&self.log).expect("the log");
        let child = Command::new("target/release/jayhalld")
            .args(["--gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => {
                eprintln!("target/release/jayhalld does not start: {e}");
                std::process::exit(2);
            }
        }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let req = b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::ask(self.ready, req, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the memory of the process in MB, or `None` if it doesn't run.
    pub fn memory_mb(&mut self) -> Option<f64> {
        let child = self.child.as_mut()?;
        if child.try_wait().ok()?.is_some() {
            return None;
        }
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024.0)
    }

    /// Returns the processor time of the process.
    pub fn cpu(&self) -> Duration {
        let Some(child) = &self.child else { return Duration::ZERO };
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let rest = stat.rsplit(')').next().unwrap_or_default().to_owned();
        let fields: Vec<u64> = rest.split_whitespace().map(|f| f.parse().unwrap_or(0)).collect();
        let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
        Duration::from_millis(ticks * 10)
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to end, and kills it after `longest`. Returns whether it ended by itself.
    pub fn wait_end(&mut self, longest: Duration) -> bool {
        let Some(child) = self.child.as_mut() else { return true };
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Removes the folder of this run, unless `KEEP` is set.
pub fn clean_up() {
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(temp_dir());
    } else {
        println!("kept {}", temp_dir().display());
    }
}
