//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer. `start` is the first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
        pair.unwrap_or_default().replace("%2F", "/")
    }
}

/// Reads from a socket with what was read too far.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let len = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..len]);
        Ok(len)
    }

    /// Reads a first line and headers. `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { start, headers, body: Vec::new() }))
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads one chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let data = self.take(size)?;
        self.take(2)?;
        Ok(data)
    }

    /// Reads the body that belongs to a head. An answer may end with the connection.
    pub fn read_body(&mut self, head: &Message, is_answer: bool) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let part = self.chunk()?;
                if part.is_empty() {
                    return Ok(body);
                }
                body.extend(part);
            }
        }
        if let Some(len) = head.header("content-length") {
            return self.take(len.parse().map_err(io::Error::other)?);
        }
        if is_answer && head.status() != 204 {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buf));
        }
        Ok(Vec::new())
    }

    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.read_head()? else { return Ok(None) };
        head.body = self.read_body(&head, false)?;
        Ok(Some(head))
    }

    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.stream.write_all(&all)
    }
}

/// Sends a request on a new connection and reads the whole answer until `deadline`.
pub fn ask(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let mut conn = Conn::connect(address, timeout.min(Duration::from_secs(1)))?;
    conn.stream.write_all(request)?;
    let left = deadline.saturating_duration_since(Instant::now());
    conn.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    head.body = conn.read_body(&head, true)?;
    Ok(head)
}

/// Accepts connections for ever, each served by a thread.
pub fn serve(
    listener: std::net::TcpListener,
    handle: impl Fn(Conn) + Send + Sync + Clone + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(Conn::new(stream)));
        }
    });
}
