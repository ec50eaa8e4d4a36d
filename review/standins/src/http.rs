//! HTTP/1.1 as far as the stand-ins need it, with a thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Header fields, with names in lower case.
pub type Fields = Vec<(String, String)>;

/// A complete request.
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Fields,
    pub body: Vec<u8>,
}

/// A complete response.
pub struct Response {
    pub status: u16,
    pub fields: Fields,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        find(&self.fields, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, unescaped.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        Some(unescape(value))
    }
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            fields: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.fields.push((String::from(name), value.into()));
        self
    }
}

fn find<'a>(fields: &'a Fields, name: &str) -> Option<&'a str> {
    let field = fields.iter().find(|(key, _)| key == name);
    field.map(|(_, value)| value.as_str())
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves requests at an address; `None` from the handler closes the connection without an answer.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Option<Response> + ?Sized),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let mut bytes = format!("HTTP/1.1 {} -\r\n", response.status).into_bytes();
        write_fields(&mut bytes, &response.fields, Some(response.body.len()));
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

fn write_fields(bytes: &mut Vec<u8>, fields: &Fields, length: Option<usize>) {
    for (name, value) in fields {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if let Some(length) = length {
        bytes.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((line, fields)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = String::from(words.next().unwrap_or_default());
    let target = String::from(words.next().unwrap_or_default());
    let body = read_body(reader, &fields, false)?;
    Ok(Some(Request {
        method,
        target,
        fields,
        body,
    }))
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Fields)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut fields = Fields::new();
    loop {
        let mut field = String::new();
        if reader.read_line(&mut field)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = field.trim_end();
        if field.is_empty() {
            return Ok(Some((String::from(line.trim_end()), fields)));
        }
        if let Some((name, value)) = field.split_once(':') {
            fields.push((name.to_ascii_lowercase(), String::from(value.trim())));
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    fields: &Fields,
    may_end_with_connection: bool,
) -> io::Result<Vec<u8>> {
    let is_chunked = find(fields, "transfer-encoding").is_some();
    let mut body = Vec::new();
    if is_chunked {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match find(fields, "content-length") {
        Some(length) => {
            body = vec![0; length.parse().map_err(io::Error::other)?];
            reader.read_exact(&mut body)?;
        }
        None if may_end_with_connection => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Sends one request on a new connection and waits for the complete response.
///
/// An error of kind [`io::ErrorKind::UnexpectedEof`] or [`io::ErrorKind::ConnectionReset`] means that
/// the connection ended without a complete response.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let fields = fields
        .iter()
        .map(|(name, value)| (String::from(*name), String::from(*value)));
    let fields: Fields = fields.collect();
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    write_fields(&mut bytes, &fields, (method != "GET").then_some(body.len()));
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let (line, fields) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("not an HTTP response"))?;
    let body = read_body(&mut reader, &fields, true)?;
    Ok(Response {
        status,
        fields,
        body,
    })
}
