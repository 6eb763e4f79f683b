//! Processes of a case: gateways as the deploy file starts them, and engines; and the platform's interface for duties.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::Engine;
use crate::http::{call, read_request, respond};

/// What happened, with the time since the start, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.now(), text.into()));
    }

    /// Adds a line that is printed, too.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.add(text);
    }

    pub fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            text += &format!("{:8.3} {line}\n", at.as_secs_f64());
        }
        let _ = File::create(path).and_then(|mut file| file.write_all(text.as_bytes()));
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Loopback address of a party of this run.
pub fn ip(party: u8) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + (high & 31), low, party.max(1)).into()
}

pub fn free_port(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// A process that ends when it is dropped.
pub struct Process(Child);

impl Process {
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let _ = Command::new("kill").args([name, &id]).status();
    }

    /// Memory that the process holds, in kB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts an engine and waits until it listens. Its lines go to the record.
pub fn start_engine(engine: &Engine, record: &Record) -> Process {
    let program = std::env::current_exe().expect("this program");
    let mut child = Command::new(program)
        .args(engine.args())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("an engine's process");
    let mut out = BufReader::new(child.stdout.take().expect("its output")).lines();
    while let Some(Ok(line)) = out.next() {
        record.add(format!("engine {line}"));
        if line.starts_with("up ") {
            break;
        }
    }
    let record = record.clone();
    std::thread::spawn(move || {
        for line in out.map_while(Result::ok) {
            record.add(format!("engine {line}"));
        }
    });
    Process(child)
}

/// Starts the platform's interface for duties, which accepts all calls.
pub fn start_cloud(record: &Record) -> SocketAddr {
    let listener = TcpListener::bind((ip(250), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let record = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                while let Ok(request) = read_request(&mut stream) {
                    record.add(format!(
                        "duty {} holder={} fence={} {}",
                        request.target(),
                        request.header("x-jayhall-duty-holder").unwrap_or_default(),
                        request.header("x-jayhall-fence-token").unwrap_or_default(),
                        String::from_utf8_lossy(&request.body),
                    ));
                    if respond(stream.get_mut(), "200 OK", &[], b"").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A machine that runs the deploy file's only role.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

/// Where a machine stands and what it is connected to.
pub struct Place<'a> {
    pub name: &'a str,
    pub party: u8,
    pub zone: &'a str,
    pub region: &'a str,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    pub seeds: &'a [SocketAddr],
    /// `memoryMb` of the machine.
    pub memory_mb: u64,
}

/// Zones of the deployment with their regions.
pub const REGIONS: &str = "addis-bole:addis,hawassa-lake:hawassa,addis-merkato:addis";

impl Gateway {
    /// Writes the settings as `deploy/gateway.ini` has them, with the figures of `sites/bucket-guild.toml`.
    pub fn new(place: &Place<'_>, control: SocketAddr, dir: &Path) -> Self {
        let ip = ip(place.party);
        let (callers, readiness) = (free_port(ip), free_port(ip));
        let directory = free_port(ip);
        let socket = UdpSocket::bind((ip, 0)).expect("a free port");
        let peers = socket.local_addr().expect("an address");
        let seeds: Vec<String> = place.seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "[node]\nvm = {}\nregion = {}\nzone = {}\n\n\
             [gateway]\ncallers = {callers}\nreadiness = {readiness}\ndirectory = {directory}\n\
             control = {control}\npeers = {peers}\nseeds = {}\nfirst_start = yes\nregions = {REGIONS}\n\
             store = http://{}\ncloud = http://{}\ncores = 0.25\nlink = 1000.0\nmemory = {}\n\n\
             [bounds]\ndrain = 2500ms\nstop = 8s\nretry_ratio = 0.2\nretry_slack = 52\n\
             retry_window = 10s\nlease = 3000ms\nusage_window = 5s\nusage_late = 10s\n\
             directory_ttl = 5s\n\n\
             [log]\nformat = json\nfilter = info\n",
            place.name,
            place.region,
            place.zone,
            seeds.join(","),
            place.store,
            place.cloud,
            place.memory_mb,
        );
        let settings = dir.join(format!("{}.ini", place.name));
        std::fs::write(&settings, text).expect("a settings file");
        Self {
            name: place.name.into(),
            callers,
            readiness,
            settings,
            log: dir.join(format!("{}.log", place.name)),
            process: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let program = PathBuf::from("target/release/jayhalld");
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new(program)
            .arg("--gateway")
            .arg("--settings")
            .arg(&self.settings)
            .env("JAYHALL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        self.process = Some(Process(
            child.expect("target/release/jayhalld; build it first"),
        ));
    }

    pub fn process(&mut self) -> &mut Process {
        self.process.as_mut().expect("a process that was started")
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.readiness,
            "GET",
            "/readyz",
            &[],
            b"",
            Duration::from_millis(1000),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
