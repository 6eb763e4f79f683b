//! Stand-in for an engine. It runs as a process of its own, so that it can be killed.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Message, query, read_request, respond};

/// What an engine is and does.
#[derive(Clone, Debug)]
pub struct Engine {
    pub listen: SocketAddr,
    pub id: String,
    pub version: String,
    pub born: u64,
    /// Requests that run at once, and those that may wait besides.
    pub slots: u64,
    pub queue: u64,
    /// Time until the first event, or until the answer of a plain request.
    pub first_ms: u64,
    /// Events of a stream; a plain engine sends none.
    pub events: u64,
    pub event_ms: u64,
    /// Time from its start after which it fails four in ten of the requests that it has run, and for how long.
    pub grey_from_ms: u64,
    pub grey_ms: u64,
}

impl Engine {
    /// Arguments with which this program runs the engine.
    pub fn args(&self) -> Vec<String> {
        let numbers = [
            self.born,
            self.slots,
            self.queue,
            self.first_ms,
            self.events,
            self.event_ms,
            self.grey_from_ms,
            self.grey_ms,
        ];
        let mut args = vec![
            "engine".into(),
            self.listen.to_string(),
            self.id.clone(),
            self.version.clone(),
        ];
        args.extend(numbers.iter().map(u64::to_string));
        args
    }

    pub fn parse(args: &[String]) -> Option<Self> {
        let number = |at: usize| args.get(at)?.parse::<u64>().ok();
        Some(Self {
            listen: args.first()?.parse().ok()?,
            id: args.get(1)?.clone(),
            version: args.get(2)?.clone(),
            born: number(3)?,
            slots: number(4)?,
            queue: number(5)?,
            first_ms: number(6)?,
            events: number(7)?,
            event_ms: number(8)?,
            grey_from_ms: number(9)?,
            grey_ms: number(10)?,
        })
    }

    /// The engine's entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"{}","slots":{},"state":"{state}","coldRemainingMs":0,"born":{},"seq":1}}"#,
            self.listen, self.version, self.slots, self.born
        )
    }
}

struct Running {
    engine: Engine,
    writes: bool,
    busy: AtomicU64,
    served: AtomicU64,
    started: Instant,
}

fn echo_of(attempt: &str) -> (&str, &str) {
    ("X-Jayhall-Attempt-Id", attempt)
}

/// Serves until the process is killed, and writes its runs to the standard output.
pub fn run(engine: Engine) {
    serve(engine, true);
}

/// Serves as a thread of a case.
pub fn run_quietly(engine: Engine) {
    serve(engine, false);
}

fn serve(engine: Engine, writes: bool) {
    let listener = TcpListener::bind(engine.listen).expect("the engine's port");
    if writes {
        say(&format!("up {}", engine.id));
    }
    let running = Arc::new(Running {
        engine,
        writes,
        busy: AtomicU64::new(0),
        served: AtomicU64::new(0),
        started: Instant::now(),
    });
    for stream in listener.incoming().flatten() {
        let running = Arc::clone(&running);
        let builder = std::thread::Builder::new().stack_size(128 * 1024);
        let _ = builder.spawn(move || running.serve(stream));
    }
}

fn say(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

impl Running {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::with_capacity(32 * 1024, stream);
        while let Ok(request) = read_request(&mut stream) {
            if self.answer(stream.get_mut(), &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let Engine { id, born, .. } = &self.engine;
        let path = request.target().split('?').next().unwrap_or_default();
        match path {
            "/report" => {
                let running = self.busy.load(Ordering::Relaxed);
                let body = format!(
                    r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":1,"waiting":0,"running":{running},"kvUsed":0,"kvTotal":631747,"handles":0,"born":{born}}}"#
                );
                let headers = [("Content-Type", "application/json")];
                return respond(stream, "200 OK", &headers, body.as_bytes());
            }
            "/healthz" => {
                return respond(stream, "200 OK", &[("X-Jayhall-Instance-Id", id)], b"");
            }
            _ => {}
        }
        let attempt = request.header("x-jayhall-attempt-id").unwrap_or_default();
        let echo = echo_of(attempt);
        if request
            .header("x-jayhall-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let headers = [
                echo,
                ("X-Jayhall-Instance-Id", id),
                ("X-Jayhall-Not-Executed", "1"),
            ];
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        let before = self.busy.fetch_add(1, Ordering::Relaxed);
        let result = match before >= self.engine.slots + self.engine.queue {
            true => {
                let headers = [echo, ("X-Jayhall-Not-Executed", "1")];
                respond(stream, "503 Service Unavailable", &headers, b"")
            }
            false => self.work(stream, request, attempt),
        };
        self.busy.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn work(&self, stream: &mut TcpStream, request: &Message, attempt: &str) -> io::Result<()> {
        let engine = &self.engine;
        if self.writes {
            let key = query(request.target(), "work").unwrap_or_default();
            say(&format!(
                "run {} {} {attempt} {key}",
                engine.id, engine.version
            ));
        }
        std::thread::sleep(Duration::from_millis(engine.first_ms));
        let seal = format!("{}.{}", engine.id, engine.version);
        let age_ms = self.started.elapsed().as_millis() as u64;
        let is_grey = (engine.grey_from_ms..engine.grey_from_ms + engine.grey_ms).contains(&age_ms);
        if is_grey && self.served.fetch_add(1, Ordering::Relaxed) % 5 < 2 {
            let headers = [echo_of(attempt), ("X-Jayhall-Response-Seal", seal.as_str())];
            return respond(
                stream,
                "503 Service Unavailable",
                &headers,
                b"the database went away",
            );
        }
        if engine.events == 0 {
            let headers = [echo_of(attempt), ("X-Jayhall-Response-Seal", seal.as_str())];
            return respond(stream, "200 OK", &headers, attempt.as_bytes());
        }
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse::<u64>().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Jayhall-Attempt-Id: {attempt}\r\nX-Jayhall-Response-Seal: {seal}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in last.unwrap_or(0) + 1..=engine.events {
            let event = format!("id: {number}\ndata: {} {}\n\n", engine.version, engine.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            std::thread::sleep(Duration::from_millis(engine.event_ms));
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
