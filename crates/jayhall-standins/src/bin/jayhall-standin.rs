//! Runs one stand-in as a process.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use getopts::{Matches, Options};
use jayhall_standins::cloud::{self, CloudSettings};
use jayhall_standins::engine::{self, EngineSettings};
use jayhall_standins::service::{self, ServiceSettings};
use jayhall_standins::store::{self, StoreSettings};
use jayhall_standins::vm_list::{self, VmListSettings};
use jayhall_standins::weights::{self, WeightsSettings};

const USAGE: &str = "Usage: jayhall-standin KIND --listen IP:PORT [options]

KIND is cloud, engine, service, store, vm-list or weights.

Faults: POST /faults with a JSON object sets those named, GET shows them, DELETE ends all.
  all kinds  freeze, refuse, lose_answer_next, delay_ms, drop_silently
  cloud      refuse_starts: list of ZONE or ZONE/MARKET, * for all zones
  engine     stop_after_tokens, slow_factor, leaving, duplicate_tokens, reorder_tokens
  store      outage, drop_watch_events, duplicate_next

For tests:
  cloud      POST /test/notice {\"vm\", \"in_ms\"}, POST /test/wave {\"zone\", \"in_ms\"},
             GET /test/started, PUT /test/prices
  engine     GET /test/orders, POST /test/clear_cache, GET /v1/records
  service    GET /effects
  store      GET /counters
  vm-list    PUT /test/vms (all), POST /test/vms (one), DELETE /test/vms/VM, PUT /test/lag {\"lag_ms\"}";

fn options() -> Options {
    let mut opts = Options::new();
    opts.optflag("h", "help", "shows this text");
    opts.optopt("", "listen", "address; port 0 for any", "IP:PORT");
    opts.optopt("", "seed", "seed of what is left to chance", "N");
    opts.optopt("", "models", "engine: models loaded at the start", "A,B");
    opts.optopt("", "slots", "engine: requests that run at once", "N");
    opts.optopt("", "waiting", "engine: requests that wait", "N");
    opts.optopt("", "prefill-tokens-per-second", "engine: prompt speed", "N");
    opts.optopt("", "decode-ms", "engine: time of a step", "MS");
    opts.optopt("", "decode-slope-ms", "engine: added by each request", "MS");
    opts.optopt("", "kv-tokens", "engine: KV cache limit", "N");
    opts.optopt("", "load-lag-ms", "engine: age of load reports", "MS");
    opts.optopt("", "event-lag-ms", "engine: age of cache events", "MS");
    opts.optopt("", "event-gaps", "engine: share of lost events", "0..1");
    opts.optflag("", "ignores-fencing", "engine: takes any order");
    opts.optflag("", "no-kv-export", "engine: cannot export KV cache");
    opts.optopt("", "load-ms", "engine: time to load a model", "MS");
    opts.optopt("", "prices", "cloud: JSON file with prices", "FILE");
    opts.optopt("", "call-ms", "service: time of a call", "MS");
    opts.optflag("", "deduplicates", "service: a repeated key has no effect");
    opts.optopt(
        "",
        "lag-ms",
        "vm-list: how long a change stays unseen",
        "MS",
    );
    opts.optopt("", "bytes", "weights: size of all weights", "N");
    opts.optopt(
        "",
        "bytes-per-second",
        "weights: rate of all downloads",
        "N",
    );
    opts.optopt("", "writes-per-second", "store: limit of writes", "N");
    opts.optopt("", "reads-per-second", "store: limit of reads", "N");
    opts
}

/// Returns the value of an option, or the default where it is not given.
fn value<T>(matches: &Matches, name: &str, default: T) -> Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    match matches.opt_str(name) {
        Some(text) => text.parse().wrap_err_with(|| format!("--{name} {text}")),
        None => Ok(default),
    }
}

fn millis(matches: &Matches, name: &str, default: Duration) -> Result<Duration> {
    let millis = value(matches, name, default.as_secs_f64() * 1000.0)?;
    Ok(Duration::from_secs_f64(millis / 1000.0))
}

fn names(matches: &Matches, name: &str, default: Vec<Box<str>>) -> Vec<Box<str>> {
    match matches.opt_str(name) {
        Some(text) => text.split(',').map(Into::into).collect(),
        None => default,
    }
}

fn engine_settings(matches: &Matches, listen: SocketAddr) -> Result<EngineSettings> {
    let d = EngineSettings::default();
    let prefill = "prefill-tokens-per-second";
    Ok(EngineSettings {
        listen,
        models: names(matches, "models", d.models),
        slots: value(matches, "slots", d.slots)?,
        waiting_places: value(matches, "waiting", d.waiting_places)?,
        prefill_tokens_per_second: value(matches, prefill, d.prefill_tokens_per_second)?,
        decode_base: millis(matches, "decode-ms", d.decode_base)?,
        decode_slope: millis(matches, "decode-slope-ms", d.decode_slope)?,
        kv_limit_tokens: value(matches, "kv-tokens", d.kv_limit_tokens)?,
        load_lag: millis(matches, "load-lag-ms", d.load_lag)?,
        event_lag: millis(matches, "event-lag-ms", d.event_lag)?,
        event_gap_probability: value(matches, "event-gaps", d.event_gap_probability)?,
        seed: value(matches, "seed", d.seed)?,
        load_time: millis(matches, "load-ms", d.load_time)?,
        checks_fencing: !matches.opt_present("ignores-fencing"),
        exports_kv: !matches.opt_present("no-kv-export"),
        ..d
    })
}

fn store_settings(matches: &Matches, listen: SocketAddr) -> Result<StoreSettings> {
    let d = StoreSettings::default();
    Ok(StoreSettings {
        listen,
        writes_per_second: value(matches, "writes-per-second", d.writes_per_second)?,
        reads_per_second: value(matches, "reads-per-second", d.reads_per_second)?,
        ..d
    })
}

fn service_settings(matches: &Matches, listen: SocketAddr) -> Result<ServiceSettings> {
    Ok(ServiceSettings {
        listen,
        delay: millis(matches, "call-ms", ServiceSettings::default().delay)?,
        deduplicates: matches.opt_present("deduplicates"),
    })
}

fn cloud_settings(matches: &Matches, listen: SocketAddr) -> Result<CloudSettings> {
    let mut settings = CloudSettings {
        listen,
        ..CloudSettings::default()
    };
    if let Some(path) = matches.opt_str("prices") {
        let text = std::fs::read_to_string(&path).wrap_err(path)?;
        settings.prices = serde_json::from_str(&text)?;
    }
    Ok(settings)
}

fn vm_list_settings(matches: &Matches, listen: SocketAddr) -> Result<VmListSettings> {
    let d = VmListSettings::default();
    Ok(VmListSettings {
        listen,
        lag: millis(matches, "lag-ms", d.lag)?,
        ..d
    })
}

fn weights_settings(matches: &Matches, listen: SocketAddr) -> Result<WeightsSettings> {
    let d = WeightsSettings::default();
    Ok(WeightsSettings {
        listen,
        bytes: value(matches, "bytes", d.bytes)?,
        bytes_per_second: value(matches, "bytes-per-second", d.bytes_per_second)?,
        ..d
    })
}

/// Runs a stand-in until it stops.
macro_rules! serve {
    ($spawned:expr) => {{
        let standin = $spawned.await?;
        println!("listening on {}", standin.address);
        standin.wait().await;
    }};
}

async fn run(kind: &str, matches: &Matches, listen: SocketAddr) -> Result<()> {
    match kind {
        "cloud" => serve!(cloud::spawn(cloud_settings(matches, listen)?)),
        "engine" => serve!(engine::spawn(engine_settings(matches, listen)?)),
        "service" => serve!(service::spawn(service_settings(matches, listen)?)),
        "store" => serve!(store::spawn(store_settings(matches, listen)?)),
        "vm-list" => serve!(vm_list::spawn(vm_list_settings(matches, listen)?)),
        "weights" => serve!(weights::spawn(weights_settings(matches, listen)?)),
        _ => bail!("unknown kind {kind:?}; see --help"),
    }
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::WARN)
        .with_writer(std::io::stderr)
        .init();
    let opts = options();
    let matches = opts.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", opts.usage(USAGE));
        return Ok(());
    }
    let [kind] = matches.free.as_slice() else {
        bail!("one KIND is needed; see --help");
    };
    let listen = matches
        .opt_str("listen")
        .ok_or_else(|| eyre!("--listen is needed; see --help"))?;
    run(kind, &matches, listen.parse().wrap_err("--listen")?).await
}
