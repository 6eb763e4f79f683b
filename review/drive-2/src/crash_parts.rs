//! Engines crash while they work on prompts that are lists of many parts. The gateways look for the cause of the
//! crashes, and answer nothing meanwhile.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Seen, ask};
use crate::engine::Engine;
use crate::fleet::{
    Gateway, Place, Process, Record, free_port, ip, start_cloud, start_engine, unix_ms,
};
use crate::setup::{ZONES, config, folder, headers};
use crate::store::Store;

/// Engines of the advisor, as in the site file; three of them crash, a share of 0.167 (at most 0.17 there).
const ENGINES: u8 = 18;
const CRASHED: usize = 3;
/// Streams a second that clients begin, for all gateways together: as many as in the site's sheet.
const STREAMS_PER_S: u64 = 71;
/// Time in which an engine reads a prompt, as 51.1 tokens a ms give.
const FIRST_MS: u64 = 333;
/// Prompts are named in parts of 16 tokens, the size of a block of the site's engines: 13,300 tokens of a contract that
/// other requests share, and 3,720 of the request's own.
const TOKENS_PER_PART: u64 = 16;
const SHARED_PARTS: u64 = 831;
const OWN_PARTS: u64 = 233;
const CONTRACTS: u64 = 221;
const EVENTS: u64 = 40;
/// When the engines crash, and for how long they are down.
const CRASH_AT: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_millis(4500);
/// Time after which an engine that is silent loses its entry: three heartbeats of 1,200 ms.
const ENTRY_TIME: Duration = Duration::from_millis(3600);
const END: Duration = Duration::from_secs(40);
/// The route's `timeoutMs`, and the time after it within which the rule asks for an answer.
const TIMEOUT: Duration = Duration::from_millis(1500);
const SLACK: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Streams {
    begun: u64,
    complete: u64,
    refused: u64,
    broken: u64,
}

