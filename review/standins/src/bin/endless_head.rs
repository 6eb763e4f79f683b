//! Engines spoil a few of their answers: the head has no end. Calls of other routes are watched meanwhile.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::cloud::Cloud;
use review_standins::fleet::{self, BOUNDS, Machine, Site};
use review_standins::http::{self, Conn};
use review_standins::record::{Record, has_trouble};
use review_standins::store::Store;

/// Share of the engines that spoil answers, and the share of their answers.
const SPOILT_ENGINES: usize = 2;
const ENGINES: usize = 6;
const SPOILT_ANSWERS: u64 = 40;
/// Length of the run under load.
const LOAD: Duration = Duration::from_secs(40);
/// Clients of the streaming route, and of the route whose calls are watched.
const CLIENTS: usize = 40;
const ORDER_CLIENTS: usize = 40;
/// `timeoutMs` of the watched route, and the time after it within which its calls must have a final answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
const FINAL_ANSWER: Duration = Duration::from_millis(500);
/// Time that its clients wait (`X-Jayhall-Deadline-Ms`).
const ORDER_DEADLINE: Duration = Duration::from_secs(3);
/// Bytes a second of a spoilt answer, 880 Mbit/s: less than `linkMbps` = 1000.
const RATE: f64 = 110e6;
const HOST: &str = "review.example";

struct Engine {
    id: String,
    spoils: bool,
    is_order_desk: bool,
    answers: AtomicU64,
    record: Record,
}

impl Engine {
    fn connection(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read_request() {
            let attempt = req.header("x-jayhall-attempt-id").unwrap_or_default().to_owned();
            if req.header("x-jayhall-expect-instance").is_some_and(|id| id != self.id) {
                let _ = conn.answer(421, "X-Jayhall-Not-Executed: 1\r\n", b"");
                continue;
            }
            let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let head = format!("X-Jayhall-Attempt-Id: {attempt}\r\nX-Jayhall-Response-Seal: s.{attempt}\r\n");
            if self.spoils && number % SPOILT_ANSWERS == 0 {
                self.record.write(format!("engine {} spoils its answer to {attempt}", self.id));
                let sent = spoil(&mut conn);
                self.record.write(format!("engine {} sent {sent} bytes to {attempt}; the caller closed", self.id));
                return;
            }
            let answered = match self.is_order_desk {
                true => {
                    std::thread::sleep(Duration::from_millis(60));
                    conn.answer(200, &head, attempt.as_bytes())
                }
                false => stream(&mut conn, &head, &attempt),
            };
            if answered.is_err() {
                return;
            }
        }
    }
}

/// Sends interim heads for ever instead of an answer, until the caller closes. Returns the bytes.
fn spoil(conn: &mut Conn) -> u64 {
    let part = b"HTTP/1.1 100\r\n\r\n".repeat(4000);
    let began = Instant::now();
    let mut sent = 0;
    loop {
        let due = Duration::from_secs_f64(sent as f64 / RATE);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        if conn.stream.write_all(&part).is_err() {
            return sent;
        }
        sent += part.len() as u64;
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
        r#"{{"version":7,"routes":[{{"name":"r-1","hostname":"{HOST}","pathPrefix":"/timber/","routeType":"streaming","timeoutMs":6000,"targetLatencyMs":2000,"priority":2,"service":"advisor","maxAttempts":1,"public":false,"sticky":true,"streamResume":false,"gapAimMs":300}},{{"name":"r-2","hostname":"{HOST}","pathPrefix":"/order/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"orders","maxAttempts":1,"public":false}}],"services":[{{"name":"advisor","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":631747}}}},{{"name":"orders","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"almaz","apiKeys":["key-of-almaz"]}}]}}"#
    )
}

