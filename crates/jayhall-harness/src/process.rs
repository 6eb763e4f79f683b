//! One process that the harness started.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Longest wait for a process to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One process that the harness started; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
    addresses: HashMap<Box<str>, SocketAddr>,
}

/// Returns the folder of this workspace's programs.
///
/// # Errors
///
/// Fails where the running program's own path is not known.
pub fn bin_dir() -> Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("finding the path of this program")?;
    let dir = own
        .parent()
        .ok_or_else(|| eyre!("{} has no folder", own.display()))?;
    if dir.ends_with("deps") {
        return Ok(dir.parent().unwrap_or(dir).to_owned());
    }
    Ok(dir.to_owned())
}

impl Process {
    /// Starts a program and waits until it says where it listens: a line `listening on IP:PORT`, or
    /// `listening NAME=IP:PORT NAME=IP:PORT`.
    ///
    /// # Errors
    ///
    /// Fails where the program cannot be started or ends before it listens.
    pub fn spawn(name: &str, program: &Path, args: &[String], log: &Path) -> Result<Self> {
        let log_file = File::create(log).wrap_err_with(|| format!("creating {}", log.display()))?;
        let mut child = start(program, args, Stdio::piped(), log_file)?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("{name} has no output"))?;
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                // Later lines have no reader; they are read so that the process never blocks.
                let _ = tx.send(line);
            }
        });
        let mut process = Self {
            name: name.into(),
            child,
            addresses: HashMap::new(),
        };
        loop {
            let line = rx
                .recv_timeout(START_TIMEOUT)
                .wrap_err_with(|| format!("{name} did not listen; see {}", log.display()))?;
            if let Some(addresses) = parse_listening(&line) {
                process.addresses = addresses;
                return Ok(process);
            }
        }
    }

    /// Starts a program whose output goes to a file, and does not wait for it.
    ///
    /// # Errors
    ///
    /// Fails where the program cannot be started or the file not opened.
    pub fn spawn_logging(name: &str, program: &Path, args: &[String], log: &Path) -> Result<Self> {
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .wrap_err_with(|| format!("opening {}", log.display()))?;
        let child = start(program, args, log_file.try_clone()?.into(), log_file)?;
        Ok(Self {
            name: name.into(),
            child,
            addresses: HashMap::new(),
        })
    }

    /// Returns the name that the harness gave.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address of a listener; the only one is named with an empty text.
    ///
    /// # Panics
    ///
    /// Panics where the process has no such listener.
    pub fn address(&self, listener: &str) -> SocketAddr {
        *self
            .addresses
            .get(listener)
            .unwrap_or_else(|| panic!("{} has no listener {listener:?}", self.name))
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails where the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(i32::try_from(self.child.id())?);
        kill(pid, signal).wrap_err_with(|| format!("sending {signal} to {}", self.name))
    }

    /// Stops the process in its tracks.
    ///
    /// # Errors
    ///
    /// Fails where the process is gone.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails where the process is gone.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to stop.
    ///
    /// # Errors
    ///
    /// Fails where the process is gone.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Returns whether the process has ended, and with success.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok()?.map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start(program: &Path, args: &[String], stdout: Stdio, stderr: File) -> Result<Child> {
    Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(stderr)
        .spawn()
        .wrap_err_with(|| format!("starting {}; build it first", program.display()))
}

fn parse_listening(line: &str) -> Option<HashMap<Box<str>, SocketAddr>> {
    let rest = line.strip_prefix("listening ")?;
    if let Some(address) = rest.strip_prefix("on ") {
        return Some(HashMap::from([("".into(), address.trim().parse().ok()?)]));
    }
    rest.split_whitespace()
        .map(|pair| {
            let (name, address) = pair.split_once('=')?;
            Some((name.into(), address.parse().ok()?))
        })
        .collect()
}
