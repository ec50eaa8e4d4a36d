//! Where a request of HTTP/1.1 ends, read ahead of the HTTP library.
//!
//! The library decides what a request is; it parses with the same parser and the same
//! limits. What it and this module could see in two ways is [`Framing::Unclear`] here.

use std::mem::MaybeUninit;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};
use httparse::{EMPTY_HEADER, Header, Status};

/// Fields of a head that the HTTP library takes.
const FIELDS_LIMIT_COUNT: usize = 100;

/// The option of a connection that goes on.
const KEEP_ALIVE: &str = "keep-alive";

/// Bytes of the ends of two lines, less one.
const LINE_ENDS_BYTES: usize = 3;

/// What the bytes at the start of a request tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its head isn't there as a whole.
    Partial,
    /// Where it ends can't be told, or it is no request.
    Unclear,
    /// Its head is there, and its length is known.
    Known(RequestFrame),
}

/// The lengths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestFrame {
    /// Bytes of its head.
    pub(crate) head_bytes: usize,
    /// Bytes of its body.
    pub(crate) body_bytes: u64,
    /// Whether the connection may end with its answer.
    pub(crate) ends_row: bool,
}

impl RequestFrame {
    /// Bytes of all of it.
    pub(crate) fn whole_bytes(self) -> u64 {
        self.body_bytes.saturating_add(self.head_bytes as u64)
    }
}

/// Reads where the request at the start of some bytes ends.
pub(crate) fn frame_request(bytes: &[u8]) -> Framing {
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_LIMIT_COUNT];
    let mut request = httparse::Request::new(&mut []);
    match request.parse_with_uninit_headers(bytes, &mut fields) {
        Ok(Status::Complete(head_bytes)) => frame_of(&request, head_bytes),
        Ok(Status::Partial) => Framing::Partial,
        Err(_) => Framing::Unclear,
    }
}

fn frame_of(request: &httparse::Request<'_, '_>, head_bytes: usize) -> Framing {
    let mut frame = RequestFrame {
        head_bytes,
        body_bytes: 0,
        ends_row: request.version != Some(1),
    };
    let mut has_length = false;
    for field in request.headers.iter() {
        match field_of(field) {
            FrameField::Other => {}
            FrameField::EndsRow => frame.ends_row = true,
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

/// What a field of a head says of its request's end.
enum FrameField {
    Other,
    EndsRow,
    Length(u64),
    Unclear,
}

fn field_of(field: &Header<'_>) -> FrameField {
    let is = |name: &str| field.name.eq_ignore_ascii_case(name);
    match field.name.len() {
        6 if is("expect") => FrameField::EndsRow,
        7 if is("upgrade") => FrameField::Unclear,
        10 if is("connection") => {
            let goes_on = field.value.eq_ignore_ascii_case(KEEP_ALIVE.as_bytes());
            if goes_on {
                FrameField::Other
            } else {
                FrameField::EndsRow
            }
        }
        14 if is("content-length") => {
            length_of(field.value).map_or(FrameField::Unclear, FrameField::Length)
        }
        17 if is("transfer-encoding") => FrameField::Unclear,
        _ => FrameField::Other,
    }
}

fn length_of(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok()
}

/// Whether a head may end behind the first bytes, which were looked at.
pub(crate) fn has_head_end(bytes: &[u8], seen_bytes: usize) -> bool {
    let from = seen_bytes.saturating_sub(LINE_ENDS_BYTES).min(bytes.len());
    let new = &bytes[from..];
    let mut line_ends = new.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_ends.any(|(end, _)| {
        let behind = &new[end + 1..];
        behind.starts_with(b"\n") || behind.starts_with(b"\r\n")
    })
}

/// Reads a request that is there as a whole, as the HTTP library would.
pub(crate) fn read_whole_request(bytes: &[u8], frame: RequestFrame) -> Option<Request<Bytes>> {
    let mut fields = [EMPTY_HEADER; FIELDS_LIMIT_COUNT];
    let mut parsed = httparse::Request::new(&mut fields);
    let Ok(Status::Complete(head_bytes)) = parsed.parse(bytes) else {
        return None;
    };
    let body = bytes.get(head_bytes..frame.whole_bytes() as usize)?;
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
