//! Prompts are named in many small parts, and the gateways' models of the engines' caches grow beyond the memory of their
//! machines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::ask;
use crate::engine::{self, Engine};
use crate::fleet::{Gateway, Place, Record, free_port, ip, start_cloud, unix_ms};
use crate::setup::{ZONES, config_with, folder, headers};
use crate::store::Store;

/// Engines, slots and memory for tokens as in the site file.
const ENGINES: u8 = 140;
const SLOTS: u64 = 16;
const KV_TOKENS: u64 = 557_597;
/// `memoryMb` of the smallest machines of the site.
const MEMORY_MB: u64 = 160;
/// Streams a second that clients begin at each of the two gateways.
const STREAMS_PER_S: u64 = 90;
/// Tokens of a contract that other requests share, and of the request's own.
const SHARED_TOKENS: u64 = 13_300;
const OWN_TOKENS: u64 = 3_720;
const CONTRACTS: u64 = 221;
const EVENTS: u64 = 24;
/// Ends of processes at each machine that break the rule.
const ENDS: u64 = 3;
const END: Duration = Duration::from_secs(112);

struct Counts {
    begun: AtomicU64,
    complete: AtomicU64,
    broken_off: AtomicU64,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    // The size of a block of the site's engines, or parts as in the example of the pages.
    let tokens_per_part = if trouble { 16 } else { 266 };
    let dir = folder();
    let store = Store::new();
    store.put("op/config", &config_with(7, SLOTS, KV_TOKENS));
    let cloud = start_cloud(record);
    for number in 0..ENGINES {
        let engine = Engine {
            listen: free_port(ip(10 + number)),
            id: format!("i-{number}a"),
            version: "v1".into(),
            born: unix_ms(),
            slots: SLOTS,
            queue: 134,
            first_ms: 200,
            events: EVENTS,
            event_ms: 10,
            grey_from_ms: 0,
            grey_ms: 0,
        };
        let zone = ZONES[usize::from(number) % 3].0;
        let entry = engine.entry("advisor", zone, "ready");
        let id = engine.id.clone();
        // None of them is disturbed, so they need no processes of their own.
        std::thread::spawn(move || engine::run_quietly(engine));
        store.put(&format!("servers/{id}"), &entry);
    }
    let controls: Vec<_> = (0..2).map(|number| free_port(ip(1 + number))).collect();
    let mut gateways = Vec::new();
    for number in 0..2u8 {
        let (zone, region) = ZONES[usize::from(number)];
        let place = Place {
            name: &format!("front-{zone}-1"),
            party: 1 + number,
            zone,
            region,
            store: store.listen(ip(200 + number)),
            cloud,
            seeds: &controls,
            memory_mb: MEMORY_MB,
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
    let counts = Arc::new(Counts {
        begun: AtomicU64::new(0),
        complete: AtomicU64::new(0),
        broken_off: AtomicU64::new(0),
    });
    let mut senders = Vec::new();
    for (at, gateway) in gateways.iter().enumerate() {
        let address = gateway.callers;
        let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
        senders.push(std::thread::spawn(move || {
            let interval = Duration::from_micros(1_000_000 / STREAMS_PER_S);
            let started = Instant::now();
            for number in 1u32.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let due = started + interval * number;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let counts = Arc::clone(&counts);
                let session = u64::from(number) * 2 + at as u64;
                let builder = std::thread::Builder::new().stack_size(256 * 1024);
                let _ = builder.spawn(move || stream(address, session, tokens_per_part, &counts));
            }
        }));
    }
    // What the platform does with a process that holds more memory than its machine has: it ends it, and starts it again
    // after a short delay.
    let mut most = [0; 2];
    let mut ends = [0; 2];
    let mut down_since = [None; 2];
    let mut next_line = Duration::ZERO;
    while record.now() < END && ends.iter().any(|ends| *ends < ENDS) {
        std::thread::sleep(Duration::from_millis(50));
        for (at, gateway) in gateways.iter_mut().enumerate() {
            match down_since[at] {
                Some(since) if record.now() >= since + Duration::from_secs(1) => {
                    gateway.start();
                    down_since[at] = None;
                }
                Some(_) => {}
                None => {
                    let held = gateway.process().resident_kb();
                    most[at] = held.max(most[at]);
                    if held > MEMORY_MB * 1024 {
                        ends[at] += 1;
                        record.say(format!(
                            "{} holds {held} kB: it is killed, end {}",
                            gateway.name, ends[at]
                        ));
                        gateway.process().kill();
                        down_since[at] = Some(record.now());
                    }
                }
            }
        }
        if record.now() >= next_line {
            next_line = record.now() + Duration::from_secs(5);
            record.say(describe(&counts, &most));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    std::thread::sleep(Duration::from_secs(2));
    record.say(describe(&counts, &most));
    record.say(format!("ends of processes for their memory: {ends:?}"));
    if counts.complete.load(Ordering::Relaxed) < 1000 {
        return Outcome::CouldNotRun;
    }
    // Fault: at two machines processes end by themselves three times.
    match ends.iter().all(|ends| *ends >= ENDS) {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn describe(counts: &Counts, most: &[u64]) -> String {
    format!(
        "streams: {} begun, {} complete, {} broken off or not connected; memory at most {most:?} kB",
        counts.begun.load(Ordering::Relaxed),
        counts.complete.load(Ordering::Relaxed),
        counts.broken_off.load(Ordering::Relaxed)
    )
}

fn stream(address: SocketAddr, session: u64, tokens_per_part: u64, counts: &Counts) {
    counts.begun.fetch_add(1, Ordering::Relaxed);
    let contract = session.wrapping_mul(2_654_435_761) % CONTRACTS;
    let shared =
        (0..SHARED_TOKENS / tokens_per_part).map(|at| 0x1000_0000 + contract * 0x1_0000 + at);
    let own = (0..OWN_TOKENS / tokens_per_part).map(|at| 0x2000_0000 + session * 0x100 + at);
    let parts: Vec<String> = shared
        .chain(own)
        .map(|id| format!("{id:x}:{tokens_per_part}"))
        .collect();
    let tokens = parts.len() as u64 * tokens_per_part;
    let mut headers = headers(&format!("s{session}"), 10_000);
    headers.push(("X-Jayhall-Model".into(), "m".into()));
    headers.push(("X-Jayhall-Token-Counts".into(), format!("{tokens},120")));
    headers.push(("X-Jayhall-Prompt-Prefix".into(), parts.join(",")));
    let body = session.to_string();
    let time = Duration::from_secs(10);
    let seen = ask(
        address,
        "POST",
        "/contract/2f",
        &headers,
        body.as_bytes(),
        time,
    );
    if seen.is_complete && seen.events.len() as u64 == EVENTS {
        counts.complete.fetch_add(1, Ordering::Relaxed);
    } else if !seen.is_complete {
        counts.broken_off.fetch_add(1, Ordering::Relaxed);
    }
}
