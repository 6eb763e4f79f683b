//! `jayhalld`, the daemon that runs on every entry VM.

mod gateway;

use std::process::ExitCode;

use eyre::{Result, WrapErr};
use getopts::Options;
use jayhall::node::{Daemon, LeaveOutcome};
use jayhall::util::settings::Settings;
use jayhall::util::{logs, metrics};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::signal::unix::{SignalKind, signal};

const USAGE: &str = "Usage: jayhalld --settings FILE [--gateway] [--check]";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("jayhalld: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode> {
    let mut opts = Options::new();
    opts.optopt("s", "settings", "settings of the node", "FILE");
    opts.optflag("", "gateway", "serve as a gateway on the users' platform");
    opts.optflag("", "check", "check the settings and exit");
    opts.optflag("h", "help", "show this text");
    let matches = opts
        .parse(std::env::args().skip(1))
        .wrap_err("reading the command line; see --help")?;
    if matches.opt_present("help") {
        print!("{}", opts.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    let Some(path) = matches.opt_str("settings") else {
        eprint!("{}", opts.usage(USAGE));
        return Ok(ExitCode::from(2));
    };
    if matches.opt_present("gateway") {
        return gateway::run(&path, matches.opt_present("check"));
    }
    let settings = Settings::open(&path)?;
    if matches.opt_present("check") {
        println!("{path}: no mistakes");
        return Ok(ExitCode::SUCCESS);
    }
    logs::init_stderr(&settings.log)?;
    serve(&settings, metrics::install()?)
}

fn serve(settings: &Settings, metrics: PrometheusHandle) -> Result<ExitCode> {
    let control = spawn_control_runtime()?;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .wrap_err("starting the threads for traffic")?;
    traffic.block_on(async {
        let daemon = Daemon::spawn(settings, &control, metrics).await?;
        print_listen_addresses(&daemon);
        let outcome = daemon.run_until(shutdown_signal()).await;
        Ok(match outcome {
            LeaveOutcome::Clean => ExitCode::SUCCESS,
            LeaveOutcome::WithRequests(_) => ExitCode::FAILURE,
        })
    })
}

/// Starts the thread that runs all controllers. They have a thread of their own, so that traffic never delays
/// them and their processor time can be measured.
fn spawn_control_runtime() -> Result<tokio::runtime::Handle> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the control thread")?;
    let handle = runtime.handle().clone();
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || runtime.block_on(std::future::pending::<()>()))
        .wrap_err("starting the control thread")?;
    Ok(handle)
}

/// Prints the listening addresses to standard output, where the parent process can read them.
fn print_listen_addresses(daemon: &Daemon) {
    let identity = daemon.identity();
    println!(
        "listening callers={} operators={} peers={}",
        identity.caller_address, identity.operator_address, identity.peer_address
    );
}

/// Waits for SIGTERM or SIGINT.
async fn shutdown_signal() {
    let wait = |kind| async move {
        match signal(kind) {
            Ok(mut signals) => {
                signals.recv().await;
            }
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        () = wait(SignalKind::terminate()) => {}
        () = wait(SignalKind::interrupt()) => {}
    }
}
