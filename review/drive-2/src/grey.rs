//! Engines fail part of the requests that they have run with 503, without the header that says that they did not run.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Outcome;
use crate::client::ask;
use crate::engine::Engine;
use crate::fleet::{
    Gateway, Place, Process, Record, free_port, ip, start_cloud, start_engine, unix_ms,
};
use crate::setup::{ZONES, config, folder, headers};
use crate::store::Store;

/// Engines of the order desk, as in the site file, all of them grey for a while: its day trouble-1 has `srv_grey` with
/// `share = 1.0, x = 0.45, for_s = 4.0`.
const ENGINES: u8 = 3;
const GREY_FROM: Duration = Duration::from_secs(6);
const GREY: Duration = Duration::from_secs(4);
/// Orders and the time between two: as many a second as in the site's sheet.
const ORDERS: u64 = 200;
const INTERVAL: Duration = Duration::from_millis(56);

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
            slots: 6,
            queue: 24,
            first_ms: 60,
            events: 0,
            event_ms: 0,
            grey_from_ms: GREY_FROM.as_millis() as u64,
            grey_ms: if trouble { GREY.as_millis() as u64 } else { 0 },
        };
        let process = start_engine(&engine, record);
        let zone = ZONES[usize::from(number) % 3].0;
        store.put(
            &format!("servers/{}", engine.id),
            &engine.entry("orders", zone, "ready"),
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
    std::thread::sleep(Duration::from_secs(3));
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for order in 0..ORDERS {
        std::thread::sleep(INTERVAL);
        let address = gateways[(order % 3) as usize].callers;
        let (all, record) = (Arc::clone(&all), record.clone());
        clients.push(std::thread::spawn(move || {
            // An unsafe request is sent again only after a promise that it has not run.
            for number in 0..2 {
                let attempt = format!("o{order}x{number}");
                let headers = headers(&attempt, 3000);
                let target = format!("/place/2f?work=order-{order}");
                let seen = ask(
                    address,
                    "POST",
                    &target,
                    &headers,
                    b"a booking",
                    Duration::from_secs(3),
                );
                record.add(format!(
                    "client {attempt} of order-{order}: status {} {}",
                    seen.status, seen.error
                ));
                all.lock().unwrap().push((attempt, seen.status));
                if !matches!(seen.status, 408 | 421 | 429 | 503) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut runs: HashMap<String, u64> = HashMap::new();
    let mut works: HashMap<String, u64> = HashMap::new();
    for (_, line) in record.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        if let ["engine", "run", _, _, attempt, work] = words[..] {
            *runs.entry(attempt.into()).or_default() += 1;
            *works.entry(work.into()).or_default() += 1;
        }
    }
    let all = all.lock().unwrap();
    let served = all.iter().filter(|(_, status)| *status == 200).count();
    let promised = all
        .iter()
        .filter(|(_, status)| matches!(status, 408 | 421 | 429 | 503));
    let broken: Vec<&String> = promised
        .map(|(attempt, _)| attempt)
        .filter(|a| runs.contains_key(*a))
        .collect();
    let twice = works.values().filter(|count| **count > 1).count();
    record.say(format!(
        "{} attempts, {served} served; {} answered 429 or 503 (408, 421) that have run; {twice} orders applied twice",
        all.len(),
        broken.len()
    ));
    if served < 100 {
        return Outcome::CouldNotRun;
    }
    match broken.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
