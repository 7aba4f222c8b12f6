//! The parts of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or an answer: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with a name, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the head, with the length of the body.
    fn head(&self) -> String {
        let mut text = format!("{}\r\n", self.first_line);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        text
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }
}

/// A connection and the bytes that were read from it but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // An error shows in the next call on the stream.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; returns `false` at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a message; returns `None` if the stream ends before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(first_line) = self.take_line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first_line,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let line = self.take_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
                message.body.extend(self.take(size)?);
                self.take_line()?;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    /// Writes a message with the length of its body.
    pub fn write(&mut self, message: &Message) -> io::Result<()> {
        self.stream.write_all(&message.bytes())
    }

    /// Writes a message with the first `from` of its head replaced by `to`.
    pub fn write_spoiled(&mut self, message: &Message, from: &str, to: &str) -> io::Result<()> {
        let text = message.head().replacen(from, to, 1);
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&message.body);
        self.stream.write_all(&bytes)
    }
}

/// Builds an answer.
pub fn answer(status: u16, headers: &[(&str, String)], body: Vec<u8>) -> Message {
    let headers = headers.iter();
    Message {
        first_line: format!("HTTP/1.1 {status} -"),
        headers: headers.map(|(n, v)| ((*n).to_owned(), v.clone())).collect(),
        body,
    }
}

/// Builds a request.
pub fn request(method: &str, target: &str, headers: &[(&str, String)], body: Vec<u8>) -> Message {
    Message {
        first_line: format!("{method} {target} HTTP/1.1"),
        ..answer(0, headers, body)
    }
}

/// Sends a request on a new connection; returns the answer, or `None` if there is none in time.
pub fn call(addr: SocketAddr, request: &Message, timeout: Duration) -> Option<Message> {
    let end = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let left = end.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut connection = Connection::new(stream);
    connection.write(request).ok()?;
    connection.read().ok()?
}
