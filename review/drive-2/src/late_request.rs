//! A planned stop: requests that arrive slowly, and are whole only after the listeners have closed, are passed on to engines
//! and cut off at the end of the stop.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Seen, ask, receive};
use crate::engine::Engine;
use crate::fleet::{
    Gateway, Place, Process, Record, free_port, ip, start_cloud, start_engine, unix_ms,
};
use crate::http::connect;
use crate::setup::{HOST, KEY, ZONES, config, folder, headers};
use crate::store::Store;

const ENGINES: u8 = 6;
/// Streams of 6 s: `timeoutMs` of their route is 15,000.
const EVENTS: u64 = 60;
const EVENT_MS: u64 = 100;
const CLIENTS: u64 = 12;
const STOP_AT: Duration = Duration::from_secs(4);
/// Streams of other clients that are under way at SIGTERM.
const UNDER_WAY: u64 = 6;
const UNDER_WAY_FOR: Duration = Duration::from_millis(500);
/// Times after SIGTERM at which clients connect and begin to send, and at which their requests are whole: within the
/// `headerTimeoutMs` of 3,000.
const BEGIN_AFTER: Duration = Duration::from_millis(1000);
const WHOLE_AFTER: Duration = Duration::from_millis(3400);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let dir = folder();
    let store = Store::new();
    store.put("op/config", &config(7));
    let cloud = start_cloud(record);
    let mut engines: Vec<(Engine, Process)> = Vec::new();
    for number in 0..ENGINES {
        let engine = Engine {
            listen: free_port(ip(10 + number)),
            id: format!("i-{number}a"),
            version: "v1".into(),
            born: unix_ms(),
            slots: 64,
            queue: 134,
            first_ms: 100,
            events: EVENTS,
            event_ms: EVENT_MS,
            grey_from_ms: 0,
            grey_ms: 0,
        };
        let process = start_engine(&engine, record);
        let zone = ZONES[usize::from(number) % 3].0;
        store.put(
            &format!("servers/{}", engine.id),
            &engine.entry("advisor", zone, "ready"),
        );
        engines.push((engine, process));
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
    std::thread::sleep((STOP_AT - UNDER_WAY_FOR).saturating_sub(record.now()));
    let mut others = Vec::new();
    for number in 0..UNDER_WAY {
        let address = gateways[0].callers;
        let record = record.clone();
        others.push(std::thread::spawn(move || {
            let attempt = format!("o{number}");
            let mut headers = headers(&attempt, 15_000);
            headers.push(("X-Jayhall-Token-Counts".into(), "1110,180".into()));
            let time = Duration::from_secs(15);
            let seen = ask(address, "POST", "/shop/2f", &headers, b"a question", time);
            record.add(format!(
                "other stream {attempt}: status {}, {} events, complete: {} {}",
                seen.status,
                seen.events.len(),
                seen.is_complete,
                seen.error
            ));
            seen.is_complete
        }));
    }
    std::thread::sleep(STOP_AT.saturating_sub(record.now()));
    let stopped = Instant::now();
    if trouble {
        gateways[0].process().signal("-TERM");
        record.say(format!("SIGTERM to {}", gateways[0].name));
    }
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let address = gateways[0].callers;
        let (all, record) = (Arc::clone(&all), record.clone());
        clients.push(std::thread::spawn(move || {
            let attempt = format!("s{number}");
            let seen = slow_request(address, &attempt, stopped, &record);
            record.add(format!(
                "stream {attempt}: status {}, {} events, complete: {} {}",
                seen.status,
                seen.events.len(),
                seen.is_complete,
                seen.error
            ));
            all.lock().unwrap().push((attempt, seen));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let others = others.into_iter().map(std::thread::JoinHandle::join);
    let others = others.filter(|whole| matches!(whole, Ok(true))).count();
    record.say(format!(
        "{others} of {UNDER_WAY} streams that were under way at SIGTERM are whole"
    ));
    if trouble {
        while !gateways[0].process().has_ended() && stopped.elapsed() < Duration::from_secs(8) {
            std::thread::sleep(Duration::from_millis(20));
        }
        record.say(format!(
            "{} has ended {} ms after SIGTERM",
            gateways[0].name,
            stopped.elapsed().as_millis()
        ));
    }
    let lines = record.lines();
    let has_run = |attempt: &str| {
        let run = format!(" {attempt} ");
        lines
            .iter()
            .any(|(_, line)| line.starts_with("engine run") && line.contains(&run))
    };
    let all = all.lock().unwrap();
    let run: Vec<_> = all.iter().filter(|(attempt, _)| has_run(attempt)).collect();
    let whole = run.iter().filter(|(_, seen)| seen.is_complete).count();
    record.say(format!(
        "{} requests, {} passed on to engines, {whole} of these answered as a whole",
        all.len(),
        run.len()
    ));
    if !trouble && run.is_empty() {
        return Outcome::CouldNotRun;
    }
    // LOST, around planned work: a process has read a whole request, has passed it on, and the connection ends without a
    // complete answer.
    match run.len() == whole {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// Sends a request in two parts, and reads its answer.
fn slow_request(address: SocketAddr, attempt: &str, stopped: Instant, record: &Record) -> Seen {
    let wait_until = |after: Duration| {
        std::thread::sleep((stopped + after).saturating_duration_since(Instant::now()));
    };
    wait_until(BEGIN_AFTER);
    let mut seen = Seen::default();
    let Ok(mut stream) = connect(address, Duration::from_secs(1)) else {
        seen.error = "not connected".into();
        return seen;
    };
    let body = "how wide is a hoop";
    let head = format!(
        "POST /shop/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Jayhall-Attempt-Id: {attempt}\r\n\
         X-Jayhall-Model: m\r\nX-Jayhall-Token-Counts: 1110,180\r\nX-Jayhall-Deadline-Ms: 15000\r\n"
    );
    let rest = format!(
        "Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = stream.get_mut().write_all(head.as_bytes());
    wait_until(WHOLE_AFTER);
    let sent = sent.and_then(|()| stream.get_mut().write_all(rest.as_bytes()));
    record.add(format!(
        "stream {attempt}: its last byte is sent {} ms after SIGTERM",
        stopped.elapsed().as_millis()
    ));
    if let Err(e) = sent {
        seen.error = e.to_string();
        return seen;
    }
    if let Err(e) = receive(&mut stream, Duration::from_secs(15), &mut seen) {
        seen.error = e.to_string();
    }
    seen
}
