//! A few clients send bodies of the largest allowed size in chunks of one byte. The platform kills a process over its
//! memory.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::cloud::Cloud;
use review_standins::fleet::{self, BOUNDS, Machine, Site};
use review_standins::http::{self, Conn};
use review_standins::record::{Record, has_trouble};
use review_standins::store::Store;

/// `memoryMb` of the small site.
const MEMORY_MB: f64 = 260.0;
const ENGINES: usize = 6;
/// `maxBodyBytes` of the site.
const MAX_BODY: usize = 4_194_304;
/// Clients that send such bodies, to each gateway.
const UPLOADERS: usize = 3;
/// Length of the run under load.
const LOAD: Duration = Duration::from_secs(100);
const CLIENTS: usize = 10;
const HOST: &str = "review.example";

struct Engine {
    id: String,
}

impl Engine {
    fn connection(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read_request() {
            let attempt = req.header("x-jayhall-attempt-id").unwrap_or_default().to_owned();
            if req.header("x-jayhall-expect-instance").is_some_and(|id| id != self.id) {
                let _ = conn.answer(421, "X-Jayhall-Not-Executed: 1\r\n", b"");
                continue;
            }
            let head = format!("X-Jayhall-Attempt-Id: {attempt}\r\nX-Jayhall-Response-Seal: s.{attempt}\r\n");
            if stream(&mut conn, &head, &attempt).is_err() {
                return;
            }
        }
    }
}

/// Sends the events of a sound answer.
fn stream(conn: &mut Conn, head: &str, attempt: &str) -> std::io::Result<()> {
    let start = format!("HTTP/1.1 200 S\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    conn.stream.write_all(start.as_bytes())?;
    for id in 1..=20 {
        std::thread::sleep(Duration::from_millis(20));
        let event = format!("id: {id}\ndata: piece {id} of {attempt}\n\n");
        conn.stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    conn.stream.write_all(b"0\r\n\r\n")
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","hostname":"{HOST}","pathPrefix":"/question/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"advisor","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":300}}],"services":[{{"name":"advisor","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":631747}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"almaz","apiKeys":["key-of-almaz"]}}]}}"#
    )
}

