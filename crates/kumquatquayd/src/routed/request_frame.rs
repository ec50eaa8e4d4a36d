//! Finds the end of an HTTP/1.1 request before the HTTP library reads the request.
//!
//! The library decides what a request is; this module uses the same parser with the same
//! limits. Requests that the two might read differently are [`Framing::Unclear`].

use std::mem::MaybeUninit;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};
use httparse::{EMPTY_HEADER, Header, Status};

/// Limit of the HTTP library for the number of header fields.
const FIELDS_LIMIT_COUNT: usize = 100;

/// Value of the `Connection` field of a connection that stays open.
const KEEP_ALIVE: &str = "keep-alive";

/// Length of the longest head end, `\r\n\r\n`, less one.
const HEAD_END_OVERLAP_BYTES: usize = 3;

/// Result of parsing the start of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its head is incomplete.
    Partial,
    /// It isn't a valid request, or its end isn't certain.
    Unclear,
    /// Its head is complete, and its length is known.
    Known(RequestFrame),
}

/// Length of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestFrame {
    /// Size of the head.
    pub(crate) head_bytes: usize,
    /// Size of the body.
    pub(crate) body_bytes: u64,
    /// Whether the connection may close after the answer.
    pub(crate) may_close: bool,
}

impl RequestFrame {
    /// Size of head and body.
    pub(crate) fn size_bytes(self) -> u64 {
        self.body_bytes.saturating_add(self.head_bytes as u64)
    }
}

/// Parses the head at the start of `bytes` to find the end of the request.
pub(crate) fn frame_request(bytes: &[u8]) -> Framing {
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_LIMIT_COUNT];
    let mut request = httparse::Request::new(&mut []);
    match request.parse_with_uninit_headers(bytes, &mut fields) {
        Ok(Status::Complete(head_bytes)) => frame_from_head(&request, head_bytes),
        Ok(Status::Partial) => Framing::Partial,
        Err(_) => Framing::Unclear,
    }
}

fn frame_from_head(request: &httparse::Request<'_, '_>, head_bytes: usize) -> Framing {
    let mut frame = RequestFrame {
        head_bytes,
        body_bytes: 0,
        may_close: request.version != Some(1),
    };
    let mut has_length = false;
    for field in request.headers.iter() {
        match classify_field(field) {
            FrameField::Other => {}
            FrameField::MayClose => frame.may_close = true,
            FrameField::Length(length) if !has_length => {
                has_length = true;
                frame.body_bytes = length;
            }
            FrameField::Length(_) | FrameField::Unclear => return Framing::Unclear,
        }
    }
    if request.method == Some(Method::CONNECT.as_str()) {
        return Framing::Unclear;
    }
    Framing::Known(frame)
}

/// What a header field says about the end of its request.
enum FrameField {
    Other,
    MayClose,
    Length(u64),
    Unclear,
}

fn classify_field(field: &Header<'_>) -> FrameField {
    let is = |name: &str| field.name.eq_ignore_ascii_case(name);
    match field.name.len() {
        6 if is("expect") => FrameField::MayClose,
        7 if is("upgrade") => FrameField::Unclear,
        10 if is("connection") => {
            let is_keep_alive = field.value.eq_ignore_ascii_case(KEEP_ALIVE.as_bytes());
            if is_keep_alive {
                FrameField::Other
            } else {
                FrameField::MayClose
            }
        }
        14 if is("content-length") => {
            parse_length(field.value).map_or(FrameField::Unclear, FrameField::Length)
        }
        17 if is("transfer-encoding") => FrameField::Unclear,
        _ => FrameField::Other,
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok()
}

/// Whether a head may end after the first `seen_bytes` bytes, which were searched before.
pub(crate) fn has_head_end(bytes: &[u8], seen_bytes: usize) -> bool {
    let from = seen_bytes
        .saturating_sub(HEAD_END_OVERLAP_BYTES)
        .min(bytes.len());
    let new = &bytes[from..];
    let mut line_ends = new.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_ends.any(|(end, _)| {
        let behind = &new[end + 1..];
        behind.starts_with(b"\n") || behind.starts_with(b"\r\n")
    })
}

/// Parses a complete request as the HTTP library would.
pub(crate) fn parse_complete_request(bytes: &[u8], frame: RequestFrame) -> Option<Request<Bytes>> {
    let mut fields = [EMPTY_HEADER; FIELDS_LIMIT_COUNT];
    let mut parsed = httparse::Request::new(&mut fields);
    let Ok(Status::Complete(head_bytes)) = parsed.parse(bytes) else {
        return None;
    };
    let body = bytes.get(head_bytes..frame.size_bytes() as usize)?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let mut request = Request::new(Bytes::copy_from_slice(body));
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(parsed.path?).ok()?;
    *request.version_mut() = match parsed.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    *request.headers_mut() = headers;
    Some(request)
}
