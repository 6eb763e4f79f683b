//! Child process management.

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

/// Timeout for a process to print its listen addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process of the harness, killed when this handle is dropped.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
    addresses: HashMap<Box<str>, SocketAddr>,
}

/// Returns the directory of this workspace's executables.
///
/// # Errors
///
/// Fails if the path of the running executable cannot be determined.
pub fn bin_dir() -> Result<PathBuf> {
    let exe_path = std::env::current_exe().wrap_err("finding the path of this program")?;
    let dir = exe_path
        .parent()
        .ok_or_else(|| eyre!("{} has no folder", exe_path.display()))?;
    if dir.ends_with("deps") {
        return Ok(dir.parent().unwrap_or(dir).to_owned());
    }
    Ok(dir.to_owned())
}

impl Process {
    /// Starts a program and waits until it prints its listen addresses: a line `listening on IP:PORT`, or
    /// `listening NAME=IP:PORT NAME=IP:PORT`.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started, or exits or times out before it prints its addresses.
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
                // Lines after the addresses are drained so that the process does not block on a full pipe.
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

    /// Starts a program with its output redirected to a file, without waiting for it to listen.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or the file cannot be opened.
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

    /// Returns the name assigned by the harness.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address of a listener. If the process printed a single address, its name is empty.
    ///
    /// # Panics
    ///
    /// Panics if the process has no such listener.
    pub fn address(&self, listener: &str) -> SocketAddr {
        *self
            .addresses
            .get(listener)
            .unwrap_or_else(|| panic!("{} has no listener {listener:?}", self.name))
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent, such as after the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(i32::try_from(self.child.id())?);
        kill(pid, signal).wrap_err_with(|| format!("sending {signal} to {}", self.name))
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent, such as after the process has exited.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent, such as after the process has exited.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent, such as after the process has exited.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Returns whether the process exited successfully, or `None` if it is still running.
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
