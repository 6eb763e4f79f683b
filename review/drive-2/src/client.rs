//! Clients: plain requests and streams.

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{connect, is_chunked, read_body, read_chunk, read_head, send};

/// What a client saw of a request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub status: u16,
    /// Events in their order: id and data.
    pub events: Vec<(u64, String)>,
    /// Whether the answer ended as a complete one.
    pub is_complete: bool,
    pub body: Vec<u8>,
    pub took: Duration,
    pub error: String,
}

/// Sends a request and reads its answer until it ends or `timeout` has passed.
pub fn ask(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
) -> Seen {
    let started = Instant::now();
    let mut seen = Seen::default();
    let result = exchange(address, method, target, headers, body, timeout, &mut seen);
    seen.took = started.elapsed();
    if let Err(e) = result {
        seen.error = e.to_string();
    }
    seen
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
    seen: &mut Seen,
) -> io::Result<()> {
    let deadline = Instant::now() + timeout;
    let mut stream = connect(address, timeout)?;
    send(&mut stream, method, target, headers, body)?;
    receive(
        &mut stream,
        deadline.saturating_duration_since(Instant::now()),
        seen,
    )
}

/// Reads the answer to a request until it ends or `timeout` has passed.
pub fn receive(
    stream: &mut BufReader<TcpStream>,
    timeout: Duration,
    seen: &mut Seen,
) -> io::Result<()> {
    let deadline = Instant::now() + timeout;
    allow(stream, deadline)?;
    let mut answer = read_head(stream)?;
    seen.status = answer.status();
    let kind = answer.header("content-type").unwrap_or_default();
    if seen.status != 200 || !kind.starts_with("text/event-stream") {
        read_body(stream, &mut answer)?;
        seen.body = answer.body;
        seen.is_complete = true;
        return Ok(());
    }
    if !is_chunked(&answer) {
        return Err(io::Error::other("a stream without chunks"));
    }
    let mut text = Vec::new();
    loop {
        allow(stream, deadline)?;
        let chunk = read_chunk(stream)?;
        if chunk.is_empty() {
            seen.is_complete = text.is_empty();
            return Ok(());
        }
        text.extend(chunk);
        while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            seen.events.extend(parse(&event));
        }
    }
}

fn allow(stream: &BufReader<TcpStream>, deadline: Instant) -> io::Result<()> {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    stream.get_ref().set_read_timeout(Some(left))
}

fn parse(event: &[u8]) -> Option<(u64, String)> {
    let (mut id, mut data) = (None, String::new());
    for line in event.lines().map_while(Result::ok) {
        if let Some(value) = line.strip_prefix("id:") {
            id = value.trim().parse().ok();
        } else if let Some(value) = line.strip_prefix("data:") {
            data = value.trim().into();
        }
    }
    Some((id?, data))
}
