//! An engine that is cut off from the store starts again under its id with other software, at a moment at which the
//! gateways have no connection to it. Streams that begin there go on at the software that its entry names.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Outcome;
use crate::client::{Seen, ask};
use crate::engine::Engine;
use crate::fleet::{
    Gateway, Place, Process, Record, free_port, ip, start_cloud, start_engine, unix_ms,
};
use crate::setup::{ZONES, config, folder, headers};
use crate::store::Store;

/// Engines of the advisor; one of them is cut off from the store, a share of 0.167.
const ENGINES: u8 = 6;
/// Events of a stream, and streams that clients begin.
const EVENTS: u64 = 40;
const STREAMS: u64 = 60;
/// When the engine is cut off from the store, and for how long.
const CUT_AT: Duration = Duration::from_millis(7000);
const CUT: Duration = Duration::from_millis(5000);
/// Time after which an engine that is silent loses its entry: three heartbeats of 1,200 ms.
const ENTRY_TIME: Duration = Duration::from_millis(3600);
/// Time after the cut at which the engine starts again, clients begin their streams, and it crashes once more.
const RESTART_AFTER: Duration = Duration::from_millis(500);
const BEGIN_AFTER: Duration = Duration::from_millis(700);
const CRASH_AFTER: Duration = Duration::from_millis(2000);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let dir = folder();
    let store = Store::new();
    store.put("op/config", &config(7));
    let cloud = start_cloud(record);
    let mut engines: Vec<(Engine, Option<Process>)> = Vec::new();
    for number in 0..ENGINES {
        let engine = Engine {
            listen: free_port(ip(10 + number)),
            id: format!("i-{number}a"),
            version: "v1".into(),
            born: unix_ms(),
            slots: 64,
            queue: 134,
            first_ms: 50,
            events: EVENTS,
            event_ms: 75,
            grey_from_ms: 0,
            grey_ms: 0,
        };
        let process = start_engine(&engine, record);
        let zone = ZONES[usize::from(number) % 3].0;
        store.put(
            &format!("servers/{}", engine.id),
            &engine.entry("advisor", zone, "ready"),
        );
        engines.push((engine, Some(process)));
    }
    let controls: Vec<_> = (0..3).map(|number| free_port(ip(1 + number))).collect();
    let mut gateways = Vec::new();
    for number in 0..3u8 {
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
    std::thread::sleep(CUT_AT.saturating_sub(record.now()));
    if trouble {
        // Its heartbeats do not reach the store from now on.
        engines[0].1 = None;
        record.say("engine i-0a is cut off from the store and killed");
        std::thread::sleep(RESTART_AFTER);
        engines[0].0.version = "v2".into();
        engines[0].0.born = unix_ms();
        engines[0].1 = Some(start_engine(&engines[0].0, record));
        record.say("it has started again under its id, with software v2");
    }
    std::thread::sleep((CUT_AT + BEGIN_AFTER).saturating_sub(record.now()));
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let address = gateways[(number % 3) as usize].callers;
        let (all, record) = (Arc::clone(&all), record.clone());
        clients.push(std::thread::spawn(move || {
            let attempt = format!("s{number}");
            let mut headers = headers(&attempt, 15_000);
            headers.push(("X-Jayhall-Model".into(), "m".into()));
            headers.push(("X-Jayhall-Token-Counts".into(), "1110,120".into()));
            headers.push((
                "X-Jayhall-Prompt-Prefix".into(),
                format!("{:x}:1110", 0x5000 + number),
            ));
            let seen = ask(
                address,
                "POST",
                "/shop/2f",
                &headers,
                attempt.as_bytes(),
                Duration::from_secs(15),
            );
            record.add(format!("stream {attempt}: {}", describe(&seen)));
            all.lock().unwrap().push(seen);
        }));
    }
    std::thread::sleep((CUT_AT + CRASH_AFTER).saturating_sub(record.now()));
    if trouble {
        engines[0].1 = None;
        record.say("engine i-0a is killed again");
    }
    std::thread::sleep((CUT_AT + ENTRY_TIME).saturating_sub(record.now()));
    if trouble {
        store.remove("servers/i-0a");
        record.say("its entry is removed");
    }
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep((CUT_AT + CUT).saturating_sub(record.now()));
    let all = all.lock().unwrap();
    let mixed = all.iter().filter(|seen| versions(seen).len() > 1).count();
    let complete = all
        .iter()
        .filter(|seen| seen.is_complete && seen.events.len() as u64 == EVENTS)
        .count();
    record.say(format!(
        "{} streams, {complete} complete, {mixed} with events of two software versions",
        all.len()
    ));
    if all.len() < 50 || complete < 40 {
        return Outcome::CouldNotRun;
    }
    // ORDER: more than two streams hold events from engines of two software versions of one service.
    match mixed > 2 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn versions(seen: &Seen) -> Vec<String> {
    let mut versions: Vec<String> = seen
        .events
        .iter()
        .filter_map(|(_, data)| data.split(' ').next().map(Into::into))
        .collect();
    versions.sort();
    versions.dedup();
    versions
}

fn describe(seen: &Seen) -> String {
    let mut runs: Vec<(String, u64, u64)> = Vec::new();
    for (id, data) in &seen.events {
        match runs.last_mut() {
            Some((known, _, last)) if known == data => *last = *id,
            _ => runs.push((data.clone(), *id, *id)),
        }
    }
    let runs: Vec<String> = runs
        .iter()
        .map(|(data, a, b)| format!("{a}-{b} of {data}"))
        .collect();
    format!(
        "status {}, {} {}, complete: {}",
        seen.status,
        runs.join(", "),
        seen.error,
        seen.is_complete
    )
}
