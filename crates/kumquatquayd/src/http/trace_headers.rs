//! W3C Trace Context, which carries the identity of a request through
//! applications that know nothing of the system.

use http::{HeaderMap, HeaderValue};
use kumquatquay_wire::{LedgerToken, TraceId};
use rand::Rng;

use super::header_text;

const TRACEPARENT: &str = "traceparent";
const TRACESTATE: &str = "tracestate";

/// Key of the system's entry in `tracestate`.
const STATE_KEY: &str = "kq";

/// What a request's trace headers say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TraceHeaders {
    /// The trace id of `traceparent`.
    pub(crate) trace: Option<TraceId>,
    /// The system's entry in `tracestate`.
    pub(crate) token: Option<LedgerToken>,
}

impl TraceHeaders {
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        Self {
            trace: header_text(headers, TRACEPARENT).and_then(parse_traceparent),
            token: header_text(headers, TRACESTATE).and_then(parse_tracestate),
        }
    }
}

/// Reads the trace id; the form is `version-trace-parent-flags` in hex.
fn parse_traceparent(text: &str) -> Option<TraceId> {
    let trace = text.split('-').nth(1)?;
    let is_hex = trace.len() == 32 && trace.bytes().all(|byte| byte.is_ascii_hexdigit());
    let trace = is_hex.then(|| TraceId::from_str_radix(trace, 16).ok())??;
    (trace != 0).then_some(trace)
}

fn parse_tracestate(text: &str) -> Option<LedgerToken> {
    let mut entries = text.split(',').map(str::trim);
    let token = entries.find_map(|entry| entry.strip_prefix(STATE_KEY)?.strip_prefix('='))?;
    LedgerToken::from_str_radix(token, 16).ok()
}

/// Writes the headers by which the backend server's own calls are recognized.
pub(crate) fn write_trace_headers(headers: &mut HeaderMap, trace: TraceId, token: LedgerToken) {
    let parent = rand::rng().random::<u64>();
    let traceparent = format!("00-{trace:032x}-{parent:016x}-01");
    let others = header_text(headers, TRACESTATE).map(other_entries);
    let tracestate = match others {
        Some(others) if !others.is_empty() => format!("{STATE_KEY}={token:016x},{others}"),
        _ => format!("{STATE_KEY}={token:016x}"),
    };
    for (name, value) in [(TRACEPARENT, traceparent), (TRACESTATE, tracestate)] {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
}

fn other_entries(text: &str) -> String {
    let entries = text.split(',').map(str::trim);
    let others = entries.filter(|entry| !entry.starts_with("kq=") && !entry.is_empty());
    others.collect::<Vec<_>>().join(",")
}
