//! An engine that is cut off from the store crashes and starts again under its id with other software; then another
//! engine crashes, and its streams go on.
//!
//! `other_software --engine ID ADDRESS VERSION` runs one engine.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::cloud::Cloud;
use review_standins::fleet::{self, BOUNDS, Machine, Site};
use review_standins::http::Conn;
use review_standins::record::{Record, has_trouble};
use review_standins::store::Store;

const HOST: &str = "review.example";
const ENGINES: usize = 5;
const ZONES: [&str; 3] = ["addis-bole", "hawassa-lake", "addis-merkato"];
/// `heartbeatMs` of the site. An entry goes after three of them without a beat.
const BEAT: Duration = Duration::from_millis(1200);
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Time for which the engine is cut off from the store: `for_s` of `srv_cut`, if none is named.
const CUT: Duration = Duration::from_secs(5);
const CLIENTS: usize = 24;

fn engine_connection(mut conn: Conn, id: &str, version: &str) -> std::io::Result<()> {
    while let Some(req) = conn.read_request()? {
        let attempt = req.header("x-jayhall-attempt-id").unwrap_or_default().to_owned();
        if req.header("x-jayhall-expect-instance").is_some_and(|expected| expected != id) {
            conn.answer(421, "X-Jayhall-Not-Executed: 1\r\n", b"")?;
            continue;
        }
        let after: u64 = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 S\r\nX-Jayhall-Attempt-Id: {attempt}\r\nX-Jayhall-Response-Seal: s.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        std::thread::sleep(Duration::from_millis(50));
        conn.stream.write_all(head.as_bytes())?;
        for event in after + 1..=EVENTS {
            std::thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: piece {event} by {version} at {id}\n\n");
            conn.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        conn.stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

fn run_engine(args: &[String]) -> ! {
    let (id, address, version) = (args[0].clone(), &args[1], args[2].clone());
    let listener = TcpListener::bind(address.as_str()).expect("the engine's address");
    for stream in listener.incoming().flatten() {
        let (id, version) = (id.clone(), version.clone());
        std::thread::spawn(move || {
            let _ = engine_connection(Conn::new(stream), &id, &version);
        });
    }
    std::process::exit(0)
}

/// An engine, and what it writes to the store.
struct Engine {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    version: &'static str,
    born: u64,
    seq: u64,
    child: Option<Child>,
    /// Last beat that the store has taken.
    beat: Option<Instant>,
    is_listed: bool,
    /// Until when the engine doesn't reach the store.
    cut_until: Option<Instant>,
}

impl Engine {
    fn start(&mut self) {
        let program = std::env::current_exe().expect("this program's path");
        let child = Command::new(program)
            .args(["--engine", &self.id, &self.address.to_string(), self.version])
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.expect("an engine's process"));
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Writes the engine's beat if it is due and reaches the store; the store drops entries that get none.
    fn tick(&mut self, store: &Store, record: &Record) {
        let now = Instant::now();
        let is_due = self.beat.is_none_or(|at| now - at >= BEAT);
        if self.child.is_some() && is_due && self.cut_until.is_none_or(|until| now >= until) {
            self.seq += 1;
            let entry = format!(
                r#"{{"service":"advisor","address":"{}","zone":"{}","version":"{}","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{},"born":{}}}"#,
                self.address, self.zone, self.version, self.seq, self.born
            );
            store.put(&format!("servers/{}", self.id), &entry);
            self.beat = Some(now);
            self.is_listed = true;
        } else if self.is_listed && self.beat.is_some_and(|at| now - at > BEAT * 3) {
            store.delete(&format!("servers/{}", self.id));
            self.is_listed = false;
            record.say(format!("the store drops the entry of {}", self.id));
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","hostname":"{HOST}","pathPrefix":"/review/","routeType":"streaming","timeoutMs":12000,"targetLatencyMs":1000,"priority":1,"service":"advisor","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":300}}],"services":[{{"name":"advisor","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":631747}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"almaz","apiKeys":["key-of-almaz"]}}]}}"#
    )
}

/// Streams that hold events of two software versions, and all that were whole.
#[derive(Default)]
struct Seen {
    joined: Vec<String>,
    whole: usize,
    broken: usize,
    refused: usize,
}

fn client(number: usize, front: SocketAddr, part: &str, until: Instant, record: &Record, seen: &Mutex<Seen>) {
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let attempt = format!("a{number:02}x{count:05}");
        let req = format!(
            "POST /review/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Jayhall-Attempt-Id: {attempt}\r\nX-Jayhall-Model: m\r\n\
             X-Jayhall-Token-Counts: 14000,120\r\nX-Jayhall-Prompt-Prefix: {part}:13300,{:x}{number:x}:700\r\n\
             X-Jayhall-Deadline-Ms: 12000\r\nAuthorization: Bearer key-of-almaz\r\nContent-Length: 3\r\n\r\nabc",
            count + 65536,
        );
        let text = read_stream(front, req.as_bytes());
        let mut seen = seen.lock().unwrap();
        match text {
            Ok((200, text, is_whole)) => {
                let makers: Vec<&str> = text.lines().filter_map(|line| line.split_once(" by ")).map(|(_, maker)| maker).collect();
                let mut order: Vec<&str> = makers.clone();
                order.dedup();
                let versions: std::collections::BTreeSet<&str> = makers.iter().filter_map(|m| m.split(' ').next()).collect();
                seen.whole += usize::from(is_whole);
                seen.broken += usize::from(!is_whole);
                if order.len() > 1 || !is_whole {
                    record.write(format!("client: {attempt} at {front}: {} events of {order:?}, whole: {is_whole}", makers.len()));
                }
                if versions.len() > 1 {
                    seen.joined.push(format!("{attempt}: {} events of {order:?}", makers.len()));
                }
            }
            Ok((status, ..)) => {
                seen.refused += 1;
                record.write(format!("client: {attempt} at {front}: status {status}"));
            }
            Err(e) => {
                seen.refused += 1;
                record.write(format!("client: {attempt} at {front}: {e}"));
            }
        }
        drop(seen);
        std::thread::sleep(Duration::from_millis(300));
    }
}

fn read_stream(front: SocketAddr, req: &[u8]) -> std::io::Result<(u16, String, bool)> {
    let mut conn = Conn::connect(front, Duration::from_secs(1))?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(13)))?;
    conn.stream.write_all(req)?;
    let head = conn.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Ok((head.status(), String::new(), false));
    }
    let mut text = Vec::new();
    let is_whole = loop {
        match conn.chunk() {
            Ok(part) if part.is_empty() => break true,
            Ok(part) => text.extend(part),
            Err(_) => break false,
        }
    };
    Ok((200, String::from_utf8_lossy(&text).into_owned(), is_whole))
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "--engine") {
        run_engine(&args[1..]);
    }
    let part = std::env::var("PART").unwrap_or_else(|_| "5c1e07a2".into());
    let first = std::env::var("FIRST").ok().and_then(|n| n.parse().ok()).unwrap_or(2);
    let second = std::env::var("SECOND").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let record = Record::open();
    let store = Store::spawn(fleet::ip(1));
    let cloud = Cloud::spawn(fleet::ip(1));
    store.put("op/config", &config());
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let listener = TcpListener::bind((fleet::ip(2), 0)).expect("a port for an engine");
            Engine {
                id: format!("i-{number:04x}"),
                address: listener.local_addr().expect("its address"),
                zone: ZONES[number % ZONES.len()],
                version: "v1",
                born: 1_700_000_000_000 + number as u64,
                seq: 0,
                child: None,
                beat: None,
                is_listed: false,
                cut_until: None,
            }
        })
        .collect();
    engines.iter_mut().for_each(Engine::start);
    engines.iter_mut().for_each(|engine| engine.tick(&store, &record));
    let site = Site {
        store: store.address,
        cloud: cloud.address,
        regions: "addis-bole:addis,hawassa-lake:hawassa,addis-merkato:addis".into(),
        bounds: BOUNDS.into(),
    };
    let mut machines: Vec<Machine> = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let region = if *zone == "hawassa-lake" { "hawassa" } else { "addis" };
        let seeds: Vec<SocketAddr> = machines.iter().map(|m| m.control).collect();
        machines.push(Machine::new(number as u8, zone, region, &site, &seeds));
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|m| m.wait_ready(Duration::from_secs(15))) {
        record.say("the gateways don't become ready");
        drop(engines);
        drop(machines);
        fleet::clean_up();
        std::process::exit(2);
    }
    record.say("gateways are ready");
    let start = Instant::now();
    let until = start + Duration::from_secs(16);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, record, seen, part) = (machines[number % 3].front, record.clone(), Arc::clone(&seen), part.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(80 * number as u64));
                client(number, front, &part, until, &record, &seen);
            })
        })
        .collect();
    let mut step = 0;
    while Instant::now() < until + Duration::from_secs(3) {
        std::thread::sleep(Duration::from_millis(10));
        let at = start.elapsed();
        if has_trouble() && step == 0 && at > Duration::from_secs(7) {
            step = 1;
            let engine = &mut engines[second];
            engine.cut_until = Some(Instant::now() + CUT);
            engine.kill();
            record.say(format!("{} is cut off from the store, and crashes", engine.id));
        }
        if step == 1 && at > Duration::from_millis(7300) {
            step = 2;
            let engine = &mut engines[second];
            engine.version = "v2";
            engine.born += 1_000_000;
            engine.seq = 0;
            engine.start();
            record.say(format!("{} starts again under its id, with software v2", engine.id));
        }
        if step == 2 && at > Duration::from_millis(9000) {
            step = 3;
            engines[first].kill();
            record.say(format!("{} crashes", engines[first].id));
        }
        engines.iter_mut().for_each(|engine| engine.tick(&store, &record));
    }
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    for joined in &seen.joined {
        record.say(format!("JOINED {joined}"));
    }
    record.say(format!(
        "{} whole streams, {} broken off, {} not begun; {} hold events of two software versions (allowed: 2)",
        seen.whole, seen.broken, seen.refused, seen.joined.len()
    ));
    let is_broken = seen.joined.len() > 2;
    drop(engines);
    drop(machines);
    fleet::clean_up();
    std::process::exit(i32::from(is_broken));
}
