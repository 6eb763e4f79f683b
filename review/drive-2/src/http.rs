//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

fn invalid(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

fn line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut text = Vec::new();
    if stream.read_until(b'\n', &mut text)? == 0 || !text.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(text.last(), Some(b'\n' | b'\r')) {
        text.pop();
    }
    String::from_utf8(text).map_err(|_| invalid("a line that is no text"))
}

/// Reads a first line with the headers.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        first: line(stream)?,
        ..Message::default()
    };
    loop {
        let text = line(stream)?;
        if text.is_empty() {
            return Ok(message);
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("a header"))?;
        message
            .headers
            .push((name.trim().into(), value.trim().into()));
    }
}

/// Reads the next chunk of a chunked body; an empty one is the last.
pub fn read_chunk(stream: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = line(stream)?;
    let size = size.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| invalid("a chunk's size"))?;
    let mut chunk = vec![0; size];
    stream.read_exact(&mut chunk)?;
    line(stream)?;
    Ok(chunk)
}

pub fn is_chunked(message: &Message) -> bool {
    let coding = message.header("transfer-encoding");
    coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
}

/// Reads the body of a message whose length is given.
pub fn read_body(stream: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if is_chunked(message) {
        loop {
            let chunk = read_chunk(stream)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(|_| invalid("a content-length"))?;
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)
}

/// Reads a request with its body.
pub fn read_request(stream: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(stream)?;
    read_body(stream, &mut message)?;
    Ok(message)
}

/// Writes a response with a body.
pub fn respond(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Returns a value of a query, with percent signs decoded.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let (_, value) = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(known, _)| *known == name)?;
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some(byte) = rest.first() {
        match byte {
            b'%' if rest.len() >= 3 => {
                let hex = std::str::from_utf8(&rest[1..3]).ok()?;
                bytes.push(u8::from_str_radix(hex, 16).ok()?);
                rest = &rest[3..];
            }
            b'+' => {
                bytes.push(b' ');
                rest = &rest[1..];
            }
            byte => {
                bytes.push(*byte);
                rest = &rest[1..];
            }
        }
    }
    String::from_utf8(bytes).ok()
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(BufReader::with_capacity(32 * 1024, stream))
}

/// Sends a request on a new connection and reads the whole answer. Fails after `timeout` in total, nearly.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let started = Instant::now();
    let mut stream = connect(address, timeout)?;
    send(&mut stream, method, target, headers, body)?;
    let left = timeout
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    stream.get_ref().set_read_timeout(Some(left))?;
    let mut answer = read_head(&mut stream)?;
    read_body(&mut stream, &mut answer)?;
    Ok(answer)
}

pub fn send(
    stream: &mut BufReader<TcpStream>,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.get_mut().write_all(&bytes)
}
