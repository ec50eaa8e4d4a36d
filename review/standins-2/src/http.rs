//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Stack of a thread that serves one connection.
const STACK_BYTES: usize = 256 * 1024;

/// A request or an answer: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let pair = pairs.find(|(known, _)| *known == name);
        pair.map(|(_, value)| decoded(value))
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }
}

fn decoded(value: &str) -> String {
    let mut parts = value.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at(2.min(part.len()));
        bytes.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Connects from an address, as a caller on that host does.
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&to, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.unread.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a whole message; `None` at the end of the connection before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            let end = self.unread.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            if self.fill()? == 0 {
                if self.unread.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..head_end]).into_owned();
        self.unread.drain(..head_end);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_string(),
            ..Message::default()
        };
        for line in lines.filter(|line| !line.is_empty()) {
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_string(), value.trim().to_string());
                message.fields.push(field);
            }
        }
        let is_chunked = message
            .field("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.field("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.take(length)?;
        } else if message.first_line.starts_with("HTTP/") && message.status() != 204 {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.unread);
        }
        Ok(Some(message))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|two| two == b"\r\n") {
                let line = self.unread.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.read_line()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Bytes of a message with a length.
pub fn encode(first_line: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(
    listener: TcpListener,
    is_open: impl Fn() -> bool + Send + 'static,
    take: impl Fn(Connection) + Send + Sync + 'static,
) {
    let take = Arc::new(take);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if !is_open() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let take = Arc::clone(&take);
            let serving = move || take(Connection::new(stream));
            let _ = thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(serving);
        }
    });
}