/// A plain request: when it was sent, its status, and how long it took.
struct Look {
    sent: Duration,
    status: u16,
    took: Duration,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let dir = folder();
    let store = Store::new();
    store.put("op/config", &config(7));
    let cloud = start_cloud(record);
    let mut engines: Vec<(Engine, Option<Process>)> = Vec::new();
    for number in 0..ENGINES + 3 {
        let is_plain = number >= ENGINES;
        let engine = Engine {
            listen: free_port(ip(10 + number)),
            id: format!("i-{number}a"),
            version: "v1".into(),
            born: unix_ms(),
            slots: if is_plain { 6 } else { 64 },
            queue: if is_plain { 24 } else { 134 },
            first_ms: if is_plain { 20 } else { FIRST_MS },
            events: if is_plain { 0 } else { EVENTS },
            event_ms: 15,
            grey_from_ms: 0,
            grey_ms: 0,
        };
        let process = start_engine(&engine, record);
        let service = if is_plain { "orders" } else { "advisor" };
        let zone = ZONES[usize::from(number) % 3].0;
        store.put(
            &format!("servers/{}", engine.id),
            &engine.entry(service, zone, "ready"),
        );
        engines.push((engine, Some(process)));
    }
    let count = ZONES.len() as u8;
    let controls: Vec<_> = (0..count).map(|number| free_port(ip(1 + number))).collect();
    let mut gateways = Vec::new();
    for number in 0..count {
        let (zone, region) = ZONES[usize::from(number)];
        let place = Place {
            name: &format!("front-{zone}-1"),
            party: 1 + number,
            zone,
            region,
            store: store.listen(ip(200 + number)),
            cloud,
            seeds: &controls,
            memory_mb: 260,
        };
        let mut gateway = Gateway::new(&place, controls[usize::from(number)], &dir);
        gateway.start();
        gateways.push(gateway);
    }
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(15)))
    {
        record.say("the gateways did not become ready");
        return Outcome::CouldNotRun;
    }
    record.say("ready");
    let stop = Arc::new(AtomicBool::new(false));
    let streams = Arc::new(Mutex::new(Streams::default()));
    let looks = Arc::new(Mutex::new(Vec::new()));
    let mut senders = Vec::new();
    for gateway in &gateways {
        let address = gateway.callers;
        let name = gateway.name.clone();
        let interval = Duration::from_micros(1_000_000 * u64::from(count) / STREAMS_PER_S);
        let (stopped, streams) = (Arc::clone(&stop), Arc::clone(&streams));
        let first = u64::from(count) + senders.len() as u64;
        senders.push(every(interval, &stop, move |number| {
            let session = number * 64 + first;
            if !stopped.load(Ordering::Relaxed) {
                stream(address, session, &streams);
            }
        }));
        // Plain requests that may be repeated. They have nothing to do with the engines that crash.
        let (looks, record) = (Arc::clone(&looks), record.clone());
        senders.push(every(Duration::from_millis(100), &stop, move |number| {
            let sent = record.now();
            let headers = headers(&format!("l{name}x{number}"), 3000);
            let seen = ask(
                address,
                "GET",
                "/look/2f",
                &headers,
                b"",
                Duration::from_secs(15),
            );
            let Seen {
                status,
                took,
                error,
                ..
            } = seen;
            record.add(format!(
                "look at {name}, sent {:.3}: status {status} after {} ms {error}",
                sent.as_secs_f64(),
                took.as_millis()
            ));
            looks.lock().unwrap().push(Look { sent, status, took });
        }));
    }
    std::thread::sleep(CRASH_AT.saturating_sub(record.now()));
    if trouble {
        for (engine, process) in engines.iter_mut().take(CRASHED) {
            *process = None;
            record.say(format!("engine {} is killed", engine.id));
        }
        std::thread::sleep(ENTRY_TIME);
        for (engine, _) in engines.iter().take(CRASHED) {
            store.remove(&format!("servers/{}", engine.id));
        }
        std::thread::sleep(DOWN - ENTRY_TIME);
        for (number, (engine, process)) in engines.iter_mut().take(CRASHED).enumerate() {
            engine.id = format!("i-{number}b");
            engine.born = unix_ms();
            *process = Some(start_engine(engine, record));
            store.put(
                &format!("servers/{}", engine.id),
                &engine.entry("advisor", ZONES[number % 3].0, "ready"),
            );
            record.say(format!("engine {} is started in its place", engine.id));
        }
    }
    while record.now() < END {
        std::thread::sleep(Duration::from_millis(1000));
        let streams = streams.lock().unwrap();
        record.say(format!(
            "streams: {} begun, {} complete, {} refused, {} broken off; {}",
            streams.begun,
            streams.complete,
            streams.refused,
            streams.broken,
            summary(&looks.lock().unwrap())
        ));
    }
    stop.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    for gateway in &mut gateways {
        let has_ended = gateway.process().has_ended();
        record.say(format!("{} has ended: {has_ended}", gateway.name));
    }
    let looks = looks.lock().unwrap();
    record.say(summary(&looks));
    if looks.len() < 100 || streams.lock().unwrap().complete < 300 {
        return Outcome::CouldNotRun;
    }
    // CONFIG: eight or more that last longer than their route's timeoutMs, and over a quarter (here: over half) of them
    // have no final answer 0.5 s after it.
    let late = looks.iter().filter(|look| look.took > TIMEOUT).count();
    let unanswered = looks
        .iter()
        .filter(|look| look.took > TIMEOUT + SLACK)
        .count();
    match unanswered >= 8 && unanswered * 2 > late {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn summary(looks: &[Look]) -> String {
    let late = looks.iter().filter(|look| look.took > TIMEOUT).count();
    let unanswered = looks
        .iter()
        .filter(|look| look.took > TIMEOUT + SLACK)
        .count();
    let longest = looks.iter().map(|look| look.took).max().unwrap_or_default();
    let served = looks.iter().filter(|look| look.status == 200).count();
    let last = looks.iter().map(|look| look.sent).max().unwrap_or_default();
    format!(
        "plain requests: {} ended, {served} with 200; {late} without an answer after {} ms, {unanswered} of these {} ms later; longest {} ms, last sent at {:.1}",
        looks.len(),
        TIMEOUT.as_millis(),
        SLACK.as_millis(),
        longest.as_millis(),
        last.as_secs_f64()
    )
}

/// Runs `work` in a thread of its own at each interval until `stop` is set, and waits for all of them.
fn every(
    interval: Duration,
    stop: &Arc<AtomicBool>,
    work: impl Fn(u64) + Send + Sync + 'static,
) -> std::thread::JoinHandle<()> {
    let (stop, work) = (Arc::clone(stop), Arc::new(work));
    std::thread::spawn(move || {
        let started = Instant::now();
        let mut running = Vec::new();
        for number in 1.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let due = started + interval * number;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let work = Arc::clone(&work);
            let builder = std::thread::Builder::new().stack_size(256 * 1024);
            running.extend(builder.spawn(move || work(u64::from(number))));
            if number % 1000 == 0 {
                running.retain(|thread| !thread.is_finished());
            }
        }
        for thread in running {
            let _ = thread.join();
        }
    })
}

/// A stream with one retry, as the sheets have it.
fn stream(address: std::net::SocketAddr, session: u64, streams: &Mutex<Streams>) {
    let contract = session.wrapping_mul(2_654_435_761) % CONTRACTS;
    let shared = (0..SHARED_PARTS).map(|part| 0x1000_0000 + contract * 0x1_0000 + part);
    let own = (0..OWN_PARTS).map(|part| 0x2000_0000 + session * 0x100 + part);
    let parts: Vec<String> = shared
        .chain(own)
        .map(|id| format!("{id:x}:{TOKENS_PER_PART}"))
        .collect();
    let tokens = (SHARED_PARTS + OWN_PARTS) * TOKENS_PER_PART;
    streams.lock().unwrap().begun += 1;
    for attempt in 0..2 {
        let mut headers = headers(&format!("s{session}x{attempt}"), 12_000);
        headers.push(("X-Jayhall-Model".into(), "m".into()));
        headers.push(("X-Jayhall-Token-Counts".into(), format!("{tokens},120")));
        headers.push(("X-Jayhall-Prompt-Prefix".into(), parts.join(",")));
        let body = session.to_string();
        let seen = ask(
            address,
            "POST",
            "/contract/2f",
            &headers,
            body.as_bytes(),
            Duration::from_secs(12),
        );
        let mut streams = streams.lock().unwrap();
        if seen.is_complete && seen.events.len() as u64 == EVENTS {
            streams.complete += 1;
            return;
        }
        match seen.status {
            200 | 0 => streams.broken += 1,
            _ => streams.refused += 1,
        }
        drop(streams);
        std::thread::sleep(Duration::from_secs(1));
    }
}