fn client(number: usize, fronts: &[SocketAddr], until: Instant, record: &Record, outcome: &Mutex<[u64; 3]>) {
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let attempt = format!("a{number:02}x{count:05}");
        let front = fronts[(number + count) % fronts.len()];
        let req = format!(
            "POST /question/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Jayhall-Attempt-Id: {attempt}\r\n\
             X-Jayhall-Model: m\r\nX-Jayhall-Token-Counts: 1460,80\r\nX-Jayhall-Prompt-Prefix: {:x}:350,{:x}{number:x}:1110\r\n\
             X-Jayhall-Deadline-Ms: 15000\r\nAuthorization: Bearer key-of-almaz\r\nContent-Length: 3\r\n\r\nabc",
            count % 20 + 1,
            count + 4096,
        );
        let answer = http::ask(front, req.as_bytes(), Duration::from_secs(15));
        let (at, what) = match &answer {
            Ok(answer) if answer.status() == 200 => (0, "whole answer".to_owned()),
            Ok(answer) => (1, format!("status {}", answer.status())),
            Err(e) => (2, format!("no whole answer: {e}")),
        };
        outcome.lock().unwrap()[at] += 1;
        if at > 0 {
            record.write(format!("client: {attempt} at {front}: {what}"));
            std::thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Sends bodies of the largest size one after the other, in chunks of one byte or with a length.
fn upload(number: usize, front: SocketAddr, until: Instant, record: &Record) {
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let attempt = format!("b{number:02}x{count:05}");
        let head = format!(
            "POST /question/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Jayhall-Attempt-Id: {attempt}\r\n\
             X-Jayhall-Model: m\r\nX-Jayhall-Token-Counts: 1460,80\r\nX-Jayhall-Prompt-Prefix: 1:350,{:x}{number:x}:1110\r\n\
             X-Jayhall-Deadline-Ms: 15000\r\nAuthorization: Bearer key-of-almaz\r\n",
            count + 8192,
        );
        let mut req = head.into_bytes();
        if has_trouble() {
            req.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            req.extend_from_slice(&b"1\r\nx\r\n".repeat(MAX_BODY));
            req.extend_from_slice(b"0\r\n\r\n");
        } else {
            req.extend_from_slice(format!("Content-Length: {MAX_BODY}\r\n\r\n").as_bytes());
            req.extend_from_slice(&b"x".repeat(MAX_BODY));
        }
        record.write(format!("client: {attempt} begins to send a body of {MAX_BODY} bytes to {front}"));
        let answer = http::ask(front, &req, Duration::from_secs(16));
        let what = answer.map_or_else(|e| format!("no whole answer: {e}"), |a| format!("status {}", a.status()));
        record.write(format!("client: {attempt} at {front}: {what}"));
        std::thread::sleep(Duration::from_millis(300));
    }
}

fn main() {
    let record = Record::open();
    let store = Store::spawn(fleet::ip(1));
    let cloud = Cloud::spawn(fleet::ip(1));
    store.put("op/config", &config());
    for number in 0..ENGINES {
        let listener = TcpListener::bind((fleet::ip(2), 0)).expect("a port for an engine");
        let address = listener.local_addr().expect("its address");
        let id = format!("i-{number:04x}");
        let entry = format!(
            r#"{{"service":"advisor","address":"{address}","zone":"bole","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":1,"born":{}}}"#,
            1_700_000_000_000_u64 + number as u64
        );
        store.put(&format!("servers/{id}"), &entry);
        let engine = Arc::new(Engine { id });
        http::serve(listener, move |conn| engine.connection(conn));
    }
    let site = Site { store: store.address, cloud: cloud.address, regions: "bole:addis".into(), bounds: BOUNDS.into() };
    let mut machines: Vec<Machine> = Vec::new();
    for number in 0..2 {
        let seeds: Vec<SocketAddr> = machines.iter().map(|m| m.control).collect();
        machines.push(Machine::new(number, "bole", "addis", &site, &seeds));
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|m| m.wait_ready(Duration::from_secs(15))) {
        record.say("the gateways don't become ready");
        drop(machines);
        fleet::clean_up();
        std::process::exit(2);
    }
    record.say("gateways are ready");
    let fronts: Vec<SocketAddr> = machines.iter().map(|m| m.front).collect();
    let until = Instant::now() + LOAD;
    let outcome = Arc::new(Mutex::new([0; 3]));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fronts, record, outcome) = (fronts.clone(), record.clone(), Arc::clone(&outcome));
            std::thread::spawn(move || client(number, &fronts, until, &record, &outcome))
        })
        .collect();
    for number in 0..UPLOADERS * fronts.len() {
        let (front, record) = (fronts[number % fronts.len()], record.clone());
        std::thread::spawn(move || upload(number, front, until, &record));
    }
    let mut ends = [0; 2];
    let mut peak = [0.0_f64; 2];
    let mut restart_at = [None; 2];
    while Instant::now() < until && ends.iter().any(|ends| *ends < 3) {
        std::thread::sleep(Duration::from_millis(10));
        for (at, machine) in machines.iter_mut().enumerate() {
            if restart_at[at].is_some_and(|due| Instant::now() >= due) {
                restart_at[at] = None;
                machine.start();
                record.say(format!("{} starts again", machine.name));
            }
            if machine.child.is_none() {
                continue;
            }
            let Some(memory) = machine.memory_mb() else {
                ends[at] += 1;
                record.say(format!("{} has ended by itself", machine.name));
                machine.kill();
                restart_at[at] = Some(Instant::now() + Duration::from_secs(1));
                continue;
            };
            peak[at] = peak[at].max(memory);
            if memory > MEMORY_MB {
                ends[at] += 1;
                record.say(format!("{} has {memory:.0} MB, over memoryMb = {MEMORY_MB}: killed ({})", machine.name, ends[at]));
                machine.kill();
                restart_at[at] = Some(Instant::now() + Duration::from_secs(1));
            }
        }
    }
    let [whole, refused, lost] = *outcome.lock().unwrap();
    record.say(format!("peak of memory in MB: {peak:.0?}; ends over memoryMb or by themselves: {ends:?}"));
    record.say(format!("clients: {whole} whole answers, {refused} other answers, {lost} without a whole answer"));
    let is_broken = ends.iter().all(|ends| *ends >= 3);
    drop(machines);
    drop(clients);
    fleet::clean_up();
    std::process::exit(i32::from(is_broken));
}