fn client(number: usize, fronts: &[SocketAddr], until: Instant, record: &Record, outcome: &Mutex<[u64; 3]>) {
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let attempt = format!("a{number:02}x{count:05}");
        let front = fronts[(number + count) % fronts.len()];
        let req = format!(
            "POST /timber/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Jayhall-Attempt-Id: {attempt}\r\n\
             X-Jayhall-Model: m\r\nX-Jayhall-Token-Counts: 1460,80\r\nX-Jayhall-Prompt-Prefix: {:x}:350,{:x}{number:x}:1110\r\n\
             X-Jayhall-Deadline-Ms: 6000\r\nAuthorization: Bearer key-of-almaz\r\nContent-Length: 3\r\n\r\nabc",
            count % 20 + 1,
            count + 4096,
        );
        let answer = http::ask(front, req.as_bytes(), Duration::from_secs(7));
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

/// Orders at one front: how many there were, how many had no final answer at the route's timeout, and how many had none
/// half a second later.
#[derive(Default)]
struct Orders {
    all: usize,
    late: usize,
    unanswered: usize,
}

fn order_client(number: usize, front: SocketAddr, until: Instant, record: &Record, orders: &Mutex<Orders>) {
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let attempt = format!("c{number:02}x{count:05}");
        let req = format!(
            "POST /order/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Jayhall-Attempt-Id: {attempt}\r\n\
             X-Jayhall-Deadline-Ms: {}\r\nAuthorization: Bearer key-of-almaz\r\nContent-Length: 3\r\n\r\nabc",
            ORDER_DEADLINE.as_millis()
        );
        let sent = Instant::now();
        let answer = http::ask(front, req.as_bytes(), ORDER_DEADLINE);
        let took = sent.elapsed();
        let mut orders = orders.lock().unwrap();
        orders.all += 1;
        orders.late += usize::from(took > ORDER_TIMEOUT);
        orders.unanswered += usize::from(took > ORDER_TIMEOUT + FINAL_ANSWER);
        drop(orders);
        if took > ORDER_TIMEOUT || answer.is_err() {
            let what = answer.map_or_else(|e| format!("no answer: {e}"), |answer| format!("status {}", answer.status()));
            record.write(format!("client: order {attempt} at {front}: {what} after {took:.3?}"));
        }
        std::thread::sleep(Duration::from_millis(400));
    }
}

fn main() {
    let record = Record::open();
    let store = Store::spawn(fleet::ip(1));
    let cloud = Cloud::spawn(fleet::ip(1));
    store.put("op/config", &config());
    for number in 0..ENGINES + 3 {
        let is_order_desk = number >= ENGINES;
        let (service, slots) = if is_order_desk { ("orders", 6 * 4) } else { ("advisor", 64) };
        let listener = TcpListener::bind((fleet::ip(2), 0)).expect("a port for an engine");
        let address = listener.local_addr().expect("its address");
        let id = format!("i-{number:04x}");
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"bole","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":1,"born":{}}}"#,
            1_700_000_000_000_u64 + number as u64
        );
        store.put(&format!("servers/{id}"), &entry);
        let spoils = has_trouble() && number < SPOILT_ENGINES;
        let engine = Arc::new(Engine { id, spoils, is_order_desk, answers: AtomicU64::new(0), record: record.clone() });
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
    let orders = Arc::new(Mutex::new(Orders::default()));
    let order_clients: Vec<_> = (0..ORDER_CLIENTS)
        .map(|number| {
            let (front, record, orders) = (fronts[number % fronts.len()], record.clone(), Arc::clone(&orders));
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(10 * number as u64));
                order_client(number, front, until, &record, &orders);
            })
        })
        .collect();
    for client in clients.into_iter().chain(order_clients) {
        let _ = client.join();
    }
    let [whole, refused, lost] = *outcome.lock().unwrap();
    record.say(format!("streams: {whole} whole answers, {refused} other answers, {lost} without a whole answer"));
    let orders = orders.lock().unwrap();
    record.say(format!(
        "orders: {} sent, {} without a final answer at the route's timeout of {ORDER_TIMEOUT:?}, {} of these without one {FINAL_ANSWER:?} later",
        orders.all, orders.late, orders.unanswered
    ));
    let is_broken = orders.unanswered >= 8 && orders.unanswered * 2 > orders.late;
    drop(machines);
    fleet::clean_up();
    std::process::exit(i32::from(is_broken));
}
