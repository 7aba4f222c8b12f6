//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response: the words of its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.get(1).map_or("", String::as_str)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _unset = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16384];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    /// Reads a message; `None` if the peer has closed the connection before it.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message::default();
        message.start = start.splitn(3, ' ').map(str::to_owned).collect();
        loop {
            let Some(line) = self.line()? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
                message.body.extend(self.exactly(size)?);
                self.exactly(2)?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(size) = message.header("content-length").map(str::to_owned) {
            let size = size.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.exactly(size)?;
        } else if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection, and reads the answer within `wait`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let end = Instant::now() + wait;
    let mut wire = Wire::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?);
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    wire.stream.set_read_timeout(Some(left))?;
    send(&mut wire, method, target, headers, body)?;
    wire.read(true)?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Writes one request.
pub fn send(
    wire: &mut Wire,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    wire.stream.write_all(&bytes)
}
